"""Interfaces of a replica to its data folder and to the other replicas."""

from typing import Protocol

from coltsfootspar.wire import Message

__all__ = ["Disk", "ReplicaLink"]


class Disk(Protocol):
    """One data folder, locked by one process.

    All files are directly in the folder. All methods raise ``StorageError`` when
    the disk fails.
    """

    async def list_files(self) -> list[str]:
        """Returns the names of all files, sorted."""

    async def read(self, name: str) -> bytes:
        """Reads a whole file."""

    async def read_range(
        self, name: str, offset: int, size: int | None = None
    ) -> bytes:
        """Reads a part of a file; the result is shorter at the end of the file.

        :param offset: position of the first byte.
        :param size: largest number of bytes; None for all to the end.
        """

    async def append(self, name: str, data: bytes) -> None:
        """Appends to a file and creates it when it is missing.

        The data is durable after :meth:`sync` of the file. A new file also needs
        :meth:`sync_folder`.
        """

    async def sync(self, name: str) -> None:
        """Makes the content of a file durable."""

    async def sync_folder(self) -> None:
        """Makes creations, renames and removals of files durable."""

    async def truncate(self, name: str, size: int) -> None:
        """Truncates a file and makes the new size durable.

        :param size: number of bytes to keep.
        """

    async def rename(self, old: str, new: str) -> None:
        """Renames a file and replaces a file that has the new name."""

    async def remove(self, name: str) -> None:
        """Removes a file; does nothing when it is missing."""

    async def close(self) -> None:
        """Releases the lock of the folder."""


class ReplicaLink(Protocol):
    """Sends requests to replicas, which it addresses by id."""

    async def request(self, replica_id: str, message: Message) -> Message:
        """Sends a request and waits for the reply.

        :raises LinkError: when no reply arrives.
        """
