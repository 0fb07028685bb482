"""The replicated log of one replica, in memory and in segment files."""

from collections.abc import Callable, Sequence

import attrs
import trio

from coltsfootspar.exceptions import CorruptLogError, FrameError, StorageError
from coltsfootspar.replication.commands import Entry
from coltsfootspar.replication.interfaces import Disk
from coltsfootspar.replication.records import (
    RECOVERY_ADVICE,
    create_corrupt_log_error,
    encode_file_header,
    encode_record,
    open_records,
)
from coltsfootspar.wire import replication as codec

__all__ = ["ReplicaLog", "open_log"]

_SEGMENT_PREFIX = "log-"
_MAX_RECORD_BYTES = 4 << 20
_END_MARKER_DELAY_SECONDS = 1.0
# Entries before a snapshot that stay in memory, so that a replica which lags a
# little does not need the snapshot.
_MAX_RETAINED_ENTRIES = 1_000
_MAX_RETAINED_BYTES = 8 << 20


@attrs.define(eq=False)
class _Segment:
    name: str
    salt: bytes
    last_index: int = 0


@attrs.define(eq=False)
class ReplicaLog:
    """Entries after the last snapshot, and some before it.

    :meth:`append` adds entries to memory; :meth:`run` writes all pending entries
    as one record with one sync. A replaced entry stays in its file. When the log
    is read, an entry replaces the earlier entries with its index or a higher one.

    :param _base_index: index of the entry before the first one in memory.
    :param _base_term: term of that entry.
    :param synced_index: last entry that is durable.
    :param sync_count: number of records that were written and synced.
    :param on_synced: called after each of these syncs.
    :param _obsolete_segments: segments that a received snapshot replaces and that
        are not removed yet.
    :param _needs_segment: true when the next record begins a new segment.
    """

    _disk: Disk
    _base_index: int
    _base_term: int
    _entries: list[Entry]
    _segments: list[_Segment]
    _next_segment: int
    synced_index: int
    sync_count: int = 0
    on_synced: Callable[[], None] = lambda: None
    _pending: list[Entry] = attrs.field(factory=list)
    _obsolete_segments: list[_Segment] = attrs.field(factory=list)
    _appended_count: int = 0
    _synced_count: int = 0
    _needs_segment: bool = True
    _has_end_marker: bool = True
    _failure: StorageError | None = None
    _lock: trio.Lock = attrs.field(factory=trio.Lock)
    _has_pending: trio.Event = attrs.field(factory=trio.Event)
    _sync_progress: trio.Event = attrs.field(factory=trio.Event)

    @property
    def last_index(self) -> int:
        """Index of the last entry, durable or not."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, durable or not."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def first_index(self) -> int:
        """Index of the first entry in memory."""
        return self._base_index + 1

    def get_term(self, index: int) -> int | None:
        """Returns the term of an entry, or None when the entry is not in memory."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self.get_entry(index).term
        return None

    def get_entry(self, index: int) -> Entry:
        """Returns an entry, which must be in memory."""
        return self._entries[index - self._base_index - 1]

    def list_entries(
        self, first: int, max_entries: int, max_bytes: int
    ) -> tuple[Entry, ...]:
        """Returns consecutive entries, at least one if there is one.

        :param first: index of the first entry.
        :param max_entries: largest number of entries.
        :param max_bytes: largest size of their commands, bytes; a single entry may
            exceed it.
        """
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
        """Adds entries at the end, durable once :meth:`wait_synced` returns."""
        self._entries.extend(entries)
        self._pending.extend(entries)
        self._appended_count += len(entries)
        self._has_pending.set()

    def truncate(self, index: int) -> None:
        """Removes an entry and all later ones; the caller must append a replacement.

        The file keeps the removed entries until the replacement is written.
        """
        del self._entries[index - self._base_index - 1 :]
        self.synced_index = min(self.synced_index, index - 1)

    async def wait_synced(self) -> None:
        """Waits until all entries appended so far are durable.

        :raises StorageError: when the log cannot be written.
        """
        target = self._appended_count
        while self._synced_count < target:
            if self._failure is not None:
                raise self._failure
            await self._sync_progress.wait()
        if self._failure is not None:
            raise self._failure

    async def run(self) -> None:
        """Writes and syncs appended entries until cancelled.

        :raises StorageError: when the disk fails; the log is not written again.
        """
        try:
            while True:
                with trio.move_on_after(_END_MARKER_DELAY_SECONDS):
                    await self._has_pending.wait()
                if not self._pending:
                    await self._write_end_marker()
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
        """Removes entries and segments that a durable snapshot covers.

        Some entries stay in memory for replicas that lag a little.

        :param index: last entry in the snapshot.
        """
        self._evict_entries(index)
        async with self._lock:
            self._needs_segment = True
            while len(self._segments) > 1 and self._segments[0].last_index <= index:
                await self._disk.remove(self._segments.pop(0).name)
            await self._disk.sync_folder()

    async def reset(self, index: int, term: int) -> None:
        """Discards the whole log in favour of a snapshot from another replica.

        Discards the entries in memory before the first await.

        :param index: last entry in the snapshot.
        :param term: term of that entry.
        """
        self._entries.clear()
        self._pending.clear()
        self._synced_count = self._appended_count
        self._base_index, self._base_term = index, term
        self.synced_index = index
        self._obsolete_segments.extend(self._segments)
        self._segments = []
        self._wake_waiters()
        async with self._lock:
            await self._remove_obsolete_segments()

    async def _remove_obsolete_segments(self) -> None:
        # The newest segment first, each removal durable before the next, so that
        # after a crash the remaining log still shows its conflict with the
        # snapshot when it is read.
        while self._obsolete_segments:
            await self._disk.remove(self._obsolete_segments[-1].name)
            await self._disk.sync_folder()
            self._obsolete_segments.pop()

    def _evict_entries(self, index: int) -> None:
        count = max(0, index - self._base_index)
        retained, size = 0, 0
        while (
            retained < min(count, _MAX_RETAINED_ENTRIES) and size < _MAX_RETAINED_BYTES
        ):
            size += len(self._entries[count - retained - 1].data)
            retained += 1
        count -= retained
        if count > 0:
            self._base_term = self._entries[count - 1].term
            self._base_index += count
            del self._entries[:count]

    async def _write_end_marker(self) -> None:
        """Writes and syncs an empty record after the last record.

        With a valid record after it, damage to the last record is distinguishable
        from a torn write. The empty record is synced, because no valid record may
        follow one that a crash can still damage.
        """
        async with self._lock:
            if self._has_end_marker or self._needs_segment or not self._segments:
                return
            segment = self._segments[-1]
            await self._disk.append(segment.name, encode_record(segment.salt, b""))
            await self._disk.sync(segment.name)
            self._has_end_marker = True

    async def _write_pending(self) -> None:
        async with self._lock:
            await self._remove_obsolete_segments()
            batch = self._take_batch()
            if not batch:
                return
            target = self._appended_count - len(self._pending)
            segment = await self._prepare_segment()
            record = encode_record(segment.salt, codec.encode_entries(batch))
            await self._disk.append(segment.name, record)
            await self._disk.sync(segment.name)
            segment.last_index = max(segment.last_index, batch[-1].index)
            self.sync_count += 1
            self._has_end_marker = False
            self._synced_count = max(self._synced_count, target)
            self._advance_synced_index(batch)
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
            segment = _Segment(f"{_SEGMENT_PREFIX}{self._next_segment:012d}", salt)
            self._next_segment += 1
            await self._disk.append(segment.name, header)
            # Synced before the first record, so that a damaged header followed by
            # records cannot be a torn write.
            await self._disk.sync(segment.name)
            await self._disk.sync_folder()
            self._segments.append(segment)
            self._needs_segment = False
        return self._segments[-1]

    def _advance_synced_index(self, batch: list[Entry]) -> None:
        for entry in reversed(batch):
            # An entry may have been replaced during the write.
            if self.get_term(entry.index) == entry.term:
                self.synced_index = max(self.synced_index, entry.index)
                return

    def _wake_waiters(self) -> None:
        self._sync_progress.set()
        self._sync_progress = trio.Event()


@attrs.define(eq=False)
class _EntryLoader:
    """Merges the entries of all segments in the order of writing.

    :param last_read_index: index of the entry that was read last.
    :param has_term_mismatch: true when the log has another entry than the snapshot
        at the last index of the snapshot.
    """

    base_index: int
    base_term: int
    entries: list[Entry] = attrs.field(factory=list)
    last_read_index: int | None = None
    has_term_mismatch: bool = False

    def add(self, entry: Entry, name: str, offset: int) -> None:
        """Adds the next entry.

        :param name: file that contains the entry.
        :param offset: position of its record, bytes.
        :raises CorruptLogError: when entries before this one are missing.
        """
        # A crash may undo the removal of some of the segments that a snapshot
        # covers, so entries up to the snapshot may be missing.
        expected = max(self.base_index, self.last_read_index or 0) + 1
        if entry.index > expected:
            raise CorruptLogError(
                f"{name}: entry {entry.index} at byte {offset} follows entry "
                f"{expected - 1}, the entries between them are missing; "
                f"{RECOVERY_ADVICE}",
                path=name,
                offset=offset,
            )
        self.last_read_index = entry.index
        if entry.index <= self.base_index:
            self.entries.clear()
            if entry.index == self.base_index:
                self.has_term_mismatch = entry.term != self.base_term
        else:
            del self.entries[entry.index - self.base_index - 1 :]
            self.entries.append(entry)

    @property
    def conflicts_with_snapshot(self) -> bool:
        """True when the log does not contain the last entry of the snapshot."""
        return self.last_read_index is not None and (
            self.has_term_mismatch or self.last_read_index < self.base_index
        )


async def open_log(disk: Disk, base_index: int, base_term: int) -> ReplicaLog:
    """Reads the log after a snapshot and truncates a torn last record.

    :param base_index: last entry in the snapshot, 0 without one.
    :param base_term: term of that entry.
    :raises CorruptLogError: when a record is damaged or entries are missing.
    """
    names = [
        name for name in await disk.list_files() if name.startswith(_SEGMENT_PREFIX)
    ]
    loader = _EntryLoader(base_index, base_term)
    segments = [
        await _load_segment(disk, name, loader, is_last=name == names[-1])
        for name in names
    ]
    next_segment = int(names[-1].removeprefix(_SEGMENT_PREFIX)) + 1 if names else 1
    log = ReplicaLog(
        disk,
        base_index,
        base_term,
        loader.entries,
        segments,
        next_segment,
        synced_index=base_index + len(loader.entries),
    )
    if loader.conflicts_with_snapshot:
        # The replica stopped after it had stored a snapshot of another replica and
        # before it had removed the log that the snapshot replaces.
        await log.reset(base_index, base_term)
    return log


async def _load_segment(
    disk: Disk, name: str, loader: _EntryLoader, *, is_last: bool
) -> _Segment:
    reader = await open_records(disk, name, may_be_torn=is_last)
    segment = _Segment(name, reader.salt)
    while (record := await reader.read_record()) is not None:
        payload, offset = record
        try:
            entries = codec.decode_entries(payload)
        except FrameError as error:
            raise create_corrupt_log_error(name, offset) from error
        for entry in entries:
            loader.add(entry, name, offset)
            segment.last_index = max(segment.last_index, entry.index)
    if reader.is_torn:
        await disk.truncate(name, reader.valid_bytes)
    return segment
