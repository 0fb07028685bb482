"""Backend servers, nodes and callers on the loopback interface."""

import contextlib
import random

import attrs
import pytest
import trio

from coltsfootspar.relay import (
    BackendReport,
    CallReceiver,
    Forwarder,
    HeaderNames,
    TrafficSplitter,
    create_backend_server,
    create_placement,
    create_relay_server,
    create_retry_budget,
)
from coltsfootspar.routes import (
    Repetition,
    Route,
    RouteTable,
    Service,
    Target,
    create_key_index,
    create_route_matcher,
)
from coltsfootspar.routing import Candidate
from coltsfootspar.testing.ports import find_free_port
from coltsfootspar.wire import Address

NAMES = HeaderNames()
HOST = "127.0.0.1"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def create_route(**changes) -> Route:
    """Creates a route to ``wallet`` under ``/views/``."""
    route = Route(
        name="views",
        host="diary.example",
        prefix="/views/",
        targets=(Target("wallet"),),
        repetition=Repetition.IDEMPOTENT,
        timeout=2.0,
        target_latency=1.0,
        attempts=2,
        rank=1,
    )
    return attrs.evolve(route, **changes)


@attrs.define(eq=False)
class FakeRoutes:
    """Routes in force, set by the test."""

    table: RouteTable
    unconfirmed_seconds: float = 0.0

    @property
    def version(self) -> int:
        return self.table.version

    @property
    def matcher(self):
        return create_route_matcher(self.table)

    @property
    def keys(self):
        return create_key_index(self.table)


@attrs.define(eq=False)
class FakeDirectory:
    """Addresses and data centres of nodes by id."""

    addresses: dict[str, Address] = attrs.field(factory=dict)
    data_centres: dict[str, str] = attrs.field(factory=dict)

    def list_candidates(self, service: str):
        return [
            Candidate(name, service, "r", self.data_centres.get(name, "a"), 4)
            for name in self.addresses
        ]

    def find_address(self, node_id: str):
        return self.addresses.get(node_id)


@attrs.define(eq=False)
class ScriptedServer:
    """A backend server that responds to each request by a script.

    :param script: called with the stream and the bytes of the request head; closes
        the connection by returning False.
    :param heads: heads of the requests received.
    :param body_start: part of the body received together with the last head.
    :param closed: set once a caller has closed a connection.
    """

    address: Address
    script: object
    heads: list[bytes] = attrs.field(factory=list)
    body_start: bytes = b""
    closed: trio.Event = attrs.field(factory=trio.Event)

    async def serve(self, *, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(self.address.port, host=HOST)
        task_status.started()
        await trio.serve_listeners(self._handle, listeners)

    async def _handle(self, stream):
        data = b""
        with contextlib.suppress(trio.BrokenResourceError):
            while chunk := await stream.receive_some():
                data += chunk
                while b"\r\n\r\n" in data:
                    head, _, data = data.partition(b"\r\n\r\n")
                    self.heads.append(head)
                    self.body_start = data
                    if await self.script(stream, head) is False:
                        await stream.aclose()
                        return
        self.closed.set()


@attrs.define(eq=False)
class RelayHarness:
    """Starts backend servers and nodes in one nursery.

    :param own_host: host of the entry node; requests from it are nested calls.
    """

    nursery: trio.Nursery
    own_host: str = "127.0.0.99"
    directory: FakeDirectory = attrs.field(factory=FakeDirectory)
    routes: FakeRoutes = attrs.field(
        factory=lambda: FakeRoutes(
            RouteTable(1, 0, (create_route(),), (Service("wallet", 9),))
        )
    )

    async def add_server(self, script) -> ScriptedServer:
        """Starts a backend server."""
        server = ScriptedServer(Address(HOST, find_free_port(HOST)), script)
        await self.nursery.start(server.serve)
        return server

    async def add_node(self, name: str, server_address: Address, slots: int = 4):
        """Starts the inbound side of a node with its backend server."""
        backend = create_backend_server(NAMES, lambda: None)
        backend.apply_report(create_report(server_address, slots=slots))
        inbound = create_relay_server(CallReceiver(backend, NAMES).handle)
        address = Address(HOST, find_free_port(HOST))
        await self.nursery.start(inbound.serve, address)
        self.directory.addresses[name] = address
        return backend

    async def add_entry_node(self, backend=None, ahead=None):
        """Starts the outbound side of a node, by default without a backend server.

        :param ahead: limits on requests that callers send ahead.
        """
        forwarder = Forwarder(
            "entry",
            self.own_host,
            "diaries",
            self.routes,
            self.directory,
            create_placement("a", random.Random(1)),
            create_retry_budget(1.0, 10.0, 10.0),
            TrafficSplitter(),
            backend or create_backend_server(NAMES, lambda: None),
            NAMES,
        )
        server = create_relay_server(forwarder.handle, ahead)
        address = Address(HOST, find_free_port(HOST))
        await self.nursery.start(server.serve, address)
        return forwarder, server, address


def create_report(address: Address, **changes) -> BackendReport:
    """Creates a status report of a ready backend server of ``wallet``."""
    report = BackendReport("i-1", "wallet", address, 4, False, 0.0, 1, 1)
    return attrs.evolve(report, **changes)


@pytest.fixture
async def harness():
    async with trio.open_nursery() as nursery:
        yield RelayHarness(nursery)
        nursery.cancel_scope.cancel()


async def send_and_read(
    address: Address, data: bytes, *, until_closed: bool = True
) -> bytes:
    """Sends bytes and returns all received bytes until the connection ends.

    :param until_closed: false returns after the head of the response.
    """
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        await stream.send_all(data)
        received = b""
        with trio.fail_after(20), contextlib.suppress(trio.BrokenResourceError):
            while chunk := await stream.receive_some():
                received += chunk
                if not until_closed and b"\r\n\r\n" in received:
                    break
        return received


def encode_get(
    path: str = "/views/1", extra: str = "", request_id: str = "r1"
) -> bytes:
    """Encodes a request that closes the connection after the response."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: diary.example\r\nConnection: close\r\n"
        f"{NAMES.request_id.decode()}: {request_id}\r\n{extra}\r\n"
    ).encode()


def encode_post(body: bytes, extra: str = "") -> bytes:
    """Encodes a request with a body that closes the connection after the response."""
    return (
        f"POST /views/1 HTTP/1.1\r\nHost: diary.example\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n{extra}\r\n"
    ).encode() + body
