"""Links to peers must be replaced when they fail and report honestly."""

import contextlib

import pytest
import trio

from coltsfootspar.calls import CallContext, CallReply, CallRequest, Priority
from coltsfootspar.exceptions import LinkError
from coltsfootspar.routing import create_peer_links, serve_peers
from coltsfootspar.wire import Address, Identity

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
        nursery.start_soon(links.run)
        await trio.lowlevel.checkpoint()
        yield links
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def open_proxy(target):
    """Forwards bytes until ``cut`` is set, then keeps its sockets open."""
    state = {"cut": False, "accepted": 0}

    async def forward(source, sink):
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await source.receive_some(4096):
                if state["cut"]:
                    await trio.sleep_forever()
                await sink.send_all(data)

    async def accept(stream):
        state["accepted"] += 1
        far = await trio.open_tcp_stream(target.host, target.port)
        async with far, trio.open_nursery() as nursery:
            nursery.start_soon(forward, stream, far)
            await forward(far, stream)
            nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, accept, 0)
        port = listeners[0].socket.getsockname()[1]
        yield Address("127.0.0.1", port), state
        nursery.cancel_scope.cancel()


async def test_calls_share_one_connection_and_get_their_own_replies():
    async with open_server() as server, open_proxy(server.address) as (address, state):
        async with open_links({"b": address}) as links:
            replies = {}

            async def ask(path):
                replies[path] = (await links.call("b", create_request(path))).body

            async with trio.open_nursery() as nursery:
                for path in ("/0.03", "/0.01", "/0.02"):
                    nursery.start_soon(ask, path)
            assert replies == {p: b"body" + p.encode() for p in replies}
            assert len(replies) == 3 and state["accepted"] == 1


async def test_unreachable_node_is_reported_as_not_run():
    async with open_server() as server:
        gone = server.address
    async with open_links({"b": gone}) as links:
        for name in ("b", "unknown"):
            with pytest.raises(LinkError) as caught:
                await links.call(name, create_request())
            assert not caught.value.may_have_run
