"""The data folder on a real disk."""

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
    """One data folder, locked against other processes."""

    _folder: pathlib.Path
    _lock_file: int
    _files: dict[str, int] = attrs.field(factory=dict)

    async def list_files(self) -> list[str]:
        """Returns the names of all files, sorted."""
        names = await self._run(os.listdir, self._folder)
        return sorted(name for name in names if name != _LOCK_NAME)

    async def read(self, name: str) -> bytes:
        """Reads a whole file."""
        return await self._run(self._path(name).read_bytes)

    async def append(self, name: str, data: bytes) -> None:
        """Writes at the end of a file, which is created when missing."""
        await self._run(self._append, name, data)

    async def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        await self._run(self._sync, name)

    async def sync_folder(self) -> None:
        """Makes created, renamed and removed names durable."""
        await self._run(_sync_folder, self._folder)

    async def truncate(self, name: str, size: int) -> None:
        """Cuts a file and makes the new size durable."""
        await self._run(self._truncate, name, size)

    async def rename(self, old: str, new: str) -> None:
        """Gives a file a new name, replacing a file that has it."""
        self._close_file(old)
        self._close_file(new)
        await self._run(os.replace, self._path(old), self._path(new))

    async def remove(self, name: str) -> None:
        """Removes a file; a missing one is no error."""
        self._close_file(name)
        await self._run(self._remove, name)

    async def close(self) -> None:
        """Releases the folder."""
        for name in list(self._files):
            self._close_file(name)
        os.close(self._lock_file)

    def _path(self, name: str) -> pathlib.Path:
        return self._folder / name

    async def _run(self, function: Callable[..., Any], *arguments: Any) -> Any:
        try:
            return await trio.to_thread.run_sync(function, *arguments)
        except OSError as error:
            raise StorageError(f"data folder {self._folder}: {error}") from error

    def _open(self, name: str) -> int:
        if name not in self._files:
            self._files[name] = os.open(self._path(name), _APPEND_FLAGS, _FILE_MODE)
        return self._files[name]

    def _append(self, name: str, data: bytes) -> None:
        file = self._open(name)
        view = memoryview(data)
        while view:
            view = view[os.write(file, view) :]

    def _sync(self, name: str) -> None:
        os.fdatasync(self._open(name))

    def _truncate(self, name: str, size: int) -> None:
        os.truncate(self._path(name), size)
        os.fsync(self._open(name))

    def _remove(self, name: str) -> None:
        self._path(name).unlink(missing_ok=True)

    def _close_file(self, name: str) -> None:
        file = self._files.pop(name, None)
        if file is not None:
            os.close(file)


def _sync_folder(folder: pathlib.Path) -> None:
    file = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(file)
    finally:
        os.close(file)


def open_disk(folder: str | os.PathLike) -> LocalDisk:
    """Opens a data folder, which is created when missing, and locks it.

    :raises StorageError: when it cannot be used or another process holds it.
    """
    path = pathlib.Path(folder)
    lock_file = None
    try:
        if not path.exists():
            path.mkdir(parents=True, mode=0o700)
            _sync_folder(path.parent)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        lock_file = os.open(path / _LOCK_NAME, flags, _FILE_MODE)
        fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(lock_file)
        raise StorageError(
            f"data folder {path} is in use by another process; each replica needs "
            "its own folder",
            code="folder-locked",
        ) from error
    except OSError as error:
        if lock_file is not None:
            os.close(lock_file)
        raise StorageError(f"data folder {path}: {error}") from error
    return LocalDisk(path, lock_file)
