"""Frames of the inner protocol on a byte stream.

A frame is a length (4 bytes, of all that follows), a kind (1 byte), flags
(1 byte), a correlation id (4 bytes) and a payload. A message is one frame, or
one frame with :attr:`FrameFlag.MORE` followed by body frames.
"""

import enum
import struct

import attrs

from coltsfootspar.exceptions import FrameError

__all__ = [
    "BODY_CHUNK_BYTES",
    "Frame",
    "FrameDecoder",
    "FrameFlag",
    "FrameKind",
    "MAX_FRAME_BYTES",
    "MAX_HANDSHAKE_FRAME_BYTES",
    "Message",
    "encode_frame",
]

MAX_FRAME_BYTES = 1 << 20
# Longest frame of a peer that has not proved the shared key.
MAX_HANDSHAKE_FRAME_BYTES = 4_096
BODY_CHUNK_BYTES = 64 << 10
_HEADER = struct.Struct(">IBBI")
_LENGTH_BYTES = 4
_FIXED_BYTES = _HEADER.size - _LENGTH_BYTES


class FrameKind(enum.IntEnum):
    """Kinds of frames and datagrams, in one range for each package."""

    HELLO = 1
    AUTH = 2
    PING = 3
    PONG = 4
    GOODBYE = 5
    ERROR = 6
    BODY = 7
    CANCEL = 8

    CALL = 16
    CALL_REPLY = 17
    LEAVING = 18
    FIND_SPANS = 19
    SPANS = 20

    PROBE = 32
    PROBE_ACK = 33
    INDIRECT_PROBE = 34
    UPDATES = 35
    DIGEST = 36

    PRE_VOTE = 48
    VOTE = 49
    VOTE_REPLY = 50
    APPEND = 51
    APPEND_REPLY = 52
    INSTALL_SNAPSHOT = 53
    INSTALL_SNAPSHOT_REPLY = 54
    CAMPAIGN = 55

    PROPOSE = 64
    PROPOSE_REPLY = 65
    READ_TABLE = 66
    TABLE = 67
    WATCH_TABLE = 68
    STATUS = 69
    STATUS_REPLY = 70
    HISTORY = 71
    HISTORY_REPLY = 72
    LOOK_UP_CLAIM = 73
    LOOK_UP_CLAIM_REPLY = 74
    WATCH_ROUTES = 75
    ROUTES = 76
    JOIN = 77
    JOIN_REPLY = 78
    NOTE_DEPARTURES = 79
    DEPARTURES = 80

    REQUEST_TOKENS = 96
    TOKENS = 97
    REFILL_TOKENS = 98
    REFILL = 99


class FrameFlag(enum.IntFlag):
    """Flags of a frame."""

    NONE = 0
    REPLY = 1
    MORE = 2


@attrs.frozen
class Frame:
    """One frame.

    :param correlation: joins a reply, and body frames, to their message.
    """

    kind: FrameKind
    flags: FrameFlag
    correlation: int
    payload: bytes


@attrs.frozen
class Message:
    """A payload of one kind with an optional body.

    :param payload: encoded struct of the kind.
    :param body: bytes that are sent in chunks, so that others are not delayed.
    """

    kind: FrameKind
    payload: bytes = b""
    body: bytes = b""


def encode_frame(
    kind: int, flags: int, correlation: int, payload: bytes = b""
) -> bytes:
    """Encodes a frame.

    :raises FrameError: when the payload is larger than a frame may be.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameError(f"payload of {len(payload)} bytes exceeds {MAX_FRAME_BYTES}")
    size = _FIXED_BYTES + len(payload)
    return _HEADER.pack(size, kind, flags, correlation) + payload


@attrs.define
class FrameDecoder:
    """Splits received bytes into frames.

    ::

        decoder.feed(data)
        while (frame := decoder.take_frame()) is not None:
            ...

    :param max_frame_bytes: longest payload that is accepted.
    """

    max_frame_bytes: int = MAX_FRAME_BYTES
    _buffer: bytearray = attrs.field(factory=bytearray)

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        self._buffer += data

    def take_frame(self) -> Frame | None:
        """Takes the next whole frame.

        :returns: the frame, or None until more bytes have come.
        :raises FrameError: when the length or the kind is not valid.
        """
        buffer = self._buffer
        if len(buffer) < _LENGTH_BYTES:
            return None
        size = int.from_bytes(buffer[:_LENGTH_BYTES])
        if not _FIXED_BYTES <= size <= self.max_frame_bytes + _FIXED_BYTES:
            raise FrameError(f"frame length of {size} bytes is not allowed")
        end = _LENGTH_BYTES + size
        if len(buffer) < end:
            return None
        _, kind, flags, correlation = _HEADER.unpack_from(buffer)
        payload = bytes(buffer[_HEADER.size : end])
        del buffer[:end]
        try:
            return Frame(FrameKind(kind), FrameFlag(flags), correlation, payload)
        except ValueError as error:
            raise FrameError(f"frame kind {kind} is not known") from error
