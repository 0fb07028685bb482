"""Answers that are none must be errors for both clients."""

import contextlib
import socket
import struct

import pytest
import trio

from coltsfootspar.exceptions import TransferError
from coltsfootspar.web import HttpRequest
from coltsfootspar.web.tests.test_web import CLIENTS, LIMITS, open_raw_server

_NO_LINGER = struct.pack("ii", 1, 0)
_STATUSES = ("000", "099", "600", "999", "2000", "20", "")
_ATTEMPTS = 8


async def check_no_answer(client, serve, body=b""):
    """Checks that a client finds no answer in what a server sends."""

    async def serve_until_reset(stream):
        async with stream:
            with contextlib.suppress(trio.BrokenResourceError):
                await serve(stream)

    async with open_raw_server(serve_until_reset) as address:
        request = HttpRequest("POST", "/", ((b"host", b"a"),), body)
        with trio.fail_after(30), pytest.raises(TransferError) as caught:
            await CLIENTS[client](LIMITS).send(address, request)
        assert caught.value.may_have_run


@pytest.mark.parametrize("status", _STATUSES)
@pytest.mark.parametrize("client", CLIENTS)
async def test_status_that_does_not_exist_is_an_error(client, status):
    """Guards against a server in trouble whose bytes reach the caller."""

    async def serve(stream):
        await stream.receive_some(1000)
        line = f"HTTP/1.1 {status} Odd\r\ncontent-length: 4\r\n\r\nbody"
        await stream.send_all(line.encode())

    await check_no_answer(client, serve)


@pytest.mark.parametrize("client", CLIENTS)
async def test_reset_during_the_upload_does_not_complete_an_answer(client):
    """Guards against a part of an answer that is taken for all of it."""

    async def serve(stream):
        await stream.receive_some(1000)
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\npart")
        await trio.sleep(0.03)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)

    for _ in range(_ATTEMPTS):
        await check_no_answer(client, serve, b"x" * 6_000_000)
