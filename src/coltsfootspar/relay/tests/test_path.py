"""Tests of the way of a request over two nodes."""

import attrs
import pytest
import trio

from coltsfootspar.relay import PriorityClass
from coltsfootspar.routes import Repetition, RouteTable, Service
from coltsfootspar.wire import Address

from .conftest import (
    HOST,
    NAMES,
    OK,
    ask,
    create_report,
    create_route,
    encode_get,
    encode_post,
    find_port,
)


async def answer_ok(stream, head):
    await stream.send_all(OK)


def set_once(bed):
    route = create_route(repetition=Repetition.ONCE)
    bed.routes.table = RouteTable(1, 0, (route,), (Service("wallet", 9),))


async def test_serves(bed):
    """Guards against an answer or a header that is lost on the way."""
    server = await bed.add_server(answer_ok)
    await bed.add_node("n1", server.address)
    _, _, entry = await bed.add_entry()
    extra = f"X-Own: 1\r\n{NAMES.caller.decode()}: forged\r\n"
    answer = await ask(entry, encode_get(extra=extra))
    assert answer.startswith(b"HTTP/1.1 200 OK\r\n")
    assert answer.endswith(b"\r\n\r\nok")
    head = server.heads[0]
    assert b"GET /views/1 HTTP/1.1" in head
    assert b"X-Own: 1" in head
    assert head.count(NAMES.caller) == 1
    assert NAMES.caller + b": diaries" in head
    assert NAMES.instance + b": i-1" in head
    assert b"Coltsfootspar-Call:" not in head


async def test_unknown_route(bed):
    """Guards against a request that reaches a service without a route."""
    server = await bed.add_server(answer_ok)
    await bed.add_node("n1", server.address)
    _, _, entry = await bed.add_entry()
    answer = await ask(entry, encode_get("/other/1"))
    assert answer.startswith(b"HTTP/1.1 404")
    assert server.heads == []


async def test_no_routes_yet(bed):
    """Guards against a 404 by a node that does not know the routes yet."""
    bed.routes.table = RouteTable()
    _, _, entry = await bed.add_entry()
    assert (await ask(entry, encode_get())).startswith(b"HTTP/1.1 503")


async def test_unreachable_server_is_passed_over(bed):
    """Guards against a failure while another server could answer."""
    server = await bed.add_server(answer_ok)
    await bed.add_node("n1", Address(HOST, find_port()))
    await bed.add_node("n2", server.address)
    set_once(bed)
    _, _, entry = await bed.add_entry()
    for _ in range(4):
        answer = await ask(entry, encode_get())
        assert answer.startswith(b"HTTP/1.1 200")


async def test_broken_once_request_is_not_repeated(bed):
    """Guards against a request that runs twice after its answer was lost."""

    async def break_off(stream, head):
        return False

    servers = [await bed.add_server(break_off) for _ in range(2)]
    for index, server in enumerate(servers):
        await bed.add_node(f"n{index}", server.address)
    set_once(bed)
    _, _, entry = await bed.add_entry()
    answer = await ask(entry, encode_post(b"pay"))
    assert answer.startswith(b"HTTP/1.1 502")
    assert sum(len(server.heads) for server in servers) == 1


async def test_broken_idempotent_request_is_repeated(bed):
    """Guards against a failure that another server would have hidden."""

    async def break_off(stream, head):
        return False

    broken = await bed.add_server(break_off)
    server = await bed.add_server(answer_ok)
    await bed.add_node("n1", broken.address)
    await bed.add_node("n2", server.address)
    _, _, entry = await bed.add_entry()
    for _ in range(3):
        answer = await ask(entry, encode_get())
        assert answer.startswith(b"HTTP/1.1 200")


async def test_failing_server_does_not_attract_requests(bed):
    """Guards against a server that fails at once and gets most of the requests."""

    async def fail(stream, head):
        await stream.send_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")

    async def answer_slowly(stream, head):
        await trio.sleep(0.03)
        await stream.send_all(OK)

    failing = await bed.add_server(fail)
    server = await bed.add_server(answer_slowly)
    await bed.add_node("n1", failing.address)
    await bed.add_node("n2", server.address)
    set_once(bed)
    _, _, entry = await bed.add_entry()
    for _ in range(20):
        await ask(entry, encode_post(b"pay"))
    assert len(failing.heads) < 5


async def test_failure_of_the_server_is_passed_on(bed):
    """Guards against a failure of our own in place of the server's answer."""

    async def fail(stream, head):
        await stream.send_all(
            b"HTTP/1.1 500 No\r\nX-Seal: 1\r\nContent-Length: 2\r\n\r\nno"
        )

    server = await bed.add_server(fail)
    await bed.add_node("n1", server.address)
    # The server of another node leaves, which the entry does not know yet.
    backend = await bed.add_node("n2", server.address)
    leaving = create_report(server.address, is_leaving=True, sequence=2)
    backend.apply_report(leaving)
    forwarder, _, entry = await bed.add_entry()
    forwarder.set_retry_limits(0.0, 0.0)
    for _ in range(2):
        answer = await ask(entry, encode_get())
        assert answer.startswith(b"HTTP/1.1 500 No")
        assert b"X-Seal: 1" in answer
    forwarder.set_retry_limits(0.0, 100.0)
    answer = await ask(entry, encode_get())
    assert answer.startswith(b"HTTP/1.1 500 No")


async def test_truncated_answer_is_not_complete(bed):
    """Guards against a cut answer that looks whole."""

    async def cut(stream, head):
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
        return False

    server = await bed.add_server(cut)
    await bed.add_node("n1", server.address)
    set_once(bed)
    _, _, entry = await bed.add_entry()
    assert (await ask(entry, encode_get())).startswith(b"HTTP/1.1 502")


async def test_long_answer_that_breaks_off_ends_early(bed):
    """Guards against a long answer whose end is invented."""

    async def cut(stream, head):
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 600_000
        )
        return False

    server = await bed.add_server(cut)
    await bed.add_node("n1", server.address)
    _, _, entry = await bed.add_entry()
    answer = await ask(entry, encode_get())
    _, _, body = answer.partition(b"\r\n\r\n")
    assert len(body) < 900_000


async def test_answer_without_length(bed):
    """Guards against an answer that ends with its connection being lost."""

    async def answer(stream, head):
        await stream.send_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole")
        return False

    server = await bed.add_server(answer)
    await bed.add_node("n1", server.address)
    _, _, entry = await bed.add_entry()
    assert (await ask(entry, encode_get())).endswith(b"whole")


async def test_answer_of_another_request_is_skipped(bed):
    """Guards against a caller who gets the answer to another request."""

    async def answer(stream, head):
        name = NAMES.request_id
        other = b"HTTP/1.1 200 OK\r\n%s: r0\r\nContent-Length: 5\r\n\r\nother" % name
        own = b"HTTP/1.1 200 OK\r\n%s: r1\r\nContent-Length: 3\r\n\r\nown" % name
        await stream.send_all(other + own)

    server = await bed.add_server(answer)
    await bed.add_node("n1", server.address)
    _, _, entry = await bed.add_entry()
    assert (await ask(entry, encode_get())).endswith(b"own")


async def test_extra_bytes_belong_to_no_request(bed):
    """Guards against bytes behind an answer that reach the next caller."""

    async def answer(stream, head):
        await stream.send_all(OK + b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")

    server = await bed.add_server(answer)
    await bed.add_node("n1", server.address)
    _, _, entry = await bed.add_entry()
    for _ in range(3):
        assert (await ask(entry, encode_get())).endswith(b"\r\n\r\nok")


async def test_shed_request_is_refused_as_not_run(bed):
    """Guards against a request that is lost though it can be sent again."""

    async def shed(stream, head):
        await stream.send_all(
            b"HTTP/1.1 503 Full\r\n%s: 1\r\nContent-Length: 0\r\n\r\n" % NAMES.not_run
        )

    server = await bed.add_server(shed)
    await bed.add_node("n1", server.address)
    set_once(bed)
    _, _, entry = await bed.add_entry()
    answer = await ask(entry, encode_post(b"pay"))
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After" in answer


async def test_leaving_server_gets_no_request(bed):
    """Guards against work for a server that has said that it leaves."""
    server = await bed.add_server(answer_ok)
    backend = await bed.add_node("n1", server.address)
    _, _, entry = await bed.add_entry()
    assert (await ask(entry, encode_get())).startswith(b"HTTP/1.1 200")
    backend.apply_report(create_report(server.address, is_leaving=True, sequence=2))
    assert (await ask(entry, encode_get())).startswith(b"HTTP/1.1 503")
    assert len(server.heads) == 1


async def test_late_report_does_not_undo_leaving(bed):
    """Guards against a late report that brings a leaving server back."""
    address = Address(HOST, find_port())
    backend = await bed.add_node("n1", address)
    backend.apply_report(create_report(address, is_leaving=True, sequence=5))
    backend.apply_report(create_report(address, sequence=4))
    assert backend.service == ""
    backend.apply_report(create_report(address, sequence=1, started_ms=2))
    assert backend.service == "wallet"


async def test_report_after_departure_of_same_start(bed):
    """Guards against a server that comes back by a report after it had left."""
    address = Address(HOST, find_port())
    backend = await bed.add_node("n1", address)
    backend.apply_departure("i-1")
    backend.apply_report(create_report(address, sequence=9))
    assert backend.service == ""


async def test_caller_that_leaves_cancels_its_request(bed):
    """Guards against work that goes on for a caller who has left."""
    began = trio.Event()

    async def never(stream, head):
        began.set()

    server = await bed.add_server(never)
    await bed.add_node("n1", server.address)
    _, _, entry = await bed.add_entry()
    async with await trio.open_tcp_stream(entry.host, entry.port) as stream:
        await stream.send_all(encode_get())
        await began.wait()
    with trio.fail_after(20):
        await server.closed.wait()


async def test_deadline_ends_request(bed):
    """Guards against a caller who is held longer than the route allows."""

    async def never(stream, head):
        pass

    server = await bed.add_server(never)
    await bed.add_node("n1", server.address)
    bed.routes.table = attrs.evolve(
        bed.routes.table, routes=(create_route(timeout=0.2),)
    )
    _, _, entry = await bed.add_entry()
    assert (await ask(entry, encode_get())).startswith(b"HTTP/1.1 504")


async def test_early_answer_to_long_body(bed):
    """Guards against a deadlock when a server answers before it has read all."""

    async def reject(stream, head):
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
        received = len(server.rest)
        while received < 300_000:
            received += len(await stream.receive_some())

    server = await bed.add_server(reject)
    await bed.add_node("n1", server.address)
    set_once(bed)
    _, _, entry = await bed.add_entry()
    answer = await ask(entry, encode_post(b"x" * 300_000))
    assert answer.endswith(b"no")


async def test_very_long_body_passes_through(bed):
    """Guards against a body that is held whole, or is changed on the way."""
    received = []

    async def count(stream, head):
        total = len(server.rest)
        while total < 3_000_000:
            total += len(await stream.receive_some())
        received.append(total)
        await stream.send_all(OK)

    server = await bed.add_server(count)
    await bed.add_node("n1", server.address)
    set_once(bed)
    _, _, entry = await bed.add_entry()
    answer = await ask(entry, encode_post(b"x" * 3_000_000))
    assert answer.startswith(b"HTTP/1.1 200")
    assert received == [3_000_000]


async def test_reset_during_long_body_is_answered(bed):
    """Guards against a caller without an answer when the server resets a body."""

    async def reset(stream, head):
        return False

    server = await bed.add_server(reset)
    await bed.add_node("n1", server.address)
    set_once(bed)
    _, _, entry = await bed.add_entry()
    answer = await ask(entry, encode_post(b"x" * 400_000))
    assert answer.startswith(b"HTTP/1.1 502")


async def test_calls_of_begun_requests_go_first(bed, monkeypatch):
    """Guards against work that is thrown away since a call below it is refused."""
    server = await bed.add_server(answer_ok)
    backend = await bed.add_node("n1", server.address)
    seen = []
    acquire = type(backend.limiter).try_acquire

    def note(limiter, call):
        seen.append(call.priority_class)
        return acquire(limiter, call)

    monkeypatch.setattr(type(backend.limiter), "try_acquire", note)
    for bed.own_host in ("127.0.0.99", HOST):
        _, _, entry = await bed.add_entry()
        assert (await ask(entry, encode_get())).startswith(b"HTTP/1.1 200")
    assert seen == [PriorityClass.NEW, PriorityClass.NESTED]


@pytest.mark.known_red("begun-calls")
async def test_new_requests_of_the_own_host_are_not_taken_for_begun(bed, monkeypatch):
    """Guards against new requests that get the precedence of calls.

    On the platform's machines clients and the backend server are on the same host.
    """
    entries = []

    async def call_once(stream, head):
        if b": r1\r\n" in head + b"\r\n":
            answer = await ask(entries[0], encode_get(request_id="r1.c"))
            assert answer.startswith(b"HTTP/1.1 200")
        await stream.send_all(OK)

    server = await bed.add_server(call_once)
    backend = await bed.add_node("n1", server.address)
    seen = []
    acquire = type(backend.limiter).try_acquire

    def note(limiter, call):
        seen.append(call.priority_class)
        return acquire(limiter, call)

    monkeypatch.setattr(type(backend.limiter), "try_acquire", note)
    bed.own_host = HOST
    _, _, entry = await bed.add_entry(backend)
    entries.append(entry)
    for request_id in ("r1", "r2.c", "r1.d", "plain"):
        answer = await ask(entry, encode_get(request_id=request_id))
        assert answer.startswith(b"HTTP/1.1 200")
    new, started = PriorityClass.NEW, PriorityClass.NESTED
    assert seen == [new, started, new, new, new]


async def test_slow_reader_gets_its_answer(bed):
    """Guards against callers and servers that read slowly and are cut off."""
    body = b"y" * 3_000_000

    async def slow(stream, head):
        await trio.sleep(2)
        total = len(server.rest)
        while total < 3_000_000:
            total += len(await stream.receive_some())
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        )

    server = await bed.add_server(slow)
    await bed.add_node("n1", server.address)
    route = create_route(repetition=Repetition.ONCE, timeout=30.0)
    bed.routes.table = RouteTable(1, 0, (route,), (Service("wallet", 9),))
    _, _, entry = await bed.add_entry()
    async with await trio.open_tcp_stream(entry.host, entry.port) as stream:
        await stream.send_all(encode_post(b"x" * 3_000_000))
        await trio.sleep(4)
        received = 0
        with trio.fail_after(20):
            while chunk := await stream.receive_some():
                received += len(chunk)
    assert received > len(body)
