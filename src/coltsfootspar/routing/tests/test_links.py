"""Links to peers must be replaced when they fail and report honestly."""

import contextlib

import pytest
import trio
from trio.testing import memory_stream_pair

from coltsfootspar.calls import CallContext, CallReply, CallRequest, Priority
from coltsfootspar.exceptions import LinkError
from coltsfootspar.routing import create_peer_links, serve_peers
from coltsfootspar.wire import Address, FrameKind, Identity
from coltsfootspar.wire.frames import encode_frame

LOOPBACK = Address("127.0.0.1", 0)


def create_identity(name):
    return Identity("test", name, "node", b"key")


def create_request(path="/", remaining=5.0):
    deadline = trio.current_time() + remaining
    context = CallContext("a" * 32, "b" * 16, deadline, Priority(5, 1), 2)
    return CallRequest("specs", "GET", path, (), b"body", context)


async def answer(request):
    await trio.sleep(float(request.path[1:] or 0))
    return CallReply(200, body=request.body + request.path.encode())


@contextlib.asynccontextmanager
async def open_server(handler=answer, **options):
    async with trio.open_nursery() as nursery:
        server = await nursery.start(
            lambda task_status: serve_peers(
                LOOPBACK,
                create_identity("b"),
                handler,
                task_status=task_status,
                **options,
            )
        )
        yield server
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def open_links(addresses, **options):
    links = create_peer_links(create_identity("a"), addresses.get, **options)
    async with trio.open_nursery() as nursery:
        await nursery.start(links.run)
        yield links
        nursery.cancel_scope.cancel()


class Dialer:
    """Connects to a server through memory streams that can be made silent."""

    def __init__(self, nursery, server):
        self.nursery = nursery
        self.server = server
        self.dials = 0
        self.is_down = False
        self.near_ends = []

    async def open_stream(self, address):
        self.dials += 1
        if self.is_down:
            await trio.sleep_forever()
        near, far = memory_stream_pair()
        self.near_ends.append(near)
        self.nursery.start_soon(self.server.accept, far)
        return near

    def make_silent(self):
        """Loses all bytes of the open connections, as a middlebox does."""

        async def swallow(data):
            await trio.lowlevel.checkpoint()

        for stream in self.near_ends:
            stream.send_all = swallow


@contextlib.asynccontextmanager
async def open_dialer(handler=answer, options=None, **link_options):
    async with trio.open_nursery() as nursery:
        async with open_server(handler, **(options or {})) as server:
            dialer = Dialer(nursery, server)
            addresses = {"b": LOOPBACK, "c": LOOPBACK}
            async with open_links(
                addresses, open_stream=dialer.open_stream, **link_options
            ) as links:
                yield links, server, dialer
        nursery.cancel_scope.cancel()


async def test_calls_share_one_connection_and_get_their_own_replies(autojump_clock):
    async with open_dialer() as (links, _, dialer):
        replies = {}

        async def ask(path):
            replies[path] = (await links.call("b", create_request(path))).body

        paths = ("/0.3", "/0.1", "/0.2")
        async with trio.open_nursery() as nursery:
            for path in paths:
                nursery.start_soon(ask, path)
        assert replies == {path: b"body" + path.encode() for path in paths}
        assert dialer.dials == 1


async def test_silent_connection_is_replaced_within_two_seconds(autojump_clock):
    """Guards against calls that wait for a middlebox that lost its state."""
    async with open_dialer() as (links, _, dialer):
        await links.call("b", create_request())
        dialer.make_silent()
        start = trio.current_time()
        with pytest.raises(LinkError) as caught:
            await links.call("b", create_request(remaining=60))
        assert caught.value.may_have_run
        assert (await links.call("b", create_request())).status == 200
        assert trio.current_time() - start <= 2.0
        assert dialer.dials == 2


async def test_unanswered_dial_ends_as_not_run_for_all_that_wait(autojump_clock):
    async with open_dialer() as (links, _, dialer):
        dialer.is_down = True
        start = trio.current_time()
        errors = []

        async def ask():
            try:
                await links.call("b", create_request())
            except LinkError as error:
                errors.append(error)

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(ask)
        assert trio.current_time() - start == pytest.approx(0.5)
        assert [error.may_have_run for error in errors] == [False] * 3
        assert dialer.dials == 1
        dialer.is_down = False
        await trio.sleep(1)
        assert (await links.call("b", create_request())).status == 200


async def test_address_of_another_node_is_not_called(autojump_clock):
    """Guards against calls to the node that got the address of a lost one."""
    async with open_dialer() as (links, _, _):
        with pytest.raises(LinkError, match="belongs to b") as caught:
            await links.call("c", create_request())
        assert not caught.value.may_have_run


async def test_cancelled_call_is_cancelled_at_the_node(autojump_clock):
    async with open_dialer() as (links, server, _):
        with trio.move_on_after(1):
            await links.call("b", create_request("/100"))
        await trio.sleep(0.1)
        assert server.in_progress == 0


async def test_drain_waits_for_calls_in_progress(autojump_clock):
    """Guards against a planned stop that interrupts a request."""
    left = []
    async with open_dialer(leaving_handler=left.append) as (links, server, _):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(links.call, "b", create_request("/3"))
            await trio.sleep(1)
            start = trio.current_time()
            await server.announce_leaving()
            await server.drain()
        assert trio.current_time() - start == pytest.approx(2.0, abs=0.1)
        assert left == ["b"]


async def test_leaving_notice_reaches_the_nodes_that_were_called(autojump_clock):
    left = []
    async with open_dialer(options={"leaving_handler": left.append}) as (links, _, _):
        await links.call("b", create_request())
        await links.announce_leaving()
        await trio.sleep(0.1)
    assert left == ["a"]


async def test_connections_over_the_limit_are_closed(autojump_clock):
    async with open_dialer(options={"max_connections": 0}) as (links, _, _):
        with pytest.raises(LinkError) as caught:
            await links.call("b", create_request())
        assert not caught.value.may_have_run


async def test_idle_connection_is_closed_and_opened_again(autojump_clock):
    async with open_dialer(idle_timeout=30) as (links, _, dialer):
        for dials in (1, 2):
            await links.call("b", create_request())
            assert dialer.dials == dials
            await trio.sleep(120)
        assert not links._peers


async def test_calls_to_the_own_node_need_no_connection(autojump_clock):
    async with open_dialer(local_handler=answer) as (links, _, dialer):
        assert (await links.call("a", create_request("/1"))).body == b"body/1"
        assert dialer.dials == 0


async def test_garbage_from_a_stranger_leaves_others_alone(autojump_clock):
    hello = encode_frame(FrameKind.HELLO, 0, 0, bytes(range(200)))
    async with open_dialer() as (links, _, dialer):
        for data in (b"GET / HTTP/1.1\r\n\r\n", hello):
            stranger = await dialer.open_stream(None)
            await stranger.send_all(data)
            await trio.sleep(5)
        assert (await links.call("b", create_request())).status == 200


async def test_unreachable_node_is_reported_as_not_run():
    async with open_server() as server:
        gone = server.address
    async with open_links({"b": gone}) as links:
        for name in ("b", "unknown"):
            with pytest.raises(LinkError) as caught:
                await links.call(name, create_request())
            assert not caught.value.may_have_run


async def test_call_over_loopback():
    async with open_server() as server, open_links({"b": server.address}) as links:
        assert (await links.call("b", create_request())).body == b"body/"
