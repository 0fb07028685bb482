"""Tests of backend servers and callers that send bytes without end."""

import contextlib
import os
import socket

import attrs
import pytest
import trio

from coltsfootspar.relay import create_relay_server
from coltsfootspar.relay.messages import RequestReader, ResponseReader
from coltsfootspar.routes import ClientLimits, Repetition, RouteTable, Service
from coltsfootspar.wire import Address

from .conftest import (
    HOST,
    NAMES,
    OK,
    create_route,
    encode_get,
    encode_post,
    find_free_port,
    send_and_read,
)

FILLER = b"x" * 8_192
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# What a server sends once, and then again and again until the node closes.
ENDLESS_RESPONSES = {
    "blank-lines": (b"", b"\r\n" * 4_096),
    "status-line": (b"HTTP/1.1 200 ", FILLER),
    "header-name": (b"HTTP/1.1 200 OK\r\n", FILLER),
    "header-value": (b"HTTP/1.1 200 OK\r\nX-Long: ", FILLER),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n" * 700),
    "interim-responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 300),
    "chunk-extension": (CHUNKED + b"5;a=", FILLER),
    "chunk-size": (CHUNKED, b"0" * 8_192),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: 1\r\n" * 700),
    "trailer": (CHUNKED + b"0\r\nX-Long: ", FILLER),
}


def create_endless_script(start: bytes, rest: bytes):
    async def send_without_end(stream, head):
        await stream.send_all(start)
        while True:
            await stream.send_all(rest)

    return send_without_end


@pytest.mark.parametrize("name", ENDLESS_RESPONSES)
async def test_endless_response_is_an_error(harness, name):
    """Guards against a node that reads a response without end until the timeout."""
    server = await harness.add_server(create_endless_script(*ENDLESS_RESPONSES[name]))
    await harness.add_node("n1", server.address)
    route = create_route(repetition=Repetition.ONCE, timeout=20.0)
    harness.routes.table = RouteTable(1, 0, (route,), (Service("wallet", 9),))
    _, _, entry = await harness.add_entry_node()
    answer = await send_and_read(entry, encode_post(b"pay"))
    assert answer.startswith(b"HTTP/1.1 502")
    assert len(server.heads) == 1


async def test_endless_response_of_one_server_leaves_others(harness):
    """Guards against requests that a server with endless responses attracts."""

    async def answer(stream, head):
        await stream.send_all(OK)

    endless = create_endless_script(*ENDLESS_RESPONSES["headers"])
    bad = await harness.add_server(endless)
    good = await harness.add_server(answer)
    await harness.add_node("n1", bad.address)
    await harness.add_node("n2", good.address)
    _, _, entry = await harness.add_entry_node()
    for _ in range(10):
        response = await send_and_read(entry, encode_get())
        assert response.startswith(b"HTTP/1.1 200")


async def test_endless_body_ends_at_the_deadline_of_the_caller(harness):
    """Guards against a body without end that holds its connections for good."""
    chunk = b"2000\r\n" + FILLER + b"\r\n"
    server = await harness.add_server(create_endless_script(CHUNKED, chunk))
    await harness.add_node("n1", server.address)
    _, _, entry = await harness.add_entry_node()
    extra = f"{NAMES.deadline_ms.decode()}: 300\r\n"
    answer = await send_and_read(entry, encode_get(extra=extra))
    assert answer.startswith(b"HTTP/1.1 200")
    assert not answer.endswith(b"\r\n0\r\n\r\n")


@pytest.mark.parametrize(
    ("start", "rest"),
    [
        (b"5;a=", FILLER),
        (b"", b"0" * 8_192),
        (b"0\r\n", b"X-More: 1\r\n" * 700),
    ],
    ids=["chunk-extension", "chunk-size", "trailers"],
)
async def test_endless_request_is_refused(harness, start, rest):
    """Guards against a caller that fills the memory without sending a body."""

    async def echo(exchange):
        await exchange.buffer_body(1 << 20)
        await exchange.answer(200, [], exchange.request.take_body())

    server = create_relay_server(echo)
    server.limits = ClientLimits()
    address = Address(HOST, find_free_port(HOST))
    await harness.nursery.start(server.serve, address)
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    stream = await trio.open_tcp_stream(address.host, address.port)
    with pytest.raises(trio.BrokenResourceError):
        async with stream:
            await stream.send_all(head + start)
            while True:
                await stream.send_all(rest)


@pytest.mark.parametrize("reader_type", [RequestReader, ResponseReader])
def test_limits_of_a_reader_do_not_refuse_long_bodies(reader_type):
    """Guards against a long body in small chunks that is taken for an endless head."""
    start = {
        RequestReader: b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n",
        ResponseReader: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
    }[reader_type]
    reader = reader_type()
    reader.feed(start + b"\r\n")
    for _ in range(300):
        reader.feed(b"1\r\nx\r\n" * 1_000)
    reader.feed(b"0\r\n\r\n")
    message = reader.messages[0]
    assert message.is_complete
    assert len(message.take_body()) == 300_000


def test_reader_counts_only_bytes_of_the_head():
    """Guards against limits that count the requests before the present one."""
    reader = RequestReader()
    for _ in range(2_000):
        reader.feed(b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 500 + b"\r\n\r\n")
    assert len(reader.messages) == 2_000
    assert attrs.asdict(reader.messages[-1])["has_head"]


EARLIER_ANSWER = b"HTTP/1.1 503 Busy\r\n%s: %s\r\nContent-Length: 0\r\n\r\n"
# Far more than is read before the connection is given up.
FLOOD_BYTES = 16 << 20


def create_id_line(request_id):
    return f"{NAMES.request_id.decode()}: {request_id}\r\n"


def flood(sock, answer, sent):
    """Repeats an answer until the peer closes, as fast as the system takes it."""
    data = answer * (65_536 // len(answer))
    with contextlib.suppress(OSError):
        while sum(sent) < FLOOD_BYTES:
            sent.append(sock.send(data))
    sock.close()


async def test_endless_answers_to_earlier_requests_end_the_connection(harness):
    """Guards against a node that does nothing but skip the answers of one server.

    They come from a thread, so that data is there each time the node asks for it.
    """
    sent, threads = [], []

    async def script(stream, head):
        request_id = head.split(NAMES.request_id + b": ")[1].split(b"\r\n")[0]
        if not threads:
            answer = EARLIER_ANSWER % (NAMES.request_id, request_id)
            threads.append(answer)
            await stream.send_all(answer)
            return
        sock = socket.socket(fileno=os.dup(stream.socket.fileno()))
        sock.setblocking(True)
        arguments = (sock, threads[0], sent)
        await trio.to_thread.run_sync(flood, *arguments, abandon_on_cancel=True)

    server = await harness.add_server(script)
    await harness.add_node("n1", server.address)
    route = create_route(repetition=Repetition.ONCE, timeout=20.0)
    harness.routes.table = RouteTable(1, 0, (route,), (Service("wallet", 9),))
    _, _, entry = await harness.add_entry_node()
    await send_and_read(entry, encode_post(b"pay", create_id_line("r1")))
    answer = await send_and_read(entry, encode_post(b"pay", create_id_line("r2")))
    assert answer.startswith(b"HTTP/1.1 502")
    assert sum(sent) < FLOOD_BYTES // 2
