"""Requests that give way to others for lack of memory."""

import pytest
import trio

from coltsfootspar.memory import MemoryAccount

from .conftest import OK, encode_get, encode_post, send_and_read

BUDGET_BYTES = 400_000
BODY = b"x" * 300_000


@pytest.fixture
async def entry(harness):
    async def respond(stream, head):
        await stream.send_all(OK)

    server = await harness.add_server(respond)
    await harness.add_node("n1", server.address)
    _, outbound, address = await harness.add_entry_node()
    outbound.account = MemoryAccount(BUDGET_BYTES)
    return outbound, address, server


async def test_evicted_request_is_refused_and_never_sent(entry):
    """Guards against a body that goes on in part after it was dropped."""
    outbound, address, server = entry
    async with await trio.open_tcp_stream(address.host, address.port) as stalled:
        await stalled.send_all(encode_post(BODY)[:-1])
        with trio.fail_after(20):
            while outbound.account.held_bytes < len(BODY):  # noqa: ASYNC110
                await trio.sleep(0.01)
        await trio.sleep(1.1)
        answer = await send_and_read(address, encode_post(BODY))
        assert answer.startswith(b"HTTP/1.1 200 ")
        refusal = await stalled.receive_some()
        assert refusal.startswith(b"HTTP/1.1 503 ")
        assert b"no-memory" in refusal
    assert len(server.heads) == 1
    assert outbound.account.held_bytes == 0


async def test_head_in_pieces_leaves_nothing_held(entry):
    """Guards against requests that count as held after their head is complete."""
    outbound, address, _ = entry
    request = encode_get(extra="A: b\r\n" * 100)
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        await stream.send_all(request[:-50])
        await trio.sleep(0.1)
        assert outbound.account.held_bytes > 0
        await stream.send_all(request[-50:])
        assert (await stream.receive_some()).startswith(b"HTTP/1.1 200 ")
        assert outbound.account.held_bytes == 0


async def test_streamed_request_that_waits_for_its_server_stays(harness):
    """Guards against a request that is ended for a server's time, not its caller's."""
    arrived, release = trio.Event(), trio.Event()

    async def respond(stream, head):
        while await stream.receive_some() and not head_ends(outbound):
            pass
        arrived.set()
        await release.wait()
        await stream.send_all(OK)

    def head_ends(outbound):
        return all(exchange.request.is_complete for exchange in outbound.exchanges)

    server = await harness.add_server(respond)
    await harness.add_node("n1", server.address)
    _, outbound, address = await harness.add_entry_node()
    body = bytes(2 << 20)
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        harness.nursery.start_soon(stream.send_all, encode_post(body))
        with trio.fail_after(20):
            await arrived.wait()
        await trio.sleep(1.1)
        (exchange,) = outbound.exchanges
        assert exchange.holding.held_bytes > 0
        assert not exchange.holding.is_stalled(trio.current_time())
        release.set()
        with trio.fail_after(20):
            assert (await stream.receive_some()).startswith(b"HTTP/1.1 200 ")
