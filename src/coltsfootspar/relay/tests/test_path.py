"""Tests of requests from a caller through two nodes to a backend server."""

import gc

import attrs
import pytest
import trio

from coltsfootspar.exceptions import TransferError
from coltsfootspar.relay import (
    CallReceiver,
    Exchange,
    PriorityClass,
    create_backend_server,
    create_relay_server,
)
from coltsfootspar.relay.calls import OutgoingCall, Reply
from coltsfootspar.relay.messages import Request
from coltsfootspar.relay.sockets import connect
from coltsfootspar.routes import Repetition, RouteTable, Service
from coltsfootspar.wire import Address

from .conftest import (
    HOST,
    NAMES,
    OK,
    create_report,
    create_route,
    encode_get,
    encode_post,
    find_free_port,
    send_and_read,
)


async def answer_ok(stream, head):
    await stream.send_all(OK)


def use_once_route(harness):
    route = create_route(repetition=Repetition.ONCE)
    harness.routes.table = RouteTable(1, 0, (route,), (Service("wallet", 9),))


async def test_serves(harness):
    """Guards against a response or a header that is lost in forwarding."""
    server = await harness.add_server(answer_ok)
    await harness.add_node("n1", server.address)
    _, _, entry = await harness.add_entry_node()
    extra = f"X-Own: 1\r\n{NAMES.caller.decode()}: forged\r\n"
    answer = await send_and_read(entry, encode_get(extra=extra))
    assert answer.startswith(b"HTTP/1.1 200 OK\r\n")
    assert answer.endswith(b"\r\n\r\nok")
    head = server.heads[0]
    assert b"GET /views/1 HTTP/1.1" in head
    assert b"X-Own: 1" in head
    assert head.count(NAMES.caller) == 1
    assert NAMES.caller + b": diaries" in head
    assert NAMES.instance + b": i-1" in head
    assert b"Coltsfootspar-Call:" not in head


async def test_requests_leave_no_cyclic_garbage(harness):
    """Guards against requests whose memory only a garbage collection frees."""
    server = await harness.add_server(answer_ok)
    await harness.add_node("n1", server.address)
    _, _, entry = await harness.add_entry_node()
    gc.collect()
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        for _ in range(3):
            await send_and_read(entry, encode_get())
        gc.collect()
        kinds = {type(item) for item in gc.garbage}
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
    assert kinds.isdisjoint({Exchange, Request, OutgoingCall, Reply})


async def test_unknown_route(harness):
    """Guards against a request that reaches a service without a route."""
    server = await harness.add_server(answer_ok)
    await harness.add_node("n1", server.address)
    _, _, entry = await harness.add_entry_node()
    answer = await send_and_read(entry, encode_get("/other/1"))
    assert answer.startswith(b"HTTP/1.1 404")
    assert server.heads == []


async def test_no_routes_yet(harness):
    """Guards against a 404 by a node that does not know the routes yet."""
    harness.routes.table = RouteTable()
    _, _, entry = await harness.add_entry_node()
    assert (await send_and_read(entry, encode_get())).startswith(b"HTTP/1.1 503")


async def test_unreachable_server_is_skipped(harness):
    """Guards against an error while another server could serve the request."""
    server = await harness.add_server(answer_ok)
    await harness.add_node("n1", Address(HOST, find_free_port(HOST)))
    await harness.add_node("n2", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    for _ in range(4):
        answer = await send_and_read(entry, encode_get())
        assert answer.startswith(b"HTTP/1.1 200")


async def test_interrupted_once_request_is_not_retried(harness):
    """Guards against a request that runs twice after its response was lost."""

    async def close_connection(stream, head):
        return False

    servers = [await harness.add_server(close_connection) for _ in range(2)]
    for index, server in enumerate(servers):
        await harness.add_node(f"n{index}", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    answer = await send_and_read(entry, encode_post(b"pay"))
    assert answer.startswith(b"HTTP/1.1 502")
    assert sum(len(server.heads) for server in servers) == 1


async def test_interrupted_idempotent_request_is_retried(harness):
    """Guards against an error that a retry at another server would have avoided."""

    async def close_connection(stream, head):
        return False

    broken = await harness.add_server(close_connection)
    server = await harness.add_server(answer_ok)
    await harness.add_node("n1", broken.address)
    await harness.add_node("n2", server.address)
    _, _, entry = await harness.add_entry_node()
    for _ in range(3):
        answer = await send_and_read(entry, encode_get())
        assert answer.startswith(b"HTTP/1.1 200")


async def test_failing_server_does_not_attract_requests(harness):
    """Guards against a server that fails fast and therefore gets most requests."""

    async def fail(stream, head):
        await stream.send_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")

    async def answer_slowly(stream, head):
        await trio.sleep(0.03)
        await stream.send_all(OK)

    failing = await harness.add_server(fail)
    server = await harness.add_server(answer_slowly)
    await harness.add_node("n1", failing.address)
    await harness.add_node("n2", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    for _ in range(20):
        await send_and_read(entry, encode_post(b"pay"))
    assert len(failing.heads) < 5


async def test_error_response_of_the_server_is_forwarded(harness):
    """Guards against an error of the node in place of the server's response."""

    async def fail(stream, head):
        await stream.send_all(
            b"HTTP/1.1 500 No\r\nX-Seal: 1\r\nContent-Length: 2\r\n\r\nno"
        )

    server = await harness.add_server(fail)
    await harness.add_node("n1", server.address)
    # The server of another node leaves, which the entry node does not know yet.
    backend = await harness.add_node("n2", server.address)
    leaving = create_report(server.address, is_leaving=True, sequence=2)
    backend.apply_report(leaving)
    forwarder, _, entry = await harness.add_entry_node()
    forwarder.set_retry_limits(0.0, 0.0)
    for _ in range(2):
        answer = await send_and_read(entry, encode_get())
        assert answer.startswith(b"HTTP/1.1 500 No")
        assert b"X-Seal: 1" in answer
    forwarder.set_retry_limits(0.0, 100.0)
    answer = await send_and_read(entry, encode_get())
    assert answer.startswith(b"HTTP/1.1 500 No")


async def test_truncated_response_is_an_error(harness):
    """Guards against a truncated response that looks complete."""

    async def truncate(stream, head):
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
        return False

    server = await harness.add_server(truncate)
    await harness.add_node("n1", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    assert (await send_and_read(entry, encode_get())).startswith(b"HTTP/1.1 502")


async def test_truncated_long_response_stays_truncated(harness):
    """Guards against a truncated long response that is completed by the node."""

    async def truncate(stream, head):
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 600_000
        )
        return False

    server = await harness.add_server(truncate)
    await harness.add_node("n1", server.address)
    _, _, entry = await harness.add_entry_node()
    answer = await send_and_read(entry, encode_get())
    _, _, body = answer.partition(b"\r\n\r\n")
    assert len(body) < 900_000


async def test_answer_without_length(harness):
    """Guards against the loss of a response that ends with its connection."""

    async def answer(stream, head):
        await stream.send_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole")
        return False

    server = await harness.add_server(answer)
    await harness.add_node("n1", server.address)
    _, _, entry = await harness.add_entry_node()
    assert (await send_and_read(entry, encode_get())).endswith(b"whole")


async def test_answer_of_another_request_is_skipped(harness):
    """Guards against a caller that gets the response to another request."""

    async def answer(stream, head):
        name = NAMES.request_id
        other_response = (
            b"HTTP/1.1 200 OK\r\n%s: r0\r\nContent-Length: 5\r\n\r\nother" % name
        )
        matching_response = (
            b"HTTP/1.1 200 OK\r\n%s: r1\r\nContent-Length: 3\r\n\r\nown" % name
        )
        await stream.send_all(other_response + matching_response)

    server = await harness.add_server(answer)
    await harness.add_node("n1", server.address)
    _, _, entry = await harness.add_entry_node()
    assert (await send_and_read(entry, encode_get())).endswith(b"own")


async def test_unsolicited_bytes_reach_no_caller(harness):
    """Guards against bytes after a response that reach the next caller."""

    async def answer(stream, head):
        await stream.send_all(OK + b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")

    server = await harness.add_server(answer)
    await harness.add_node("n1", server.address)
    _, _, entry = await harness.add_entry_node()
    for _ in range(3):
        assert (await send_and_read(entry, encode_get())).endswith(b"\r\n\r\nok")


async def test_shed_request_is_refused_as_not_run(harness):
    """Guards against a shed request that the client is not told to retry."""

    async def shed(stream, head):
        await stream.send_all(
            b"HTTP/1.1 503 Full\r\n%s: 1\r\nContent-Length: 0\r\n\r\n" % NAMES.not_run
        )

    server = await harness.add_server(shed)
    await harness.add_node("n1", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    answer = await send_and_read(entry, encode_post(b"pay"))
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After" in answer


@pytest.mark.parametrize("is_chunked", [True, False])
async def test_streamed_body_is_not_sent_again_without_its_beginning(
    harness, is_chunked
):
    """Guards against a long body that reaches a second server empty or short."""

    async def shed(stream, head):
        await stream.send_all(
            b"HTTP/1.1 503 Full\r\n%s: 1\r\nContent-Length: 0\r\n\r\n" % NAMES.not_run
        )

    servers = [await harness.add_server(shed) for _ in range(2)]
    for index, server in enumerate(servers):
        await harness.add_node(f"n{index}", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    data = encode_post(b"x" * 1_500_000, f"{NAMES.deadline_ms.decode()}: 800\r\n")
    if is_chunked:
        head, _, body = data.partition(b"\r\n\r\n")
        head = head.replace(b"Content-Length: 1500000", b"Transfer-Encoding: chunked")
        data = head + b"\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    answer = await send_and_read(entry, data)
    assert answer.startswith(b"HTTP/1.1 503")
    assert sum(len(server.heads) for server in servers) == 1


async def test_leaving_server_gets_no_request(harness):
    """Guards against new work for a server that has reported that it leaves."""
    server = await harness.add_server(answer_ok)
    backend = await harness.add_node("n1", server.address)
    _, _, entry = await harness.add_entry_node()
    assert (await send_and_read(entry, encode_get())).startswith(b"HTTP/1.1 200")
    backend.apply_report(create_report(server.address, is_leaving=True, sequence=2))
    assert (await send_and_read(entry, encode_get())).startswith(b"HTTP/1.1 503")
    assert len(server.heads) == 1


async def test_late_report_does_not_undo_leaving(harness):
    """Guards against a reordered report that brings a leaving server back."""
    address = Address(HOST, find_free_port(HOST))
    backend = await harness.add_node("n1", address)
    backend.apply_report(create_report(address, is_leaving=True, sequence=5))
    backend.apply_report(create_report(address, sequence=4))
    assert backend.service == ""
    backend.apply_report(create_report(address, sequence=1, started_ms=2))
    assert backend.service == "wallet"


async def test_report_after_departure_of_same_start(harness):
    """Guards against a report after deregistration that brings a server back."""
    address = Address(HOST, find_free_port(HOST))
    backend = await harness.add_node("n1", address)
    backend.apply_departure("i-1")
    backend.apply_report(create_report(address, sequence=9))
    assert backend.service == ""


async def test_restarted_server_with_its_old_id_is_used_again(autojump_clock):
    """Guards against a restarted server that stays out of use for good.

    It had deregistered, and nothing was heard of it until its report was overdue.
    """
    address = Address(HOST, 9)
    backend = create_backend_server(NAMES, lambda: None)
    backend.apply_report(create_report(address, started_ms=5))
    backend.apply_departure("i-1", 5)
    await trio.sleep(20)
    backend.expire_stale(trio.current_time())
    backend.apply_report(create_report(address, started_ms=5, sequence=7))
    assert backend.service == ""
    backend.apply_report(create_report(address, started_ms=6))
    assert backend.service == "wallet"


async def test_late_departure_of_an_earlier_start_is_ignored(autojump_clock):
    """Guards against a notice of the last start that takes out the present one."""
    backend = create_backend_server(NAMES, lambda: None)
    backend.apply_report(create_report(Address(HOST, 9), started_ms=6))
    backend.apply_departure("i-1", 5)
    assert backend.service == "wallet"
    backend.apply_departure("i-1", 6)
    assert backend.service == ""


async def test_departure_that_overtakes_the_first_report_of_its_start(autojump_clock):
    """Guards against a late report of a start that has already departed."""
    address = Address(HOST, 9)
    backend = create_backend_server(NAMES, lambda: None)
    backend.apply_report(create_report(address, started_ms=5))
    backend.apply_departure("i-1", 5)
    backend.apply_departure("i-1", 6)
    backend.apply_report(create_report(address, started_ms=6))
    assert backend.service == ""
    backend.apply_report(create_report(address, started_ms=7))
    assert backend.service == "wallet"


async def test_departure_after_a_restart_of_the_node_counts(autojump_clock):
    """Guards against a late report to a node that has only heard of the departure."""
    address = Address(HOST, 9)
    backend = create_backend_server(NAMES, lambda: None)
    backend.apply_departure("i-1", 5)
    backend.apply_report(create_report(address, started_ms=5, sequence=7))
    assert backend.service == ""
    backend.apply_report(create_report(address, started_ms=6))
    assert backend.service == "wallet"


async def test_departure_of_another_server_leaves_the_present_one(autojump_clock):
    """Guards against a server taken out by the departure of its predecessor."""
    address = Address(HOST, 9)
    backend = create_backend_server(NAMES, lambda: None)
    backend.apply_report(create_report(address, instance_id="i-2", started_ms=6))
    backend.apply_departure("i-1", 5)
    assert backend.service == "wallet"
    backend.apply_report(create_report(address, started_ms=5, sequence=9))
    assert backend.report.instance_id == "i-2"


async def test_departure_after_silence_counts(autojump_clock):
    """Guards against a late report of a server that left after it was silent."""
    address = Address(HOST, 9)
    backend = create_backend_server(NAMES, lambda: None)
    backend.apply_report(create_report(address, started_ms=5))
    await trio.sleep(20)
    backend.expire_stale(trio.current_time())
    backend.apply_departure("i-1")
    backend.apply_report(create_report(address, started_ms=5, sequence=7))
    assert backend.service == ""


async def test_disconnected_caller_cancels_its_request(harness):
    """Guards against work that continues for a caller that has disconnected."""
    started = trio.Event()

    async def never_answer(stream, head):
        started.set()

    server = await harness.add_server(never_answer)
    await harness.add_node("n1", server.address)
    _, _, entry = await harness.add_entry_node()
    async with await trio.open_tcp_stream(entry.host, entry.port) as stream:
        await stream.send_all(encode_get())
        await started.wait()
    with trio.fail_after(20):
        await server.closed.wait()


async def test_deadline_ends_request(harness):
    """Guards against a caller that waits longer than the timeout of the route."""

    async def never_answer(stream, head):
        pass

    server = await harness.add_server(never_answer)
    await harness.add_node("n1", server.address)
    harness.routes.table = attrs.evolve(
        harness.routes.table, routes=(create_route(timeout=0.2),)
    )
    _, _, entry = await harness.add_entry_node()
    assert (await send_and_read(entry, encode_get())).startswith(b"HTTP/1.1 504")


async def test_early_answer_to_long_body(harness):
    """Guards against a deadlock when a server responds before it has read the body."""

    async def reject(stream, head):
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
        received = len(server.body_start)
        while received < 300_000:
            received += len(await stream.receive_some())

    server = await harness.add_server(reject)
    await harness.add_node("n1", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    answer = await send_and_read(entry, encode_post(b"x" * 300_000))
    assert answer.endswith(b"no")


async def test_very_long_body_passes_through(harness):
    """Guards against a long body that is buffered whole or changed in forwarding."""
    received = []

    async def count(stream, head):
        total = len(server.body_start)
        while total < 3_000_000:
            total += len(await stream.receive_some())
        received.append(total)
        await stream.send_all(OK)

    server = await harness.add_server(count)
    await harness.add_node("n1", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    answer = await send_and_read(entry, encode_post(b"x" * 3_000_000))
    assert answer.startswith(b"HTTP/1.1 200")
    assert received == [3_000_000]


async def test_reset_during_long_body_is_answered(harness):
    """Guards against a missing response when the server resets the connection."""

    async def reset(stream, head):
        return False

    server = await harness.add_server(reset)
    await harness.add_node("n1", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    answer = await send_and_read(entry, encode_post(b"x" * 400_000))
    assert answer.startswith(b"HTTP/1.1 502")


async def test_nested_calls_are_classified_by_caller_host(harness, monkeypatch):
    """Guards against work that is wasted because a nested call is refused."""
    server = await harness.add_server(answer_ok)
    backend = await harness.add_node("n1", server.address)
    priority_classes = []
    acquire = type(backend.limiter).try_acquire

    def record_class(limiter, call):
        priority_classes.append(call.priority_class)
        return acquire(limiter, call)

    monkeypatch.setattr(type(backend.limiter), "try_acquire", record_class)
    for harness.own_host in ("127.0.0.99", HOST):
        _, _, entry = await harness.add_entry_node()
        assert (await send_and_read(entry, encode_get())).startswith(b"HTTP/1.1 200")
    assert priority_classes == [PriorityClass.NEW, PriorityClass.NESTED]


async def test_new_requests_of_the_own_host_are_not_taken_for_begun(
    harness, monkeypatch
):
    """Guards against new requests that get the priority of nested calls.

    On the platform's machines clients and the backend server are on the same host.
    """
    entries = []

    async def answer_with_nested_call(stream, head):
        if b": r1\r\n" in head + b"\r\n":
            answer = await send_and_read(entries[0], encode_get(request_id="r1.c"))
            assert answer.startswith(b"HTTP/1.1 200")
        await stream.send_all(OK)

    server = await harness.add_server(answer_with_nested_call)
    backend = await harness.add_node("n1", server.address)
    priority_classes = []
    acquire = type(backend.limiter).try_acquire

    def record_class(limiter, call):
        priority_classes.append(call.priority_class)
        return acquire(limiter, call)

    monkeypatch.setattr(type(backend.limiter), "try_acquire", record_class)
    harness.own_host = HOST
    _, _, entry = await harness.add_entry_node(backend)
    entries.append(entry)
    for request_id in ("r1", "r2.c", "r1.d", "plain"):
        answer = await send_and_read(entry, encode_get(request_id=request_id))
        assert answer.startswith(b"HTTP/1.1 200")
    new, nested = PriorityClass.NEW, PriorityClass.NESTED
    assert priority_classes == [new, nested, new, new, new]


async def test_slow_reader_gets_its_answer(harness):
    """Guards against connections that are closed because the peer reads slowly."""
    body = b"y" * 3_000_000

    async def slow(stream, head):
        await trio.sleep(2)
        total = len(server.body_start)
        while total < 3_000_000:
            total += len(await stream.receive_some())
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        )

    server = await harness.add_server(slow)
    await harness.add_node("n1", server.address)
    route = create_route(repetition=Repetition.ONCE, timeout=30.0)
    harness.routes.table = RouteTable(1, 0, (route,), (Service("wallet", 9),))
    _, _, entry = await harness.add_entry_node()
    async with await trio.open_tcp_stream(entry.host, entry.port) as stream:
        await stream.send_all(encode_post(b"x" * 3_000_000))
        await trio.sleep(4)
        received = 0
        with trio.fail_after(20):
            while chunk := await stream.receive_some():
                received += len(chunk)
    assert received > len(body)


def get_status(answer: bytes) -> bytes:
    return answer.partition(b" ")[2][:3]


async def test_stopping_node_passes_on_only_requests_that_end_in_time(harness):
    """Guards against a late request that a stop cuts, or refuses without need."""
    server = await harness.add_server(answer_ok)
    await harness.add_node("n1", server.address)
    forwarder, relay, entry = await harness.add_entry_node()
    relay.is_draining = True
    statuses = []
    for seconds in (1.0, 30.0):
        forwarder.ends_at = trio.current_time() + seconds
        # The time limit of the route is two seconds.
        statuses.append(get_status(await send_and_read(entry, encode_get())))
    forwarder.ends_at = trio.current_time() + 30.0
    extra = f"{NAMES.deadline_ms.decode()}: 60000\r\n"
    statuses.append(get_status(await send_and_read(entry, encode_get(extra=extra))))
    assert statuses == [b"503", b"200", b"200"]
    assert len(server.heads) == 2


async def test_stopping_node_starts_no_request_at_a_further_node(harness, monkeypatch):
    """Guards against a request that reaches its first server when the stop ends."""
    for name in ("n1", "n2"):
        inbound = create_relay_server(
            CallReceiver(create_backend_server(NAMES, lambda: None), NAMES).handle
        )
        harness.directory.addresses[name] = Address(HOST, find_free_port(HOST))
        await harness.nursery.start(inbound.serve, harness.directory.addresses[name])
    forwarder, _, entry = await harness.add_entry_node()
    asked = []

    def find_address(directory, node_id):
        asked.append(node_id)
        forwarder.ends_at = trio.current_time()
        return directory.addresses[node_id]

    monkeypatch.setattr(type(harness.directory), "find_address", find_address)
    answer = await send_and_read(entry, encode_get())
    assert get_status(answer) == b"503"
    assert b"Coltsfootspar-Error: stopping" in answer
    assert len(asked) == 1


async def test_stop_refuses_what_waits_and_fails_what_runs(harness):
    """Guards against a request that never ran and is not told so at the stop."""

    async def hold(stream, head):
        await trio.sleep_forever()

    server = await harness.add_server(hold)
    route = create_route(timeout=30.0)
    harness.routes.table = RouteTable(1, 0, (route,), (Service("wallet", 9),))
    backend = create_backend_server(NAMES, lambda: None)
    backend.apply_report(create_report(server.address, slots=1))
    harness.directory.addresses["entry"] = Address(HOST, find_free_port(HOST))
    _, relay, entry = await harness.add_entry_node(backend)
    answers = []

    async def call(data):
        answers.append(get_status(await send_and_read(entry, data)))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call, encode_get())
        with trio.fail_after(20):
            while not server.heads:  # noqa: ASYNC110
                await trio.sleep(0.01)
        nursery.start_soon(call, encode_get())
        nursery.start_soon(call, encode_post(b"ab")[:-1])
        with trio.fail_after(20):
            while len(relay.exchanges) < 3:  # noqa: ASYNC110
                await trio.sleep(0.01)
        await trio.sleep(0.05)
        relay.is_draining = True
        await relay.expire_in_flight()
    assert sorted(answers) == [b"503", b"503", b"504"]
    assert len(server.heads) == 1


async def test_server_with_an_address_of_another_family_is_unreachable():
    """Guards against an odd address that ends requests without an answer."""
    with pytest.raises(TransferError) as caught:
        await connect(Address("fe80::1", 80), 0.1)
    assert caught.value.code == "unreachable"
    assert not caught.value.may_have_run
