"""An idle connection must not keep its last input."""

import tracemalloc

import trio

from coltsfootspar.web import HttpResponse
from coltsfootspar.web.server import create_h11_server
from coltsfootspar.wire import Address

_BODY_BYTES = 60_000
_CLIENTS = 40
# For the objects of an idle connection.
_MOST_BYTES = 24_576
_POST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % _BODY_BYTES


async def _answer(request):
    return HttpResponse(200, (), b"ok")


async def test_idle_connection_keeps_no_input():
    """Guards against input for each idle connection, which nothing counts."""
    server = create_h11_server(_answer)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve, Address("127.0.0.1", 0))
        tracemalloc.start()
        try:
            streams = []
            for _ in range(_CLIENTS):
                stream = await trio.open_tcp_stream(address.host, address.port)
                await stream.send_all(_POST + bytes(_BODY_BYTES))
                assert b" 200 " in await stream.receive_some()
                streams.append(stream)
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert held_bytes < _CLIENTS * _MOST_BYTES
        nursery.cancel_scope.cancel()
