"""Encoding of calls and replies."""

import capnp
import trio

from coltsfootspar.calls import (
    CallContext,
    CallReply,
    CallRequest,
    Outcome,
    OverloadSignal,
    Priority,
    Refusal,
)
from coltsfootspar.exceptions import FrameError
from coltsfootspar.wire.frames import FrameKind, Message
from coltsfootspar.wire.schemas import add_structs, decode_struct, load_schema

__all__ = ["decode_call", "decode_reply", "encode_call", "encode_reply"]

_schema = load_schema("calls")


def encode_call(request: CallRequest) -> Message:
    """Encodes a call; the deadline travels as remaining time.

    Clocks of two processes are not comparable, a remaining time is.
    """
    context = request.context
    call = _schema.Call.new_message()
    # Setting fields one by one takes a quarter of the time of a dict.
    call.service = request.service
    call.method = request.method
    call.path = request.path
    call.attempt = request.attempt
    call.isSpilled = request.is_spilled
    call.traceId = context.trace_id
    call.parentSpanId = context.parent_span_id
    call.remainingMicroseconds = max(0, int(context.compute_remaining() * 1e6))
    call.importance = context.priority.importance
    call.bucket = context.priority.bucket
    call.allowance = context.allowance
    call.depth = context.depth
    call.isClientRetry = context.is_client_retry
    call.rowKey = context.row_key
    call.entryId = context.entry_id
    _write_headers(call, request.headers)
    if context.idempotency_key is not None:
        call.idempotencyKey = context.idempotency_key
    return Message(FrameKind.CALL, call.to_bytes(), request.body)


def decode_call(message: Message) -> CallRequest:
    """Decodes a call.

    :raises FrameError: when the payload is not valid.
    """
    call = decode_struct(_schema.Call, message.payload)
    try:
        context = CallContext(
            trace_id=call.traceId,
            parent_span_id=call.parentSpanId,
            deadline=trio.current_time() + call.remainingMicroseconds / 1e6,
            priority=Priority(call.importance, call.bucket),
            allowance=call.allowance,
            depth=call.depth,
            is_client_retry=call.isClientRetry,
            idempotency_key=call.idempotencyKey or None,
            row_key=call.rowKey,
            entry_id=call.entryId,
        )
        return CallRequest(
            service=call.service,
            method=call.method,
            path=call.path,
            headers=_read_headers(call.headers),
            body=message.body,
            context=context,
            attempt=call.attempt,
            is_spilled=call.isSpilled,
        )
    except (capnp.KjException, UnicodeDecodeError) as error:
        raise FrameError("call has a malformed field") from error


def encode_reply(reply: CallReply) -> Message:
    """Encodes a reply."""
    message = _schema.Reply.new_message()
    message.status = reply.status
    message.outcome = reply.outcome.value
    message.unusedAllowance = reply.unused_allowance
    message.serviceMicroseconds = int(reply.service_seconds * 1e6)
    _write_headers(message, reply.headers)
    if reply.signals:
        signals = [_write_signal(signal) for signal in reply.signals]
        add_structs(message, "signals", signals)
    if reply.reached:
        message.reached = list(reply.reached)
    if reply.refusal is not None:
        message.refusalCode = reply.refusal.code
        message.retryAfterMilliseconds = int(reply.refusal.retry_after * 1e3)
        message.isRefusedBelow = reply.refusal.below
    return Message(FrameKind.CALL_REPLY, message.to_bytes(), reply.body)


def decode_reply(message: Message) -> CallReply:
    """Decodes a reply.

    :raises FrameError: when the payload is not valid.
    """
    reply = decode_struct(_schema.Reply, message.payload)
    try:
        refusal = None
        if reply.refusalCode:
            refusal = Refusal(
                reply.refusalCode,
                reply.retryAfterMilliseconds / 1e3,
                reply.isRefusedBelow,
            )
        return CallReply(
            status=reply.status,
            headers=_read_headers(reply.headers),
            body=message.body,
            outcome=Outcome(reply.outcome),
            refusal=refusal,
            unused_allowance=reply.unusedAllowance,
            signals=tuple(_read_signal(signal) for signal in reply.signals),
            reached=tuple(reply.reached),
            service_seconds=reply.serviceMicroseconds / 1e6,
        )
    except (capnp.KjException, UnicodeDecodeError, ValueError) as error:
        raise FrameError("reply has a malformed field") from error


def _write_headers(message, headers: tuple[tuple[bytes, bytes], ...]) -> None:
    entries = message.init("headers", len(headers))
    for entry, (name, value) in zip(entries, headers, strict=True):
        entry.name = name
        entry.value = value


def _read_headers(headers) -> tuple[tuple[bytes, bytes], ...]:
    return tuple((bytes(header.name), bytes(header.value)) for header in headers)


def _write_signal(signal: OverloadSignal) -> dict:
    return {
        "service": signal.service,
        "importance": signal.threshold.importance,
        "bucket": signal.threshold.bucket,
        "expiresMilliseconds": max(0, int(signal.expires_after * 1e3)),
    }


def _read_signal(signal) -> OverloadSignal:
    threshold = Priority(signal.importance, signal.bucket)
    return OverloadSignal(signal.service, threshold, signal.expiresMilliseconds / 1e3)
