"""The log of a replica: entries in memory and in segment files."""

from collections.abc import Callable, Sequence

import attrs
import trio

from coltsfootspar.exceptions import CorruptLogError, FrameError, StorageError
from coltsfootspar.replication.commands import Entry
from coltsfootspar.replication.interfaces import Disk
from coltsfootspar.replication.records import (
    REMEDY,
    create_corrupt_error,
    encode_file_header,
    encode_record,
    parse_records,
)
from coltsfootspar.wire import replication as codec

__all__ = ["ReplicaLog", "open_log"]

_PREFIX = "log-"
_MAX_RECORD_BYTES = 4 << 20
_SEAL_SECONDS = 1.0
# Entries kept in memory behind a snapshot, so that a replica which is a little
# behind does not need the snapshot.
_KEPT_ENTRIES = 1_000
_KEPT_BYTES = 8 << 20


@attrs.define(eq=False)
class _Segment:
    name: str
    salt: bytes
    last_index: int = 0


@attrs.define(eq=False)
class ReplicaLog:
    """Entries after the last snapshot, and some before it.

    Appended entries are in memory at once; :meth:`run` writes all that wait in
    one record with one sync. A replaced entry is not removed from its file: on
    reading, an entry replaces those of its index and above.

    :param synced_index: last entry that is durable.
    :param syncs: how often the log was synced.
    """

    _disk: Disk
    _base_index: int
    _base_term: int
    _entries: list[Entry]
    _segments: list[_Segment]
    _next_segment: int
    synced_index: int
    syncs: int = 0
    on_synced: Callable[[], None] = lambda: None
    _pending: list[Entry] = attrs.field(factory=list)
    _replaced: list[_Segment] = attrs.field(factory=list)
    _appended: int = 0
    _written: int = 0
    _needs_segment: bool = True
    _is_sealed: bool = True
    _failure: StorageError | None = None
    _lock: trio.Lock = attrs.field(factory=trio.Lock)
    _has_pending: trio.Event = attrs.field(factory=trio.Event)
    _progress: trio.Event = attrs.field(factory=trio.Event)

    @property
    def last_index(self) -> int:
        """Index of the last entry, synced or not."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def first_index(self) -> int:
        """Index of the first entry in memory."""
        return self._base_index + 1

    def get_term(self, index: int) -> int | None:
        """Returns the term of an entry, or None when it is not known."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self.get_entry(index).term
        return None

    def get_entry(self, index: int) -> Entry:
        """Returns an entry that is in memory."""
        return self._entries[index - self._base_index - 1]

    def list_entries(
        self, first: int, max_entries: int, max_bytes: int
    ) -> tuple[Entry, ...]:
        """Returns entries from an index on, at least one if there is one."""
        start = first - self._base_index - 1
        batch = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.data)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entries: Sequence[Entry]) -> None:
        """Adds entries at the end; :meth:`wait_synced` tells when they are durable."""
        self._entries.extend(entries)
        self._pending.extend(entries)
        self._appended += len(entries)
        self._has_pending.set()

    def truncate(self, index: int) -> None:
        """Drops an entry and all behind it; its replacement has to follow."""
        del self._entries[index - self._base_index - 1 :]
        self.synced_index = min(self.synced_index, index - 1)

    async def wait_synced(self) -> None:
        """Waits until all entries appended so far are durable.

        :raises StorageError: when the log cannot be written.
        """
        target = self._appended
        while self._written < target:
            if self._failure is not None:
                raise self._failure
            await self._progress.wait()
        if self._failure is not None:
            raise self._failure

    async def run(self) -> None:
        """Writes appended entries until cancelled.

        :raises StorageError: when the disk fails; nothing is written after that.
        """
        try:
            while True:
                with trio.move_on_after(_SEAL_SECONDS):
                    await self._has_pending.wait()
                if not self._pending:
                    await self._seal()
                    await self._has_pending.wait()
                self._has_pending = trio.Event()
                while self._pending:
                    await self._write_pending()
        except StorageError as error:
            self._failure = error
            raise
        finally:
            if self._failure is None:
                self._failure = StorageError("the replica has stopped", code="stopped")
            self._wake_waiters()

    async def compact(self, index: int) -> None:
        """Removes what a durable snapshot up to an index makes unnecessary."""
        self._forget_entries(index)
        async with self._lock:
            self._needs_segment = True
            while len(self._segments) > 1 and self._segments[0].last_index <= index:
                await self._disk.remove(self._segments.pop(0).name)
            await self._disk.sync_folder()

    async def reset(self, index: int, term: int) -> None:
        """Starts the log over behind a snapshot that another replica sent.

        The entries in memory are gone at once, before anything is awaited.
        """
        self._entries.clear()
        self._pending.clear()
        self._written = self._appended
        self._base_index, self._base_term = index, term
        self.synced_index = index
        self._replaced.extend(self._segments)
        self._segments = []
        self._wake_waiters()
        async with self._lock:
            await self._remove_replaced()

    async def _remove_replaced(self) -> None:
        # The newest first, each durably: what a crash leaves is then a log whose
        # conflict with the snapshot is seen on reading.
        while self._replaced:
            await self._disk.remove(self._replaced[-1].name)
            await self._disk.sync_folder()
            self._replaced.pop()

    def _forget_entries(self, index: int) -> None:
        count = max(0, index - self._base_index)
        kept, size = 0, 0
        while kept < min(count, _KEPT_ENTRIES) and size < _KEPT_BYTES:
            size += len(self._entries[count - kept - 1].data)
            kept += 1
        count -= kept
        if count > 0:
            self._base_term = self._entries[count - 1].term
            self._base_index += count
            del self._entries[:count]

    async def _seal(self) -> None:
        """Writes an empty record behind the last one, which is synced.

        Damage of the last record can then be told from a write that a crash cut
        short. The empty record is synced too: a later record must not be valid
        in front of one that a crash can still damage.
        """
        async with self._lock:
            if self._is_sealed or self._needs_segment or not self._segments:
                return
            segment = self._segments[-1]
            await self._disk.append(segment.name, encode_record(segment.salt, b""))
            await self._disk.sync(segment.name)
            self._is_sealed = True

    async def _write_pending(self) -> None:
        async with self._lock:
            await self._remove_replaced()
            batch = self._take_batch()
            if not batch:
                return
            target = self._appended - len(self._pending)
            segment = await self._prepare_segment()
            record = encode_record(segment.salt, codec.encode_entries(batch))
            await self._disk.append(segment.name, record)
            await self._disk.sync(segment.name)
            segment.last_index = max(segment.last_index, batch[-1].index)
            self.syncs += 1
            self._is_sealed = False
            self._written = max(self._written, target)
            self._raise_synced_index(batch)
        self._wake_waiters()
        self.on_synced()

    def _take_batch(self) -> list[Entry]:
        size, count = 0, 0
        for entry in self._pending:
            size += len(entry.data)
            if count and size > _MAX_RECORD_BYTES:
                break
            count += 1
        batch = self._pending[:count]
        del self._pending[:count]
        return batch

    async def _prepare_segment(self) -> _Segment:
        if self._needs_segment or not self._segments:
            salt, header = encode_file_header()
            segment = _Segment(f"{_PREFIX}{self._next_segment:012d}", salt)
            self._next_segment += 1
            await self._disk.append(segment.name, header)
            # Synced before the first record, so that a damaged header in front of
            # records is no torn write.
            await self._disk.sync(segment.name)
            await self._disk.sync_folder()
            self._segments.append(segment)
            self._needs_segment = False
        return self._segments[-1]

    def _raise_synced_index(self, batch: list[Entry]) -> None:
        for entry in reversed(batch):
            # An entry may have been replaced while it was being written.
            if self.get_term(entry.index) == entry.term:
                self.synced_index = max(self.synced_index, entry.index)
                return

    def _wake_waiters(self) -> None:
        self._progress.set()
        self._progress = trio.Event()


@attrs.define(eq=False)
class _Loader:
    """Puts the entries of all segments together."""

    base_index: int
    base_term: int
    entries: list[Entry] = attrs.field(factory=list)
    last_seen: int | None = None
    replaces_snapshot: bool = False

    def add(self, entry: Entry, name: str, offset: int) -> None:
        """Adds the next entry in the order of writing."""
        # The removal of segments behind a snapshot may be undone by a crash for
        # some of them, so entries may be missing up to the snapshot.
        expected = max(self.base_index, self.last_seen or 0) + 1
        if entry.index > expected:
            raise CorruptLogError(
                f"{name}: entry {entry.index} at byte {offset} follows entry "
                f"{expected - 1}, those between are missing; {REMEDY}",
                path=name,
                offset=offset,
            )
        self.last_seen = entry.index
        if entry.index <= self.base_index:
            self.entries.clear()
            if entry.index == self.base_index:
                self.replaces_snapshot = entry.term != self.base_term
        else:
            del self.entries[entry.index - self.base_index - 1 :]
            self.entries.append(entry)

    @property
    def is_behind(self) -> bool:
        """True when the snapshot is not part of this log."""
        return self.last_seen is not None and (
            self.replaces_snapshot or self.last_seen < self.base_index
        )


async def open_log(disk: Disk, base_index: int, base_term: int) -> ReplicaLog:
    """Reads the log behind a snapshot; an incomplete last record is cut off.

    :param base_index: last entry in the snapshot, 0 without one.
    :param base_term: term of that entry.
    :raises CorruptLogError: when a record is damaged or entries are missing.
    """
    names = [name for name in await disk.list_files() if name.startswith(_PREFIX)]
    loader = _Loader(base_index, base_term)
    segments = [
        await _load_segment(disk, name, loader, is_last=name == names[-1])
        for name in names
    ]
    next_segment = int(names[-1].removeprefix(_PREFIX)) + 1 if names else 1
    log = ReplicaLog(
        disk,
        base_index,
        base_term,
        loader.entries,
        segments,
        next_segment,
        synced_index=base_index + len(loader.entries),
    )
    if loader.is_behind:
        # The replica stopped between taking a snapshot of another replica and
        # removing the log that it replaces.
        await log.reset(base_index, base_term)
    return log


async def _load_segment(
    disk: Disk, name: str, loader: _Loader, *, is_last: bool
) -> _Segment:
    data = await disk.read(name)
    content = parse_records(name, data, may_be_torn=is_last)
    if content.valid_bytes < len(data):
        await disk.truncate(name, content.valid_bytes)
    segment = _Segment(name, content.salt)
    for payload, offset in zip(content.payloads, content.offsets, strict=True):
        try:
            entries = codec.decode_entries(payload)
        except FrameError as error:
            raise create_corrupt_error(name, offset) from error
        for entry in entries:
            loader.add(entry, name, offset)
            segment.last_index = max(segment.last_index, entry.index)
    return segment
