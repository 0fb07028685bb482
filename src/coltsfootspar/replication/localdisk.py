"""A data folder in the local file system."""

import fcntl
import os
import pathlib
from collections.abc import Callable
from typing import Any

import attrs
import trio

from coltsfootspar.exceptions import StorageError

__all__ = ["LocalDisk", "open_disk"]

_LOCK_NAME = "lock"
_FILE_MODE = 0o600
_APPEND_FLAGS = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC


@attrs.define(eq=False)
class LocalDisk:
    """One data folder, locked against other processes.

    :param _descriptors: descriptor of each file that is open for writing, by name.
    """

    _folder: pathlib.Path
    _lock_descriptor: int
    _descriptors: dict[str, int] = attrs.field(factory=dict)

    async def list_files(self) -> list[str]:
        """Returns the names of all files, sorted."""
        names = await self._run(os.listdir, self._folder)
        return sorted(name for name in names if name != _LOCK_NAME)

    async def read(self, name: str) -> bytes:
        """Reads a whole file."""
        return await self._run(self._path(name).read_bytes)

    async def read_range(
        self, name: str, offset: int, size: int | None = None
    ) -> bytes:
        """Reads a part of a file; the result is shorter at the end of the file."""
        return await self._run(self._read_range, name, offset, size)

    async def append(self, name: str, data: bytes) -> None:
        """Appends to a file and creates it when it is missing."""
        await self._run(self._append, name, data)

    async def sync(self, name: str) -> None:
        """Flushes the content of a file to the disk."""
        await self._run(self._sync, name)

    async def sync_folder(self) -> None:
        """Flushes creations, renames and removals of files to the disk."""
        await self._run(_sync_folder, self._folder)

    async def truncate(self, name: str, size: int) -> None:
        """Truncates a file and flushes the new size to the disk."""
        await self._run(self._truncate, name, size)

    async def rename(self, old: str, new: str) -> None:
        """Renames a file and replaces a file that has the new name."""
        self._close_descriptor(old)
        self._close_descriptor(new)
        await self._run(os.replace, self._path(old), self._path(new))

    async def remove(self, name: str) -> None:
        """Removes a file; does nothing when it is missing."""
        self._close_descriptor(name)
        await self._run(self._remove, name)

    async def close(self) -> None:
        """Closes all files and releases the lock of the folder."""
        for name in list(self._descriptors):
            self._close_descriptor(name)
        os.close(self._lock_descriptor)

    def _path(self, name: str) -> pathlib.Path:
        return self._folder / name

    async def _run(self, function: Callable[..., Any], *arguments: Any) -> Any:
        try:
            return await trio.to_thread.run_sync(function, *arguments)
        except OSError as error:
            raise StorageError(f"data folder {self._folder}: {error}") from error

    def _open(self, name: str) -> int:
        if name not in self._descriptors:
            self._descriptors[name] = os.open(
                self._path(name), _APPEND_FLAGS, _FILE_MODE
            )
        return self._descriptors[name]

    def _read_range(self, name: str, offset: int, size: int | None) -> bytes:
        with self._path(name).open("rb") as file:
            rest = max(0, os.fstat(file.fileno()).st_size - offset)
            file.seek(offset)
            # A read allocates the whole size, which may come from a damaged record.
            return file.read(rest if size is None else min(size, rest))

    def _append(self, name: str, data: bytes) -> None:
        descriptor = self._open(name)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def _sync(self, name: str) -> None:
        os.fdatasync(self._open(name))

    def _truncate(self, name: str, size: int) -> None:
        os.truncate(self._path(name), size)
        os.fsync(self._open(name))

    def _remove(self, name: str) -> None:
        self._path(name).unlink(missing_ok=True)

    def _close_descriptor(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _sync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def open_disk(folder: str | os.PathLike) -> LocalDisk:
    """Opens and locks a data folder, and creates it when it is missing.

    :raises StorageError: when the folder cannot be used or another process has
        locked it.
    """
    path = pathlib.Path(folder)
    lock_descriptor = None
    try:
        if not path.exists():
            path.mkdir(parents=True, mode=0o700)
            _sync_folder(path.parent)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        lock_descriptor = os.open(path / _LOCK_NAME, flags, _FILE_MODE)
        fcntl.flock(lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(lock_descriptor)
        raise StorageError(
            f"data folder {path} is in use by another process; each replica needs "
            "its own folder",
            code="folder-locked",
        ) from error
    except OSError as error:
        if lock_descriptor is not None:
            os.close(lock_descriptor)
        raise StorageError(f"data folder {path}: {error}") from error
    return LocalDisk(path, lock_descriptor)
