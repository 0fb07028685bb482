"""What a replica needs from its disk and from the links to other processes."""

from typing import Protocol

from coltsfootspar.wire import Message

__all__ = ["Disk", "ReplicaLink"]


class Disk(Protocol):
    """One data folder, held by one process.

    File names have no folders in them. All methods raise ``StorageError``.
    """

    async def list_files(self) -> list[str]:
        """Returns the names of all files, sorted."""

    async def read(self, name: str) -> bytes:
        """Reads a whole file."""

    async def append(self, name: str, data: bytes) -> None:
        """Writes at the end of a file, which is created when missing.

        The data is durable after :meth:`sync` of the file, and a new file after
        :meth:`sync_folder` as well.
        """

    async def sync(self, name: str) -> None:
        """Makes the content of a file durable."""

    async def sync_folder(self) -> None:
        """Makes created, renamed and removed names durable."""

    async def truncate(self, name: str, size: int) -> None:
        """Cuts a file and makes the new size durable.

        :param size: bytes that remain.
        """

    async def rename(self, old: str, new: str) -> None:
        """Gives a file a new name, replacing a file that has it."""

    async def remove(self, name: str) -> None:
        """Removes a file; a missing one is no error."""

    async def close(self) -> None:
        """Releases the folder."""


class ReplicaLink(Protocol):
    """Requests to replicas by their id."""

    async def request(self, replica_id: str, message: Message) -> Message:
        """Sends a request and waits for the reply.

        :raises LinkError: when there is no reply.
        """
