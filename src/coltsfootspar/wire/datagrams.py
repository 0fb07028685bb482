"""Datagrams that carry a proof of the shared key."""

import hashlib
import hmac

from coltsfootspar.exceptions import FrameError
from coltsfootspar.wire.frames import FrameKind, Message

__all__ = ["MAX_DATAGRAM_BYTES", "open_datagram", "seal_datagram"]

# Below the usual MTU of 1,500 bytes with room for IP and UDP headers, since the
# loss of one fragment loses the whole datagram.
MAX_DATAGRAM_BYTES = 1400
_VERSION = 1
_TAG_BYTES = 16
_HEADER_BYTES = 2


def seal_datagram(message: Message, shared_key: bytes) -> bytes:
    """Encodes a message as a datagram.

    :param message: message without a body.
    :raises FrameError: when it does not fit.
    """
    content = bytes((_VERSION, message.kind)) + message.payload
    tag = hmac.digest(shared_key, content, hashlib.sha256)[:_TAG_BYTES]
    data = tag + content
    if len(data) > MAX_DATAGRAM_BYTES:
        raise FrameError(f"datagram of {len(data)} bytes exceeds {MAX_DATAGRAM_BYTES}")
    return data


def open_datagram(data: bytes, shared_key: bytes) -> Message:
    """Checks and decodes a datagram.

    :raises FrameError: when it is malformed or lacks the proof of the key.
    """
    if not _TAG_BYTES + _HEADER_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        raise FrameError(f"datagram of {len(data)} bytes is not allowed")
    tag, content = data[:_TAG_BYTES], data[_TAG_BYTES:]
    expected = hmac.digest(shared_key, content, hashlib.sha256)[:_TAG_BYTES]
    if not hmac.compare_digest(tag, expected):
        raise FrameError("datagram does not prove the shared key")
    if content[0] != _VERSION:
        raise FrameError(f"datagram version {content[0]} is not known")
    try:
        return Message(FrameKind(content[1]), content[_HEADER_BYTES:])
    except ValueError as error:
        raise FrameError(f"datagram kind {content[1]} is not known") from error
