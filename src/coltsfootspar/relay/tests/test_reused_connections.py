"""Tests of responses that arrive on a connection which is idle or used again."""

import contextlib
import itertools

import attrs
import pytest
import trio
import trio.testing
from hypothesis import given, settings, strategies as st

from coltsfootspar.exceptions import MalformedRequestError, TransferError
from coltsfootspar.relay.client import ConnectionPool, OutgoingRequest
from coltsfootspar.relay.messages import (
    MAX_FRAMING_BYTES,
    RequestReader,
    ResponseReader,
)
from coltsfootspar.routes import Repetition, RouteTable, Service
from coltsfootspar.wire import Address

from .conftest import (
    HOST,
    NAMES,
    OK,
    create_route,
    encode_get,
    encode_post,
    send_and_read,
)


def encode_answer(request_id: bytes, body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s" % (
        NAMES.request_id,
        request_id,
        len(body),
        body,
    )


def find_request_id(head: bytes) -> bytes:
    return head.split(NAMES.request_id + b": ")[1].split(b"\r\n")[0]


@pytest.mark.parametrize("repetition", list(Repetition))
@pytest.mark.parametrize("pause", [0.0, 0.02, 0.2])
async def test_second_copy_of_a_response_reaches_no_caller(harness, repetition, pause):
    """Guards against a late copy that answers the next request on the connection.

    The copy arrives at once, while the connection is idle, or after it was taken.
    """
    lock = trio.Lock()
    async with trio.open_nursery() as nursery:

        async def answer_twice(stream, head):
            request_id = find_request_id(head)
            answer = encode_answer(request_id, b"for " + request_id)
            async with lock:
                await stream.send_all(answer)

            async def send_copy():
                await trio.sleep(pause)
                # The node may have closed the connection meanwhile.
                with contextlib.suppress(
                    trio.ClosedResourceError, trio.BrokenResourceError
                ):
                    async with lock:
                        await stream.send_all(answer)

            nursery.start_soon(send_copy)

        server = await harness.add_server(answer_twice)
        await harness.add_node("n1", server.address)
        route = create_route(repetition=repetition)
        harness.routes.table = RouteTable(1, 0, (route,), (Service("wallet", 9),))
        _, _, entry = await harness.add_entry_node()
        for index in range(12):
            request_id = f"r{index}"
            answer = await send_and_read(entry, encode_get(request_id=request_id))
            is_own = answer.endswith(f"\r\n\r\nfor {request_id}".encode())
            # A copy that meets a request in progress may end its connection.
            assert is_own or answer.startswith(b"HTTP/1.1 502")
            await trio.sleep(0.005 * index)
        ids = [find_request_id(head) for head in server.heads]
        if repetition is Repetition.ONCE:
            assert len(ids) == len(set(ids))


def encode_post_with_id(
    request_id: str, body: bytes = b"pay", extra: str = ""
) -> bytes:
    own_id = f"{NAMES.request_id.decode()}: {request_id}\r\n"
    return encode_post(body, own_id + extra)


def use_once_route(harness):
    route = create_route(repetition=Repetition.ONCE)
    harness.routes.table = RouteTable(1, 0, (route,), (Service("wallet", 9),))


# Start lines and marks of refusals.
REFUSALS = {
    "shed": b"HTTP/1.1 503 Full\r\n%s: 1\r\n" % NAMES.not_run,
    "misdirected": b"HTTP/1.1 421 Other\r\n",
}


@attrs.define(eq=False)
class CopyingServers:
    """Servers that refuse the first request of a connection and run the others.

    While one runs, the server writes the refusal once more.

    :param start: start line and mark of the refusals.
    :param echoes: true when a refusal echoes the id of its request.
    :param is_split: true when the copy arrives in pieces, after an interim response.
    :param answers: true when the response to the running request follows the copy.
    :param runs: ids of the requests that ran.
    """

    start: bytes
    echoes: bool
    is_split: bool = False
    answers: bool = True
    refusals: dict = attrs.field(factory=dict)
    runs: list[bytes] = attrs.field(factory=list)

    async def respond(self, stream, head):
        request_id = find_request_id(head)
        if stream not in self.refusals:
            echo = b"%s: %s\r\n" % (NAMES.request_id, request_id)
            refusal = self.start + (echo if self.echoes else b"")
            self.refusals[stream] = refusal + b"Content-Length: 0\r\n\r\n"
            await stream.send_all(self.refusals[stream])
            return
        self.runs.append(request_id)
        for piece in self.cut_copy(self.refusals[stream]):
            await stream.send_all(piece)
            await trio.sleep(0.002)
        if self.answers:
            await trio.sleep(0.01)
            await stream.send_all(encode_answer(request_id, b"for " + request_id))

    def cut_copy(self, copy: bytes) -> list[bytes]:
        if not self.is_split:
            return [copy]
        copy = b"HTTP/1.1 102 Processing\r\n\r\n" + copy
        return [copy[start : start + 25] for start in range(0, len(copy), 25)]


@pytest.mark.parametrize("start", REFUSALS.values(), ids=REFUSALS)
@pytest.mark.parametrize("echoes", [True, False], ids=["id", "no-id"])
@pytest.mark.parametrize("is_split", [False, True], ids=["whole", "split"])
@pytest.mark.parametrize("answers", [True, False], ids=["answers", "silent"])
@pytest.mark.parametrize("body", [b"pay", b"x" * 1_200_000], ids=["short", "long"])
async def test_copy_of_a_refusal_is_not_believed(
    harness, start, echoes, is_split, answers, body
):
    """Guards against a request that runs and is refused as not run, or runs twice.

    A server writes an earlier refusal once more while it runs the next request.
    """
    servers = CopyingServers(start, echoes, is_split, answers)
    for name in ("n1", "n2"):
        server = await harness.add_server(servers.respond)
        await harness.add_node(name, server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    deadline = f"{NAMES.deadline_ms.decode()}: 300\r\n"
    for index in range(6):
        request_id = f"r{index}"
        answer = await send_and_read(
            entry, encode_post_with_id(request_id, body, deadline)
        )
        assert servers.runs.count(request_id.encode()) <= 1
        if request_id.encode() in servers.runs:
            assert answer.split(b" ")[1] in (b"200", b"502", b"504")
            if b" 200 " in answer:
                assert answer.endswith(f"for {request_id}".encode())
    assert servers.runs


async def test_copy_without_an_id_reaches_no_caller(harness):
    """Guards against a late copy without an id from a server that echoes ids."""

    async def answer(stream, head):
        request_id = find_request_id(head)
        if request_id != b"r0":
            await stream.send_all(OK)
            await trio.sleep(0.01)
        await stream.send_all(encode_answer(request_id, b"for " + request_id))

    server = await harness.add_server(answer)
    await harness.add_node("n1", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    for request_id in ("r0", "r1"):
        response = await send_and_read(entry, encode_post_with_id(request_id))
        is_own = response.endswith(f"for {request_id}".encode())
        assert is_own or response.startswith(b"HTTP/1.1 502")
    assert len(server.heads) == 2


@pytest.mark.parametrize("echoes", [True, False], ids=["id", "no-id"])
async def test_copy_reaches_no_request_without_an_id(harness, echoes):
    """Guards against a copy that answers a request that nothing can be compared to."""
    first_answers = {}

    async def answer(stream, head):
        request_id = find_request_id(head) if NAMES.request_id in head else b""
        copy = first_answers.get(stream)
        if copy is not None:
            await stream.send_all(copy)
        own = encode_answer(request_id, b"for " + head.split(b" ")[1])
        if not (echoes and request_id):
            own = own.replace(NAMES.request_id, b"X-None")
        first_answers.setdefault(stream, own)
        await stream.send_all(own)

    server = await harness.add_server(answer)
    await harness.add_node("n1", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    data = (
        encode_get("/views/0")
        if echoes
        else encode_post(b"").replace(b"views/1", b"views/0")
    )
    assert (await send_and_read(entry, data)).endswith(b"for /views/0")
    for index in range(1, 4):
        data = encode_post(b"pay").replace(b"/views/1", b"/views/%d" % index)
        assert (await send_and_read(entry, data)).endswith(b"for /views/%d" % index)


def create_late_script(answer: bytes):
    """Creates the script of a server that sends the same response to all requests."""

    async def respond(stream, head):
        echo = b"%s: %s\r\n" % (NAMES.request_id, find_request_id(head))
        await stream.send_all(answer.replace(b"ECHO\r\n", echo))

    return respond


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_unmarked_refusal_promises_nothing(harness, status):
    """Guards against a refusal passed on for a request that may have run.

    To callers these statuses mean that the request has not run.
    """
    answer = b"HTTP/1.1 %d No\r\nECHO\r\nContent-Length: 2\r\n\r\nno" % status
    server = await harness.add_server(create_late_script(answer))
    await harness.add_node("n1", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    response = await send_and_read(entry, encode_post_with_id("r1"))
    assert response.startswith(b"HTTP/1.1 502")


async def ask_one_of_two(harness, answer: bytes):
    """Sends one request to two servers that give the same answer.

    :returns: the servers and the response.
    """
    servers = [await harness.add_server(create_late_script(answer)) for _ in range(2)]
    for index, server in enumerate(servers):
        await harness.add_node(f"n{index}", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    response = await send_and_read(entry, encode_post_with_id("r1"))
    return servers, response


async def test_success_with_the_mark_is_not_sent_again(harness):
    """Guards against a success that is taken for a refusal, so that it runs twice."""
    answer = (
        b"HTTP/1.1 200 OK\r\nECHO\r\n%s: 1\r\nContent-Length: 2\r\n\r\nok"
        % NAMES.not_run
    )
    servers, response = await ask_one_of_two(harness, answer)
    assert response.startswith(b"HTTP/1.1 200")
    assert sum(len(server.heads) for server in servers) == 1


async def test_trailer_is_not_read_as_a_header(harness):
    """Guards against a trailer that changes what a response or a request says."""
    answer = (
        b"HTTP/1.1 200 OK\r\nECHO\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nok\r\n0\r\n%s: 1\r\n%s: r0\r\nX-Seal: 1\r\n\r\n"
        % (NAMES.not_run, NAMES.request_id)
    )
    server = await harness.add_server(create_late_script(answer))
    await harness.add_node("n1", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    request = encode_post_with_id("r1").partition(b"\r\n\r\n")[0]
    request = request.replace(b"Content-Length: 3", b"Transfer-Encoding: chunked")
    trailers = b"%s: r2\r\nX-Own: 1\r\n" % NAMES.request_id
    request += b"\r\n\r\n3\r\npay\r\n0\r\n%s\r\n" % trailers
    response = await send_and_read(entry, request)
    assert response.startswith(b"HTTP/1.1 200")
    assert b"X-Seal" not in response
    assert find_request_id(server.heads[0]) == b"r1"
    assert b"X-Own" not in server.heads[0]


async def test_internal_headers_of_a_server_are_not_believed(harness):
    """Guards against a server whose response tells other nodes that it has not run."""
    answer = (
        b"HTTP/1.1 500 No\r\nECHO\r\nColtsfootspar-Outcome: not-run\r\n"
        b"Coltsfootspar-Error: leaving\r\nContent-Length: 2\r\n\r\nno"
    )
    servers, response = await ask_one_of_two(harness, answer)
    assert response.startswith(b"HTTP/1.1 500")
    assert sum(len(server.heads) for server in servers) == 1


async def test_reply_to_a_cancelled_call_reaches_no_other_call(harness):
    """Guards against a late reply of another node on a connection that is used again.

    Callers leave while their calls run. The server echoes no ids, so that only the
    connections tell the replies apart.
    """

    async def answer(stream, head):
        request_id = find_request_id(head)
        await trio.sleep(0.3 if request_id.startswith(b"left") else 0)
        own = encode_answer(b"", b"for " + request_id)
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(own.replace(NAMES.request_id, b"X-None"))

    server = await harness.add_server(answer)
    await harness.add_node("n1", server.address)
    use_once_route(harness)
    _, _, entry = await harness.add_entry_node()
    for index in range(3):
        async with await trio.open_tcp_stream(entry.host, entry.port) as stream:
            await stream.send_all(encode_post_with_id(f"left{index}"))
            await trio.sleep(0.02)
        for pause in (0.0, 0.25):
            await trio.sleep(pause)
            request_id = f"own{index}-{pause}"
            response = await send_and_read(entry, encode_post_with_id(request_id))
            assert response.endswith(f"for {request_id}".encode())


MESSAGES = {
    RequestReader: (
        b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
        b"POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nab\r\n1\r\nc\r\n0\r\nX-Trailer: 1\r\n\r\n"
        b"GET /c HTTP/1.1\r\nHost: a\r\n\r\n"
    ),
    ResponseReader: (
        b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3;x=y\r\nabc\r\n0\r\n\r\n"
        b"HTTP/1.1 204 No\r\n\r\n"
    ),
}


def read_messages(reader_type, pieces):
    reader = reader_type()
    for piece in pieces:
        reader.feed(piece)
    return [
        (message.headers, message.take_body(), message.is_complete)
        for message in reader.messages
    ]


@settings(derandomize=True, max_examples=200)
@given(st.sampled_from(list(MESSAGES)), st.data())
def test_messages_do_not_depend_on_how_they_are_split(reader_type, data):
    """Guards against a message that is misread when it arrives in pieces."""
    whole = MESSAGES[reader_type]
    cuts = sorted(data.draw(st.sets(st.integers(1, len(whole) - 1))))
    bounds = [0, *cuts, len(whole)]
    pieces = [whole[start:end] for start, end in itertools.pairwise(bounds)]
    assert read_messages(reader_type, pieces) == read_messages(reader_type, [whole])


@settings(derandomize=True, max_examples=300)
@given(
    st.sampled_from(list(MESSAGES)),
    st.lists(
        st.one_of(
            st.binary(max_size=60),
            st.sampled_from([b"\r\n", b"0\r\n", b"X: 1\r\n", b"5;", b"HTTP/1.1 200 "]),
        ),
        max_size=12,
    ),
    st.booleans(),
)
def test_garbage_is_refused_or_bounded(reader_type, pieces, starts_well):
    """Guards against garbage that crashes a connection's task or is read for ever."""
    reader = reader_type()
    try:
        if starts_well:
            reader.feed(MESSAGES[reader_type][: len(MESSAGES[reader_type]) // 2])
        for piece in pieces:
            for _ in range(40):
                reader.feed(piece)
    except MalformedRequestError:
        return
    assert reader.framing_bytes <= MAX_FRAMING_BYTES
    body_bytes = sum(message.received_bytes for message in reader.messages)
    assert body_bytes <= len(MESSAGES[reader_type]) + sum(map(len, pieces)) * 40


GET = OutgoingRequest(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")


async def open_pool():
    """Opens a listener and a pool of connections to it."""
    (listener,) = await trio.open_tcp_listeners(0, host=HOST)
    return listener, ConnectionPool(Address(HOST, listener.socket.getsockname()[1]))


async def test_unreachable_server_does_not_hide_that_a_request_was_sent():
    """Guards against a request that ran and is said not to have run.

    The server reads the request on a kept connection and ends; a new connection is
    then refused.
    """
    listener, pool = await open_pool()

    async def serve_one_and_end():
        async with await listener.accept() as stream:
            await listener.aclose()
            await stream.receive_some()
            await stream.send_all(OK)
            await stream.receive_some()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_one_and_end)
        connection, _ = await pool.exchange(GET, 100, is_retryable=True)
        pool.return_connection(connection)
        with pytest.raises(TransferError) as failure:
            await pool.exchange(GET, 100, is_retryable=True)
    assert failure.value.may_have_run


async def test_connection_that_the_peer_has_closed_is_not_used():
    """Guards against requests that are lost with a connection known to be closed."""
    listener, pool = await open_pool()

    async def serve_one():
        async with await listener.accept() as stream:
            await stream.receive_some()
            await stream.send_all(OK)

    async with listener, trio.open_nursery() as nursery:
        for _ in range(2):
            nursery.start_soon(serve_one)
            connection, _ = await pool.exchange(GET, 100, is_retryable=True)
            pool.return_connection(connection)
            await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    assert pool.opened == 2
