"""Internal protocol between the processes of a deployment."""

from coltsfootspar.wire.addresses import Address, parse_address
from coltsfootspar.wire.calls import (
    decode_call,
    decode_reply,
    encode_call,
    encode_reply,
)
from coltsfootspar.wire.connection import (
    Connection,
    ConnectionLimits,
    Handler,
    NoticeHandler,
    create_connection,
)
from coltsfootspar.wire.datagrams import (
    MAX_DATAGRAM_BYTES,
    open_datagram,
    seal_datagram,
)
from coltsfootspar.wire.frames import (
    MAX_FRAME_BYTES,
    FrameKind,
    Message,
)
from coltsfootspar.wire.handshake import Identity, Peer

__all__ = [
    "Address",
    "Connection",
    "ConnectionLimits",
    "FrameKind",
    "Handler",
    "Identity",
    "MAX_DATAGRAM_BYTES",
    "MAX_FRAME_BYTES",
    "Message",
    "NoticeHandler",
    "Peer",
    "create_connection",
    "decode_call",
    "decode_reply",
    "encode_call",
    "encode_reply",
    "open_datagram",
    "parse_address",
    "seal_datagram",
]
