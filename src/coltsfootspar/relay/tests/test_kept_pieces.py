"""No piece of a body may stay in memory while its connection waits for the next."""

import tracemalloc

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from coltsfootspar.relay import create_relay_server
from coltsfootspar.relay.client import (
    ClientConnection,
    OutgoingRequest,
    StreamedBody,
)
from coltsfootspar.relay.connections import Connection
from coltsfootspar.relay.exchanges import Exchange
from coltsfootspar.relay.messages import Request, Response
from coltsfootspar.testing.sockets import NullSocket

_HOST = "127.0.0.1"
_PIECE_BYTES = 65_536
_BODIES = 40
# For the objects of a body in progress.
_MOST_BYTES = 16_384


def create_read():
    """Returns a source of one piece, whose next one never comes."""
    count = 0

    async def read():
        nonlocal count
        count += 1
        if count > 1:
            await trio.sleep_forever()
        return bytes(_PIECE_BYTES)

    return read


async def stream_response():
    connection = Connection(create_relay_server(None), NullSocket(), _HOST)
    exchange = Exchange(Request(), connection)
    await exchange.stream_response(Response(status=200), [], create_read())


async def stream_request():
    request = OutgoingRequest(b"head", stream=StreamedBody(create_read(), None))
    await ClientConnection(NullSocket())._send_body(request)


@pytest.mark.parametrize("stream", [stream_response, stream_request])
async def test_piece_that_was_sent_is_not_kept(stream):
    """Guards against a piece for each body whose sender stops, which nothing counts."""
    tracemalloc.start()
    try:
        async with trio.open_nursery() as nursery:
            for _ in range(_BODIES):
                nursery.start_soon(stream)
            await wait_all_tasks_blocked()
            held_bytes, _ = tracemalloc.get_traced_memory()
            nursery.cancel_scope.cancel()
    finally:
        tracemalloc.stop()
    assert held_bytes < _BODIES * _MOST_BYTES
