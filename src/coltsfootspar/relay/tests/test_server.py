"""Tests of the server against malformed and slow callers."""

import math
import socket

import attrs
import pytest
import trio
import trio.lowlevel

from coltsfootspar.relay import create_relay_server
from coltsfootspar.routes import ClientLimits
from coltsfootspar.wire import Address

from .conftest import HOST, ask, find_port


async def start(bed, handler, limits=None):
    server = create_relay_server(handler)
    server.limits = limits or ClientLimits()
    address = Address(HOST, find_port())
    await bed.nursery.start(server.serve, address)
    return server, address


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
async def test_malformed_request_is_refused(bed, data):
    """Guards against a second request that is hidden in the first."""
    _, address = await start(bed, echo)
    answer = await ask(address, data)
    assert answer.startswith(b"HTTP/1.1 400")
    assert answer.count(b"HTTP/1.1") == 1


async def test_long_head_is_refused(bed):
    """Guards against a head that fills the memory."""
    _, address = await start(bed, echo, ClientLimits(header_bytes=1_000))
    data = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 5_000
    assert (await ask(address, data)).startswith(b"HTTP/1.1 431")


async def test_slow_head_ends(bed):
    """Guards against callers who hold connections with unfinished heads."""
    _, address = await start(bed, echo, ClientLimits(header_seconds=0.1))
    answer = await ask(address, b"GET / HTTP/1.1\r\nHost: a\r\n")
    assert answer.startswith(b"HTTP/1.1 408")


async def test_requests_on_one_connection(bed):
    """Guards against answers that are mixed up on a kept connection."""
    _, address = await start(bed, echo)
    first = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1"
    second = (
        b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n2\r\n22\r\n0\r\n\r\n"
    )
    answer = await ask(address, first + second)
    bodies = [part.partition(b"\r\n\r\n")[2] for part in answer.split(b"HTTP/1.1")]
    assert bodies[1:] == [b"1", b"22"]


async def test_drain_answers_what_was_read(bed):
    """Guards against a stop that cuts a request in progress."""
    release = trio.Event()
    began = trio.Event()

    async def wait(exchange):
        began.set()
        await release.wait()
        await exchange.answer(200, [], b"done")

    server, address = await start(bed, wait)
    answers = []

    async def call():
        answers.append(await ask(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await began.wait()
        nursery.start_soon(server.drain)
        await trio.lowlevel.checkpoint()
        release.set()
    assert answers[0].endswith(b"done")
    assert b"Connection: close" in answers[0]


async def test_drain_serves_a_request_that_has_just_arrived(bed):
    """Guards against a request that is passed on and gets no answer.

    The connection looks idle until its task has read the request.
    """

    async def answer_later(exchange):
        await trio.sleep(0.01)
        await exchange.answer(200, [], b"done")

    server, address = await start(bed, answer_later)
    with socket.create_connection((address.host, address.port)) as caller:
        await trio.sleep(0.05)
        caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        server.close_idle()
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller.dup()))
        with trio.fail_after(5):
            assert (await stream.receive_some()).endswith(b"done")


async def test_rest_is_answered_at_the_end(bed):
    """Guards against callers whose connections end without an answer."""

    began = trio.Event()

    async def wait(exchange):
        began.set()
        exchange.set_deadline(math.inf, lambda: exchange.answer(504, [], b""))
        await trio.sleep_forever()

    server, address = await start(bed, wait)
    answers = []

    async def call():
        answers.append(await ask(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await began.wait()
        server.is_draining = True
        await server.expire_in_flight()
    assert answers[0].startswith(b"HTTP/1.1 504")


async def test_draining_server_still_serves_new_connections(bed):
    """Guards against connections that are reset while callers are still sent here."""
    server, address = await start(bed, echo)
    server.is_draining = True
    answer = await ask(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"Connection: close" in answer


async def test_failure_of_one_request_leaves_others(bed):
    """Guards against a fault in one request that ends the whole node."""

    async def fail(exchange):
        if exchange.request.target == b"/bad":
            raise RuntimeError("fault")
        await exchange.answer(200, [], b"")

    _, address = await start(bed, fail)
    assert await ask(address, b"GET /bad HTTP/1.1\r\nHost: a\r\n\r\n") == b""
    data = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    assert (await ask(address, data)).startswith(b"HTTP/1.1 200")


def test_limits_are_frozen():
    """Guards against limits that change under the connections in progress."""
    with pytest.raises(attrs.exceptions.FrozenInstanceError):
        ClientLimits().header_bytes = 1
