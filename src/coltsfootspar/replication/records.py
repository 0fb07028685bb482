"""Files of checksummed records.

A file begins with a magic number, a random salt and their CRC32C. Each record
has a marker, its length, a CRC32C over salt, length and payload, and the payload.
Because of the salt, a payload that happens to contain the bytes of a record is not
mistaken for one.

A record is written and synced before the next one. An invalid record is
therefore a torn write when no valid record follows it, and damage when one does.
"""

import os
import struct

import attrs
import crc32c

from coltsfootspar.exceptions import CorruptLogError
from coltsfootspar.replication.interfaces import Disk

__all__ = [
    "FILE_HEADER_BYTES",
    "RECOVERY_ADVICE",
    "RecordFile",
    "RecordReader",
    "create_corrupt_log_error",
    "encode_file_header",
    "encode_record",
    "open_records",
    "parse_records",
]

_MAGIC = b"CFSR0001"
_MARKER = b"\xc5rec"
_SALT_BYTES = 8
_HEADER = struct.Struct(">4sII")
_CRC = struct.Struct(">I")
RECOVERY_ADVICE = (
    "move the data folder away and start the replica with an empty one, so that it "
    "gets the state from the other replicas; if there are none, restore the folder "
    "from a backup"
)
FILE_HEADER_BYTES = len(_MAGIC) + _SALT_BYTES + _CRC.size
_READ_BLOCK_BYTES = 256 << 10


@attrs.frozen
class RecordFile:
    """Content of a file of records.

    :param salt: empty when the file header is incomplete.
    :param payloads: payloads of the valid records.
    :param offsets: position of each of these records, bytes.
    :param valid_bytes: end of the last valid record, bytes.
    """

    salt: bytes
    payloads: tuple[bytes, ...]
    offsets: tuple[int, ...]
    valid_bytes: int


def encode_file_header() -> tuple[bytes, bytes]:
    """Creates the header of a new file.

    :returns: the salt and the header.
    """
    salt = os.urandom(_SALT_BYTES)
    start = _MAGIC + salt
    return salt, start + _CRC.pack(crc32c.crc32c(start))


def encode_record(salt: bytes, payload: bytes) -> bytes:
    """Encodes a record.

    :param salt: salt of the file.
    """
    size = len(payload)
    return _HEADER.pack(_MARKER, size, _compute_crc(salt, size, payload)) + payload


def parse_records(name: str, data: bytes, *, may_be_torn: bool) -> RecordFile:
    """Parses a file of records.

    :param name: file name for error messages.
    :param may_be_torn: true for the file that was written last, in which a torn
        record at the end is ignored.
    :raises CorruptLogError: when a record is damaged.
    """
    salt = _parse_file_header(data)
    if salt is None:
        if not may_be_torn or len(data) > FILE_HEADER_BYTES:
            raise create_corrupt_log_error(name, 0)
        return RecordFile(b"", (), (), 0)
    payloads, offsets = [], []
    position = FILE_HEADER_BYTES
    while position < len(data):
        payload = _parse_record(salt, data, position)
        if payload is None:
            if not may_be_torn or _has_valid_record_after(salt, data, position):
                raise create_corrupt_log_error(name, position)
            break
        payloads.append(payload)
        offsets.append(position)
        position += _HEADER.size + len(payload)
    return RecordFile(salt, tuple(payloads), tuple(offsets), position)


@attrs.define(eq=False)
class RecordReader:
    """Reads a file record by record, so that a long file needs little memory.

    :param salt: empty when the file header is incomplete.
    :param valid_bytes: end of the last valid record that was read, bytes.
    :param is_torn: true once a torn write at the end of the file was found.
    :param _buffer: bytes of the file that were read ahead.
    :param _start: position in the buffer of the first byte after ``valid_bytes``.
    """

    _disk: Disk
    _name: str
    _may_be_torn: bool
    salt: bytes = b""
    valid_bytes: int = 0
    is_torn: bool = False
    _buffer: bytes = b""
    _start: int = 0

    async def read_record(self) -> tuple[bytes, int] | None:
        """Reads the next record.

        :returns: its payload and position in bytes; None at the end of the file.
        :raises CorruptLogError: when the record is damaged.
        """
        if self.is_torn or not await self._fill(_HEADER.size):
            return None
        await self._fill(self._get_record_bytes())
        payload = _parse_record(self.salt, self._buffer, self._start)
        if payload is None:
            await self._check_torn()
            return None
        offset = self.valid_bytes
        self._consume(_HEADER.size + len(payload))
        return payload, offset

    async def read_header(self) -> None:
        """Reads the file header.

        :raises CorruptLogError: when it is damaged.
        """
        # One byte more shows whether something follows the header.
        size = await self._fill(FILE_HEADER_BYTES + 1)
        salt = _parse_file_header(self._buffer)
        if salt is not None:
            self.salt = salt
            self._consume(FILE_HEADER_BYTES)
        elif self._may_be_torn and size <= FILE_HEADER_BYTES:
            self.is_torn = True
        else:
            raise create_corrupt_log_error(self._name, 0)

    def _get_record_bytes(self) -> int:
        """Returns the size that the next record claims, or that of its header."""
        if len(self._buffer) - self._start < _HEADER.size:
            return _HEADER.size
        marker, size, _ = _HEADER.unpack_from(self._buffer, self._start)
        return _HEADER.size + (size if marker == _MARKER else 0)

    async def _check_torn(self) -> None:
        rest = await self._disk.read_range(self._name, self.valid_bytes)
        if not self._may_be_torn or _has_valid_record_after(self.salt, rest, 0):
            raise create_corrupt_log_error(self._name, self.valid_bytes)
        self.is_torn = True

    async def _fill(self, size: int) -> int:
        """Reads ahead until the buffer has a number of unread bytes.

        :returns: the number of unread bytes, fewer than wanted at the end of the
            file.
        """
        unread = len(self._buffer) - self._start
        if unread < size:
            block = await self._disk.read_range(
                self._name,
                self.valid_bytes + unread,
                max(size - unread, _READ_BLOCK_BYTES),
            )
            self._buffer = self._buffer[self._start :] + block
            self._start = 0
        return len(self._buffer) - self._start

    def _consume(self, size: int) -> None:
        self._start += size
        self.valid_bytes += size


async def open_records(disk: Disk, name: str, *, may_be_torn: bool) -> RecordReader:
    """Opens a file of records for reading.

    :param may_be_torn: true for the file that was written last, in which a torn
        record at the end is ignored.
    :raises CorruptLogError: when the file header is damaged.
    """
    reader = RecordReader(disk, name, may_be_torn)
    await reader.read_header()
    return reader


def create_corrupt_log_error(name: str, offset: int) -> CorruptLogError:
    """Creates the error for a damaged record.

    :param name: file that contains the record.
    :param offset: position of the record, bytes.
    """
    message = f"{name}: the record at byte {offset} is damaged; {RECOVERY_ADVICE}"
    return CorruptLogError(message, path=name, offset=offset)


def _parse_file_header(data: bytes) -> bytes | None:
    if len(data) < FILE_HEADER_BYTES or not data.startswith(_MAGIC):
        return None
    start = data[: FILE_HEADER_BYTES - _CRC.size]
    (crc,) = _CRC.unpack_from(data, len(start))
    return start[len(_MAGIC) :] if crc == crc32c.crc32c(start) else None


def _parse_record(salt: bytes, data: bytes, position: int) -> bytes | None:
    start = position + _HEADER.size
    if start > len(data):
        return None
    marker, size, crc = _HEADER.unpack_from(data, position)
    if marker != _MARKER or start + size > len(data):
        return None
    payload = data[start : start + size]
    return payload if crc == _compute_crc(salt, size, payload) else None


def _has_valid_record_after(salt: bytes, data: bytes, position: int) -> bool:
    marker_position = data.find(_MARKER, position + 1)
    while marker_position != -1:
        if _parse_record(salt, data, marker_position) is not None:
            return True
        marker_position = data.find(_MARKER, marker_position + 1)
    return False


def _compute_crc(salt: bytes, size: int, payload: bytes) -> int:
    return crc32c.crc32c(payload, crc32c.crc32c(salt + size.to_bytes(4)))
