"""Answers that clients do not read must count, and give way to others."""

import trio

from coltsfootspar.memory import MemoryAccount
from coltsfootspar.testing.crowds import hold_silent, send_ordinary
from coltsfootspar.web import HttpResponse
from coltsfootspar.web.server import create_h11_server
from coltsfootspar.wire import Address

_BUDGET_BYTES = 8 << 20
# More than the buffers of a socket take.
_ANSWER = bytes(8_000_000)
_CLIENTS = 20
_GET = b"GET /%s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


async def _answer(request):
    return HttpResponse(200, (), _ANSWER if request.target == "/large" else b"ok")


async def test_unread_answers_stay_within_the_budget():
    """Guards against answers of any number that wait for their clients uncounted."""
    account = MemoryAccount(_BUDGET_BYTES)
    server = create_h11_server(_answer, account=account)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve, Address("127.0.0.1", 0))
        for _ in range(_CLIENTS):
            stream = await trio.open_tcp_stream(address.host, address.port)
            nursery.start_soon(hold_silent, stream)
            await stream.send_all(_GET % b"large")
        answer = await send_ordinary(address, _GET % b"small")
        assert b" 200 " in answer[:20]
        # One may be alone, however large it is.
        assert account.evictions >= _CLIENTS - 2
        nursery.cancel_scope.cancel()


async def test_large_answer_is_whole_for_a_client_that_reads():
    """Guards against a budget that cuts a single answer."""
    account = MemoryAccount(_BUDGET_BYTES)
    server = create_h11_server(_answer, account=account)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve, Address("127.0.0.1", 0))
        answer = await send_ordinary(address, _GET % b"large")
        assert answer.endswith(_ANSWER)
        assert account.held_bytes == 0
        nursery.cancel_scope.cancel()
