"""Tests of responses that break off at any byte, over each hop of a request."""

import contextlib
import socket
import struct

import attrs
import pytest
import trio

from coltsfootspar.exceptions import MalformedRequestError
from coltsfootspar.relay import create_backend_server, create_relay_server
from coltsfootspar.relay.calls import OUTCOME_HEADER
from coltsfootspar.relay.messages import ResponseReader
from coltsfootspar.routes import Repetition, RouteTable, Service
from coltsfootspar.wire import Address

from .conftest import (
    HOST,
    NAMES,
    create_report,
    create_route,
    find_free_port,
    send_and_read,
)

ECHO = NAMES.request_id + b": r1\r\n"
NOT_RUN = NAMES.not_run + b": 1\r\n"
BODY = b"hello, world"


@attrs.frozen
class Shape:
    """Response of a server, which is sent up to any of its bytes.

    :param is_delimited: true when its body ends with the connection.
    :param is_malformed: true when it is an error even if it is whole.
    :param outcome: what a node says of it to another node.
    :param status: what the caller gets if it is whole.
    """

    data: bytes
    status: int = 200
    method: str = "POST"
    is_delimited: bool = False
    is_malformed: bool = False
    outcome: bytes = b"ran"

    @property
    def first_whole(self) -> int:
        """Number of bytes from which it may reach the caller as complete."""
        if self.is_delimited or self.method == "HEAD":
            return len(self.data) - len(BODY)
        return len(self.data)


def encode_shape(*lines: bytes, body: bytes = BODY) -> bytes:
    return b"\r\n".join(lines) + b"\r\n" + ECHO + b"\r\n" + body


LENGTH = b"Content-Length: 12"
CHUNKED = encode_shape(
    b"HTTP/1.1 200 OK",
    b"Transfer-Encoding: chunked",
    body=b"5;a=b\r\nhello\r\n7\r\n, world\r\n0\r\nX-Trailer: 1\r\n\r\n",
)
SHAPES = {
    "length": Shape(encode_shape(b"HTTP/1.1 200 OK", LENGTH)),
    "length-last": Shape(b"HTTP/1.1 200 OK\r\n" + ECHO + LENGTH + b"\r\n\r\n" + BODY),
    "empty": Shape(encode_shape(b"HTTP/1.1 200 OK", b"Content-Length: 0", body=b"")),
    "close": Shape(encode_shape(b"HTTP/1.1 200 OK", b"Connection: close", LENGTH)),
    "delimited": Shape(
        encode_shape(b"HTTP/1.1 200 OK", b"Connection: close"), is_delimited=True
    ),
    "delimited-1.0": Shape(encode_shape(b"HTTP/1.0 200"), is_delimited=True),
    # Without an id it is not believed on a connection that has served a request.
    "no-headers": Shape(b"HTTP/1.1 200\r\n\r\n" + BODY, 502, is_delimited=True),
    "chunked": Shape(CHUNKED),
    "interim": Shape(
        b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n"
        + encode_shape(b"HTTP/1.1 200 OK", LENGTH)
    ),
    "204": Shape(encode_shape(b"HTTP/1.1 204 No Content", body=b""), 204),
    "304": Shape(encode_shape(b"HTTP/1.1 304 Not Modified", LENGTH, body=b""), 304),
    "head": Shape(encode_shape(b"HTTP/1.1 200 OK", LENGTH), method="HEAD"),
    "failure": Shape(encode_shape(b"HTTP/1.1 500 No", LENGTH), 500),
    "shed": Shape(
        encode_shape(b"HTTP/1.1 503 Full", NOT_RUN + b"Content-Length: 0", body=b""),
        503,
        outcome=b"not-run",
    ),
    "misdirected": Shape(
        encode_shape(b"HTTP/1.1 421 Other", b"Content-Length: 0", body=b""),
        503,
        outcome=b"not-run",
    ),
    "bare-lf": Shape(
        encode_shape(b"HTTP/1.1 200 OK", LENGTH).replace(b"\r\n", b"\n"),
        502,
        is_malformed=True,
    ),
    "folded": Shape(
        encode_shape(b"HTTP/1.1 200 OK", b"X-Long: a\r\n b", LENGTH),
        502,
        is_malformed=True,
    ),
}


def reset(stream: trio.SocketStream) -> None:
    """Closes a connection with a reset."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


def use_once_route(harness):
    route = create_route(repetition=Repetition.ONCE)
    harness.routes.table = RouteTable(1, 0, (route,), (Service("wallet", 9),))


async def add_path(harness, path: str, server):
    """Starts the nodes between the caller and a server; returns the entry's address."""
    use_once_route(harness)
    if path == "two-nodes":
        await harness.add_node("n1", server.address)
    elif path == "server-node":
        harness.directory.addresses["n1"] = server.address
    else:
        backend = create_backend_server(NAMES, lambda: None)
        backend.apply_report(create_report(server.address))
        harness.directory.addresses["entry"] = server.address
        return (await harness.add_entry_node(backend))[2]
    return (await harness.add_entry_node())[2]


def encode_request(method: str, target: str) -> bytes:
    name = NAMES.request_id.decode()
    length = "Content-Length: 0\r\n" if method == "POST" else ""
    return (
        f"{method} /views/{target} HTTP/1.1\r\nHost: diary.example\r\n"
        f"Connection: close\r\n{name}: r1\r\n{length}\r\n"
    ).encode()


def read_complete(answer: bytes, *, is_head: bool) -> tuple[int, bytes] | None:
    """Returns status and body of a response; None unless it looks complete."""
    reader = ResponseReader()
    try:
        reader.feed(answer)
        reader.feed_eof()
    except MalformedRequestError:
        return None
    if not reader.messages or not reader.messages[0].has_head:
        return None
    response = reader.messages[0]
    if not response.is_complete and not is_head:
        return None
    return response.status, response.take_body()


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
@pytest.mark.parametrize("ends", ["close", "reset"])
@pytest.mark.parametrize("path", ["two-nodes", "one-node", "server-node"])
async def test_cut_response_does_not_look_complete(harness, shape, ends, path):
    """Guards against a cut response that reaches the caller as a whole one.

    The server breaks off after each number of bytes, on connections that have served
    a request. In the last path a node breaks off.
    """
    data = shape.data
    if path == "server-node":
        outcome = OUTCOME_HEADER + b": " + shape.outcome + b"\r\n"
        data = data.replace(ECHO, ECHO + outcome)
    first_whole = shape.first_whole + len(data) - len(shape.data)

    async def answer(stream, head):
        target = head.split(b" ")[1].rpartition(b"/")[2]
        if target == b"whole":
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\n%s%s: ran\r\nContent-Length: 0\r\n\r\n"
                % (ECHO, OUTCOME_HEADER)
            )
            return None
        await stream.send_all(data[: int(target)])
        if ends == "reset":
            reset(stream)
        return False

    server = await harness.add_server(answer)
    entry = await add_path(harness, path, server)
    for size in range(len(data) + 1):
        whole = await send_and_read(entry, encode_request("POST", "whole"))
        assert whole.startswith(b"HTTP/1.1 200")
        received = await send_and_read(entry, encode_request(shape.method, str(size)))
        assert len(server.heads) == 2 * (size + 1)
        found = read_complete(received, is_head=shape.method == "HEAD")
        if found is None or found[0] in (502, 504):
            continue
        assert not shape.is_malformed
        assert size >= first_whole
        assert not (shape.is_delimited and ends == "reset")
        if shape.is_delimited:
            assert found[1] == data[first_whole:size]
        elif shape.method == "POST":
            assert found[1] in (BODY, b"")
    if ends == "close":
        assert found is not None
        assert found[0] == shape.status


@pytest.mark.parametrize("ends", ["close", "reset"])
@pytest.mark.parametrize("framing", ["length", "chunked", "delimited"])
@pytest.mark.parametrize("path", ["two-nodes", "one-node", "server-node"])
async def test_cut_long_response_does_not_look_complete(harness, framing, ends, path):
    """Guards against a cut response that a node completes while it streams the body.

    The server breaks off after each of the last bytes.
    """
    line = {
        "length": b"Content-Length: 400000",
        "chunked": b"Transfer-Encoding: chunked",
        "delimited": b"Connection: close",
    }[framing]
    body = b"x" * 400_000
    if framing == "chunked":
        body = b"61a80\r\n" + body + b"\r\n0\r\nX-Trailer: 1\r\n\r\n"
    outcome = OUTCOME_HEADER + b": ran"
    data = encode_shape(b"HTTP/1.1 200 OK", line, outcome, body=body)

    async def answer(stream, head):
        cut = int(head.split(b" ")[1].rpartition(b"/")[2])
        await stream.send_all(data[: len(data) - cut])
        if ends == "reset":
            # The node streams what it has before it sees the reset.
            await trio.sleep(0.01)
            reset(stream)
        return False

    server = await harness.add_server(answer)
    entry = await add_path(harness, path, server)
    for cut in range(24, -1, -1):
        received = await send_and_read(entry, encode_request("POST", str(cut)))
        found = read_complete(received, is_head=False)
        if found is None or found[0] in (502, 504):
            continue
        assert found[1] == b"x" * (400_000 - (cut if framing == "delimited" else 0))
        if framing == "delimited":
            assert ends == "close"
        else:
            assert cut == 0
    if ends == "close":
        assert found is not None
        assert found[0] == 200


async def test_cancelled_response_is_not_followed_by_another(harness):
    """Guards against a response whose rest is taken from the next one.

    It is cancelled while a caller that has sent two requests reads slowly.
    """

    async def answer(exchange):
        await exchange.answer(200, [], b"x" * 8_000_000)

    server = create_relay_server(answer)
    address = Address(HOST, find_free_port(HOST))
    await harness.nursery.start(server.serve, address)
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 2)
        received = await stream.receive_some()
        for exchange in server.exchanges:
            exchange.cancel()
        with trio.fail_after(20), contextlib.suppress(trio.BrokenResourceError):
            while chunk := await stream.receive_some():
                received += chunk
    assert received.count(b"HTTP/1.1") == 1
    assert read_complete(received, is_head=False) is None
