"""Callers that do not read their answers."""

import contextlib

import pytest
import trio

from coltsfootspar.relay import AheadLimits, BackendServer, create_backend_server
from coltsfootspar.routes import ClientLimits

from .conftest import NAMES, OK, create_report, encode_get, send_and_read

ANSWER_BYTES = 200_000
# More than the buffers of both sockets take.
LONG_ANSWER_BYTES = 16 << 20
ANSWERS = 80
IDLE_SECONDS = 0.5
BLOCKED_SECONDS = 0.3
# A slow caller reads less in the idle time than lets the system take more.
READS = 6
READ_BYTES = 131_072


def encode_kept(path: str) -> bytes:
    """Encodes a request that keeps its connection."""
    return f"GET {path} HTTP/1.1\r\nHost: diary.example\r\n\r\n".encode()


async def add_path(harness) -> tuple[BackendServer, object, object]:
    """Starts a server with one slot, and the node beside it."""

    async def respond(stream, head):
        if b"/long" in head:
            length = LONG_ANSWER_BYTES
        elif b"/large" in head:
            length = ANSWER_BYTES
        else:
            await stream.send_all(OK)
            return
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length
        await stream.send_all(head + bytes(length))

    server = await harness.add_server(respond)
    backend = create_backend_server(NAMES, lambda: None)
    backend.apply_report(create_report(server.address, slots=1))
    _, outbound, address = await harness.add_entry_node(backend, AheadLimits())
    harness.directory.addresses["entry"] = address
    outbound.limits = ClientLimits(idle_seconds=IDLE_SECONDS)
    return backend, outbound, address


async def test_unread_answer_holds_no_slot(harness):
    """Guards against callers that take the slots of a server without reading."""
    _, outbound, address = await add_path(harness)
    outbound.limits = ClientLimits()
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        harness.nursery.start_soon(
            send_quietly, stream, encode_kept("/views/large") * ANSWERS
        )
        await wait_until_blocked(outbound)
        answer = await send_and_read(address, encode_get())
        assert answer.startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("path", ["/views/long", "/views/large"])
async def test_answer_that_is_not_read_ends(harness, path):
    """Guards against connections that stay for ever with what they hold."""
    backend, outbound, address = await add_path(harness)
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        harness.nursery.start_soon(send_quietly, stream, encode_kept(path) * ANSWERS)
        await wait_until_blocked(outbound)
        with trio.fail_after(20):
            while outbound.exchanges or backend.limiter.in_use:  # noqa: ASYNC110
                await trio.sleep(0.01)
    assert outbound.account.held_bytes == 0


async def test_unread_response_ends_while_others_wait(harness):
    """Guards against callers that hold the slots of a server with long answers."""
    backend, outbound, address = await add_path(harness)
    outbound.limits = ClientLimits()
    outbound.unread_seconds = 0.5
    outbound.has_waiting = lambda: backend.limiter.load.waiting > 0
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        await stream.send_all(encode_kept("/views/long"))
        await wait_until_blocked(outbound)
        await trio.sleep(2 * outbound.unread_seconds)
        assert backend.limiter.in_use == 1
        answer = await send_and_read(address, encode_get())
        assert answer.startswith(b"HTTP/1.1 200 ")


async def test_answer_that_is_read_slowly_goes_on(harness):
    """Guards against a slow caller that counts as one that does not read."""
    _, outbound, address = await add_path(harness)
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        await stream.send_all(encode_kept("/views/long"))
        await wait_until_blocked(outbound)
        received = 0
        for _ in range(READS):
            received += len(await stream.receive_some(READ_BYTES))
            await trio.sleep(IDLE_SECONDS / 2)
        while received < LONG_ANSWER_BYTES:
            piece = await stream.receive_some()
            assert piece
            received += len(piece)


async def send_quietly(stream: trio.SocketStream, data: bytes) -> None:
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await stream.send_all(data)


async def wait_until_blocked(outbound) -> None:
    """Waits until a caller leaves an answer unread, and the system takes no more."""
    blocked, since = None, 0.0
    with trio.fail_after(20):
        while blocked is None or trio.current_time() - since < BLOCKED_SECONDS:
            unread = [
                exchange
                for exchange in outbound.exchanges
                if exchange.has_answered and not exchange.holding.is_settled
            ]
            if not unread or unread[0] is not blocked:
                blocked = unread[0] if unread else None
                since = trio.current_time()
            await trio.sleep(0.01)
