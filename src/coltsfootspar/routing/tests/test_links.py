"""Peer links: replacing failed connections and reporting whether a call ran."""

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


async def handle_call(request):
    await trio.sleep(float(request.path[1:] or 0))
    return CallReply(200, body=request.body + request.path.encode())


@contextlib.asynccontextmanager
async def open_server(handler=handle_call, **options):
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


class MemoryDialer:
    """Connects to a server through memory streams that can stop carrying data."""

    def __init__(self, nursery, server):
        self.nursery = nursery
        self.server = server
        self.dials = 0
        self.is_unresponsive = False
        self.client_streams = []

    async def open_stream(self, address):
        self.dials += 1
        if self.is_unresponsive:
            await trio.sleep_forever()
        client_stream, server_stream = memory_stream_pair()
        self.client_streams.append(client_stream)
        self.nursery.start_soon(self.server.accept, server_stream)
        return client_stream

    def make_silent(self):
        """Discards all data sent on the open connections.

        A middlebox that has lost its connection state does the same.
        """

        async def discard(data):
            await trio.lowlevel.checkpoint()

        for stream in self.client_streams:
            stream.send_all = discard


@contextlib.asynccontextmanager
async def open_connected_links(handler=handle_call, options=None, **link_options):
    async with trio.open_nursery() as nursery:
        async with open_server(handler, **(options or {})) as server:
            dialer = MemoryDialer(nursery, server)
            addresses = {"b": LOOPBACK, "c": LOOPBACK}
            async with open_links(
                addresses, open_stream=dialer.open_stream, **link_options
            ) as links:
                yield links, server, dialer
        nursery.cancel_scope.cancel()


async def test_calls_share_one_connection_and_get_their_own_replies(autojump_clock):
    async with open_connected_links() as (links, _, dialer):
        replies = {}

        async def send_call(path):
            replies[path] = (await links.call("b", create_request(path))).body

        paths = ("/0.3", "/0.1", "/0.2")
        async with trio.open_nursery() as nursery:
            for path in paths:
                nursery.start_soon(send_call, path)
        assert replies == {path: b"body" + path.encode() for path in paths}
        assert dialer.dials == 1


async def test_silent_connection_is_replaced_within_two_seconds(autojump_clock):
    """Guards against calls that wait on a connection that a middlebox has dropped.

    The middlebox discards all data without closing the connection.
    """
    async with open_connected_links() as (links, _, dialer):
        await links.call("b", create_request())
        dialer.make_silent()
        start = trio.current_time()
        with pytest.raises(LinkError) as caught:
            await links.call("b", create_request(remaining=60))
        assert caught.value.may_have_run
        assert (await links.call("b", create_request())).status == 200
        assert trio.current_time() - start <= 2.0
        assert dialer.dials == 2


async def test_dial_timeout_fails_all_waiting_calls_as_not_run(autojump_clock):
    async with open_connected_links() as (links, _, dialer):
        dialer.is_unresponsive = True
        start = trio.current_time()
        errors = []

        async def send_call():
            try:
                await links.call("b", create_request())
            except LinkError as error:
                errors.append(error)

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(send_call)
        assert trio.current_time() - start == pytest.approx(0.5)
        assert [error.may_have_run for error in errors] == [False] * 3
        assert dialer.dials == 1
        dialer.is_unresponsive = False
        await trio.sleep(1)
        assert (await links.call("b", create_request())).status == 200


async def test_call_fails_when_another_node_has_the_address(autojump_clock):
    """Guards against calls to a node that took over the address of a failed one."""
    async with open_connected_links() as (links, _, _):
        with pytest.raises(LinkError, match="belongs to b") as caught:
            await links.call("c", create_request())
        assert not caught.value.may_have_run


async def test_cancelled_call_is_cancelled_at_the_node(autojump_clock):
    async with open_connected_links() as (links, server, _):
        with trio.move_on_after(1):
            await links.call("b", create_request("/100"))
        await trio.sleep(0.1)
        assert server.in_progress == 0


async def test_drain_waits_for_calls_in_progress(autojump_clock):
    """Guards against a planned stop that cancels requests in progress."""
    leaving_ids = []
    async with open_connected_links(leaving_handler=leaving_ids.append) as (
        links,
        server,
        _,
    ):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(links.call, "b", create_request("/3"))
            await trio.sleep(1)
            start = trio.current_time()
            await server.announce_leaving()
            await server.drain()
        assert trio.current_time() - start == pytest.approx(2.0, abs=0.1)
        assert leaving_ids == ["b"]


async def test_leaving_notice_reaches_the_nodes_that_were_called(autojump_clock):
    leaving_ids = []
    async with open_connected_links(
        options={"leaving_handler": leaving_ids.append}
    ) as (links, _, _):
        await links.call("b", create_request())
        await links.announce_leaving()
        await trio.sleep(0.1)
    assert leaving_ids == ["a"]


async def test_connections_over_the_limit_are_closed(autojump_clock):
    async with open_connected_links(options={"max_connections": 0}) as (links, _, _):
        with pytest.raises(LinkError) as caught:
            await links.call("b", create_request())
        assert not caught.value.may_have_run


async def test_unfinished_handshake_makes_room():
    """Guards against peers without the key that shut the others out."""
    async with open_server(max_connections=2) as server:
        address = server.address
        async with await trio.open_tcp_stream(address.host, address.port) as silent:
            async with await trio.open_tcp_stream(address.host, address.port):
                await trio.testing.wait_all_tasks_blocked(0.01)
                async with open_links({"b": address}) as links:
                    reply = await links.call("b", create_request())
                    assert reply.status == 200
                await silent.receive_some()
                assert not await silent.receive_some()


async def test_idle_connection_is_closed_and_opened_again(autojump_clock):
    async with open_connected_links(idle_timeout=30) as (links, _, dialer):
        for dials in (1, 2):
            await links.call("b", create_request())
            assert dialer.dials == dials
            await trio.sleep(120)
        assert not links._peers


async def test_calls_to_the_local_node_need_no_connection(autojump_clock):
    async with open_connected_links(local_handler=handle_call) as (links, _, dialer):
        assert (await links.call("a", create_request("/1"))).body == b"body/1"
        assert dialer.dials == 0


async def test_malformed_handshake_does_not_affect_other_connections(autojump_clock):
    hello = encode_frame(FrameKind.HELLO, 0, 0, bytes(range(200)))
    async with open_connected_links() as (links, _, dialer):
        for data in (b"GET / HTTP/1.1\r\n\r\n", hello):
            client = await dialer.open_stream(None)
            await client.send_all(data)
            await trio.sleep(5)
        assert (await links.call("b", create_request())).status == 200


async def test_unreachable_node_is_reported_as_not_run():
    async with open_server() as server:
        closed_address = server.address
    async with open_links({"b": closed_address}) as links:
        for name in ("b", "unknown"):
            with pytest.raises(LinkError) as caught:
                await links.call(name, create_request())
            assert not caught.value.may_have_run


async def test_call_over_loopback():
    async with open_server() as server, open_links({"b": server.address}) as links:
        assert (await links.call("b", create_request())).body == b"body/"
