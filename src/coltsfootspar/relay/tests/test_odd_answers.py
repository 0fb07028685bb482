"""Answers that are none: cut by a reset, or with a status that HTTP does not have."""

import socket
import struct

import pytest
import trio

from .conftest import (
    create_route,
    encode_get,
    encode_post,
    send_and_read,
)

_NO_LINGER = struct.pack("ii", 1, 0)
_BODY = b"x" * 6_000_000
_ATTEMPTS = 12


async def reset_early(stream, head):
    """Answers at once without a length, and resets while the upload goes on."""
    await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\npart of the answer")
    await trio.sleep(0.03)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    return False


async def test_reset_during_the_upload_does_not_complete_an_answer(harness):
    """Guards against a part of an answer that reaches the caller as complete."""
    server = await harness.add_server(reset_early)
    await harness.add_node("n1", server.address)
    _, _, address = await harness.add_entry_node()
    for _ in range(_ATTEMPTS):
        answer = await send_and_read(address, encode_post(_BODY))
        is_complete = b"chunked" not in answer or answer.endswith(b"\r\n0\r\n\r\n")
        assert not (b" 200 " in answer[:20] and is_complete), answer[:200]


@pytest.mark.parametrize("status", ["000", "099", "600", "999", "2000", "20", ""])
async def test_answer_with_a_status_that_does_not_exist_is_none(harness, status):
    """Guards against an upstream in trouble whose bytes reach the caller."""

    async def respond(stream, head):
        line = f"HTTP/1.1 {status} Odd\r\nContent-Length: 4\r\n\r\nbody"
        await stream.send_all(line.encode())
        return False

    route = create_route(attempts=1, timeout=3.0)
    harness.routes.table = type(harness.routes.table)(
        1, 0, (route,), harness.routes.table.services
    )
    server = await harness.add_server(respond)
    await harness.add_node("n1", server.address)
    _, _, address = await harness.add_entry_node()
    answer = await send_and_read(address, encode_get())
    assert answer.startswith(b"HTTP/1.1 502 "), answer[:100]
    assert b"body" not in answer
