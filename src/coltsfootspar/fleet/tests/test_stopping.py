"""Tests of the planned stop of a node, with real sockets and a short grace period."""

import logging

import attrs
import pytest
import trio

from coltsfootspar.fleet.node import FleetNode, _create_node
from coltsfootspar.fleet.reloading import SettingsFile
from coltsfootspar.membership import open_udp_port
from coltsfootspar.relay import (
    BackendReport,
    CallReceiver,
    HeaderNames,
    create_backend_server,
    create_relay_server,
)
from coltsfootspar.relay.calls import CALL_HEADER, OUTCOME_HEADER
from coltsfootspar.routes import (
    ClientLimits,
    Repetition,
    Route,
    RouteTable,
    Service,
    Target,
)
from coltsfootspar.routing import Candidate
from coltsfootspar.settings.fleet import FleetBounds, FleetNodeSettings
from coltsfootspar.wire import Address

from .conftest import (
    HOST,
    TIMEOUT_SECONDS,
    create_settings,
    find_free_address,
    send_and_read,
)

NAMES = HeaderNames()
GRACE_SECONDS = 3.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@attrs.frozen
class StubAdapter:
    """Adapter without control requests."""

    names: HeaderNames = NAMES

    def decode_control(self, target, body):
        return None

    def encode_routes(self, table):
        return b""


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
class StubDirectory:
    """Directory with one other node."""

    address: Address

    def list_candidates(self, service):
        return (Candidate("n-2", service, "r", "a", 16),)

    def find_address(self, node_id):
        return self.address


@attrs.define(eq=False)
class StoppingNode:
    """A node, another one, and their backend server, which holds some requests.

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
        report = BackendReport(
            "i-1", "wallet", Address(HOST, port), 16, False, 0.0, 1, 1
        )
        other = create_backend_server(NAMES, lambda: None)
        other.apply_report(report)
        address = find_free_address()
        server = create_relay_server(CallReceiver(other, NAMES).handle)
        await self.nursery.start(server.serve, address)
        self.nursery.start_soon(self._run)
        self.node.routes.apply(ROUTES)
        self.node.backend.apply_report(report)
        self.node.forwarder._directory = StubDirectory(address)
        with trio.fail_after(TIMEOUT_SECONDS):
            # The node does not announce that its servers listen.
            while not await self._is_ready():  # noqa: ASYNC110
                await trio.sleep(0.02)

    async def _is_ready(self) -> bool:
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


@pytest.fixture
async def stopping(tmp_path):
    settings = create_settings(
        FleetNodeSettings,
        id="n-1",
        bounds=FleetBounds(grace_seconds=GRACE_SECONDS),
        service="wallet",
        inbound=find_free_address(),
        outbound=find_free_address(),
        ready=find_free_address(),
    )
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


async def test_starting_node_has_room_for_the_headers_of_nodes(stopping):
    """Guards against calls refused for heads that were legal at their first node."""
    node = stopping.node
    assert node.outbound.limits == ClientLimits()
    assert node.inbound.limits.header_bytes == 2 * ClientLimits().header_bytes


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
    assert lines[0]["sent_to"] == ["n-2"]
    assert stopping.exit_codes == [3]


@attrs.define(eq=False)
class LateCallers:
    """Callers whose requests arrive while a stopping node waits for a long call.

    :param answers: bytes that each caller has received when its connection ended.
    """

    stopping: StoppingNode
    answers: dict[str, bytes] = attrs.field(factory=dict)

    async def call(self, name: str, stream: trio.SocketStream, data: bytes) -> None:
        self.answers[name] = await send_and_read(stream, data)

    async def open_kept(self) -> trio.SocketStream:
        """Opens a connection and completes one request on it."""
        stream = await self.stopping.open_caller()
        await stream.send_all(encode("GET", "/long/first"))
        assert b"200" in await stream.receive_some()
        return stream

    def list_passed_on(self) -> list[str]:
        """Lists the callers whose late requests reached the backend server."""
        return [name for name in self.answers if f"/{name}/held" in self.stopping.paths]


def is_refused(answer: bytes) -> bool:
    """Tells whether an answer promises that the request has not run."""
    head = answer.partition(b"\r\n\r\n")[0] + b"\r\n"
    return (
        head.startswith(b"HTTP/1.1 503")
        and OUTCOME_HEADER + b": not-run\r\n" in head
        and b"Retry-After: " in head
        and b"Connection: close\r\n" in head
    )


async def test_late_requests_are_not_passed_on_and_cut(stopping):
    """Guards against requests that a stop takes late and cuts at a working server."""
    late = LateCallers(stopping)
    kept = await late.open_kept()
    slow_body = await stopping.open_caller()
    half_body = await stopping.open_caller()
    length = "Content-Length: 2\r\n"
    inbound = []

    async def call_inbound():
        inbound.append(await stopping.call_as_node("/long/inbound/held", 30.0))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call_inbound)
        await stopping.wait_reached("/long/inbound/held")
        await slow_body.send_all(encode("POST", "/once/body/held", length))
        await half_body.send_all(encode("POST", "/once/half/held", length))
        stopping.stop.set()
        early = encode("POST", "/once/early/held")
        stream = await stopping.open_caller()
        nursery.start_soon(late.call, "early", stream, early)
        await stopping.wait_reached("/once/early/held")
        await trio.sleep(GRACE_SECONDS / 2)
        async with trio.open_nursery() as callers:
            for name, stream, data in (
                ("long/kept", kept, encode("GET", "/long/kept/held")),
                ("long/new", None, encode("GET", "/long/new/held")),
                ("once/new", None, encode("POST", "/once/new/held")),
                ("once/body", slow_body, b"ab"),
            ):
                stream = stream or await stopping.open_caller()
                callers.start_soon(late.call, name, stream, data)
        nursery.start_soon(late.call, "once/half", half_body, b"a")
        stopping.release.set()
    await stopping.ended.wait()
    assert late.list_passed_on() == []
    # An idle connection may end unread before its next request.
    assert late.answers["long/kept"] == b"" or is_refused(late.answers["long/kept"])
    for name in ("long/new", "once/new", "once/body", "once/half"):
        assert is_refused(late.answers[name]), name
    assert late.answers["early"].endswith(b"ok")
    assert inbound[0].endswith(b"ok")
    assert stopping.exit_codes == [0]


async def test_request_read_during_the_departure_is_not_passed_on(
    stopping, monkeypatch
):
    """Guards against a request that the end of the process cuts at its server."""
    stream, departing = await stopping.open_caller(), trio.Event()
    answer_read = trio.Event()
    data = encode("POST", "/once/departure/held")

    async def depart(membership):
        departing.set()
        await answer_read.wait()

    monkeypatch.setattr(type(stopping.node.membership), "depart", depart)
    await stream.send_all(data[:-2])
    stopping.stop.set()
    await departing.wait()
    await stream.send_all(data[-2:])
    with trio.fail_after(TIMEOUT_SECONDS):
        answer = await receive_some_within(stream, GRACE_SECONDS / 4)
        answer_read.set()
        await stopping.ended.wait()
    assert stopping.paths == []
    assert is_refused(answer)


async def receive_some_within(stream: trio.SocketStream, seconds: float) -> bytes:
    """Receives bytes; empty when none arrive in time."""
    with trio.move_on_after(seconds):
        return await stream.receive_some()
    return b""


async def test_stop_answers_a_status_report_whose_body_is_late(stopping):
    """Guards against a backend server whose report a stop ends without an answer."""
    control = stopping.node.settings.control
    stream = await trio.open_tcp_stream(control.host, control.port)
    answers = []

    async def report():
        data = encode("POST", "/report", body=b"{}")
        answers.append(await send_and_read(stream, data[:-1]))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(report)
        with trio.fail_after(TIMEOUT_SECONDS):
            while not stopping.node.control.exchanges:  # noqa: ASYNC110
                await trio.sleep(0.01)
            stopping.stop.set()
            await stopping.ended.wait()
    assert answers[0].startswith(b"HTTP/1.1 503")
    assert stopping.exit_codes == [0]


@pytest.mark.parametrize(("wait", "status"), [(0.1, b"200"), (0.5, b"503")])
async def test_stop_answers_requests_sent_ahead(stopping, wait, status):
    """Guards against requests sent ahead that run, and are cut or sent again.

    The one that must not run twice is refused if its turn comes late in the stop.
    """
    caller = await stopping.open_caller()
    answers = []

    async def call(*paths):
        data = b"".join(encode("GET", path) for path in paths)
        answers.append(await send_and_read(caller, data))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call, "/long/1/held", "/long/2", "/once/3", "/long/4/held")
        await stopping.wait_reached("/long/1/held")
        await stopping.wait_reached("/long/4/held")
        stopping.stop.set()
        await trio.sleep(wait * GRACE_SECONDS)
        assert "/once/3" not in stopping.paths
        stopping.release.set()
    await stopping.ended.wait()
    heads = answers[0].split(b"HTTP/1.1 ")[1:]
    assert [head[:3] for head in heads] == [b"200", b"200", status, b"200"]
    assert [b"Connection: close" in head for head in heads] == [False] * 3 + [True]
    assert ("/once/3" in stopping.paths) is (status == b"200")
    assert stopping.exit_codes == [0]
