"""Tests of the planned stop of a node, with real sockets and a short grace period."""

import logging
import socket

import attrs
import pytest
import trio

from coltsfootspar.fleet.node import FleetNode, _create_node
from coltsfootspar.fleet.reloading import SettingsFile
from coltsfootspar.membership import open_udp_port
from coltsfootspar.relay import BackendReport, HeaderNames
from coltsfootspar.relay.calls import CALL_HEADER
from coltsfootspar.routes import Repetition, Route, RouteTable, Service, Target
from coltsfootspar.settings.fleet import FleetBounds, FleetNodeSettings
from coltsfootspar.wire import Address

HOST = "127.0.0.1"
NAMES = HeaderNames()
GRACE_SECONDS = 3.0
TIMEOUT_SECONDS = 40
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@attrs.frozen
class StubAdapter:
    """Adapter without control requests."""

    names: HeaderNames = NAMES

    def decode_control(self, target, body):
        return None

    def encode_routes(self, table):
        return b""


def find_free_port(kind=socket.SOCK_STREAM) -> int:
    with socket.socket(type=kind) as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def create_settings(grace_seconds: float) -> FleetNodeSettings:
    return FleetNodeSettings(
        id="n-1",
        host=HOST,
        region="r",
        data_centre="a",
        seeds=(Address(HOST, find_free_port()),),
        shared_key="5f" * 16,
        control=Address(HOST, find_free_port()),
        peer_port=find_free_port(),
        gossip_port=find_free_port(socket.SOCK_DGRAM),
        metrics_port=find_free_port(),
        bounds=FleetBounds(grace_seconds=grace_seconds),
        service="wallet",
        inbound=Address(HOST, find_free_port()),
        outbound=Address(HOST, find_free_port()),
        ready=Address(HOST, find_free_port()),
    )


def create_route(name: str, timeout: float, repetition: Repetition) -> Route:
    return Route(
        name=name,
        host="diary.example",
        prefix=f"/{name}/",
        targets=(Target("wallet"),),
        repetition=repetition,
        timeout=timeout,
        target_latency=1.0,
        attempts=2,
        rank=1,
    )


# The time limit of a request to "long" or "once" is past the end of any stop.
ROUTES = RouteTable(
    1,
    0,
    (
        create_route("long", 30.0, Repetition.IDEMPOTENT),
        create_route("once", 30.0, Repetition.ONCE),
        create_route("short", 0.2, Repetition.IDEMPOTENT),
    ),
    (Service("wallet", 9),),
)


@attrs.define(eq=False)
class StoppingNode:
    """A node and its backend server, which holds the requests that say so.

    :param paths: paths of the requests that have reached the backend server.
    :param release: lets the held requests complete.
    :param stop: tells the node to stop.
    :param exit_codes: exit code of the node, once it has stopped.
    """

    nursery: trio.Nursery
    node: FleetNode
    paths: list[str] = attrs.field(factory=list)
    release: trio.Event = attrs.field(factory=trio.Event)
    stop: trio.Event = attrs.field(factory=trio.Event)
    ended: trio.Event = attrs.field(factory=trio.Event)
    exit_codes: list[int] = attrs.field(factory=list)

    async def start(self) -> None:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        self.nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        self.nursery.start_soon(self._run)
        self.node.routes.apply(ROUTES)
        report = BackendReport(
            "i-1", "wallet", Address(HOST, port), 16, False, 0.0, 1, 1
        )
        self.node.backend.apply_report(report)
        with trio.fail_after(TIMEOUT_SECONDS):
            # The node does not announce that its servers listen.
            while not await self._is_ready():  # noqa: ASYNC110
                await trio.sleep(0.02)

    async def _is_ready(self) -> bool:
        if not self.node.membership.list_candidates("wallet"):
            return False
        try:
            stream = await trio.open_tcp_stream(HOST, self.node.settings.metrics_port)
        except OSError:
            return False
        await stream.aclose()
        return True

    async def _run(self) -> None:
        self.exit_codes.append(await self.node.run(self.stop.wait))
        self.ended.set()

    async def _serve(self, stream) -> None:
        data = b""
        while chunk := await stream.receive_some():
            data += chunk
            while b"\r\n\r\n" in data:
                head, _, data = data.partition(b"\r\n\r\n")
                if b" /" not in head:
                    continue
                path = head.split(b" ")[1].decode()
                self.paths.append(path)
                if path.endswith("held"):
                    await self.release.wait()
                await stream.send_all(OK)

    async def wait_reached(self, path: str) -> None:
        """Waits until a request has reached the backend server."""
        with trio.fail_after(TIMEOUT_SECONDS):
            while path not in self.paths:  # noqa: ASYNC110
                await trio.sleep(0.01)

    async def open_caller(self) -> trio.SocketStream:
        """Opens a connection of a caller on the local host."""
        outbound = self.node.settings.outbound
        return await trio.open_tcp_stream(outbound.host, outbound.port)

    async def call_as_node(self, path: str, seconds: float) -> bytes:
        """Sends a call of another node and returns the response."""
        call = f"wallet;{int(seconds * 1e3)};1;1;1;1000;diaries"
        inbound = self.node.settings.inbound
        stream = await trio.open_tcp_stream(inbound.host, inbound.port)
        data = encode("GET", path, f"{CALL_HEADER.decode()}: {call}\r\n")
        return await send_and_read(stream, data)


def encode(method: str, path: str, extra: str = "", body: bytes = b"") -> bytes:
    """Encodes a request whose id is its path."""
    if body:
        extra += f"Content-Length: {len(body)}\r\n"
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: diary.example\r\n"
        f"{NAMES.request_id.decode()}: {path}\r\n{extra}\r\n"
    )
    return head.encode() + body


async def send_and_read(stream: trio.SocketStream, data: bytes) -> bytes:
    """Sends bytes and returns all received bytes until the connection ends."""
    received = b""
    with trio.fail_after(TIMEOUT_SECONDS):
        try:
            await stream.send_all(data)
            while chunk := await stream.receive_some():
                received += chunk
        except trio.BrokenResourceError:
            pass
        await stream.aclose()
    return received


@pytest.fixture
async def stopping(tmp_path):
    settings = create_settings(GRACE_SECONDS)
    file = SettingsFile(
        str(tmp_path / "settings"), settings, load=lambda path: settings, modified_ns=0
    )
    async with (
        open_udp_port(Address(HOST, settings.gossip_port)) as port,
        trio.open_nursery() as nursery,
    ):
        stopping = StoppingNode(nursery, _create_node(file, StubAdapter(), port))
        await stopping.start()
        yield stopping
        nursery.cancel_scope.cancel()


async def test_requests_cut_at_the_end_of_the_grace_period_are_logged(stopping, caplog):
    """Guards against logs that cannot tell which requests a stop has cut, and why."""
    caller = await stopping.open_caller()
    with caplog.at_level(logging.INFO):
        async with trio.open_nursery() as nursery:
            data = encode("GET", "/long/held")
            nursery.start_soon(send_and_read, caller, data)
            await stopping.wait_reached("/long/held")
            stopping.stop.set()
            nursery.start_soon(stopping.call_as_node, "/short/1", 10.0)
            await stopping.ended.wait()
    lines = [r.fields for r in caplog.records if r.getMessage() == "cut-at-stop"]
    assert [line["request"] for line in lines] == ["/long/held"]
    assert lines[0]["side"] == "caller"
    assert lines[0]["arrived"] < 0 < lines[0]["elapsed"]
    assert lines[0]["sent_to"] == ["i-1"]
    assert stopping.exit_codes == [3]
