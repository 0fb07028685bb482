"""Tests of the HTTP server: malformed requests, slow callers and draining."""

import math
import socket

import attrs
import pytest
import trio
import trio.lowlevel

from coltsfootspar.relay import RelayServer, create_relay_server
from coltsfootspar.relay.messages import Response
from coltsfootspar.routes import ClientLimits
from coltsfootspar.wire import Address

from .conftest import HOST, find_free_port, send_and_read


async def start_server(harness, handler, limits=None):
    server = create_relay_server(handler)
    server.limits = limits or ClientLimits()
    address = Address(HOST, find_free_port(HOST))
    await harness.nursery.start(server.serve, address)
    return server, address


async def collect_answer(answers: list[bytes], address: Address) -> None:
    """Sends a request and appends what comes back."""
    answers.append(await send_and_read(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"))


async def echo(exchange):
    await exchange.buffer_body(1 << 20)
    await exchange.answer(200, [], exchange.request.take_body())


@pytest.mark.parametrize(
    "data",
    [
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        b"Content-Length: 2\r\n\r\nab",
        b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost : a\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
async def test_malformed_request_is_refused(harness, data):
    """Guards against request smuggling."""
    _, address = await start_server(harness, echo)
    answer = await send_and_read(address, data)
    assert answer.startswith(b"HTTP/1.1 400")
    assert answer.count(b"HTTP/1.1") == 1


async def test_long_head_is_refused(harness):
    """Guards against a request head that exhausts the memory."""
    _, address = await start_server(harness, echo, ClientLimits(header_bytes=1_000))
    data = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 5_000
    assert (await send_and_read(address, data)).startswith(b"HTTP/1.1 431")


async def test_slow_head_times_out(harness):
    """Guards against callers that hold connections open with incomplete heads."""
    _, address = await start_server(harness, echo, ClientLimits(header_seconds=0.1))
    answer = await send_and_read(address, b"GET / HTTP/1.1\r\nHost: a\r\n")
    assert answer.startswith(b"HTTP/1.1 408")


async def test_requests_on_one_connection(harness):
    """Guards against mixed-up responses to pipelined requests."""
    _, address = await start_server(harness, echo)
    first = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1"
    second = (
        b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n2\r\n22\r\n0\r\n\r\n"
    )
    answer = await send_and_read(address, first + second)
    bodies = [part.partition(b"\r\n\r\n")[2] for part in answer.split(b"HTTP/1.1")]
    assert bodies[1:] == [b"1", b"22"]


TWO_REQUESTS = (
    b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
    b"GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
)


async def test_late_cancellation_does_not_reach_the_next_request(harness):
    """Guards against a request that ends because of the deadline of another."""

    async def answer_and_cancel(exchange):
        if exchange.request.target == b"/1":
            exchange.cancel()
        else:
            await trio.sleep(0.01)
        await exchange.answer(200, [], b"")

    _, address = await start_server(harness, answer_and_cancel)
    answer = await send_and_read(address, TWO_REQUESTS)
    assert answer.count(b"HTTP/1.1 200") == 2


async def test_request_after_one_that_passed_its_deadline_is_served(harness):
    """Guards against a connection that a missed deadline makes unusable."""

    async def answer_second(exchange):
        if exchange.request.target == b"/1":
            exchange.set_deadline(
                trio.current_time(), lambda: exchange.answer(504, [], b"")
            )
            await trio.sleep_forever()
        await exchange.answer(200, [], b"")

    server, address = await start_server(harness, answer_second)
    answer = await send_and_read(address, TWO_REQUESTS)
    assert answer.startswith(b"HTTP/1.1 504")
    assert answer.count(b"HTTP/1.1 200") == 1
    assert not server.exchanges


async def test_drain_answers_requests_in_progress(harness):
    """Guards against a shutdown that drops a request in progress."""
    release = trio.Event()
    started = trio.Event()

    async def wait(exchange):
        started.set()
        await release.wait()
        await exchange.answer(200, [], b"done")

    server, address = await start_server(harness, wait)
    answers = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(collect_answer, answers, address)
        await started.wait()
        nursery.start_soon(server.drain)
        await trio.lowlevel.checkpoint()
        release.set()
    assert answers[0].endswith(b"done")
    assert b"Connection: close" in answers[0]


async def test_drain_serves_a_request_that_has_just_arrived(harness):
    """Guards against a received request that gets no response.

    The connection looks idle until its task has read the request.
    """

    async def answer_later(exchange):
        await trio.sleep(0.01)
        await exchange.answer(200, [], b"done")

    server, address = await start_server(harness, answer_later)
    with socket.create_connection((address.host, address.port)) as caller:
        await trio.sleep(0.05)
        caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        server.close_idle()
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller.dup()))
        with trio.fail_after(5):
            assert (await stream.receive_some()).endswith(b"done")


async def test_drain_waits_for_a_request_that_has_just_arrived(harness):
    """Guards against a process that ends while it serves the last request it read."""
    answered = []

    async def answer_later(exchange):
        await trio.sleep(0.01)
        await exchange.answer(200, [], b"done")
        answered.append(exchange)

    server, address = await start_server(harness, answer_later)
    with socket.create_connection((address.host, address.port)) as caller:
        await trio.sleep(0.05)
        caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        with trio.fail_after(5):
            await server.drain()
    assert len(answered) == 1


async def test_requests_in_flight_are_answered_when_the_server_stops(harness):
    """Guards against connections that end without a response at shutdown."""

    started = trio.Event()

    async def wait(exchange):
        started.set()
        exchange.set_deadline(math.inf, lambda: exchange.answer(504, [], b""))
        await trio.sleep_forever()

    server, address = await start_server(harness, wait)
    answers = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(collect_answer, answers, address)
        await started.wait()
        server.is_draining = True
        await server.expire_in_flight()
    assert answers[0].startswith(b"HTTP/1.1 504")


async def test_answer_in_delivery_is_not_cut_with_the_other_requests(harness):
    """Guards against an answer of a server that a stop breaks off before its end."""
    started, release = trio.Event(), trio.Event()
    pieces = [b"second", b"first"]

    async def stream(exchange):
        async def read():
            if len(pieces) == 1:
                started.set()
                await release.wait()
            return pieces.pop() if pieces else b""

        await exchange.stream_response(Response(status=200), [], read)

    server, address = await start_server(harness, stream)
    server.is_draining = True
    answers = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(collect_answer, answers, address)
        await started.wait()
        await server.expire_in_flight()
        release.set()
    assert answers[0].endswith(b"6\r\nsecond\r\n0\r\n\r\n")


async def test_draining_server_still_serves_new_connections(harness):
    """Guards against reset connections while callers are still routed here."""
    server, address = await start_server(harness, echo)
    server.is_draining = True
    answer = await send_and_read(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"Connection: close" in answer


async def test_failure_of_one_request_leaves_others(harness):
    """Guards against a fault in one request that stops the whole node."""

    async def fail(exchange):
        if exchange.request.target == b"/bad":
            raise RuntimeError("fault")
        await exchange.answer(200, [], b"")

    _, address = await start_server(harness, fail)
    assert await send_and_read(address, b"GET /bad HTTP/1.1\r\nHost: a\r\n\r\n") == b""
    data = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    assert (await send_and_read(address, data)).startswith(b"HTTP/1.1 200")


def test_limits_are_frozen():
    """Guards against limits that change while connections use them."""
    with pytest.raises(attrs.exceptions.FrozenInstanceError):
        ClientLimits().header_bytes = 1


async def test_idle_server_wakes_up_rarely(harness, monkeypatch):
    """Guards against idle nodes whose wake-ups add up over hundreds of hosts."""
    checks = []
    monkeypatch.setattr(
        RelayServer, "_cancel_disconnected", lambda server: checks.append(server)
    )
    await start_server(harness, echo)
    start = trio.current_time()
    await trio.sleep(1.5)
    seconds = trio.current_time() - start
    assert len(checks) <= 2 * seconds + 1


async def test_busy_server_detects_a_disconnect_within_half_a_second(harness):
    """Guards against work for a caller that left while the server was idle before."""
    started, cancelled_at = trio.Event(), []

    async def wait(exchange):
        started.set()
        try:
            await trio.sleep_forever()
        finally:
            cancelled_at.append(trio.current_time())

    _, address = await start_server(harness, wait)
    await trio.sleep(0.7)
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await started.wait()
    with trio.fail_after(20):
        while not cancelled_at:  # noqa: ASYNC110
            await trio.sleep(0.01)
