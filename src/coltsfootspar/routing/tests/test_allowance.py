"""Retries must not multiply along a call graph, whichever attempts fail."""

import collections
import itertools
import random

import attrs
import trio
from hypothesis import given, settings, strategies as st
from trio.testing import MockClock

from coltsfootspar.admission import (
    create_baseline_controller,
    create_baseline_gate,
)
from coltsfootspar.calls import (
    CallContext,
    CallReply,
    CallRequest,
    Outcome,
    Priority,
)
from coltsfootspar.exceptions import BackendError, LinkError, RoutingError
from coltsfootspar.node.interfaces import IncomingCall
from coltsfootspar.node.pipeline import create_pipeline
from coltsfootspar.routing import Candidate, create_router
from coltsfootspar.table import create_matcher, create_table, parse_row_key
from coltsfootspar.table.rows import create_row
from coltsfootspar.telemetry import create_null_tracer
from coltsfootspar.testing import FakeDirectory, FakeLink, create_refusal

SETTINGS = settings(derandomize=True, max_examples=60, deadline=None)
NODES_PER_SERVICE = 3
MAX_DEPTH = 11
MAX_CALLS = 40
FAILURES = ("error", "broken", "refused", "not-sent", "lost", "slow")


def run_on_virtual_clock(function, *args):
    return trio.run(function, *args, clock=MockClock(autojump_threshold=0))


@attrs.define
class CallGraph:
    """A deployment whose service ``i`` calls the services ``children[i]``."""

    children: list
    failing: dict
    source: random.Random
    is_parallel: bool
    retries: int
    attempts: collections.Counter = attrs.field(factory=collections.Counter)
    retries_sent: int = 0
    pipelines: dict = attrs.field(factory=dict)
    matcher: object = None

    def __attrs_post_init__(self):
        keys = [parse_row_key(f"s{i} GET /") for i in range(len(self.children))]
        rows = [create_row(key, retries=self.retries) for key in keys]
        self.matcher = create_matcher(create_table(rows))
        tracer = create_null_tracer()
        for i, j in itertools.product(range(len(rows)), range(NODES_PER_SERVICE)):
            node_id = f"s{i}-{j}"
            router = create_router(node_id, "r", "a", self, self, self.source)
            for child in self.children[i]:
                # Short enough that slow calls are hedged.
                statistics = router._get_service(f"s{child}").get_statistics(
                    f"s{child} GET /"
                )
                statistics.window.median = statistics.window.p95 = 0.01
            self.pipelines[node_id] = create_pipeline(
                node_id=node_id,
                table=self,
                gate=create_baseline_gate(),
                router=router,
                admission=create_baseline_controller(slots=100),
                backend=Backend(self, i, node_id),
                once=None,
                tracer=tracer,
            )

    def list_candidates(self, service):
        data_centres = ("a", "a", "b")
        return [
            Candidate(f"{service}-{j}", service, "r", data_centres[j], 10)
            for j in range(NODES_PER_SERVICE)
        ]

    def draw_failure(self, service):
        share, kinds = self.failing.get(int(service[1:]), (0.0, FAILURES))
        return self.source.choice(kinds) if self.source.random() < share else None

    async def call(self, node_id, request):
        """Delivers a call; it, or its reply, may be lost."""
        self.retries_sent += request.attempt > 1
        failure = self.draw_failure(request.service)
        if failure == "not-sent":
            raise LinkError("not sent", may_have_run=False)
        await trio.sleep(0.001)
        if failure == "refused":
            unused = request.context.allowance
            return attrs.evolve(create_refusal("overload"), unused_allowance=unused)
        reply = await self.pipelines[node_id].serve(request)
        if failure == "lost":
            raise LinkError("lost", may_have_run=True)
        return reply


@attrs.define
class ReplyLosingCallGraph(CallGraph):
    """Loses the first reply of service ``s6``."""

    is_lost: bool = False

    def draw_failure(self, service):
        if service != "s6" or self.is_lost:
            return None
        self.is_lost = True
        return "lost"


@attrs.define
class Backend:
    graph: CallGraph
    service: int
    node_id: str

    async def execute(self, request):
        graph = self.graph
        graph.attempts[self.service] += 1
        failure = graph.draw_failure(request.service)
        await trio.sleep(0.1 if failure == "slow" else 0.001)
        if failure == "broken":
            raise BackendError("broken", may_have_run=True)
        replies = await self.call_children(request)
        if failure == "error" or any(reply.status >= 500 for reply in replies):
            return CallReply(500)
        return CallReply(200)

    async def call_children(self, request):
        replies = []

        async def call(child):
            context = request.context
            incoming = create_call(child, context.parent_span_id, is_internal=True)
            replies.append(await self.graph.pipelines[self.node_id].enter(incoming))

        children = self.graph.children[self.service]
        if self.graph.is_parallel:
            async with trio.open_nursery() as nursery:
                for child in children:
                    nursery.start_soon(call, child)
        else:
            for child in children:
                await call(child)
        return replies


def create_call(service, span_id="", *, is_internal=False):
    trace_id = "a" * 32
    return IncomingCall(
        f"s{service}", "GET", "/", (), b"", trace_id, span_id, is_internal
    )


def count_calls_without_retries(children):
    counts = [1] + [0] * (len(children) - 1)
    for service, called in enumerate(children):
        for child in called:
            counts[child] += counts[service]
    return counts


@st.composite
def draw_children(draw):
    """Draws a chain of services with additional calls to services further down."""
    size = draw(st.integers(1, MAX_DEPTH))
    children = [[i + 1] for i in range(size - 1)] + [[]]
    for caller in range(size - 1):
        for child in draw(st.lists(st.integers(caller + 1, size - 1), max_size=2)):
            children[caller].append(child)
            if sum(count_calls_without_retries(children)) > MAX_CALLS:
                children[caller].pop()
    return children


async def send_request(graph):
    # Client requests enter at a node of the first service.
    reply = await graph.pipelines["s0-0"].enter(create_call(0))
    return reply.status


def check_attempt_counts(graph):
    assert graph.retries_sent <= graph.retries
    expected_calls = count_calls_without_retries(graph.children)
    for service, attempts in graph.attempts.items():
        assert attempts <= (1 + graph.retries) * expected_calls[service]


FAILING = st.dictionaries(
    st.integers(0, MAX_DEPTH - 1),
    st.tuples(
        st.sampled_from([0.2, 0.6, 1.0]),
        st.lists(st.sampled_from(FAILURES), min_size=1).map(tuple),
    ),
)


@SETTINGS
@given(draw_children(), FAILING, st.integers(0, 6), st.booleans(), st.integers(0, 99))
def test_attempts_stay_within_the_allowance(
    children, failing, retries, is_parallel, seed
):
    """Guards against retries that multiply from hop to hop."""
    source = random.Random(seed)
    graph = CallGraph(children, failing, source, is_parallel, retries)
    run_on_virtual_clock(send_request, graph)
    check_attempt_counts(graph)


def test_chain_of_eleven_hops_that_all_fail_spends_the_allowance_once():
    chain = [[i + 1] for i in range(MAX_DEPTH - 1)] + [[]]
    failing = dict.fromkeys(range(MAX_DEPTH), (1.0, ("error",)))
    graph = CallGraph(chain, failing, random.Random(1), is_parallel=False, retries=3)
    assert run_on_virtual_clock(send_request, graph) == 500
    check_attempt_counts(graph)
    assert graph.attempts[MAX_DEPTH - 1] == 1 + 3


def test_chain_of_eleven_hops_recovers_from_a_lost_reply():
    """Guards against losing the whole allowance with one lost reply."""
    chain = [[i + 1] for i in range(MAX_DEPTH - 1)] + [[]]
    graph = ReplyLosingCallGraph(
        chain, {}, random.Random(1), is_parallel=False, retries=2
    )
    assert run_on_virtual_clock(send_request, graph) == 200


ANSWERS = {
    "not-sent": LinkError("not sent", may_have_run=False),
    "lost": LinkError("lost", may_have_run=True),
    "refused": create_refusal("overload"),
    "draining": create_refusal("draining"),
    "error": CallReply(500),
    "ok": CallReply(200),
}
RESULTS = st.lists(st.sampled_from(list(ANSWERS)), min_size=12, max_size=12)


@SETTINGS
@given(RESULTS, st.integers(0, 6))
def test_once_rows_get_no_attempt_after_one_that_may_have_run(results, allowance):
    """Guards against executing payouts and bookings twice."""
    remaining = iter(results)
    link = FakeLink(lambda node_id, request: ANSWERS[next(remaining)])
    directory = FakeDirectory(
        [Candidate(f"n{i}", "payouts", "r", "a", 10) for i in range(20)]
    )

    async def send():
        row = create_row(parse_row_key("payouts POST /"), execution="once")
        deadline = trio.current_time() + 5
        context = CallContext("a" * 32, "", deadline, Priority(5, 1), allowance)
        request = CallRequest("payouts", "POST", "/", (), b"", context)
        router = create_router("n", "r", "a", directory, link, random.Random(1))
        try:
            return (await router.call(request, row)).outcome is not Outcome.NOT_RUN
        except RoutingError as error:
            return error.may_have_run

    may_have_run = run_on_virtual_clock(send)
    sent = results[: len(link.sent)]
    ran = [result in ("lost", "error", "ok") for result in sent]
    assert not any(ran[:-1])
    assert may_have_run == ran[-1]
