"""Bodies without end, whole or in tiny pieces, must not fill the memory of a node."""

import tracemalloc

import attrs
import pytest
import trio

from coltsfootspar.exceptions import MalformedRequestError, TooLargeError
from coltsfootspar.relay import create_relay_server
from coltsfootspar.relay.client import ClientConnection, OutgoingRequest
from coltsfootspar.relay.connections import Connection
from coltsfootspar.relay.exchanges import Exchange
from coltsfootspar.relay.messages import (
    MAX_HEAD_BYTES,
    MAX_RESPONSE_HEADERS,
    RequestReader,
    ResponseReader,
)
from coltsfootspar.routes import Repetition, RouteTable, Service
from coltsfootspar.testing.ports import find_free_port
from coltsfootspar.testing.sockets import NullSocket
from coltsfootspar.wire import Address

from .conftest import (
    HOST,
    NAMES,
    OK,
    create_route,
    encode_get,
    encode_post,
    send_and_read,
)

MB = 1 << 20
FILLER = b"x" * 8_192
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LONG = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\n"
TO_THE_END = b"HTTP/1.1 200 OK\r\n\r\n"
TINY_CHUNKS = b"2\r\nxx\r\n" * 1_000
DEADLINE = f"{NAMES.deadline_ms.decode()}: 700\r\n"
CALLERS = 12
# What a server sends once, then again and again, and what the caller gets of it.
BODIES = {
    "chunks": (CHUNKED, b"2000\r\n" + FILLER + b"\r\n", 200),
    "tiny-chunks": (CHUNKED, TINY_CHUNKS, 200),
    "length-of-10^15": (LONG, FILLER, 200),
    "to-the-end-of-the-connection": (TO_THE_END, FILLER, 200),
    "no-http": (b"", b"\x00\xff" * 4_096, 502),
    "head-of-many-headers": (b"HTTP/1.1 200 OK\r\n", b"a:b\r\n" * 1_000, 502),
}


@attrs.define(eq=False)
class EndlessServer:
    """Sends a start and then the rest again and again, until the node closes.

    :param sent: bytes sent on all connections.
    """

    start: bytes
    rest: bytes
    sent: int = 0

    async def run(self, stream, head):
        await stream.send_all(self.start)
        while True:
            await stream.send_all(self.rest)
            self.sent += len(self.rest)


async def add_path(harness, script, **route_changes):
    """Starts a server behind a node, and a node for callers; returns its address."""
    server = await harness.add_server(script)
    await harness.add_node("n1", server.address, slots=CALLERS)
    route = create_route(**route_changes)
    harness.routes.table = RouteTable(1, 0, (route,), (Service("wallet", 99),))
    _, _, entry = await harness.add_entry_node()
    return server, entry


@pytest.mark.parametrize("name", BODIES)
async def test_caller_learns_that_an_endless_response_is_not_whole(harness, name):
    """Guards against a part of an endless response that looks like a whole one."""
    start, rest, status = BODIES[name]
    script = EndlessServer(start, rest).run
    _, entry = await add_path(harness, script, repetition=Repetition.ONCE)
    answer = await send_and_read(entry, encode_get(extra=DEADLINE))
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d" % status)
    if status == 200:
        is_chunked = b"transfer-encoding: chunked" in head.lower()
        assert is_chunked or len(body) < 10**15
        assert not answer.endswith(b"\r\n0\r\n\r\n")


@pytest.mark.parametrize("name", BODIES)
async def test_callers_that_read_nothing_of_endless_responses(harness, name):
    """Guards against a node that keeps what its callers do not read."""
    start, rest, _ = BODIES[name]
    server = EndlessServer(start, rest)
    _, entry = await add_path(harness, server.run)
    tracemalloc.start()
    try:
        for _ in range(CALLERS):
            stream = await trio.open_tcp_stream(entry.host, entry.port)
            harness.nursery.start_soon(stream.send_all, encode_get(extra=DEADLINE))
        await trio.sleep(1.5)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # Over both hops, 256 KiB of body each and what is being read or sent.
    assert peak < CALLERS * 2 * MB


@pytest.mark.parametrize("repetition", Repetition)
async def test_bytes_after_a_whole_response_reach_no_caller(harness, repetition):
    """Guards against surplus bytes, or the same response again, for the next caller."""
    server, entry = await add_path(
        harness, EndlessServer(OK, OK).run, repetition=repetition
    )
    for number in range(5):
        answer = await send_and_read(entry, encode_get(request_id=f"r{number}"))
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(b"\r\n\r\nok")
    assert len(server.heads) == 5


async def send_endless_body(address, piece):
    """Sends a chunked body until the node closes; returns its answer."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    head = encode_post(b"", DEADLINE).replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    received = b""
    async with stream, trio.open_nursery() as nursery:

        async def send():
            try:
                await stream.send_all(head)
                while True:
                    await stream.send_all(piece)
            except trio.BrokenResourceError:
                return

        nursery.start_soon(send)
        with trio.fail_after(20):
            try:
                while chunk := await stream.receive_some():
                    received += chunk
            except trio.BrokenResourceError:
                pass
        nursery.cancel_scope.cancel()
    return received


# Tiny chunks take long to parse.
@pytest.mark.parametrize(
    ("piece", "callers"),
    [(b"2000\r\n" + FILLER + b"\r\n", CALLERS), (TINY_CHUNKS, 2)],
    ids=["large", "tiny"],
)
@pytest.mark.parametrize("place", ["server", "node"])
async def test_endless_request_towards_a_peer_that_does_not_read(
    harness, place, piece, callers
):
    """Guards against a node that keeps what its server or another node leaves unread.

    The first MiB of a body is kept, so that it can be sent to another node.
    """

    async def leave_unread(stream, head):
        await trio.sleep_forever()

    if place == "server":
        _, entry = await add_path(harness, leave_unread, repetition=Repetition.ONCE)
    else:
        silent = await harness.add_server(leave_unread)
        harness.directory.addresses["n1"] = silent.address
        _, _, entry = await harness.add_entry_node()
    answers = []

    async def call():
        answers.append(await send_endless_body(entry, piece))

    tracemalloc.start()
    try:
        async with trio.open_nursery() as nursery:
            for _ in range(callers):
                nursery.start_soon(call)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < callers * 4 * MB
    assert len(answers) == callers
    assert not any(answer.startswith(b"HTTP/1.1 2") for answer in answers)


@pytest.mark.parametrize(
    ("reader_type", "start"),
    [
        (RequestReader, b"POST / HTTP/1.1\r\nHost: a\r\n"),
        (ResponseReader, b"HTTP/1.1 200 OK\r\n"),
    ],
)
def test_body_in_tiny_chunks_takes_little_more_than_its_size(reader_type, start):
    """Guards against a body of which each byte costs some thirty."""
    reader = reader_type()
    reader.feed(start + b"Transfer-Encoding: chunked\r\n\r\n")
    tracemalloc.start()
    try:
        for _ in range(524):
            reader.feed(TINY_CHUNKS)
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    message = reader.messages[0]
    assert message.received_bytes == 524 * 2_000
    assert used < 2 * message.received_bytes
    reader.feed(b"3\r\nend\r\n" + b"400\r\n" + b"y" * 1_024 + b"\r\n0\r\n\r\n")
    body = message.take_body()
    assert isinstance(body, bytes)
    assert body == b"xx" * 524_000 + b"end" + b"y" * 1_024


def test_response_head_of_many_headers_is_refused():
    """Guards against a short head that takes megabytes once it is parsed."""
    start = b"HTTP/1.1 200 OK\r\n"
    reader = ResponseReader()
    reader.feed(start + b"a:b\r\n" * (MAX_RESPONSE_HEADERS - 1) + b"Host: a\r\n\r\n")
    assert reader.messages[0].has_head
    with pytest.raises(MalformedRequestError):
        ResponseReader().feed(start + b"a:b\r\n" * (MAX_RESPONSE_HEADERS + 2))


@pytest.mark.parametrize(
    ("target", "line"),
    [
        (b"/", b"a:\r\n"),
        (b"/", b"ab:\r\n"),
        (b"/", b"name: %s\r\n" % (b"v" * 60)),
        (b"/" * 15_000, b"name: v\r\n"),
    ],
    ids=["tiny", "short", "ordinary", "target"],
)
def test_head_within_its_bytes_is_read_and_counted(target, line):
    """Guards against a limit on lines, and against lines that count as their bytes.

    One whole head and the beginning of another must not take more than they count.
    """
    end = b"Host: a\r\n\r\n"
    start = b"GET %s HTTP/1.1\r\n" % target
    data = start + line * ((MAX_HEAD_BYTES - 100 - len(start)) // len(line)) + end
    tracemalloc.start()
    try:
        reader = RequestReader()
        reader.add_input(data)
        assert reader.messages[0].has_head
        reader.add_input(data[: len(data) // 2])
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert used <= reader.held_bytes
    counted = reader.messages[0].head_cost
    assert counted >= len(target) + 3 * data.count(line)
    reader.messages[0].drop_content()
    assert reader.messages[0].target == b""


def test_long_head_is_refused_however_it_arrives():
    """Guards against a limit that holds only for a head in many pieces."""
    data = b"GET / HTTP/1.1\r\n" + b"a:\r\n" * (MAX_HEAD_BYTES // 3) + b"\r\n"
    reader = RequestReader()
    reader.add_input(data)
    assert not reader.messages
    assert isinstance(reader.error, TooLargeError)


def test_heads_ahead_are_parsed_within_bounds():
    """Guards against a read of many heads that all are parsed at once."""
    lines = b"".join(b"x%04x:\r\n" % number for number in range(1_800))
    head = b"GET / HTTP/1.1\r\n" + lines + b"Host: a\r\n\r\n"
    reader = RequestReader()
    reader.add_input(head * 4)
    assert [message.has_head for message in reader.messages] == [True, False]
    assert reader.unparsed_bytes == len(head) * 4
    reader.close()
    assert reader.held_bytes == 0


async def test_endless_bodies_at_other_listeners_are_bounded(harness):
    """Guards against a listener that keeps a body for which it has no use."""

    async def ignore(exchange):
        await exchange.answer(200, [], b"")

    server = create_relay_server(ignore)
    address = Address(HOST, find_free_port(HOST))
    await harness.nursery.start(server.serve, address)
    tracemalloc.start()
    try:
        answer = await send_endless_body(address, TINY_CHUNKS)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert answer.startswith(b"HTTP/1.1 200")
    assert peak < 4 * MB


def create_flood(data, most=20_000):
    """Creates a stand-in for :func:`receive` that has data at any time.

    It fails at last, where the loop that calls it would go on for ever.
    """
    calls = 0

    async def receive(sock, size=MB):
        nonlocal calls
        calls += 1
        assert calls < most, "no other task can run while data comes"
        return data

    return receive


def create_request():
    connection = Connection(create_relay_server(None), NullSocket(), HOST)
    connection.reader.feed(
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    return Exchange(connection.reader.messages.popleft(), connection)


def create_response():
    connection = ClientConnection(NullSocket())
    connection._reader.feed(CHUNKED)
    return connection, connection._reader.messages.popleft()


async def stream_request():
    exchange = create_request()
    while True:
        await exchange.read_body()


async def buffer_request():
    while True:
        await create_request().buffer_body(MB)


async def discard_request():
    exchange = create_request()
    while True:
        exchange.request.received_bytes = 0
        await exchange._connection._discard_body(exchange.request)


async def discard_input():
    await create_request()._connection._discard_input()
    await trio.sleep_forever()


async def stream_response():
    connection, response = create_response()
    while True:
        await connection.read_body(response)


async def buffer_response():
    while True:
        connection = ClientConnection(NullSocket())
        connection._reader.feed(CHUNKED)
        await connection._read_response(OutgoingRequest(b""), MB)


@pytest.mark.parametrize(
    "read",
    [
        stream_request,
        buffer_request,
        discard_request,
        discard_input,
        stream_response,
        buffer_response,
    ],
)
async def test_other_tasks_run_while_bytes_come_without_a_pause(read, monkeypatch):
    """Guards against a node that serves nobody else while a peer sends without end.

    Its peers sent faster than it passed the bytes on, so it never had to wait for
    them; no deadline and no stop could end that.
    """
    flood = create_flood(b"1000\r\n" + b"x" * 4_096 + b"\r\n")
    monkeypatch.setattr("coltsfootspar.relay.client.receive", flood)
    monkeypatch.setattr("coltsfootspar.relay.connections.receive", flood)
    with trio.move_on_after(0.05) as scope:
        await read()
    assert scope.cancelled_caught
