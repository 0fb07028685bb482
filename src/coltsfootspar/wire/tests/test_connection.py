"""Connections must pair replies, survive bad input and notice silence."""

import contextlib

import pytest
import trio
import trio.testing

from coltsfootspar.exceptions import FrameError, HandshakeError, LinkError
from coltsfootspar.wire import (
    Connection,
    FrameKind,
    Identity,
    Message,
    create_connection,
    open_datagram,
    seal_datagram,
)
from coltsfootspar.wire.frames import MAX_FRAME_BYTES, FrameDecoder, encode_frame

NODE_A = Identity("test", "a", "node", b"key")
NODE_B = Identity("test", "b", "node", b"key")


async def echo_slowly(message, peer):
    await trio.sleep(float(message.payload or b"0"))
    return Message(FrameKind.CALL_REPLY, message.payload, message.body)


@contextlib.asynccontextmanager
async def open_pair(handler=echo_slowly, own=NODE_A, other=NODE_B):
    left, right = trio.testing.memory_stream_pair()
    ends = {}

    async def connect(name, stream, identity, is_dialer):
        ends[name] = await create_connection(
            stream,
            identity,
            is_dialer=is_dialer,
            handler=None if is_dialer else handler,
        )

    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as setup:
            setup.start_soon(connect, "dialer", left, own, True)
            setup.start_soon(connect, "listener", right, other, False)
        nursery.start_soon(ends["dialer"].run)
        nursery.start_soon(ends["listener"].run)
        yield ends["dialer"], ends["listener"], (left, right)
        nursery.cancel_scope.cancel()


async def test_replies_out_of_order_reach_their_own_requests(autojump_clock):
    async with open_pair() as (dialer, _, _):
        replies = {}

        async def ask(delay):
            reply = await dialer.request(Message(FrameKind.CALL, delay, delay * 3))
            replies[delay] = reply.body

        async with trio.open_nursery() as nursery:
            for delay in (b"0.9", b"0.1", b"0.5"):
                nursery.start_soon(ask, delay)
    assert replies == {delay: delay * 3 for delay in (b"0.9", b"0.1", b"0.5")}


async def test_large_body_arrives_byte_for_byte(autojump_clock):
    body = bytes(range(256)) * 8192
    async with open_pair() as (dialer, _, _):
        reply = await dialer.request(Message(FrameKind.CALL, b"0", body))
    assert reply.body == body


async def test_silent_connection_ends_its_requests_within_two_seconds(autojump_clock):
    async with open_pair() as (dialer, _, (left, _)):
        left.send_stream.send_all_hook = None
        left.send_stream.close_hook = None

        async def swallow(data):
            await trio.lowlevel.checkpoint()

        dialer._stream.send_all = swallow
        start = trio.current_time()
        with pytest.raises(LinkError) as caught:
            await dialer.request(Message(FrameKind.CALL, b"60"))
        assert trio.current_time() - start <= 2.0
    assert caught.value.may_have_run


async def test_idle_silent_connection_is_closed(autojump_clock):
    async with open_pair() as (dialer, _, _):

        async def swallow(data):
            await trio.lowlevel.checkpoint()

        dialer._stream.send_all = swallow
        await trio.sleep(8)
        assert dialer.is_closed
        with pytest.raises(LinkError) as caught:
            await dialer.request(Message(FrameKind.CALL, b"0"))
    assert not caught.value.may_have_run


async def test_long_request_on_a_live_connection_is_not_cut(autojump_clock):
    async with open_pair() as (dialer, _, _):
        reply = await dialer.request(Message(FrameKind.CALL, b"120"))
    assert reply.payload == b"120"


async def test_cancelled_request_cancels_the_work_of_the_peer(autojump_clock):
    async with open_pair() as (dialer, listener, _):
        with trio.move_on_after(1):
            await dialer.request(Message(FrameKind.CALL, b"100"))
        await trio.sleep(0.1)
        assert listener.serving == 0
        assert (await dialer.request(Message(FrameKind.CALL, b"0"))).payload == b"0"


@pytest.mark.parametrize("seconds", [1.0, 3.0], ids=["request", "reply"])
async def test_message_cancelled_half_way_leaves_nothing_behind(
    seconds, autojump_clock
):
    """Guards against bodies that pile up when large messages are cancelled."""
    body = bytes(4 << 20)
    async with open_pair() as (dialer, listener, (left, right)):
        for stream in (left, right):
            send_all = stream.send_all

            async def send_slowly(data, send_all=send_all):
                await trio.sleep(len(data) / (2 << 20))
                await send_all(data)

            stream.send_all = send_slowly
        with trio.move_on_after(seconds):
            await dialer.request(Message(FrameKind.CALL, b"0", body))
        await trio.sleep(5)
        assert not dialer._partials and not listener._partials
        assert not dialer.is_closed and listener.serving == 0


async def test_wrong_key_is_rejected(autojump_clock):
    stranger = Identity("test", "x", "node", b"other key")
    with pytest.RaisesGroup(
        HandshakeError, flatten_subgroups=True, allow_unwrapped=True
    ):
        async with open_pair(own=stranger):
            pass


async def test_failure_in_a_handler_leaves_other_calls_alone(autojump_clock):
    async def fail_on_request(message, peer):
        if message.payload == b"bad":
            raise RuntimeError("fault")
        return await echo_slowly(message, peer)

    async with open_pair(fail_on_request) as (dialer, _, _):
        with pytest.raises(LinkError) as caught:
            await dialer.request(Message(FrameKind.CALL, b"bad"))
        assert caught.value.code == "internal" and caught.value.may_have_run
        assert (await dialer.request(Message(FrameKind.CALL, b"0"))).payload == b"0"


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff" + bytes(20),
        b"\0\0\0\1" + bytes(20),
        encode_frame(250, 0, 1, b""),
    ],
    ids=["too-long", "too-short", "unknown-kind"],
)
async def test_garbled_frame_closes_only_its_connection(data, autojump_clock):
    async with open_pair() as (dialer, listener, (left, _)):
        await left.send_all(data)
        await trio.sleep(1)
        assert listener.is_closed and dialer.is_closed


def test_oversized_payload_is_not_encoded():
    with pytest.raises(FrameError):
        encode_frame(FrameKind.CALL, 0, 1, bytes(MAX_FRAME_BYTES + 1))


def test_decoder_takes_frames_split_at_any_byte():
    frame = encode_frame(FrameKind.CALL, 0, 7, b"payload")
    decoder = FrameDecoder()
    for value in frame[:-1]:
        decoder.feed(bytes([value]))
        assert decoder.take_frame() is None
    decoder.feed(frame[-1:])
    assert decoder.take_frame().payload == b"payload"


def test_datagram_with_any_changed_byte_is_rejected():
    data = seal_datagram(Message(FrameKind.PROBE, b"members"), b"key")
    assert open_datagram(data, b"key").payload == b"members"
    for position in range(len(data)):
        changed = bytearray(data)
        changed[position] ^= 1
        with pytest.raises(FrameError):
            open_datagram(bytes(changed), b"key")


async def test_idle_connection_seldom_wakes_the_process(autojump_clock, monkeypatch):
    """Guards against a cost that grows with the number of open connections."""
    async with open_pair() as (dialer, _, _):
        await dialer.request(Message(FrameKind.CALL, b"0"))
        await trio.sleep(5)
        pauses = []
        pause = Connection._pause_heartbeats

        async def count_pause(connection, **options):
            pauses.append(connection is dialer)
            await pause(connection, **options)

        monkeypatch.setattr(Connection, "_pause_heartbeats", count_pause)
        await trio.sleep(100)
        assert 10 < sum(pauses) <= 50
        assert not dialer.is_closed
