"""Tests of requests that a caller sends before the earlier ones are answered."""

import re

import attrs
import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from coltsfootspar.exceptions import TransferError
from coltsfootspar.relay import AheadLimits, create_relay_server
from coltsfootspar.relay.exchanges import EXCHANGE_BYTES
from coltsfootspar.relay.messages import MAX_PARSED_REQUESTS, RequestReader, Response
from coltsfootspar.routes import ClientLimits, Repetition, RouteTable, Service
from coltsfootspar.wire import Address

from .conftest import HOST, NAMES, OK, create_route, find_free_port

SHORTEST = b"GET / HTTP/1.1\r\n\r\n"
CLOSE = "Connection: close\r\n"
LIMITS = AheadLimits()


def encode(path: str, extra: str = "", body: bytes = b"") -> bytes:
    """Encodes a request; one with a body has the method POST."""
    if body:
        extra += f"Content-Length: {len(body)}\r\n"
    method = "POST" if body else "GET"
    head = f"{method} {path} HTTP/1.1\r\nHost: diary.example\r\n{extra}\r\n"
    return head.encode() + body


def encode_paths(count: int) -> bytes:
    """Encodes requests to /1, /2 and so on; the last one closes the connection."""
    paths = [f"/{i}" for i in range(1, count)]
    return b"".join(map(encode, paths)) + encode(f"/{count}", CLOSE)


def list_answers(data: bytes) -> list[tuple[int, bytes]]:
    """Returns the status and the body of each response in the data."""
    answers = []
    while data:
        head, _, data = data.partition(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
        length = re.search(rb"Content-Length: (\d+)", head)
        size = int(length[1]) if length else 0
        answers.append((status, data[:size]))
        data = data[size:]
    return answers


@attrs.define(eq=False)
class AheadHarness:
    """A server, a caller and a handler that holds some requests.

    Responds with the path of the request, to /1 only once it is released.

    :param started: paths in the order in which their requests were started.
    :param ended: paths of requests whose handler has ended, also by a cancellation.
    """

    started: list[str] = attrs.field(factory=list)
    ended: list[str] = attrs.field(factory=list)
    release: trio.Event = attrs.field(factory=trio.Event)
    stream: trio.SocketStream | None = None
    server: object = None

    async def start(self, nursery, handle, limits=LIMITS, account=None):
        async def record(exchange):
            path = exchange.request.target.decode()
            self.started.append(path)
            try:
                await handle(exchange)
            finally:
                self.ended.append(path)

        self.server = create_relay_server(record, limits, account=account)
        address = Address(HOST, find_free_port(HOST))
        await nursery.start(self.server.serve, address)
        self.stream = await trio.open_tcp_stream(address.host, address.port)

    async def hold_first(self, exchange):
        if exchange.request.target == b"/1":
            await self.release.wait()
        await exchange.answer(200, [], exchange.request.target)

    async def wait_started(self, count: int) -> None:
        with trio.fail_after(20):
            while len(self.started) < count:  # noqa: ASYNC110
                await trio.sleep(0.001)
        await wait_all_tasks_blocked(0.01)

    async def read_all(self) -> list[tuple[int, bytes]]:
        received = b""
        with trio.fail_after(20):
            while data := await self.stream.receive_some():
                received += data
        return list_answers(received)


def measure_request(data):
    """Returns the memory that counts for a request without a body."""
    reader = RequestReader()
    reader.feed(data)
    return EXCHANGE_BYTES + reader.messages[0].head_cost


@pytest.fixture
async def ahead(harness):
    ahead = AheadHarness()
    yield ahead
    if ahead.stream is not None:
        await ahead.stream.aclose()


@pytest.mark.parametrize("is_split", [False, True])
async def test_answers_have_the_order_of_the_requests(harness, ahead, is_split):
    """Guards against requests that wait for others, and against mixed-up answers."""
    await ahead.start(harness.nursery, ahead.hold_first)
    data = encode_paths(4)
    size = len(encode("/1")) if is_split else len(data)
    await ahead.stream.send_all(data[:size])
    await ahead.wait_started(1)
    await ahead.stream.send_all(data[size:])
    await ahead.wait_started(4)
    assert sorted(ahead.ended) == ["/2", "/3", "/4"]
    ahead.release.set()
    assert await ahead.read_all() == [(200, b"/%d" % i) for i in range(1, 5)]
    assert not ahead.server.exchanges


@pytest.mark.parametrize(
    ("limits", "most"),
    [
        (AheadLimits(requests=3), 3),
        (AheadLimits(held_bytes=3 * measure_request(encode("/1")) + 5), 4),
    ],
    ids=["requests", "bytes"],
)
async def test_connection_holds_no_more_than_its_limits(harness, ahead, limits, most):
    """Guards against a caller that makes the node hold requests without end."""
    await ahead.start(harness.nursery, ahead.hold_first, limits)
    data = encode_paths(9)
    size = len(encode("/1")) * 4
    # Answers have two bytes each.
    await ahead.stream.send_all(data[:size])
    await ahead.wait_started(most)
    await ahead.stream.send_all(data[size:])
    await wait_all_tasks_blocked(0.01)
    assert len(ahead.started) == most
    ahead.release.set()
    assert len(await ahead.read_all()) == 9


async def test_nothing_behind_a_closing_request_is_started(harness, ahead):
    """Guards against a request that runs, is not answered and is sent again."""
    await ahead.start(harness.nursery, ahead.hold_first)
    await ahead.stream.send_all(encode_paths(2) + encode("/3"))
    await ahead.wait_started(2)
    ahead.release.set()
    assert await ahead.read_all() == [(200, b"/1"), (200, b"/2")]
    assert len(ahead.started) == 2


@pytest.mark.parametrize("limits", [None, AheadLimits()], ids=["one", "ahead"])
async def test_malformed_request_leaves_those_before_it(harness, ahead, limits):
    """Guards against the refusal of a good request for a fault behind it."""
    await ahead.start(harness.nursery, ahead.hold_first, limits)
    await ahead.stream.send_all(encode("/1") + encode("/2") + b"nonsense\r\n\r\n")
    await ahead.wait_started(1)
    ahead.release.set()
    assert await ahead.read_all() == [(200, b"/1"), (200, b"/2"), (400, b"")]


@pytest.mark.parametrize("limits", [None, AheadLimits()], ids=["one", "ahead"])
@pytest.mark.parametrize(
    "head",
    [
        b"CONNECT host:1 HTTP/1.1\r\n\r\n",
        encode("/2", "Connection: Upgrade\r\nUpgrade: h2c\r\n"),
        encode("/2", "Connection: Upgrade\r\nUpgrade: h2c\r\n", b"body"),
    ],
    ids=["connect", "upgrade", "body"],
)
async def test_upgrade_is_refused_and_not_started(harness, ahead, limits, head):
    """Guards against a request that runs and then gets a second response."""
    await ahead.start(harness.nursery, ahead.hold_first, limits)
    ahead.release.set()
    await ahead.stream.send_all(encode("/1") + head)
    assert await ahead.read_all() == [(200, b"/1"), (400, b"")]
    assert ahead.started == ["/1"]


async def test_slow_head_is_refused_behind_the_other_answers(harness, ahead):
    """Guards against a refusal that overtakes answers, or closes before them."""
    await ahead.start(harness.nursery, ahead.hold_first)
    ahead.server.limits = ClientLimits(header_seconds=0.1)
    await ahead.stream.send_all(encode("/1") + encode("/2") + b"GET / HTTP/1.1\r\n")
    await ahead.wait_started(2)
    connection = next(iter(ahead.server.exchanges)).connection
    with trio.fail_after(20):
        while not connection.is_head_timed_out:  # noqa: ASYNC110
            await trio.sleep(0.01)
    ahead.release.set()
    assert await ahead.read_all() == [(200, b"/1"), (200, b"/2"), (408, b"")]


async def test_nothing_is_sent_behind_a_response_that_breaks_off(harness, ahead):
    """Guards against a refusal that a caller takes for the rest of a body."""
    pieces = [b"part"]

    async def read():
        if pieces:
            return pieces.pop()
        await ahead.release.wait()
        raise TransferError("broke off", may_have_run=True, code="reset")

    async def handle(exchange):
        response = Response(status=200, header_values={b"content-length": b"20"})
        await exchange.stream_response(response, [], read)

    await ahead.start(harness.nursery, handle)
    ahead.server.limits = ClientLimits(header_seconds=0.1)
    await ahead.stream.send_all(encode("/1") + b"GET / HTTP/1.1\r\n")
    await ahead.wait_started(1)
    connection = next(iter(ahead.server.exchanges)).connection
    with trio.fail_after(20):
        while not connection.is_head_timed_out:  # noqa: ASYNC110
            await trio.sleep(0.01)
    ahead.release.set()
    assert await ahead.read_all() == [(200, b"part")]


async def test_connection_that_was_read_ahead_is_closed_when_idle(harness, ahead):
    """Guards against connections that stay for good, or end while a request runs."""
    await ahead.start(harness.nursery, ahead.hold_first)
    ahead.server.limits = ClientLimits(idle_seconds=0.2)
    await ahead.stream.send_all(encode("/1") + encode("/2"))
    await trio.sleep(0.7)
    ahead.release.set()
    assert await ahead.read_all() == [(200, b"/1"), (200, b"/2")]


async def test_draining_server_answers_what_it_has_read(harness, ahead):
    """Guards against a stop that closes a connection before the last answer."""
    await ahead.start(harness.nursery, ahead.hold_first)
    await ahead.stream.send_all(encode("/1") + encode("/2"))
    await ahead.wait_started(2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ahead.server.drain)
        await wait_all_tasks_blocked(0.01)
        await ahead.stream.send_all(encode("/3") + encode("/4"))
        await wait_all_tasks_blocked(0.01)
        ahead.release.set()
        assert await ahead.read_all() == [(200, b"/1"), (200, b"/2")]
    assert len(ahead.started) == 2


async def test_request_that_crosses_a_stop_leaves_the_response_before_it(
    harness, ahead
):
    """Guards against a reset that discards a response on its way to the caller.

    The response has no ``Connection: close``, since it began before the stop.
    """
    body = bytes(32 << 20)

    async def answer(exchange):
        await exchange.answer(200, [], body)

    await ahead.start(harness.nursery, answer)
    await ahead.stream.send_all(encode("/1"))
    await ahead.wait_started(1)
    ahead.server.is_draining = True
    await ahead.stream.send_all(encode("/2"))
    await wait_all_tasks_blocked(0.01)
    assert await ahead.read_all() == [(200, body)]
    assert ahead.started == ["/1"]


async def test_stop_refuses_a_body_that_is_awaited_behind_another_request(
    harness, ahead
):
    """Guards against a status that does not tell the caller that nothing has run."""
    await ahead.start(harness.nursery, ahead.hold_first)
    expecting = encode("/2", "Expect: 100-continue\r\n", b"body")[: -len(b"body")]
    await ahead.stream.send_all(encode("/1") + expecting)
    with trio.fail_after(20):
        while len(ahead.server.exchanges) < 2:  # noqa: ASYNC110
            await trio.sleep(0.001)
    await wait_all_tasks_blocked(0.01)
    ahead.server.is_draining = True
    ahead.server.cancel_incomplete()
    ahead.release.set()
    assert await ahead.read_all() == [(200, b"/1"), (503, b"")]
    assert ahead.started == ["/1"]


async def test_stop_answers_requests_in_their_order(harness, ahead):
    """Guards against requests ahead that get no answer when the time is over."""

    async def wait(exchange):
        exchange.set_deadline(trio.current_time() + 99, lambda: fail(exchange))
        await trio.sleep_forever()

    async def fail(exchange):
        await exchange.answer(504, [], exchange.request.target)

    await ahead.start(harness.nursery, wait)
    await ahead.stream.send_all(encode_paths(3))
    await ahead.wait_started(3)
    ahead.server.is_draining = True
    await ahead.server.expire_in_flight()
    assert await ahead.read_all() == [(504, b"/%d" % i) for i in range(1, 4)]


async def test_disconnect_cancels_all_requests(harness, ahead):
    """Guards against work for a caller whose unread input hides that it has left."""

    async def wait(exchange):
        await trio.sleep_forever()

    await ahead.start(harness.nursery, wait, AheadLimits(requests=2))
    await ahead.stream.send_all(encode_paths(5))
    await ahead.wait_started(2)
    await ahead.stream.aclose()
    with trio.fail_after(20):
        while len(ahead.ended) < 2 or ahead.server.exchanges:  # noqa: ASYNC110
            await trio.sleep(0.01)
    assert len(ahead.started) == 2


async def test_slow_reader_does_not_hold_the_handlers_behind(harness, ahead):
    """Guards against a slot that is held until a caller reads an earlier answer."""
    body = bytes(32 << 20)

    async def answer(exchange):
        is_first = exchange.request.target == b"/1"
        await exchange.answer(200, [], body if is_first else b"second")

    await ahead.start(harness.nursery, answer)
    await ahead.stream.send_all(encode_paths(2))
    await ahead.wait_started(2)
    assert ahead.ended == ["/2"]
    assert await ahead.read_all() == [(200, body), (200, b"second")]


async def test_deadline_of_one_request_leaves_the_others(harness, ahead):
    """Guards against a cancellation that reaches the whole connection."""

    async def handle(exchange):
        if exchange.request.target == b"/2":
            exchange.set_deadline(
                trio.current_time(), lambda: exchange.answer(504, [], b"")
            )
            await trio.sleep_forever()
        await ahead.hold_first(exchange)

    await ahead.start(harness.nursery, handle)
    await ahead.stream.send_all(encode_paths(3))
    with trio.fail_after(20):
        while "/2" not in ahead.ended:  # noqa: ASYNC110
            await trio.sleep(0.01)
    assert "/1" not in ahead.ended
    ahead.release.set()
    assert await ahead.read_all() == [(200, b"/1"), (504, b""), (200, b"/3")]


async def test_failed_and_refused_requests_leave_those_behind(harness, ahead):
    """Guards against answers that are lost since one request of many has failed."""

    async def handle(exchange):
        if exchange.request.target == b"/2":
            raise RuntimeError("fault")
        if exchange.request.target == b"/3":
            await exchange.answer(401, [], b"")
        else:
            await ahead.hold_first(exchange)

    await ahead.start(harness.nursery, handle)
    await ahead.stream.send_all(encode_paths(4))
    await ahead.wait_started(4)
    ahead.release.set()
    assert [status for status, _ in await ahead.read_all()] == [200, 502, 401, 200]


@pytest.mark.parametrize("is_broken", [False, True])
async def test_streamed_answer_waits_for_its_turn(harness, ahead, is_broken):
    """Guards against a stream that is sent, or breaks off, before its turn."""
    pieces = [b"", b"two", b"one"]

    async def read():
        if is_broken and len(pieces) == 2:
            raise TransferError("broke off", may_have_run=True, code="reset")
        return pieces.pop()

    async def handle(exchange):
        if exchange.request.target == b"/2":
            await exchange.stream_response(Response(status=200), [], read)
        else:
            await ahead.hold_first(exchange)

    await ahead.start(harness.nursery, handle)
    await ahead.stream.send_all(encode_paths(3))
    await ahead.wait_started(3)
    assert "/2" in ahead.ended
    ahead.release.set()
    second = (502, b"") if is_broken else (200, b"onetwo")
    assert await ahead.read_all() == [(200, b"/1"), second, (200, b"/3")]


@pytest.mark.parametrize("size", [1, 7, 100_000])
async def test_bodies_of_requests_ahead_are_kept_apart(harness, ahead, size):
    """Guards against a body that is taken for a request, or for another's body."""

    async def echo(exchange):
        await exchange.buffer_body(1 << 20)
        await exchange.answer(200, [], exchange.request.take_body())

    await ahead.start(harness.nursery, echo, AheadLimits(held_bytes=2_000))
    chunked = "Transfer-Encoding: chunked\r\n"
    long = bytes(range(256)) * (size // 100 + 8)
    data = (
        encode("/1", body=b"GET / HTTP/1.1")
        + encode("/2", chunked)
        + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        + encode("/3", "Expect: 100-continue\r\n", body=long)
        + encode("/4", CLOSE, body=b"last")
    )
    for start in range(0, len(data), size):
        await ahead.stream.send_all(data[start : start + size])
        await trio.lowlevel.checkpoint()
    answers = [answer for answer in await ahead.read_all() if answer[0] != 100]
    bodies = [b"GET / HTTP/1.1", b"abcde", long, b"last"]
    assert answers == [(200, body) for body in bodies]


@pytest.mark.parametrize("limits", [None, AheadLimits()], ids=["one", "ahead"])
async def test_two_thousand_requests_in_one_write_are_answered(harness, ahead, limits):
    """Guards against requests that are lost or mixed up when input is held back."""

    async def answer(exchange):
        await exchange.answer(200, [], exchange.request.target)

    await ahead.start(harness.nursery, answer, limits)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ahead.stream.send_all, encode_paths(2_000))
        answers = await ahead.read_all()
    assert answers == [(200, b"/%d" % i) for i in range(1, 2_001)]


def test_few_of_many_short_requests_are_parsed_at_once():
    """Guards against a read of which thousands of requests are made."""
    reader = RequestReader()
    reader.add_input(encode("/", body=b"x" * 9_000) + SHORTEST * 3_000)
    most = 1 + MAX_PARSED_REQUESTS + 2_048 // len(SHORTEST)
    count = 0
    while reader.messages:
        assert len(reader.messages) <= most
        count += len(reader.messages)
        reader.messages.clear()
        reader.add_input(b"")
    assert count == 3_001
    assert not reader.has_input


async def test_requests_that_must_not_run_twice_start_in_their_turn(harness):
    """Guards against such a request that runs and whose answer is never sent."""
    release = trio.Event()

    async def hold(stream, head):
        if b" /views/" in head:
            await release.wait()
        await stream.send_all(OK)

    server = await harness.add_server(hold)
    await harness.add_node("n1", server.address)
    once = create_route(name="pay", prefix="/pay/", repetition=Repetition.ONCE)
    table = RouteTable(1, 0, (create_route(), once), (Service("wallet", 9),))
    harness.routes.table = table
    forwarder, relay, address = await harness.add_entry_node(ahead=AheadLimits())
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        paths = ("/views/1", "/pay/2", "/views/3", "/pay/4")
        ids = [f"{NAMES.request_id.decode()}: {path}\r\n" for path in paths]
        ids[-1] += CLOSE
        await stream.send_all(b"".join(map(encode, paths, ids)))
        with trio.fail_after(20):
            while len(server.heads) < 2:  # noqa: ASYNC110
                await trio.sleep(0.01)
        await wait_all_tasks_blocked(0.01)
        assert not any(b"/pay/" in head for head in server.heads)
        release.set()
        received = b""
        with trio.fail_after(20):
            while data := await stream.receive_some():
                received += data
    assert list_answers(received) == [(200, b"ok")] * 4
    targets = [head.split(b" ")[1] for head in server.heads]
    assert sorted(targets[:2]) == [b"/views/1", b"/views/3"]
    assert targets[2:] == [b"/pay/2", b"/pay/4"]
    assert forwarder.counters.served == 4
    assert relay.connections_ahead == 1
