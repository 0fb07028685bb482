"""Messages that pass tokens of organisations."""

import pytest
from hypothesis import given, settings, strategies as st

from coltsfootspar.exceptions import FrameError
from coltsfootspar.quotas import (
    Grant,
    RefillReply,
    RefillRequest,
    TokenAsk,
    TokenReply,
    TokenRequest,
)
from coltsfootspar.wire import FrameKind, Message, quotas as codec

counts = st.integers(0, (1 << 32) - 1)
numbers = st.integers(0, (1 << 64) - 1)
asks = st.lists(st.builds(TokenAsk, numbers, counts, counts)).map(tuple)
seconds = st.integers(0, 40).map(lambda eighths: eighths / 8)
grants = st.lists(st.builds(Grant, numbers, counts, counts, seconds)).map(tuple)
stamps = st.floats(0, 1e9)
CASES = [
    (
        st.builds(TokenRequest, asks, counts),
        codec.encode_token_request,
        codec.decode_token_request,
    ),
    (
        st.builds(TokenReply, st.booleans(), seconds, grants, counts),
        codec.encode_token_reply,
        codec.decode_token_reply,
    ),
    (
        st.builds(RefillRequest, numbers, stamps, st.booleans(), asks),
        codec.encode_refill_request,
        codec.decode_refill_request,
    ),
    (
        st.builds(RefillReply, stamps, grants),
        codec.encode_refill_reply,
        codec.decode_refill_reply,
    ),
]


@pytest.mark.parametrize(("messages", "encode", "decode"), CASES)
@given(data=st.data())
@settings(max_examples=40, deadline=None, derandomize=True)
def test_messages_survive_the_wire(messages, encode, decode, data):
    message = data.draw(messages)
    assert decode(encode(message)) == message


@pytest.mark.parametrize("decode", [case[2] for case in CASES])
def test_malformed_message_is_an_error_of_the_peer(decode):
    """Guards against a garbled message that ends the process."""
    kinds = [FrameKind.REQUEST_TOKENS, FrameKind.TOKENS]
    kinds += [FrameKind.REFILL_TOKENS, FrameKind.REFILL]
    for kind in kinds:
        with pytest.raises(FrameError):
            decode(Message(kind, b"\x01garbled"))


def test_lifetime_is_never_rounded_up():
    """Guards against tokens that live longer on a node than the ledger counts."""
    message = codec.encode_token_reply(TokenReply(True, 0.4499))
    assert codec.decode_token_reply(message).lifetime <= 0.4499


@pytest.mark.parametrize("seconds", [1e9, float("inf")])
def test_long_delay_is_shortened(seconds):
    """Guards against an organisation with a very low rate that ends the lender."""
    reply = TokenReply(True, 0.1, (Grant(1, 0, 1, seconds),))
    decoded = codec.decode_token_reply(codec.encode_token_reply(reply))
    assert decoded.grants[0].retry_after == codec.MAX_RETRY_SECONDS
