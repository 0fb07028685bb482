"""In-memory disk that loses, tears and damages data as a real one may."""

import random

import attrs
import trio

from coltsfootspar.exceptions import StorageError

__all__ = ["DiskCrashError", "FakeDisk", "create_disk"]


class DiskCrashError(StorageError):
    """The host of the disk has crashed."""

    code = "disk-crash"


@attrs.define(eq=False)
class _File:
    data: bytearray = attrs.field(factory=bytearray)
    synced: int = 0


@attrs.define(eq=False)
class FakeDisk:
    """One data folder in memory.

    Appended bytes are lost or torn by a crash unless the file was synced; a
    created, renamed or removed name is lost unless the folder was synced.

    :param latency: time of each sync, seconds.
    :param capacity: most bytes of all files together, None for no limit.
    :param crash_at: number of the sync at which the host crashes, before the
        data is durable; None for never.
    """

    _random: random.Random
    latency: float = 0.0
    capacity: int | None = None
    crash_at: int | None = None
    syncs: int = 0
    is_crashed: bool = False
    _files: dict[str, _File] = attrs.field(factory=dict)
    _durable_names: dict[str, _File] = attrs.field(factory=dict)

    async def list_files(self) -> list[str]:
        """Returns the names of all files, sorted."""
        await self._begin()
        return sorted(self._files)

    async def read(self, name: str) -> bytes:
        """Reads a whole file."""
        await self._begin()
        return bytes(self._get_file(name).data)

    async def read_range(
        self, name: str, offset: int, size: int | None = None
    ) -> bytes:
        """Reads a part of a file; the result is shorter at the end of the file."""
        await self._begin()
        end = None if size is None else offset + size
        return bytes(self._get_file(name).data[offset:end])

    async def append(self, name: str, data: bytes) -> None:
        """Writes at the end of a file, which is created when missing."""
        await self._begin()
        file = self._files.setdefault(name, _File())
        used = sum(len(other.data) for other in self._files.values())
        if self.capacity is not None and used + len(data) > self.capacity:
            file.data += data[: max(0, self.capacity - used)]
            raise StorageError("no space left on the disk", code="disk-full")
        file.data += data

    async def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        file = self._get_file(name)
        size = len(file.data)
        await self._begin_sync()
        file.synced = max(file.synced, size)

    async def sync_folder(self) -> None:
        """Makes created, renamed and removed names durable."""
        names = dict(self._files)
        await self._begin_sync()
        self._durable_names = names

    async def truncate(self, name: str, size: int) -> None:
        """Cuts a file and makes the new size durable."""
        await self._begin_sync()
        file = self._get_file(name)
        del file.data[size:]
        file.synced = len(file.data)

    async def rename(self, old: str, new: str) -> None:
        """Gives a file a new name, replacing a file that has it."""
        await self._begin()
        self._files[new] = self._files.pop(old)

    async def remove(self, name: str) -> None:
        """Removes a file; a missing one is no error."""
        await self._begin()
        self._files.pop(name, None)

    async def close(self) -> None:
        """Releases the folder."""
        await trio.lowlevel.checkpoint()

    def crash(self) -> None:
        """Stops the disk as a power failure would."""
        self.is_crashed = True

    def restart(self) -> None:
        """Starts it again with what has survived.

        Each name that was not made durable survives or not, each file keeps a
        random part of what was not synced, and a part of that may be zeros.
        """
        names = dict(self._durable_names)
        for name in sorted(set(self._files) | set(names)):
            if self._random.random() < 0.5:
                file = self._files.get(name)
                if file is None:
                    names.pop(name, None)
                else:
                    names[name] = file
        for file in {id(file): file for file in names.values()}.values():
            self._tear(file)
        self._files, self._durable_names = names, dict(names)
        self.is_crashed = False
        self.crash_at = None

    def flip_bit(self, name: str, offset: int) -> None:
        """Damages one bit of a file."""
        self._files[name].data[offset] ^= 1

    def list_names(self) -> list[str]:
        """Returns the names of all files, sorted, without waiting."""
        return sorted(self._files)

    def get_size(self, name: str) -> int:
        """Returns the size of a file, bytes."""
        return len(self._files[name].data)

    def _tear(self, file: _File) -> None:
        unsynced = len(file.data) - file.synced
        kept = file.synced + self._random.randint(0, unsynced)
        del file.data[kept:]
        if kept > file.synced and self._random.random() < 0.5:
            start = self._random.randint(file.synced, kept - 1)
            end = self._random.randint(start, kept)
            file.data[start:end] = bytes(end - start)
        file.synced = len(file.data)

    def _get_file(self, name: str) -> _File:
        try:
            return self._files[name]
        except KeyError:
            raise StorageError(f"no file {name!r}") from None

    async def _begin(self) -> None:
        self._check()
        await trio.lowlevel.checkpoint()
        self._check()

    async def _begin_sync(self) -> None:
        self._check()
        self.syncs += 1
        if self.syncs == self.crash_at:
            self.crash()
        await trio.sleep(self.latency)
        self._check()

    def _check(self) -> None:
        if self.is_crashed:
            raise DiskCrashError("the host has crashed")


def create_disk(seed: int, latency: float = 0.0) -> FakeDisk:
    """Creates an empty disk.

    :param seed: seed of what a crash loses.
    :param latency: time of each sync, seconds.
    """
    return FakeDisk(random.Random(seed), latency)
