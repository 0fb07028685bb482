"""Calls through whole nodes joined in memory, with faults at each part."""

import attrs
import pytest
import trio

from coltsfootspar.calls import CallReply, Outcome, Refusal, find_header
from coltsfootspar.exceptions import (
    BackendError,
    ClaimError,
    DeadlineError,
    RefusedError,
    RoutingError,
)
from coltsfootspar.node.interfaces import IncomingCall
from coltsfootspar.node.pipeline import create_pipeline
from coltsfootspar.node.tables import create_table_copy
from coltsfootspar.table import create_table, parse_row_key
from coltsfootspar.table.rows import create_row
from coltsfootspar.telemetry import create_null_tracer

TRACE_ID = "a" * 32
ROWS = [
    create_row(parse_row_key("front GET /{id}"), importance=7, retries=4),
    create_row(parse_row_key("deep GET /{id}"), importance=2, deadline_ms=100),
    create_row(parse_row_key("pay POST /"), execution="once"),
]


@attrs.define
class Permit:
    released: list

    def release(self, service_seconds, *, succeeded, downstream_seconds=0.0):
        self.released.append(succeeded)


@attrs.define(slots=False)
class Parts:
    """Stands in for admission, gate, router, backend server and executor."""

    backend: object = None
    nodes: dict = attrs.field(factory=dict)
    refuse: RefusedError | None = None
    released: list = attrs.field(factory=list)
    closed: list = attrs.field(factory=list)
    seen: list = attrs.field(factory=list)

    def admit(self, row, context):
        return self

    def close(self, reply):
        self.closed.append(reply)

    async def acquire(self, request, row):
        if self.refuse is not None:
            raise self.refuse
        return Permit(self.released)

    def get_signals(self, about=None):
        return ()

    async def call(self, request, row):
        return await self.nodes[request.service].serve(request)

    async def execute(self, request, row=None, run=None):
        self.seen.append(request)
        if run is not None:
            return await run()
        return await self.backend(request)


async def answer_ok(request):
    return CallReply(200, (), b"whole")


def create_node(parts):
    table = create_table_copy()
    table.apply(create_table(ROWS, version=1))
    return create_pipeline(
        node_id="n",
        table=table,
        gate=parts,
        router=parts,
        admission=parts,
        backend=parts,
        once=parts,
        tracer=create_null_tracer(),
    )


def create_pair(front_backend=None, deep_backend=answer_ok):
    """Creates a node of ``front`` whose server calls the node of ``deep``."""
    front, deep = Parts(), Parts(backend=deep_backend)
    nodes = {"front": create_node(front), "deep": create_node(deep)}
    front.nodes = deep.nodes = nodes

    async def call_deep(request):
        span = request.context.parent_span_id
        reply = await nodes["front"].enter(
            IncomingCall("deep", "GET", "/1", (), b"", TRACE_ID, span, is_internal=True)
        )
        # Over HTTP, a backend server can pass on no more than this.
        return CallReply(reply.status, reply.headers, reply.body)

    front.backend = front_backend or call_deep
    return front, deep, nodes["front"]


def create_call(service="front", method="GET", path="/1", **options):
    return IncomingCall(service, method, path, (), b"", TRACE_ID, **options)


async def test_context_follows_the_calls_of_the_backend_server(autojump_clock):
    front, deep, node = create_pair()
    reply = await node.enter(create_call())
    assert reply.status == 200
    context = deep.seen[0].context
    assert context.depth == 1
    assert context.priority == front.seen[0].context.priority
    assert context.priority.importance == 7
    assert context.compute_remaining() <= 0.1
    assert reply.unused_allowance == 4
    assert set(reply.reached) == {"front", "deep"}


async def test_call_without_known_context_counts_as_new_request(autojump_clock):
    _, deep, node = create_pair()
    await node.enter(create_call("deep", is_internal=True))
    assert deep.seen[0].context.depth == 0
    assert deep.seen[0].context.priority.importance == 2


async def test_refusal_below_is_marked_and_not_counted_as_failure(autojump_clock):
    front, deep, node = create_pair()
    deep.refuse = RefusedError("full", retry_after=3)
    reply = await node.enter(create_call())
    assert (reply.status, reply.refusal.below) == (503, True)
    assert front.released == [True]


@pytest.mark.parametrize(
    ("error", "status", "outcome"),
    [
        (RefusedError("x"), 503, Outcome.NOT_RUN),
        (RefusedError("x", code="rate-limit"), 429, Outcome.NOT_RUN),
        (DeadlineError("x", may_have_run=True), 504, Outcome.MAY_HAVE_RUN),
        (RoutingError("x", may_have_run=False), 502, Outcome.NOT_RUN),
        (
            ClaimError("x", may_have_run=True, code="outcome-unknown"),
            409,
            Outcome.MAY_HAVE_RUN,
        ),
    ],
)
async def test_errors_state_an_honest_outcome(error, status, outcome, autojump_clock):
    parts = Parts()

    async def fail(request, row):
        raise error

    parts.call = fail
    reply = await create_node(parts).enter(create_call())
    assert (reply.status, reply.outcome) == (status, outcome)
    assert find_header(reply.headers, b"coltsfootspar-error") == error.code.encode()
    assert len(parts.closed) == 1


async def test_backend_server_past_the_deadline_may_have_run(autojump_clock):
    async def stall(request):
        await trio.sleep(60)

    _, _, node = create_pair(deep_backend=stall)
    start = trio.current_time()
    reply = await node.enter(create_call("deep"))
    assert (reply.status, reply.outcome) == (504, Outcome.MAY_HAVE_RUN)
    assert trio.current_time() - start < 0.2


async def test_failed_backend_server_gives_its_slot_back(autojump_clock):
    async def fail(request):
        raise BackendError("gone", may_have_run=True)

    front, _, node = create_pair(fail)
    reply = await node.enter(create_call())
    assert (reply.status, reply.outcome) == (502, Outcome.MAY_HAVE_RUN)
    assert front.released == [False]


async def test_cancelled_client_gives_its_slot_back(autojump_clock):
    async def stall(request):
        await trio.sleep(60)

    front, _, node = create_pair(stall)
    with trio.move_on_after(1):
        await node.enter(create_call())
    assert front.released == [False]
    assert front.closed == [None]
    assert node.in_progress == 0


async def test_outcome_copied_from_a_call_below_is_not_believed(autojump_clock):
    """Guards against "not run" for a request that has begun to run."""

    async def call_and_copy(request):
        span = request.context.parent_span_id
        call = create_call("deep", parent_span_id=span, is_internal=True)
        reply = await node.enter(call)
        return CallReply(503, (), b"", reply.outcome, Refusal("backend-shed", 1.0))

    _, deep, node = create_pair(call_and_copy)
    deep.refuse = RefusedError("full")
    reply = await node.enter(create_call())
    assert reply.outcome is Outcome.RAN
    assert reply.refusal.below


async def test_draining_node_refuses_work_and_finishes_its_own(autojump_clock):
    async def work(request):
        await trio.sleep(2)
        return CallReply(200, (), b"whole")

    _, _, node = create_pair(work)
    replies = []
    async with trio.open_nursery() as nursery:

        async def ask():
            replies.append(await node.enter(create_call()))

        nursery.start_soon(ask)
        await trio.sleep(1)
        node.drain()
        refused = await node.enter(create_call())
    assert replies[0].body == b"whole"
    assert (refused.status, refused.outcome) == (503, Outcome.NOT_RUN)
    assert refused.refusal.code == "draining"


async def test_row_marked_once_goes_through_the_executor(autojump_clock):
    parts = Parts(backend=answer_ok)
    node = create_node(parts)
    parts.nodes = {"pay": node}
    await node.enter(create_call("pay", "POST", "/", idempotency_key="k"))
    assert parts.seen[0].context.idempotency_key == "k"
    assert len(parts.seen) == 2


async def test_repeated_inner_call_derives_the_same_key(autojump_clock):
    """Guards against a second payment when the caller above runs again."""
    keys = []

    async def pay(request):
        keys.append(request.context.idempotency_key)
        return CallReply(200)

    front, deep, node = create_pair(deep_backend=pay)
    nodes = {**front.nodes, "pay": create_node(deep)}
    front.nodes = deep.nodes = nodes

    async def call_pay(request):
        span = request.context.parent_span_id
        call = create_call("pay", "POST", "/", parent_span_id=span, is_internal=True)
        return await node.enter(call)

    front.backend = call_pay
    for _ in range(2):
        await node.enter(create_call())
    assert keys[0] == keys[1] and keys[0].startswith(TRACE_ID)


async def test_unknown_service_and_path_are_told_apart(autojump_clock):
    node = create_node(Parts())
    codes = [
        find_header((await node.enter(call)).headers, b"coltsfootspar-error")
        for call in (create_call("none"), create_call("pay"))
    ]
    assert codes == [b"no-service", b"no-row"]
