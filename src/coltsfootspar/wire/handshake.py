"""Handshake that proves the shared key and selects the protocol version."""

import hashlib
import hmac
import secrets

import attrs
import trio

from coltsfootspar.exceptions import FrameError, HandshakeError
from coltsfootspar.wire.frames import (
    Frame,
    FrameDecoder,
    FrameFlag,
    FrameKind,
    encode_frame,
)
from coltsfootspar.wire.schemas import create_struct, decode_struct, load_schema

__all__ = [
    "HANDSHAKE_TIMEOUT",
    "Identity",
    "Peer",
    "PROTOCOL_VERSIONS",
    "shake_hands",
]

HANDSHAKE_TIMEOUT = 3.0
PROTOCOL_VERSIONS = (1, 1)
_NONCE_BYTES = 16
_RECEIVE_BYTES = 4096
_HANDSHAKE_FAILURES = (
    FrameError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
_schema = load_schema("wire")


@attrs.frozen
class Identity:
    """What a process says of itself.

    :param process_id: id of the node, replica or client.
    :param role: ``node``, ``replica`` or ``client``.
    :param shared_key: secret of the deployment.
    :param versions: lowest and highest protocol version that it speaks.
    """

    deployment: str
    process_id: str
    role: str
    shared_key: bytes = attrs.field(repr=False)
    versions: tuple[int, int] = PROTOCOL_VERSIONS


@attrs.frozen
class Peer:
    """The other end of a connection after the handshake."""

    process_id: str
    role: str
    version: int


async def shake_hands(
    stream: trio.abc.Stream,
    identity: Identity,
    decoder: FrameDecoder,
    *,
    is_dialer: bool,
) -> Peer:
    """Exchanges Hello and the proof of the shared key in both directions.

    :param decoder: keeps the bytes that follow the handshake.
    :raises HandshakeError: when the peer is not of this deployment, does not
        prove the key, shares no version or does not answer in time.
    """
    with trio.move_on_after(HANDSHAKE_TIMEOUT):
        try:
            return await _exchange(stream, identity, decoder, is_dialer=is_dialer)
        except _HANDSHAKE_FAILURES as error:
            raise HandshakeError(f"handshake failed: {error}") from error
    raise HandshakeError(f"no handshake within {HANDSHAKE_TIMEOUT:g} s")


async def _exchange(
    stream: trio.abc.Stream,
    identity: Identity,
    decoder: FrameDecoder,
    *,
    is_dialer: bool,
) -> Peer:
    own = _encode_hello(identity)
    await stream.send_all(encode_frame(FrameKind.HELLO, FrameFlag.NONE, 0, own))
    theirs = (await _receive(stream, decoder, FrameKind.HELLO)).payload
    hello = decode_struct(_schema.Hello, theirs)
    if hello.deployment != identity.deployment:
        raise HandshakeError(f"peer is of deployment {hello.deployment!r}")
    version = _select_version(identity.versions, hello)
    dialer, listener = (own, theirs) if is_dialer else (theirs, own)
    transcript = dialer + listener
    proof = _sign(identity, b"dialer" if is_dialer else b"listener", transcript)
    await stream.send_all(encode_frame(FrameKind.AUTH, FrameFlag.NONE, 0, proof))
    received = (await _receive(stream, decoder, FrameKind.AUTH)).payload
    expected = _sign(identity, b"listener" if is_dialer else b"dialer", transcript)
    if not hmac.compare_digest(received, expected):
        raise HandshakeError("peer does not have the shared key")
    return Peer(hello.processId, hello.role, version)


def _encode_hello(identity: Identity) -> bytes:
    return create_struct(
        _schema.Hello,
        deployment=identity.deployment,
        minimumVersion=identity.versions[0],
        maximumVersion=identity.versions[1],
        processId=identity.process_id,
        role=identity.role,
        nonce=secrets.token_bytes(_NONCE_BYTES),
    ).to_bytes()


def _select_version(own: tuple[int, int], hello) -> int:
    lowest = max(own[0], hello.minimumVersion)
    highest = min(own[1], hello.maximumVersion)
    if lowest > highest:
        raise HandshakeError(
            f"peer speaks protocol versions {hello.minimumVersion} to "
            f"{hello.maximumVersion}, this process {own[0]} to {own[1]}"
        )
    return highest


def _sign(identity: Identity, side: bytes, transcript: bytes) -> bytes:
    return hmac.digest(identity.shared_key, side + transcript, hashlib.sha256)


async def _receive(
    stream: trio.abc.Stream, decoder: FrameDecoder, kind: FrameKind
) -> Frame:
    while (frame := decoder.take_frame()) is None:
        data = await stream.receive_some(_RECEIVE_BYTES)
        if not data:
            raise HandshakeError("peer closed the connection during the handshake")
        decoder.feed(data)
    if frame.kind is not kind:
        raise HandshakeError(f"peer sent {frame.kind.name} in place of {kind.name}")
    return frame
