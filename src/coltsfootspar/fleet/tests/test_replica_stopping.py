"""Tests of the planned stop of a replica, with real sockets."""

import random

import attrs
import pytest
import trio

from coltsfootspar.fleet.common import create_fleet_membership
from coltsfootspar.fleet.interfaces import RouteQuery
from coltsfootspar.fleet.replica import FleetReplica
from coltsfootspar.membership import open_udp_port
from coltsfootspar.settings.fleet import FleetReplicaSettings
from coltsfootspar.timers import create_timer_service
from coltsfootspar.wire import Address

from .conftest import HOST, TIMEOUT_SECONDS, create_settings, send_and_read

READ = b"GET /routes HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /routes HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na"


@attrs.define(eq=False)
class CountingAdapter:
    """Adapter that takes each request for a read of the routes and counts them."""

    decoded: int = 0

    def decode_control(self, target, body):
        self.decoded += 1
        return RouteQuery()

    def encode_routes(self, table):
        return b""


@attrs.define(eq=False)
class StoppingReplica:
    """A replica without a seat and without peers.

    :param answers: first lines of what each caller has received.
    """

    process: FleetReplica
    adapter: CountingAdapter
    nursery: trio.Nursery
    stop: trio.Event = attrs.field(factory=trio.Event)
    ended: trio.Event = attrs.field(factory=trio.Event)
    answers: dict[str, bytes] = attrs.field(factory=dict)

    async def run(self) -> None:
        await self.process.run(self.stop.wait)
        self.ended.set()

    def count_begun(self) -> int:
        """Counts the requests in progress and those read whole."""
        return len(self.process._control.exchanges) + self.adapter.decoded

    def serves_operators(self) -> bool:
        control = self.process._control
        return control is not None and control.handler != self.process._reject_control

    async def connect(self) -> trio.SocketStream:
        address = self.process.settings.control
        with trio.fail_after(TIMEOUT_SECONDS):
            while True:
                try:
                    return await trio.open_tcp_stream(address.host, address.port)
                except OSError:
                    await trio.sleep(0.02)

    async def call(self, name: str, stream: trio.SocketStream, data: bytes) -> None:
        received = await send_and_read(stream, data)
        self.answers[name] = received.partition(b"\r\n")[0][:12]


@pytest.fixture
async def stopping(tmp_path):
    settings = create_settings(
        FleetReplicaSettings,
        id="core-1",
        data_folder=str(tmp_path),
        is_first_start=False,
    )
    source = random.Random(1)
    timers = create_timer_service(source)
    address = Address(HOST, settings.peer_port)
    async with open_udp_port(Address(HOST, settings.gossip_port)) as port:
        membership = create_fleet_membership(settings, port, address, timers, source)
        adapter = CountingAdapter()
        process = FleetReplica(settings, adapter, membership, timers, source)
        async with trio.open_nursery() as nursery:
            yield StoppingReplica(process, adapter, nursery)
            nursery.cancel_scope.cancel()


async def test_stopping_replica_answers_each_operator(stopping):
    """Guards against a change that a stop takes late and ends without an answer."""
    stopping.nursery.start_soon(stopping.run)
    with trio.fail_after(TIMEOUT_SECONDS):
        while not stopping.serves_operators():  # noqa: ASYNC110
            await trio.sleep(0.01)
    early, held, open_body = [await stopping.connect() for _ in range(3)]
    await held.send_all(POST)
    async with trio.open_nursery() as callers:
        callers.start_soon(stopping.call, "early", early, READ)
        callers.start_soon(stopping.call, "open-body", open_body, POST)
        with trio.fail_after(TIMEOUT_SECONDS):
            while stopping.count_begun() < 4:  # noqa: ASYNC110
                await trio.sleep(0.01)
        stopping.stop.set()
        await trio.sleep(0.3)
        new = await stopping.connect()
        callers.start_soon(stopping.call, "new", new, READ)
        await trio.sleep(1.8)
        callers.start_soon(stopping.call, "late-body", held, b"b")
    with trio.fail_after(TIMEOUT_SECONDS):
        await stopping.ended.wait()
    names = ("early", "open-body", "new", "late-body")
    assert stopping.answers == dict.fromkeys(names, b"HTTP/1.1 503")
    assert stopping.adapter.decoded == 1
