"""Answers as they are kept with a finished claim."""

import hashlib
import struct

import attrs

from coltsfootspar.calls import CallReply, CallRequest, Outcome
from coltsfootspar.exceptions import FrameError
from coltsfootspar.wire import FrameKind, Message, decode_reply, encode_reply

__all__ = ["compute_fingerprint", "create_key", "decode_answer", "encode_answer"]

_LENGTH = struct.Struct(">I")
_FINGERPRINT_BYTES = 16
_KEY_BYTES = 32
_MAX_KEY_CHARACTERS = 128


def encode_answer(reply: CallReply) -> bytes:
    """Encodes what a later request with the key gets: the answer itself."""
    bare = CallReply(reply.status, reply.headers, reply.body, Outcome.RAN)
    message = encode_reply(bare)
    return _LENGTH.pack(len(message.payload)) + message.payload + message.body


def decode_answer(data: bytes, allowance: int) -> CallReply:
    """Decodes a kept answer.

    :param allowance: retries of the request that gets it; none were spent.
    :raises FrameError: when the data is not an answer.
    """
    if len(data) < _LENGTH.size:
        raise FrameError("kept answer is cut short")
    (size,) = _LENGTH.unpack_from(data)
    end = _LENGTH.size + size
    payload = data[_LENGTH.size : end]
    reply = decode_reply(Message(FrameKind.CALL_REPLY, payload, data[end:]))
    return attrs.evolve(reply, unused_allowance=allowance)


def create_key(service: str, idempotency_key: str) -> str:
    """Creates the key of a claim; a long idempotency key is hashed.

    Each kept key takes memory on all replicas.
    """
    if len(idempotency_key) > _MAX_KEY_CHARACTERS:
        digest = hashlib.blake2b(idempotency_key.encode(), digest_size=_KEY_BYTES)
        return f"{service}/hash/{digest.hexdigest()}"
    return f"{service}/key/{idempotency_key}"


def compute_fingerprint(request: CallRequest) -> bytes:
    """Hashes what a request asks for: method, path and body."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(_LENGTH.pack(len(part)))
        digest.update(part)
    return digest.digest()
