"""Tests of keys and organisations on the path of a request."""

import attrs
import pytest
import trio
import trio.testing

from coltsfootspar.exceptions import RefusedError
from coltsfootspar.relay import RevocationPolicy, create_backend_server
from coltsfootspar.relay.calls import (
    CALL_HEADER,
    decode_call_header,
    encode_call_header,
)
from coltsfootspar.relay.identification import OUTDATED_SECONDS, Identifier
from coltsfootspar.routes import Organisation, RouteTable, Service

from .conftest import (
    NAMES,
    OK,
    FakeRoutes,
    create_report,
    create_route,
    encode_get,
    encode_post,
    send_and_read,
)

MOVERS = Organisation("bahay; movers", ("secret-1", "secret-2"), rank=3)
CREWS = Organisation("crews", ("secret-3",))
KEY = f"{NAMES.key.decode()}: secret-1\r\n"
UNKNOWN_KEY = f"{NAMES.key.decode()}: secret-9\r\n"


def create_table(*organisations, version=1, needs_key=True) -> RouteTable:
    return RouteTable(
        version,
        0,
        (
            create_route(needs_key=needs_key),
            create_route(name="open", prefix="/open/", needs_key=False),
        ),
        (Service("wallet", 9),),
        organisations=organisations,
    )


@pytest.fixture
def organised(harness):
    """Harness whose routes name two organisations."""
    harness.routes.table = create_table(MOVERS, CREWS)
    return harness


async def start_path(harness, script):
    """Starts a server, its node and an entry node.

    :returns: the server, the forwarder and the address of the entry node.
    """
    server = await harness.add_server(script)
    await harness.add_node("n1", server.address)
    forwarder, _, entry = await harness.add_entry_node()
    return server, forwarder, entry


async def answer_ok(stream, head):
    await stream.send_all(OK)


async def test_server_gets_the_organisation_and_not_the_key(organised):
    """Guards against a key that leaves the first node, and a forged organisation."""
    server, _, entry = await start_path(organised, answer_ok)
    forged = f"{NAMES.organisation.decode()}: crews\r\n"
    answer = await send_and_read(entry, encode_get(extra=KEY + forged))
    assert answer.startswith(b"HTTP/1.1 200")
    head = server.heads[0]
    assert NAMES.organisation + b": bahay; movers\r\n" in head + b"\r\n"
    assert head.count(NAMES.organisation) == 1
    assert b"secret" not in head
    assert NAMES.key not in head


async def test_key_does_not_reach_another_node(organised):
    """Guards against a key that another node could log or pass on."""
    heads = []

    async def keep_head(stream, head):
        heads.append(head)
        await stream.send_all(OK)

    peer = await organised.add_server(keep_head)
    organised.directory.addresses["n1"] = peer.address
    _, _, entry = await organised.add_entry_node()
    await send_and_read(entry, encode_get(extra=KEY))
    assert b"secret" not in heads[0]
    lines = dict(line.split(b": ", 1) for line in heads[0].split(b"\r\n")[1:])
    call = decode_call_header(lines[CALL_HEADER], 0.0)
    assert (call.organisation, call.organisation_rank) == ("bahay; movers", 3)
    assert call.is_keyed


def test_call_of_an_earlier_version_is_read():
    """Guards against calls between nodes that fail during a rolling upgrade."""
    call = decode_call_header(b"wallet;1000;2;1;1;500;diaries", 0.0)
    assert (call.organisation, call.organisation_rank, call.is_keyed) == ("", 0, False)
    call = decode_call_header(b"wallet;1000;2;1;1;500;diaries;movers;3;7", 0.0)
    assert (call.organisation, call.bucket, call.is_keyed) == ("movers", 7, False)


def test_call_without_later_fields_is_read_by_an_earlier_version():
    """Guards against calls that fail while a deployment without organisations is
    upgraded: an earlier version takes exactly seven fields."""
    call = decode_call_header(b"wallet;1000;2;1;1;500;diaries", 0.0)
    assert encode_call_header(call, 0.0) == b"wallet;1000;2;1;1;500;diaries"
    for change in (
        {"organisation": "movers"},
        {"organisation_rank": 3},
        {"bucket": 7},
        {"is_keyed": True},
    ):
        changed = attrs.evolve(call, **change)
        assert decode_call_header(encode_call_header(changed, 0.0), 0.0) == changed


@pytest.mark.parametrize(
    ("path", "extra", "status", "name"),
    [
        ("/views/1", "", b"401", None),
        ("/views/1", UNKNOWN_KEY, b"401", None),
        ("/views/1", KEY, b"200", b"bahay; movers"),
        ("/open/1", "", b"200", None),
        ("/open/1", UNKNOWN_KEY, b"200", None),
        ("/open/1", KEY, b"200", b"bahay; movers"),
        ("/none/1", KEY, b"404", None),
    ],
)
async def test_who_needs_a_key(organised, caplog, path, extra, status, name):
    """Guards against requests that are served or refused contrary to the routes."""
    server, forwarder, entry = await start_path(organised, answer_ok)
    forged = f"{NAMES.organisation.decode()}: crews\r\n"
    with caplog.at_level("INFO"):
        answer = await send_and_read(entry, encode_get(path, extra + forged))
    assert answer.startswith(b"HTTP/1.1 " + status)
    sent = NAMES.organisation + b": " in b"".join(server.heads)
    assert sent == (name is not None)
    assert name is None or name in server.heads[0]
    is_denied = status == b"401"
    assert forwarder.identifier.unknown_keys == is_denied
    assert (b"Outcome: not-run" in answer) == is_denied
    events = [record for record in caplog.records if record.message == "refused"]
    assert [record.fields["request"] for record in events] == ["r1"] * is_denied
    assert "secret" not in str([vars(record) for record in caplog.records])


async def test_table_without_organisations_needs_no_key(harness):
    """Guards against deployments without organisations that are refused."""
    harness.routes.table = create_table()
    server, _, entry = await start_path(harness, answer_ok)
    answer = await send_and_read(entry, encode_get(extra=KEY))
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"secret" not in server.heads[0]


async def test_unknown_key_is_not_denied_before_the_routes_are_known(organised):
    """Guards against a 401 of a node that has just started and knows no key yet."""
    organised.routes.table = RouteTable()
    _, _, entry = await start_path(organised, answer_ok)
    answer = await send_and_read(entry, encode_get(extra=UNKNOWN_KEY))
    assert answer.startswith(b"HTTP/1.1 503")


def withdraw_key(harness) -> None:
    movers = attrs.evolve(MOVERS, keys=("secret-2",))
    harness.routes.table = create_table(movers, CREWS, version=2)


async def read_head(stream) -> bytes:
    received = b""
    with trio.fail_after(20):
        while b"\r\n\r\n" not in received:
            chunk = await stream.receive_some()
            assert chunk, "the connection ended before the response"
            received += chunk
    return received


async def test_withdrawn_key_ends_on_an_open_connection(organised):
    """Guards against a key that lasts as long as the connection that it came on."""
    _, _, entry = await start_path(organised, answer_ok)
    request = encode_get(extra=KEY).replace(b"Connection: close\r\n", b"")
    async with await trio.open_tcp_stream(entry.host, entry.port) as stream:
        await stream.send_all(request)
        assert (await read_head(stream)).startswith(b"HTTP/1.1 200")
        withdraw_key(organised)
        await stream.send_all(request)
        assert (await read_head(stream)).startswith(b"HTTP/1.1 401")


async def test_withdrawn_key_ends_a_request_that_sends_its_body(organised):
    """Guards against a request that reaches a server long after its key ended."""
    server, forwarder, entry = await start_path(organised, answer_ok)
    request = encode_post(b"body", KEY)
    async with await trio.open_tcp_stream(entry.host, entry.port) as stream:
        await stream.send_all(request[:-2])
        await trio.testing.wait_all_tasks_blocked(0.05)
        withdraw_key(organised)
        await stream.send_all(request[-2:])
        answer = await read_head(stream)
    assert answer.startswith(b"HTTP/1.1 401")
    assert b"Outcome: not-run" in answer
    assert server.heads == []
    assert forwarder.identifier.withdrawn_keys == 1


async def test_withdrawn_key_ends_a_request_that_waits_for_a_slot(organised):
    """Guards against a request that a full server runs after its key was withdrawn."""
    is_started, may_answer = trio.Event(), trio.Event()

    async def hold(stream, head):
        is_started.set()
        await may_answer.wait()
        await stream.send_all(OK)

    server = await organised.add_server(hold)
    backend = create_backend_server(NAMES, lambda: None)
    backend.apply_report(create_report(server.address, slots=1))
    organised.directory.addresses["entry"] = server.address
    forwarder, _, entry = await organised.add_entry_node(backend)
    answers = []

    async def send(key, request_id):
        extra = f"{NAMES.key.decode()}: {key}\r\n"
        answers.append(
            await send_and_read(entry, encode_get(extra=extra, request_id=request_id))
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, "secret-2", "r1")
        await is_started.wait()
        nursery.start_soon(send, "secret-1", "r2")
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert backend.limiter.load.waiting == 1
        withdraw_key(organised)
        may_answer.set()
    assert sorted(answer[9:12] for answer in answers) == [b"200", b"401"]
    assert len(server.heads) == 1
    assert forwarder.identifier.withdrawn_keys == 1


@pytest.mark.parametrize(
    ("stops", "seconds", "key", "error"),
    [
        (False, 1_000.0, b"secret-1", None),
        (True, 4.9, b"secret-1", None),
        (True, 5.1, b"secret-1", "cut-off"),
        (False, 1.0, b"secret-9", "unknown-key"),
        (False, OUTDATED_SECONDS + 0.1, b"secret-9", "routes-outdated"),
        (False, OUTDATED_SECONDS + 0.1, None, "routes-outdated"),
        (True, 1_000.0, b"secret-9", "routes-outdated"),
    ],
)
def test_node_that_is_cut_off(stops, seconds, key, error):
    """Guards against withdrawn keys that a cut-off node takes contrary to its
    settings, and against a 401 for a key that it may have missed."""
    routes = FakeRoutes(create_table(MOVERS, CREWS), unconfirmed_seconds=seconds)
    identifier = Identifier(routes, RevocationPolicy(5.0, stops_when_cut_off=stops))
    route = routes.table.routes[0]
    if error is None:
        assert identifier.identify(route, key).organisation == MOVERS
        return
    with pytest.raises(RefusedError) as caught:
        identifier.identify(route, key)
    assert caught.value.code == error


def test_cut_off_node_serves_routes_without_keys():
    """Guards against nested calls that fail since they carry no key."""
    routes = FakeRoutes(create_table(MOVERS), unconfirmed_seconds=1_000.0)
    identifier = Identifier(routes, RevocationPolicy(5.0, stops_when_cut_off=True))
    assert identifier.identify(routes.table.routes[1], None) is None


def test_key_that_moves_to_another_organisation_is_withdrawn():
    """Guards against a waiting request that is served for its former organisation."""
    routes = FakeRoutes(create_table(MOVERS, CREWS))
    identity = Identifier(routes).identify(routes.table.routes[0], b"secret-1")
    assert identity.is_in_force
    routes.table = create_table(
        attrs.evolve(MOVERS, keys=("secret-2",)),
        attrs.evolve(CREWS, keys=("secret-1",)),
        version=2,
    )
    assert not identity.is_in_force
    assert "secret" not in repr(identity)


@attrs.define(eq=False)
class CountingQuotaGate:
    """Admits all requests and counts the allowances."""

    acquired: int = 0
    refunded: int = 0

    async def acquire(self, organisation):
        self.acquired += 1

    def refund(self, organisation):
        self.refunded += 1


async def answer_error(stream, head):
    await stream.send_all(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")


@pytest.mark.parametrize("script", [answer_ok, answer_error])
async def test_allowance_of_a_request_that_ran_is_not_refunded(organised, script):
    """Guards against one token that admits several requests to servers."""
    server, forwarder, entry = await start_path(organised, script)
    gate = forwarder.quota_gate = CountingQuotaGate()
    await send_and_read(entry, encode_get(extra=KEY))
    assert server.heads
    assert (gate.acquired, gate.refunded) == (1, 0)


async def test_allowance_of_a_request_that_reached_no_server_is_refunded(organised):
    """Guards against organisations that pay for requests that nobody has run."""
    forwarder, _, entry = await organised.add_entry_node()
    gate = forwarder.quota_gate = CountingQuotaGate()
    answer = await send_and_read(entry, encode_get(extra=KEY))
    assert b"Outcome: not-run" in answer
    assert (gate.acquired, gate.refunded) == (1, 1)


async def test_allowance_of_a_request_whose_caller_left_is_not_refunded(organised):
    """Guards against a refund while a server runs the request."""
    is_started, may_answer = trio.Event(), trio.Event()

    async def hold(stream, head):
        is_started.set()
        await may_answer.wait()

    _, forwarder, entry = await start_path(organised, hold)
    gate = forwarder.quota_gate = CountingQuotaGate()
    async with await trio.open_tcp_stream(entry.host, entry.port) as stream:
        await stream.send_all(encode_get(extra=KEY))
        await is_started.wait()
    await trio.testing.wait_all_tasks_blocked(0.05)
    may_answer.set()
    assert (gate.acquired, gate.refunded) == (1, 0)
