"""Snapshots of the replicated state in the data folder."""

import struct
from collections.abc import Iterator

import attrs
import trio

from coltsfootspar.exceptions import CorruptLogError, FrameError
from coltsfootspar.replication.interfaces import Disk
from coltsfootspar.replication.records import (
    create_corrupt_error,
    encode_file_header,
    encode_record,
    parse_records,
)
from coltsfootspar.replication.state import ReplicatedState, create_state
from coltsfootspar.wire import replication as codec

__all__ = ["SnapshotStore", "create_snapshot_store"]

_PREFIX = "snapshot-"
_TEMPORARY = "temporary-snapshot"
_INCOMING = "incoming-snapshot"
_HEAD = struct.Struct(">QQ")
_ITEM = struct.Struct(">I")
_FOOT = struct.Struct(">4sQ")
_FOOT_MARK = b"END."
_RECORD_BYTES = 16 << 10


@attrs.define(eq=False)
class SnapshotStore:
    """Writes, reads and receives snapshots; keeps only the latest.

    :param index: last entry in the latest snapshot, 0 without one.
    :param size: size of the latest snapshot, bytes.
    """

    _disk: Disk
    index: int = 0
    term: int = 0
    size: int = 0
    _incoming: tuple[str, int, int] | None = None
    _incoming_bytes: int = 0
    _lock: trio.Lock = attrs.field(factory=trio.Lock)

    async def load(self) -> ReplicatedState:
        """Reads the latest snapshot.

        :returns: its state, or an empty one.
        :raises CorruptLogError: when it is damaged.
        """
        names = await self._disk.list_files()
        for name in (_TEMPORARY, _INCOMING):
            await self._disk.remove(name)
        snapshots = [name for name in names if name.startswith(_PREFIX)]
        if not snapshots:
            return create_state()
        state, size = await self._read(snapshots[-1])
        self._record(state, size)
        await self._remove_old(snapshots[:-1])
        return state

    async def write(self, state: ReplicatedState) -> bool:
        """Writes a snapshot of a state that does not change meanwhile.

        :returns: false when a later one came in the meantime.
        """
        await self._disk.remove(_TEMPORARY)
        salt, header = encode_file_header()
        await self._disk.append(_TEMPORARY, header)
        size = len(header)
        for payload in _encode_payloads(state):
            record = encode_record(salt, payload)
            await self._disk.append(_TEMPORARY, record)
            size += len(record)
        async with self._lock:
            if state.index <= self.index:
                return False
            await self._publish(_TEMPORARY, state, size)
        return True

    async def read_bytes(self) -> tuple[int, int, bytes]:
        """Reads the latest snapshot for another replica.

        :returns: index, term and the bytes of the file.
        :raises CorruptLogError: when the file was damaged since it was written.
        """
        async with self._lock:
            name = _create_name(self.index)
            data = await self._disk.read(name)
            parse_records(name, data, may_be_torn=False)
            return self.index, self.term, data

    async def receive(
        self, key: tuple[str, int, int], offset: int, size: int, data: bytes
    ) -> tuple[int, ReplicatedState | None]:
        """Takes a part of another replica's snapshot.

        :param key: leader, index and term, which name the snapshot.
        :param offset: position of the part, bytes.
        :param size: size of the whole, bytes.
        :returns: the offset expected next, and the state once it is whole and
            durable.
        :raises FrameError: when the whole is not a valid snapshot.
        """
        async with self._lock:
            if key != self._incoming:
                await self._disk.remove(_INCOMING)
                self._incoming, self._incoming_bytes = key, 0
            if offset == self._incoming_bytes:
                await self._disk.append(_INCOMING, data)
                self._incoming_bytes += len(data)
            if self._incoming_bytes < size:
                return self._incoming_bytes, None
            self._incoming = None
            if key[1] <= self.index:
                return size, None
            return size, await self._complete_incoming(key)

    async def _complete_incoming(
        self, key: tuple[str, int, int]
    ) -> ReplicatedState | None:
        try:
            state, size = await self._read(_INCOMING)
        except CorruptLogError as error:
            raise FrameError(f"snapshot of {key[0]} is damaged") from error
        if (state.index, state.term) != key[1:]:
            raise FrameError(f"snapshot of {key[0]} is not the one announced")
        await self._publish(_INCOMING, state, size)
        return state

    async def _publish(self, name: str, state: ReplicatedState, size: int) -> None:
        await self._disk.sync(name)
        await self._disk.rename(name, _create_name(state.index))
        await self._disk.sync_folder()
        previous = _create_name(self.index)
        self._record(state, size)
        await self._remove_old([previous])

    async def _remove_old(self, names: list[str]) -> None:
        for name in names:
            await self._disk.remove(name)

    def _record(self, state: ReplicatedState, size: int) -> None:
        self.index, self.term, self.size = state.index, state.term, size

    async def _read(self, name: str) -> tuple[ReplicatedState, int]:
        data = await self._disk.read(name)
        content = parse_records(name, data, may_be_torn=False)
        try:
            state = await _decode_state(content.payloads)
        except (FrameError, struct.error, IndexError) as error:
            raise create_corrupt_error(name, len(data)) from error
        return state, len(data)


def _create_name(index: int) -> str:
    return f"{_PREFIX}{index:020d}"


def _encode_payloads(state: ReplicatedState) -> Iterator[bytes]:
    yield _HEAD.pack(state.index, state.term)
    buffer = bytearray()
    count = 0
    for kind, value in state.list_items():
        item = codec.encode_snapshot_item(kind, value)
        buffer += _ITEM.pack(len(item)) + item
        count += 1
        if len(buffer) >= _RECORD_BYTES:
            yield bytes(buffer)
            buffer.clear()
    if buffer:
        yield bytes(buffer)
    yield _FOOT.pack(_FOOT_MARK, count)


async def _decode_state(payloads: tuple[bytes, ...]) -> ReplicatedState:
    state = create_state(*_HEAD.unpack(payloads[0]))
    count = 0
    for payload in payloads[1:-1]:
        await trio.lowlevel.checkpoint()
        position = 0
        while position < len(payload):
            (size,) = _ITEM.unpack_from(payload, position)
            start = position + _ITEM.size
            position = start + size
            state.load_item(*codec.decode_snapshot_item(payload[start:position]))
            count += 1
    if _FOOT.unpack(payloads[-1]) != (_FOOT_MARK, count):
        raise FrameError("snapshot is not complete")
    return state


def create_snapshot_store(disk: Disk) -> SnapshotStore:
    """Creates the store of a data folder; :meth:`SnapshotStore.load` reads it."""
    return SnapshotStore(disk)
