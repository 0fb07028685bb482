"""Servers and clients must pass whole messages and refuse broken ones."""

import contextlib
import socket

import pytest
import trio
from hypercorn.config import Config

from coltsfootspar.exceptions import TransferError
from coltsfootspar.web import HttpRequest, HttpResponse, WebLimits
from coltsfootspar.web.client import create_h11_client
from coltsfootspar.web.httpcore import create_httpcore_client
from coltsfootspar.web.hypercorn import create_hypercorn_server
from coltsfootspar.web.server import create_h11_server
from coltsfootspar.wire import Address

LOOPBACK = Address("127.0.0.1", 0)
LIMITS = WebLimits(
    header_bytes=4096, body_bytes=1 << 21, connections=4, read_seconds=0.3
)
SERVERS = {"h11": create_h11_server, "hypercorn": create_hypercorn_server}
CLIENTS = {"h11": create_h11_client, "httpcore": create_httpcore_client}


async def echo(request):
    name = dict(request.headers).get(b"x-name", b"")
    return HttpResponse(200, ((b"x-name", name),), request.body)


@contextlib.asynccontextmanager
async def open_server(handler=echo, create=create_h11_server, **options):
    server = create(handler, LIMITS, **options)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve, LOOPBACK)
        yield server, address
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def open_raw_server(serve):
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield Address("127.0.0.1", listeners[0].socket.getsockname()[1])
        nursery.cancel_scope.cancel()


async def exchange_raw(address, data):
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(data)
        received = bytearray()
        with trio.fail_after(5):
            async for chunk in stream:
                received += chunk
    return bytes(received)


@pytest.mark.parametrize("server", SERVERS)
@pytest.mark.parametrize("client", CLIENTS)
async def test_bodies_arrive_byte_for_byte(server, client):
    sender = CLIENTS[client](LIMITS)
    async with open_server(create=SERVERS[server]) as (_, address):
        for size in (0, 1, 70_000, 1 << 20):
            body = bytes(number % 251 for number in range(size))
            headers = ((b"host", b"specs"), (b"x-name", str(size).encode()))
            request = HttpRequest("POST", "/x?y=1", headers, body)
            response = await sender.send(address, request)
            assert response.status == 200 and response.body == body
            assert (b"x-name", str(size).encode()) in response.headers


@pytest.mark.parametrize("server", SERVERS)
async def test_client_that_goes_away_cancels_its_request(server):
    started, cancelled = trio.Event(), trio.Event()

    async def work(request):
        started.set()
        try:
            await trio.sleep_forever()
        finally:
            cancelled.set()

    async with open_server(work, SERVERS[server]) as (_, address):
        stream = await trio.open_tcp_stream(address.host, address.port)
        await stream.send_all(b"GET / HTTP/1.1\r\nhost: specs\r\n\r\n")
        await started.wait()
        await stream.aclose()
        with trio.fail_after(5):
            await cancelled.wait()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 8000, b"431"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999\r\n\r\n", b"413"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab", b"408"),
        (b"GET / HTTP/1.1\r\nhost:", b"408"),
    ],
    ids=[
        "nonsense",
        "no-host",
        "large-headers",
        "large-body",
        "slow-body",
        "slow-head",
    ],
)
async def test_bad_input_gets_an_error_and_a_count(data, status):
    codes = []
    async with open_server(count_error=codes.append) as (_, address):
        answer = await exchange_raw(address, data)
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert b"coltsfootspar-outcome: not-run" in answer.lower()
    assert len(codes) == 1


async def test_fault_in_a_handler_is_one_answer_and_not_the_end():
    async def fail(request):
        raise RuntimeError("fault")

    async with open_server(fail) as (_, address):
        client = create_h11_client()
        for _ in range(2):
            request = HttpRequest("GET", "/", ((b"host", b"a"),))
            assert (await client.send(address, request)).status == 500


@pytest.mark.parametrize("server", SERVERS)
async def test_drain_lets_the_request_in_progress_finish(server):
    release = trio.Event()
    started = trio.Event()

    async def work(request):
        started.set()
        await release.wait()
        return HttpResponse(200, (), b"whole")

    answers = []
    async with open_server(work, SERVERS[server]) as (running, address):

        async def ask():
            request = HttpRequest("GET", "/", ((b"host", b"a"),))
            answers.append(await create_h11_client().send(address, request))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await started.wait()
            nursery.start_soon(running.drain)
            await trio.sleep(0.05)
            release.set()
        with pytest.raises(TransferError) as caught:
            request = HttpRequest("GET", "/", ((b"host", b"a"),))
            await create_h11_client().send(address, request)
    assert answers[0].body == b"whole"
    assert not caught.value.may_have_run


async def test_drain_on_hypercorn_has_no_time_limit_of_its_own(monkeypatch):
    """Guards against a long request that a drain cuts and takes for complete."""
    monkeypatch.setattr(Config, "graceful_timeout", 0.1)
    started, release = trio.Event(), trio.Event()
    answers = []

    async def work(request):
        started.set()
        await release.wait()
        return HttpResponse(200, (), b"whole")

    async with open_server(work, create_hypercorn_server) as (running, address):

        async def ask():
            data = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
            answers.append(await exchange_raw(address, data))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await started.wait()
            nursery.start_soon(running.drain)
            await trio.sleep(0.5)
            release.set()
    assert answers[0].endswith(b"whole")


async def test_drain_answers_a_request_that_has_just_arrived():
    """Guards against a stop that resets a connection whose request it has not read."""
    answers = []

    async def work(request):
        await trio.sleep(0.05)
        answers.append(request.target)
        return HttpResponse(200, (), b"whole")

    async with open_server(work) as (running, address):
        with socket.create_connection((address.host, address.port)) as kept:
            await trio.sleep(0.05)
            kept.sendall(b"GET /kept HTTP/1.1\r\nhost: a\r\n\r\n")
            with trio.fail_after(5):
                await running.drain()
            assert answers == ["/kept"]
            assert b"whole" in kept.recv(1000)


async def test_drain_does_not_wait_for_a_caller_that_has_gone():
    """Guards against a stop that waits for connections which callers have closed."""
    started = trio.Event()

    async def work(request):
        started.set()
        return HttpResponse(200, (), b"x" * (8 << 20))

    async with open_server(work) as (running, address):
        stream = await trio.open_tcp_stream(address.host, address.port)
        await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        await started.wait()
        # The answer's head is out, and the caller ends its side before it reads on.
        await trio.sleep(0.05)
        await stream.send_eof()
        await trio.sleep(0.05)
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(running.drain)
                while await stream.receive_some():
                    pass
        await stream.aclose()


async def test_drain_answers_a_request_on_a_connection_that_was_to_be_kept():
    """Guards against a reset where the last answer has promised a further request."""
    started = trio.Event()
    body = b"x" * (8 << 20)

    async def work(request):
        started.set()
        return HttpResponse(200, (), body if request.target == "/first" else b"whole")

    async with open_server(work) as (running, address):
        stream = await trio.open_tcp_stream(address.host, address.port)
        await stream.send_all(b"GET /first HTTP/1.1\r\nhost: a\r\n\r\n")
        await started.wait()
        # The answer's head is out, and the caller doesn't read its body yet.
        await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(running.drain)
            await trio.sleep(0.05)
            await stream.send_all(b"GET /next HTTP/1.1\r\nhost: a\r\n\r\n")
            received = bytearray()
            with trio.fail_after(20):
                async for chunk in stream:
                    received += chunk
    assert received.endswith(b"whole")
    assert received.count(b"connection: close") == 1


@pytest.mark.parametrize("client", CLIENTS)
@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
        b"",
    ],
    ids=["short", "cut-chunk", "nothing"],
)
async def test_truncated_response_is_an_error_with_an_open_outcome(client, data):
    async def serve(stream):
        async with stream:
            await stream.receive_some(1000)
            if data:
                await stream.send_all(data)

    async with open_raw_server(serve) as address:
        request = HttpRequest("GET", "/", ((b"host", b"a"),))
        with pytest.raises(TransferError) as caught:
            await CLIENTS[client]().send(address, request)
        assert caught.value.may_have_run


async def test_response_that_ends_with_the_connection_is_an_error():
    async def serve(stream):
        async with stream:
            await stream.receive_some(1000)
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\npart")

    async with open_raw_server(serve) as address:
        with pytest.raises(TransferError):
            request = HttpRequest("GET", "/", ((b"host", b"a"),))
            await create_h11_client().send(address, request)


async def test_stale_idle_connection_is_not_reused():
    """Guards against an unknown outcome on a connection closed while idle."""
    connections = []

    async def serve(stream):
        connections.append(stream)
        async with stream:
            await stream.receive_some(1000)
            await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    async with open_raw_server(serve) as address:
        client = create_h11_client()
        for _ in range(3):
            request = HttpRequest("GET", "/", ((b"host", b"a"),))
            assert (await client.send(address, request)).status == 200
            await trio.sleep(0.02)
    assert len(connections) == 3


@pytest.mark.parametrize("size", [1, 30, None])
async def test_bytes_after_a_response_answer_no_other_request(size):
    """Guards against a second response, or its first bytes, read with the first one."""
    first = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
    own = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"

    async def serve(stream):
        async with stream:
            await stream.receive_some()
            await stream.send_all(first + first[:size])
            await stream.receive_some()
            await stream.send_all(first[size:] if size else b"")

    async def serve_own(stream):
        async with stream:
            await stream.receive_some()
            await stream.send_all(own)

    servers = [serve, serve_own]

    async def serve_next(stream):
        await servers.pop(0)(stream)

    client = create_h11_client()
    request = HttpRequest("GET", "/", ((b"host", b"a"),))
    async with open_raw_server(serve_next) as address:
        assert (await client.send(address, request)).body == b"first"
        assert (await client.send(address, request)).body == b"own"


async def test_idle_connection_makes_room_for_a_new_one():
    """Guards against clients that send nothing and shut all others out."""
    data = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    async with open_server() as (_, address):
        async with contextlib.AsyncExitStack() as stack:
            streams = []
            for _ in range(LIMITS.connections):
                stream = await trio.open_tcp_stream(address.host, address.port)
                streams.append(await stack.enter_async_context(stream))
            await trio.testing.wait_all_tasks_blocked(0.01)
            assert (await exchange_raw(address, data)).startswith(b"HTTP/1.1 200 ")
            assert not await streams[0].receive_some()
