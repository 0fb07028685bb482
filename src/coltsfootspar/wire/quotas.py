"""Encoding of the messages that pass tokens of organisations."""

import math
from typing import Any

import capnp

from coltsfootspar.exceptions import FrameError
from coltsfootspar.quotas.messages import (
    Grant,
    RefillReply,
    RefillRequest,
    TokenAsk,
    TokenReply,
    TokenRequest,
)
from coltsfootspar.wire.frames import FrameKind, Message
from coltsfootspar.wire.schemas import (
    create_struct,
    decode_struct,
    fill_list,
    load_schema,
)

__all__ = [
    "MAX_RETRY_SECONDS",
    "decode_refill_reply",
    "decode_refill_request",
    "decode_token_reply",
    "decode_token_request",
    "encode_refill_reply",
    "encode_refill_request",
    "encode_token_reply",
    "encode_token_request",
]

# Delays of refused requests are shortened to this.
MAX_RETRY_SECONDS = 86_400.0
_MS_PER_SECOND = 1e3
_schema = load_schema("quotas")


def encode_token_request(request: TokenRequest) -> Message:
    """Encodes the request of a node."""
    struct = create_struct(_schema.TokenRequest, number=request.number)
    fill_list(struct, "asks", request.asks, _fill_ask)
    return Message(FrameKind.REQUEST_TOKENS, struct.to_bytes())


def decode_token_request(message: Message) -> TokenRequest:
    """Decodes the request of a node.

    :raises FrameError: when the payload is not valid.
    """
    struct = _decode(_schema.TokenRequest, message, FrameKind.REQUEST_TOKENS)
    return TokenRequest(_read_asks(struct), struct.number)


def encode_token_reply(reply: TokenReply) -> Message:
    """Encodes the reply to a node."""
    struct = create_struct(
        _schema.TokenReply,
        isAvailable=reply.is_available,
        # Rounded down, so that no token outlives its lifetime.
        lifetimeMilliseconds=int(reply.lifetime * _MS_PER_SECOND),
        number=reply.number,
    )
    fill_list(struct, "grants", reply.grants, _fill_grant)
    return Message(FrameKind.TOKENS, struct.to_bytes())


def decode_token_reply(message: Message) -> TokenReply:
    """Decodes the reply to a node.

    :raises FrameError: when the payload is not valid.
    """
    struct = _decode(_schema.TokenReply, message, FrameKind.TOKENS)
    lifetime = struct.lifetimeMilliseconds / _MS_PER_SECOND
    return TokenReply(struct.isAvailable, lifetime, _read_grants(struct), struct.number)


def encode_refill_request(request: RefillRequest) -> Message:
    """Encodes the request of a lender."""
    struct = create_struct(
        _schema.RefillRequest,
        term=request.term,
        echo=request.echo,
        hasShare=request.has_share,
    )
    fill_list(struct, "asks", request.asks, _fill_ask)
    return Message(FrameKind.REFILL_TOKENS, struct.to_bytes())


def decode_refill_request(message: Message) -> RefillRequest:
    """Decodes the request of a lender.

    :raises FrameError: when the payload is not valid.
    """
    struct = _decode(_schema.RefillRequest, message, FrameKind.REFILL_TOKENS)
    return RefillRequest(struct.term, struct.echo, struct.hasShare, _read_asks(struct))


def encode_refill_reply(reply: RefillReply) -> Message:
    """Encodes the reply to a lender."""
    struct = create_struct(_schema.RefillReply, stamp=reply.stamp)
    fill_list(struct, "grants", reply.grants, _fill_grant)
    return Message(FrameKind.REFILL, struct.to_bytes())


def decode_refill_reply(message: Message) -> RefillReply:
    """Decodes the reply to a lender.

    :raises FrameError: when the payload is not valid.
    """
    struct = _decode(_schema.RefillReply, message, FrameKind.REFILL)
    return RefillReply(struct.stamp, _read_grants(struct))


def _decode(schema: Any, message: Message, kind: FrameKind) -> Any:
    if message.kind is not kind:
        raise FrameError(f"message of kind {message.kind.name}, not {kind.name}")
    return decode_struct(schema, message.payload)


def _fill_ask(builder: Any, ask: TokenAsk) -> None:
    builder.organisation = ask.organisation
    builder.count = ask.count
    builder.spare = ask.spare


def _read_asks(struct: Any) -> tuple[TokenAsk, ...]:
    try:
        return tuple(
            TokenAsk(ask.organisation, ask.count, ask.spare) for ask in struct.asks
        )
    except capnp.KjException as error:
        raise FrameError("list of tokens asked for is malformed") from error


def _fill_grant(builder: Any, grant: Grant) -> None:
    builder.organisation = grant.organisation
    builder.count = grant.count
    builder.refused = grant.refused
    retry_after = min(grant.retry_after, MAX_RETRY_SECONDS)
    builder.retryMilliseconds = math.ceil(retry_after * _MS_PER_SECOND)


def _read_grants(struct: Any) -> tuple[Grant, ...]:
    try:
        return tuple(
            Grant(
                grant.organisation,
                grant.count,
                grant.refused,
                grant.retryMilliseconds / _MS_PER_SECOND,
            )
            for grant in struct.grants
        )
    except capnp.KjException as error:
        raise FrameError("list of granted tokens is malformed") from error
