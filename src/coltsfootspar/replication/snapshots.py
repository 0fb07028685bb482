"""Snapshots of the replicated state in the data folder."""

import struct
from collections.abc import Iterator

import attrs
import trio

from coltsfootspar.exceptions import CorruptLogError, FrameError
from coltsfootspar.replication.interfaces import Disk
from coltsfootspar.replication.records import (
    create_corrupt_log_error,
    encode_file_header,
    encode_record,
    parse_records,
)
from coltsfootspar.replication.state import ReplicatedState, create_state
from coltsfootspar.wire import replication as codec

__all__ = ["SnapshotStore", "create_snapshot_store"]

_SNAPSHOT_PREFIX = "snapshot-"
_TEMPORARY_NAME = "temporary-snapshot"
_INCOMING_NAME = "incoming-snapshot"
_HEADER = struct.Struct(">QQ")
_ITEM_SIZE = struct.Struct(">I")
_FOOTER = struct.Struct(">4sQ")
_FOOTER_MAGIC = b"END."
_TARGET_RECORD_BYTES = 16 << 10


@attrs.define(eq=False)
class SnapshotStore:
    """Writes, reads and receives snapshots, and keeps only the latest.

    :param index: last entry in the latest snapshot, 0 without one.
    :param term: term of that entry.
    :param size: size of the latest snapshot, bytes.
    :param _incoming_key: leader, index and term of the snapshot that is being
        received.
    :param _incoming_bytes: number of its bytes that were received.
    """

    _disk: Disk
    index: int = 0
    term: int = 0
    size: int = 0
    _incoming_key: tuple[str, int, int] | None = None
    _incoming_bytes: int = 0
    _lock: trio.Lock = attrs.field(factory=trio.Lock)

    async def load(self) -> ReplicatedState:
        """Reads the latest snapshot and removes incomplete and older ones.

        :returns: the state in the snapshot, or an empty state without one.
        :raises CorruptLogError: when the snapshot is damaged.
        """
        names = await self._disk.list_files()
        for name in (_TEMPORARY_NAME, _INCOMING_NAME):
            await self._disk.remove(name)
        snapshots = [name for name in names if name.startswith(_SNAPSHOT_PREFIX)]
        if not snapshots:
            return create_state()
        state, size = await self._read(snapshots[-1])
        self._set_latest(state, size)
        await self._remove_old(snapshots[:-1])
        return state

    async def write(self, state: ReplicatedState) -> bool:
        """Writes a snapshot and makes it the latest one.

        :param state: must not change during the call.
        :returns: false when a snapshot that is as new was received meanwhile.
        """
        await self._disk.remove(_TEMPORARY_NAME)
        salt, header = encode_file_header()
        await self._disk.append(_TEMPORARY_NAME, header)
        size = len(header)
        for payload in _encode_payloads(state):
            record = encode_record(salt, payload)
            await self._disk.append(_TEMPORARY_NAME, record)
            size += len(record)
        async with self._lock:
            if state.index <= self.index:
                return False
            await self._publish(_TEMPORARY_NAME, state, size)
        return True

    async def read_bytes(self) -> tuple[int, int, bytes]:
        """Reads the file of the latest snapshot to send it to another replica.

        :returns: index, term and the bytes of the file.
        :raises CorruptLogError: when the file is damaged.
        """
        async with self._lock:
            name = _create_name(self.index)
            data = await self._disk.read(name)
            parse_records(name, data, may_be_torn=False)
            return self.index, self.term, data

    async def receive(
        self, key: tuple[str, int, int], offset: int, size: int, data: bytes
    ) -> tuple[int, ReplicatedState | None]:
        """Stores a chunk of another replica's snapshot.

        A chunk at another offset than the expected one is ignored. A chunk of
        another snapshot discards the one that is being received.

        :param key: leader, index and term, which identify the snapshot.
        :param offset: position of the chunk, bytes.
        :param size: size of the whole snapshot, bytes.
        :returns: the next expected offset, and the state once the snapshot is
            complete and durable.
        :raises FrameError: when the complete file is not a valid snapshot.
        """
        async with self._lock:
            if key != self._incoming_key:
                await self._disk.remove(_INCOMING_NAME)
                self._incoming_key, self._incoming_bytes = key, 0
            if offset == self._incoming_bytes:
                await self._disk.append(_INCOMING_NAME, data)
                self._incoming_bytes += len(data)
            if self._incoming_bytes < size:
                return self._incoming_bytes, None
            self._incoming_key = None
            if key[1] <= self.index:
                return size, None
            return size, await self._complete_incoming(key)

    async def _complete_incoming(
        self, key: tuple[str, int, int]
    ) -> ReplicatedState | None:
        try:
            state, size = await self._read(_INCOMING_NAME)
        except CorruptLogError as error:
            raise FrameError(
                f"the snapshot from replica {key[0]} is damaged"
            ) from error
        if (state.index, state.term) != key[1:]:
            raise FrameError(
                f"the snapshot from replica {key[0]} does not have the announced "
                "index and term"
            )
        await self._publish(_INCOMING_NAME, state, size)
        return state

    async def _publish(self, name: str, state: ReplicatedState, size: int) -> None:
        await self._disk.sync(name)
        await self._disk.rename(name, _create_name(state.index))
        await self._disk.sync_folder()
        previous = _create_name(self.index)
        self._set_latest(state, size)
        await self._remove_old([previous])

    async def _remove_old(self, names: list[str]) -> None:
        for name in names:
            await self._disk.remove(name)

    def _set_latest(self, state: ReplicatedState, size: int) -> None:
        self.index, self.term, self.size = state.index, state.term, size

    async def _read(self, name: str) -> tuple[ReplicatedState, int]:
        data = await self._disk.read(name)
        content = parse_records(name, data, may_be_torn=False)
        try:
            state = await _decode_state(content.payloads)
        except (FrameError, struct.error, IndexError) as error:
            raise create_corrupt_log_error(name, len(data)) from error
        return state, len(data)


def _create_name(index: int) -> str:
    return f"{_SNAPSHOT_PREFIX}{index:020d}"


def _encode_payloads(state: ReplicatedState) -> Iterator[bytes]:
    yield _HEADER.pack(state.index, state.term)
    buffer = bytearray()
    count = 0
    for kind, value in state.list_items():
        item = codec.encode_snapshot_item(kind, value)
        buffer += _ITEM_SIZE.pack(len(item)) + item
        count += 1
        if len(buffer) >= _TARGET_RECORD_BYTES:
            yield bytes(buffer)
            buffer.clear()
    if buffer:
        yield bytes(buffer)
    yield _FOOTER.pack(_FOOTER_MAGIC, count)


async def _decode_state(payloads: tuple[bytes, ...]) -> ReplicatedState:
    state = create_state(*_HEADER.unpack(payloads[0]))
    count = 0
    for payload in payloads[1:-1]:
        await trio.lowlevel.checkpoint()
        position = 0
        while position < len(payload):
            (size,) = _ITEM_SIZE.unpack_from(payload, position)
            start = position + _ITEM_SIZE.size
            position = start + size
            state.load_item(*codec.decode_snapshot_item(payload[start:position]))
            count += 1
    if _FOOTER.unpack(payloads[-1]) != (_FOOTER_MAGIC, count):
        raise FrameError("the snapshot is incomplete")
    return state


def create_snapshot_store(disk: Disk) -> SnapshotStore:
    """Creates the snapshot store of a data folder, without reading the folder."""
    return SnapshotStore(disk)
