"""Calls must arrive as they were sent; malformed ones must not pass."""

import contextlib

import pytest
import trio
from hypothesis import given, settings, strategies as st

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
from coltsfootspar.wire import (
    FrameKind,
    Message,
    decode_call,
    decode_reply,
    encode_call,
    encode_reply,
)


async def test_call_round_trip(autojump_clock):
    context = CallContext(
        "a" * 32, "b" * 16, trio.current_time() + 2, Priority(3, 100), 2, 4, True, "key"
    )
    request = CallRequest(
        "specs", "GET", "/x", ((b"a", b"b"),), b"body", context, 2, True
    )
    decoded = decode_call(encode_call(request))
    assert decoded.context.compute_remaining() == pytest.approx(2, abs=1e-5)
    assert (decoded.headers, decoded.body, decoded.attempt, decoded.is_spilled) == (
        request.headers,
        request.body,
        2,
        True,
    )
    assert decoded.context.idempotency_key == "key"
    assert decoded.context.priority == context.priority


def test_reply_round_trip():
    reply = CallReply(
        503,
        ((b"a", b"b"),),
        b"",
        Outcome.NOT_RUN,
        Refusal("overload", 0.25, True),
        2,
        (OverloadSignal("specs", Priority(4, 17), 0.5),),
        ("specs", "uploads"),
        0.125,
    )
    assert decode_reply(encode_reply(reply)) == reply


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_random_payload_is_an_error_and_nothing_else(payload):
    with contextlib.suppress(FrameError):
        decode_reply(Message(FrameKind.CALL_REPLY, payload))
