"""Encoding of claim keys, request fingerprints and stored replies."""

import hashlib
import struct

import attrs

from coltsfootspar.calls import CallReply, CallRequest, Outcome
from coltsfootspar.exceptions import FrameError
from coltsfootspar.wire import FrameKind, Message, decode_reply, encode_reply

__all__ = [
    "compute_fingerprint",
    "create_claim_key",
    "decode_stored_reply",
    "encode_stored_reply",
]

_LENGTH_PREFIX = struct.Struct(">I")
_FINGERPRINT_BYTES = 16
_KEY_DIGEST_BYTES = 32
_MAX_PLAIN_KEY_CHARACTERS = 128


def encode_stored_reply(reply: CallReply) -> bytes:
    """Encodes the reply that later requests with the same key receive.

    Status, headers and body are stored; overload signals and the unused allowance
    apply only to the original call.
    """
    stored = CallReply(reply.status, reply.headers, reply.body, Outcome.RAN)
    message = encode_reply(stored)
    return _LENGTH_PREFIX.pack(len(message.payload)) + message.payload + message.body


def decode_stored_reply(data: bytes, allowance: int) -> CallReply:
    """Decodes a stored reply.

    :param allowance: retry allowance of the request that receives the reply; it is
        returned unspent, because that request is not sent to a backend server.
    :raises FrameError: when the data is not a valid reply.
    """
    if len(data) < _LENGTH_PREFIX.size:
        raise FrameError("stored reply is truncated")
    (payload_bytes,) = _LENGTH_PREFIX.unpack_from(data)
    body_offset = _LENGTH_PREFIX.size + payload_bytes
    payload = data[_LENGTH_PREFIX.size : body_offset]
    reply = decode_reply(Message(FrameKind.CALL_REPLY, payload, data[body_offset:]))
    return attrs.evolve(reply, unused_allowance=allowance)


def create_claim_key(service: str, idempotency_key: str) -> str:
    """Builds the key of a claim from the service and the idempotency key.

    A long idempotency key is replaced by its hash, because every replica holds
    all retained keys in memory.
    """
    if len(idempotency_key) > _MAX_PLAIN_KEY_CHARACTERS:
        digest = hashlib.blake2b(
            idempotency_key.encode(), digest_size=_KEY_DIGEST_BYTES
        )
        return f"{service}/hash/{digest.hexdigest()}"
    return f"{service}/key/{idempotency_key}"


def compute_fingerprint(request: CallRequest) -> bytes:
    """Computes a hash of method, path and body of a request.

    It reveals a key that is reused for a different request.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(_LENGTH_PREFIX.pack(len(part)))
        digest.update(part)
    return digest.digest()
