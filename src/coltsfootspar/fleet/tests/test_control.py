"""Tests of the control address with requests of any size."""

import attrs
import trio

from coltsfootspar.exceptions import ReplicationError
from coltsfootspar.fleet.control import ReplicaControl, create_control_handler
from coltsfootspar.fleet.interfaces import RouteChange
from coltsfootspar.relay import create_relay_server
from coltsfootspar.replication.commands import MAX_COMMAND_BYTES
from coltsfootspar.routes import RouteTable

from .conftest import TIMEOUT_SECONDS, find_free_address


@attrs.define(eq=False)
class CountingAdapter:
    """Adapter that takes each request for a change of the routes and counts them."""

    decoded: int = 0

    def decode_control(self, target, body):
        self.decoded += 1
        return RouteChange(RouteTable(2, 1), b"d")


class StubClient:
    """Client of a cluster to which each change is too large."""

    async def replace_routes(self, command, timeout):
        raise ReplicationError("too large", code="command-size")


async def send_change(address, body_bytes):
    """Sends a change and returns the status line of the response."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    head = f"POST /routes HTTP/1.1\r\nHost: a\r\nContent-Length: {body_bytes}\r\n\r\n"

    async def send():
        await stream.send_all(head.encode() + bytes(body_bytes))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        received = await stream.receive_some()
        nursery.cancel_scope.cancel()
    await stream.aclose()
    return received.partition(b"\r\n")[0]


async def test_change_that_is_too_large_is_refused_before_it_is_decoded():
    """Guards against a body that fills the memory, and one without a response."""
    adapter = CountingAdapter()
    control = ReplicaControl(StubClient(), adapter)
    server = create_relay_server(create_control_handler(adapter, control.serve).handle)
    address = find_free_address()
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve, address)
            too_large = await send_change(address, MAX_COMMAND_BYTES)
            assert adapter.decoded == 0
            refused_by_replicas = await send_change(address, 10)
            assert adapter.decoded == 1
            nursery.cancel_scope.cancel()
    assert too_large.startswith(b"HTTP/1.1 413")
    assert refused_by_replicas.startswith(b"HTTP/1.1 413")
