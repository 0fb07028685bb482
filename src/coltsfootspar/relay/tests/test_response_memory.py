"""Responses count while they are buffered, and stay with their servers in a crowd."""

import contextlib

import pytest
import trio

from coltsfootspar.memory import MemoryAccount
from coltsfootspar.relay.client import ConnectionPool, OutgoingRequest
from coltsfootspar.wire import Address

_REQUEST = OutgoingRequest(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
_BODY_BYTES = 2_000_000
_BUFFER_BYTES = 262_144
_BUDGET_BYTES = 1 << 20
# A read of a socket.
_PIECE_BYTES = 65_536


@pytest.fixture
def account():
    return MemoryAccount(_BUDGET_BYTES)


@contextlib.asynccontextmanager
async def open_response(account):
    """Opens a connection on which a response has been received in part."""

    async def serve(stream):
        await stream.receive_some()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % _BODY_BYTES
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(head + bytes(_BODY_BYTES))

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        address = Address("127.0.0.1", listener.socket.getsockname()[1])
        pool = ConnectionPool(address, account)
        connection, response = await pool.exchange(_REQUEST, _BUFFER_BYTES)
        yield pool, connection, response
        connection.close()
        nursery.cancel_scope.cancel()


async def test_buffered_response_counts_until_it_is_sent(account):
    """Guards against responses that fill the process uncounted."""
    async with open_response(account) as (_, connection, response):
        assert account.held_bytes == response.received_bytes > _BUFFER_BYTES
        size = len(await connection.read_body(response))
        assert account.held_bytes == size
        while piece := await connection.read_body(response):
            assert account.held_bytes == 0
            size += len(piece)
        assert size == _BODY_BYTES


@pytest.mark.parametrize("is_returned", [False, True])
async def test_response_that_is_not_needed_is_released(account, is_returned):
    """Guards against memory that counts for ever."""
    async with open_response(account) as (pool, connection, _):
        if is_returned:
            pool.return_connection(connection)
        else:
            connection.close()
        assert account.held_bytes == 0


async def test_response_stays_with_its_server_in_a_crowd(account):
    """Guards against buffering that lets a crowd of slow readers fill the process."""
    account.open_settled(_BUDGET_BYTES)
    async with open_response(account) as (_, connection, response):
        assert response.received_bytes <= _PIECE_BYTES
        size = 0
        while piece := await connection.read_body(response):
            size += len(piece)
        assert size == _BODY_BYTES
