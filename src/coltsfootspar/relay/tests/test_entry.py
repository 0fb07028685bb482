"""Tests of nested calls, learned call trees and the signals of the entry gate."""

import attrs
import pytest
import trio
from hypothesis import given, settings, strategies as st

from coltsfootspar.calls import Outcome
from coltsfootspar.relay import (
    Call,
    HeaderNames,
    PriorityClass,
    Reply,
    create_backend_server,
    create_room_gate,
)
from coltsfootspar.relay.calls import INTERNAL_HEADERS, compute_position, inherit
from coltsfootspar.relay.calltrees import CallTrees, decode_reached, encode_reached
from coltsfootspar.relay.nesting import MIN_NESTED_REQUESTS, Origin, OriginClassifier
from coltsfootspar.relay.roomsignals import (
    MAX_SIGNALS,
    SIGNAL_TTL_SECONDS,
    RoomSignal,
    RoomSignals,
    decode_signals,
    encode_signals,
)
from coltsfootspar.relay.running import MAX_REACHED_SERVICES, RunningCall, RunningCalls

from .conftest import HOST, OK, create_route, encode_get, send_and_read

_ROUTE = create_route()


def create_call(**changes) -> Call:
    call = Call("front", 5.0, 1, True, PriorityClass.NEW, 1.0, "diaries", bucket=64)
    return attrs.evolve(call, **changes)


def create_reply(**changes) -> Reply:
    return attrs.evolve(Reply(200, [], b"", Outcome.RAN), **changes)


def test_parent_is_found_by_whole_part_of_the_id():
    """Guards against requests whose id only begins like that of another."""
    running = RunningCalls(b".")
    call = running.start(b"ab", create_call())
    assert running.find_parent(b"ab.1") is call
    for other in (b"ab", b"abc", b"a.b", b"ab.1.2", b".ab", b"", None):
        assert running.find_parent(other) is None
    nested = running.start(b"ab.1", create_call())
    assert running.find_parent(b"ab.1.2") is nested


def test_only_the_latest_call_of_an_id_is_in_progress():
    """Guards against a late end that removes the call which replaced it."""
    running = RunningCalls(b".")
    first, second = (running.start(b"r", create_call()) for _ in range(2))
    running.finish(b"r", first)
    assert running.find_parent(b"r.1") is second
    running.finish(b"r", second)
    assert running.find_parent(b"r.1") is None
    assert len(running) == 0


def test_reached_services_are_summed_and_bounded():
    """Guards against replies whose header grows with the number of calls."""
    call = RunningCall(create_call())
    for _ in range(2):
        call.record_nested("mid", {"deep": 4})
    assert call.reached == {"mid": 2, "deep": 8}
    for number in range(100):
        call.record_nested(f"other-{number}", {})
    assert len(call.reached) == MAX_REACHED_SERVICES


def test_route_that_only_servers_use_is_learned():
    """Guards against nested calls that are refused since their parent is unknown."""
    classifier = OriginClassifier()
    parent = RunningCall(create_call())

    def classify(parent, **changes):
        signs = {"has_id": True, "has_backend": True, **changes}
        return classifier.classify("views", parent, **signs)

    assert classify(None) is Origin.CALLER
    assert classify(None, has_id=False) is Origin.PROBABLY_BACKEND
    assert classify(None, has_backend=False) is Origin.PROBABLY_BACKEND
    for _ in range(MIN_NESTED_REQUESTS - 1):
        assert classify(parent) is Origin.BACKEND
    assert classify(None) is Origin.CALLER
    for _ in range(MIN_NESTED_REQUESTS):
        classify(parent)
    assert classify(None) is Origin.PROBABLY_BACKEND


def test_nested_call_inherits_importance_and_deadline():
    """Guards against calls of one request that are treated differently."""
    parent = create_call(
        deadline=2.0, rank=0, organisation="o", organisation_rank=3, bucket=9
    )
    nested = inherit(create_call(deadline=4.0, service="deep"), parent)
    assert compute_position(nested) == compute_position(parent)
    assert (nested.service, nested.deadline, nested.organisation) == ("deep", 2.0, "o")
    assert inherit(create_call(deadline=1.0), parent).deadline == 1.0


def test_tree_forgets_services_that_are_no_longer_reached():
    """Guards against requests refused for a service that they do not need."""
    trees = CallTrees()
    trees.record("views", {"mid": 1, "deep": 4}, 0.0, is_whole=True)
    assert trees.list_services("views") == ["mid", "deep"]
    for _ in range(100):
        trees.record("views", {"mid": 1}, 1.0, is_whole=False)
    assert trees.list_services("views") == ["mid", "deep"]
    for _ in range(100):
        trees.record("views", {"mid": 1}, 1.0, is_whole=True)
    assert trees.list_services("views") == ["mid"]


async def test_gate_refuses_by_the_services_below(autojump_clock):
    """Guards against requests that begin although a service below has no room."""
    gate = create_room_gate(RoomSignals())
    call = create_call()
    position = compute_position(call)
    gate.signals.record((RoomSignal("deep", position, 0.0),))
    assert gate.find_refusal(_ROUTE, call) is None
    gate.record_reply(_ROUTE, call, create_reply(reached={"mid": 1, "deep": 4}))
    assert 0 < gate.find_refusal(_ROUTE, call) < 1
    assert gate.refused == {"deep": 1}
    for passing in ({"bucket": 63}, {"bucket": 0}, {"rank": 0, "bucket": 127}):
        assert gate.find_refusal(_ROUTE, create_call(**passing)) is None
    for refused in ({"rank": 2, "bucket": 9}, {"organisation_rank": 1, "rank": 0}):
        assert gate.find_refusal(_ROUTE, create_call(**refused)) is not None
    await trio.sleep(SIGNAL_TTL_SECONDS)
    assert gate.find_refusal(_ROUTE, call) is None


async def test_threshold_lapses_however_often_it_is_passed_on(autojump_clock):
    """Guards against thresholds that nodes keep alive among themselves."""
    nodes = RoomSignals(), RoomSignals()
    nodes[0].record((RoomSignal("deep", 100, 0.0),))
    for _ in range(20):
        nodes[1].record(tuple(nodes[0].list_signals()))
        nodes[0].record(tuple(nodes[1].list_signals()))
        await trio.sleep(SIGNAL_TTL_SECONDS / 15)
    assert [node.find_threshold("deep") for node in nodes] == [None, None]


async def test_latest_threshold_prevails(autojump_clock):
    """Guards against old thresholds that replace those of the service itself."""
    signals = RoomSignals()
    signals.record((RoomSignal("deep", 100, 0.0),))
    signals.record((RoomSignal("deep", 500, 0.2),))
    assert signals.find_threshold("deep") == (100, 0.0)
    await trio.sleep(0.3)
    signals.record((RoomSignal("deep", 200, 0.0),))
    assert signals.find_threshold("deep")[0] > 190


@settings(derandomize=True)
@given(
    st.dictionaries(st.from_regex("[a-z0-9-]{1,9}", fullmatch=True), st.integers(0, 99))
)
def test_headers_keep_their_content(numbers):
    """Guards against headers that nodes read differently than they were written."""
    reached = dict(list(numbers.items())[:MAX_REACHED_SERVICES])
    assert decode_reached(encode_reached(reached)) == reached
    signals = [RoomSignal(name, n, n / 1e3) for name, n in reached.items()]
    assert decode_signals(encode_signals(signals)) == tuple(signals[:MAX_SIGNALS])


@pytest.mark.parametrize(
    "value", [None, b"", b"a", b"=1", b"a=", b"a=x/1", b"a=1/", b"a=-1/2", b"\xff=,,"]
)
def test_malformed_headers_are_ignored(value):
    """Guards against errors because of the header of a faulty node."""
    assert decode_signals(value) == ()
    assert decode_reached(value) == {}


async def test_reached_services_and_thresholds_travel_upwards(harness):
    """Guards against first nodes that never learn of a full service below.

    Also guards against internal headers that reach callers.
    """
    entries = []

    async def call_below(stream, head):
        if b": r1\r\n" in head + b"\r\n":
            await send_and_read(entries[0], encode_get("/deep/1", request_id="r1.c"))
        await stream.send_all(OK)

    views, deep = create_route(), create_route(name="deep", prefix="/deep/")
    harness.routes.table = attrs.evolve(harness.routes.table, routes=(views, deep))
    server = await harness.add_server(call_below)
    backend = await harness.add_node("n1", server.address)
    backend.signals.record((RoomSignal("deepest", 0, 0.0),))
    harness.own_host = HOST
    forwarder, _, entry = await harness.add_entry_node(backend)
    entries.append(entry)
    gate = forwarder.entry_gate = create_room_gate(RoomSignals())
    answer = await send_and_read(entry, encode_get())
    assert answer.startswith(b"HTTP/1.1 200")
    assert not any(name in answer.lower() for name in INTERNAL_HEADERS)
    assert gate.trees.list_services("views") == ["wallet"]
    assert gate.trees.list_services("deep") == []


async def test_refusal_at_the_entry_says_when_to_return(harness):
    """Guards against clients that come back while there is still no room."""
    forwarder, _, entry = await harness.add_entry_node()
    signals = RoomSignals()
    signals.record((RoomSignal("wallet", 0, 0.0),))
    forwarder.entry_gate = create_room_gate(signals)
    answer = await send_and_read(entry, encode_get(request_id="r3"))
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Coltsfootspar-Error: no-room" in answer
    assert b"Retry-After: 1.000" in answer


async def test_server_with_room_announces_it_beside_a_full_one(harness):
    """Guards against requests that are refused although other servers have room."""
    server = await harness.add_server(None)
    backend = await harness.add_node("n1", server.address)
    call = create_call()
    backend.room.record_arrival(call, trio.current_time(), backend.limiter.load, 0.1)
    assert backend.list_signals() == []
    backend.signals.record((RoomSignal("wallet", 0, 0.0),))
    (signal,) = backend.list_signals()
    assert signal.position > compute_position(call)


@pytest.mark.parametrize(
    ("positions", "lowest", "highest"),
    [
        # Three servers have room for a quarter of the third level, one for none of it;
        # then three for all, one for a quarter.
        ([288, 288, 288, 50], 256, 300),
        ([8_000, 8_000, 8_000, 290], 340, 384),
        ([50], 45, 55),
        ([8_200], 8_190, 8_210),
    ],
)
async def test_thresholds_of_several_servers_are_averaged(
    autojump_clock, positions, lowest, highest
):
    """Guards against one slow server that keeps a whole level of requests out."""
    signals = RoomSignals()
    signals.record((RoomSignal("deep", 300, 0.0),))
    for _ in range(100):
        for position in positions:
            await trio.sleep(0.005)
            signals.record((RoomSignal("deep", position, 0.0),))
    assert lowest < signals.find_threshold("deep")[0] < highest


async def test_header_with_room_is_never_newer_than_its_thresholds(autojump_clock):
    """Guards against nodes that keep a threshold alive among themselves."""
    backend = create_backend_server(HeaderNames(), lambda: None)
    backend.signals.record((RoomSignal("fleet", 300, 0.1),))
    heard_at = trio.current_time()
    for _ in range(30):
        (signal,) = decode_signals(backend.get_room_header())
        assert signal.position == 300
        assert signal.age >= 0.1 + trio.current_time() - heard_at - 1e-3
        await trio.sleep(0.007)
    await trio.sleep(0.7)
    assert backend.get_room_header() == b""
