"""Limits on retries, hedges, spill-over and ejection for any replies of nodes."""

import random

import attrs
import pytest
import trio

from coltsfootspar.calls import (
    CallContext,
    CallReply,
    CallRequest,
    Priority,
    Refusal,
)
from coltsfootspar.exceptions import (
    AttemptsExhaustedError,
    DeadlineError,
    LinkError,
    NoCandidateError,
)
from coltsfootspar.routing import Candidate, create_baseline_router, create_router
from coltsfootspar.table import parse_row_key
from coltsfootspar.table.rows import create_row
from coltsfootspar.testing import FakeDirectory, FakeLink, create_refusal

READ_ROW = create_row(parse_row_key("specs GET /specs/{id}"))
LONG_ROW = create_row(parse_row_key("specs GET /summaries"))
ONCE_ROW = create_row(parse_row_key("specs POST /specs"), execution="once")
SERVICE_SECONDS = 0.02
OK = CallReply(200, reached=("specs",), service_seconds=SERVICE_SECONDS)
REFUSED = create_refusal("overload")
REFUSED_BELOW = CallReply(503, refusal=Refusal("overload", 1.0, below=True))
DRAINING = create_refusal("draining")
FAILED = CallReply(500, reached=("specs",), service_seconds=0.001)
LOST = LinkError("lost", may_have_run=True)
NOT_SENT = LinkError("not sent", may_have_run=False)


def create_candidate(name, data_centre="a", region="r", slots=50, **values):
    return Candidate(name, "specs", region, data_centre, slots, **values)


LOCAL = [create_candidate(name) for name in ("x1", "x2", "x3", "x4")]
SAME_REGION = [create_candidate(name, "b") for name in ("y1", "y2")]
OTHER_REGION = [create_candidate("z1", "c", "other")]


def create_router_and_link(answer, candidates=LOCAL):
    link = FakeLink(answer)
    router = create_router(
        "n", "r", "a", FakeDirectory(candidates), link, random.Random(7)
    )
    return router, link


def create_request(allowance=3, remaining=5.0, importance=5, **values):
    deadline = trio.current_time() + remaining
    priority = Priority(importance, 1)
    context = CallContext("a" * 32, "b" * 16, deadline, priority, allowance)
    return CallRequest("specs", "GET", "/specs/1", (), b"", context, **values)


async def send_calls(router, seconds, rate=100, row=READ_ROW, **values):
    """Sends calls at a constant rate.

    :returns: their latencies in ascending order, seconds.
    """
    latencies = []

    async def call():
        start = trio.current_time()
        await router.call(create_request(**values), row)
        latencies.append(trio.current_time() - start)

    async with trio.open_nursery() as nursery:
        for _ in range(int(seconds * rate)):
            nursery.start_soon(call)
            await trio.sleep(1 / rate)
    return sorted(latencies)


@pytest.mark.parametrize(
    ("row", "replies", "attempts"),
    [
        (READ_ROW, [LOST, LOST, OK], 3),
        (READ_ROW, [FAILED, FAILED, FAILED, FAILED], 4),
        (READ_ROW, [REFUSED, OK], 2),
        (READ_ROW, [REFUSED, REFUSED], 2),
        (READ_ROW, [REFUSED_BELOW], 1),
        (ONCE_ROW, [LOST], 1),
        (ONCE_ROW, [FAILED], 1),
        (ONCE_ROW, [NOT_SENT, OK], 2),
        (ONCE_ROW, [REFUSED, FAILED], 2),
        (ONCE_ROW, [NOT_SENT, LOST], 2),
    ],
)
async def test_retries_only_attempts_that_are_safe_to_repeat(
    row, replies, attempts, autojump_clock
):
    """Guards against duplicate execution and repeated retries of refusals."""
    answers = iter(replies)
    router, link = create_router_and_link(lambda node_id, request: next(answers))
    # Calls of a leaf are granted no retries, so the node retains the allowance.
    router._get_service("specs").get_statistics(row.name).is_leaf = True
    last = replies[-1]
    if isinstance(last, LinkError):
        with pytest.raises(AttemptsExhaustedError) as caught:
            await router.call(create_request(), row)
        assert caught.value.may_have_run
    else:
        reply = await router.call(create_request(), row)
        assert (reply.status, reply.refusal) == (last.status, last.refusal)
        assert reply.unused_allowance == 3 - (attempts - 1)
    assert len(set(link.node_ids)) == attempts


async def test_refusal_after_a_lost_attempt_is_not_reported_as_not_run(autojump_clock):
    answers = iter([LOST, REFUSED])
    router, _ = create_router_and_link(lambda node_id, request: next(answers))
    with pytest.raises(AttemptsExhaustedError) as caught:
        await router.call(create_request(), READ_ROW)
    assert caught.value.may_have_run


async def test_retries_stay_within_a_tenth_of_the_calls(autojump_clock):
    """Guards against retries that multiply the load on a failing service."""
    router, link = create_router_and_link(lambda node_id, request: FAILED)
    await send_calls(router, seconds=10)
    assert 1000 < len(link.sent) <= 1000 * 1.1 + 5


async def test_call_ends_at_the_deadline(autojump_clock):
    router, link = create_router_and_link(
        lambda *_: attrs.evolve(OK, service_seconds=60)
    )
    start = trio.current_time()
    with pytest.raises(DeadlineError) as caught:
        await router.call(create_request(remaining=1.0), READ_ROW)
    assert trio.current_time() == pytest.approx(start + 1.0)
    assert caught.value.may_have_run and len(link.cancelled) == 1
    link.sent.clear()
    with pytest.raises(DeadlineError) as caught:
        await router.call(create_request(remaining=0.0), READ_ROW)
    assert not caught.value.may_have_run and not link.sent


async def test_refused_call_spills_over_to_another_data_centre_only_once(
    autojump_clock,
):
    """Guards against refusals while the region has free slots and against loops."""

    def answer(node_id, request):
        return REFUSED if node_id.startswith("x") else OK

    router, link = create_router_and_link(answer, LOCAL + SAME_REGION + OTHER_REGION)
    await send_calls(router, seconds=1)
    link.sent.clear()
    replies = [await router.call(create_request(), READ_ROW) for _ in range(10)]
    assert {reply.status for reply in replies} == {200}
    by_node = {node_id: request.is_spilled for node_id, request in link.sent}
    assert all(by_node[node_id] == (node_id[0] == "y") for node_id in by_node)
    assert "z1" not in by_node
    link.sent.clear()
    reply = await router.call(create_request(is_spilled=True), READ_ROW)
    assert reply.status == 503 and {name[0] for name in link.node_ids} == {"x"}


async def test_refusals_of_low_importance_do_not_divert_high_importance(autojump_clock):
    def answer(node_id, request):
        return OK if request.context.priority.importance > 5 else REFUSED

    router, link = create_router_and_link(answer, LOCAL + SAME_REGION)
    await send_calls(router, seconds=1, importance=2)
    link.sent.clear()
    await send_calls(router, seconds=0.2, importance=9)
    assert {name[0] for name in link.node_ids} == {"x"}


async def test_other_region_is_used_only_when_the_own_has_no_reachable_node(
    autojump_clock,
):
    unreachable_ids = set()
    router, link = create_router_and_link(
        lambda name, _: NOT_SENT if name in unreachable_ids else OK,
        LOCAL[:1] + SAME_REGION[:1] + OTHER_REGION,
    )
    await send_calls(router, seconds=0.5)
    assert set(link.take_counts()) == {"x1"}
    unreachable_ids.update(("x1", "y1"))
    for _ in range(3):
        assert (await router.call(create_request(), READ_ROW)).status == 200
    assert link.node_ids[-1] == "z1"


async def test_draining_node_is_avoided_without_spending_the_allowance(autojump_clock):
    router, link = create_router_and_link(
        lambda name, _: DRAINING if name == "x1" else OK
    )
    await send_calls(router, seconds=2, allowance=0)
    assert link.take_counts()["x1"] <= 1


async def test_only_node_is_used_as_soon_as_it_stops_draining(autojump_clock):
    """Guards against refusing calls for seconds after a short draining."""
    replies = [DRAINING]
    router, _ = create_router_and_link(lambda *_: replies[0], LOCAL[:1])
    assert (await router.call(create_request(), READ_ROW)).refusal == DRAINING.refusal
    replies[0] = OK
    assert (await router.call(create_request(), READ_ROW)).status == 200


async def test_leaving_nodes_get_no_calls(autojump_clock):
    leaving = [attrs.evolve(c, is_leaving=True) for c in LOCAL]
    router, link = create_router_and_link(lambda *_: OK, leaving)
    with pytest.raises(NoCandidateError):
        await router.call(create_request(), READ_ROW)
    assert not link.sent


async def test_warming_node_gets_a_rising_share_of_the_calls(autojump_clock):
    warming = create_candidate("cold", warm_at=trio.current_time() + 10)
    router, link = create_router_and_link(lambda *_: OK, [*LOCAL[:3], warming])
    await send_calls(router, seconds=1, rate=400)
    calls_while_warming = link.take_counts()["cold"]
    await trio.sleep(10)
    await send_calls(router, seconds=1, rate=400)
    assert 0 < calls_while_warming < 60 < link.take_counts()["cold"]


async def test_slow_node_is_ejected_and_readmitted(autojump_clock):
    """Guards against one slow server of four that dominates the tail latency."""
    slow_ids = set()

    def answer(node_id, request):
        return attrs.evolve(
            OK, service_seconds=SERVICE_SECONDS * (10 if node_id in slow_ids else 1)
        )

    router, link = create_router_and_link(answer)
    await send_calls(router, seconds=2)
    slow_ids.add("x1")
    await send_calls(router, seconds=2)
    link.sent.clear()
    latencies = await send_calls(router, seconds=10)
    assert link.take_counts()["x1"] <= 10
    assert latencies[len(latencies) * 99 // 100] <= 2 * SERVICE_SECONDS * 1.01
    slow_ids.clear()
    await send_calls(router, seconds=12)
    link.sent.clear()
    await send_calls(router, seconds=2)
    assert link.take_counts()["x1"] >= 30


async def test_stalled_node_is_ejected_without_any_reply(autojump_clock):
    """Guards against a stalled server that stays in use for lack of samples."""

    def answer(node_id, request):
        return attrs.evolve(
            OK, service_seconds=3600 if node_id == "x1" else SERVICE_SECONDS
        )

    router, link = create_router_and_link(answer)
    with trio.move_on_after(2):
        await send_calls(router, seconds=2, row=ONCE_ROW)
    link.sent.clear()
    with trio.move_on_after(2):
        await send_calls(router, seconds=2, row=ONCE_ROW)
    assert link.take_counts()["x1"] <= 2


async def test_long_rows_do_not_make_a_node_look_slow(autojump_clock):
    """Guards against ejection of a node because it runs calls of a slow row."""

    def answer(node_id, request):
        return attrs.evolve(
            OK, service_seconds=0.6 if request.body else SERVICE_SECONDS
        )

    router, _ = create_router_and_link(answer)
    for _ in range(3):
        await send_calls(router, seconds=1)
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                request = attrs.evolve(create_request(), body=b"long")
                nursery.start_soon(router.call, request, LONG_ROW)
        assert not any(
            destination.is_ejected
            for destination in router._get_service("specs")._destinations.values()
        )


async def test_ejects_at_most_a_third_of_the_candidates(autojump_clock):
    def answer(node_id, request):
        seconds = {"x1": 0.4, "x2": 0.4, "x3": 0.4}.get(node_id, SERVICE_SECONDS)
        return attrs.evolve(OK, service_seconds=seconds)

    candidates = [*LOCAL, create_candidate("x5"), create_candidate("x6")]
    candidates += [create_candidate("x7")]
    router, _ = create_router_and_link(answer, candidates)
    await send_calls(router, seconds=5, rate=200)
    destinations = router._get_service("specs")._destinations.values()
    assert sum(destination.is_ejected for destination in destinations) == 2


async def test_hedge_replaces_a_slow_attempt_and_cancels_it(autojump_clock):
    """Guards against a late reply of the cancelled attempt to another call."""
    slow_paths = set()

    def answer(node_id, request):
        first = request.attempt == 1 and request.path in slow_paths
        return attrs.evolve(
            OK,
            body=request.path.encode(),
            service_seconds=2.0 if first else SERVICE_SECONDS,
        )

    router, link = create_router_and_link(answer)
    await send_calls(router, seconds=1)
    slow_paths.add("/specs/7")
    link.sent.clear()
    request = attrs.evolve(create_request(), path="/specs/7")
    start = trio.current_time()
    reply = await router.call(request, READ_ROW)
    assert trio.current_time() - start < 5 * SERVICE_SECONDS
    assert reply.body == b"/specs/7" and reply.unused_allowance == 2
    first, second = link.node_ids
    assert first != second and link.cancelled == [first]
    await send_calls(router, seconds=3)
    assert link.cancelled == [first]


async def test_hedge_in_flight_at_the_deadline_may_have_run(autojump_clock):
    """Guards against reporting "not run" when the hedge reached a server."""
    router, link = create_router_and_link(lambda *_: OK)
    await send_calls(router, seconds=1)
    link.error_seconds = 0.5
    answers = iter([NOT_SENT, attrs.evolve(OK, service_seconds=60)])
    link.answer = lambda *_: next(answers)
    with pytest.raises(DeadlineError) as caught:
        await router.call(create_request(remaining=1.0), READ_ROW)
    assert caught.value.may_have_run
    await trio.sleep(1)
    assert len(link.cancelled) == 1


async def test_cancelled_call_starts_no_hedge(autojump_clock):
    router, link = create_router_and_link(lambda *_: OK)
    await send_calls(router, seconds=1)
    link.answer = lambda *_: attrs.evolve(OK, service_seconds=60)
    link.sent.clear()
    with trio.move_on_after(SERVICE_SECONDS):
        await router.call(create_request(), READ_ROW)
    await trio.sleep(1)
    assert len(link.sent) == 1


@pytest.mark.parametrize("options", [{"row": ONCE_ROW}, {"allowance": 0}])
async def test_no_hedge_without_allowance_or_for_once_rows(options, autojump_clock):
    def answer(node_id, request):
        calls = len(link.sent)
        return attrs.evolve(
            OK, service_seconds=1.0 if calls % 20 == 0 else SERVICE_SECONDS
        )

    router, link = create_router_and_link(answer)
    await send_calls(router, seconds=3, **options)
    assert len(link.sent) == 300


async def test_baseline_retries_three_times_at_each_hop(autojump_clock):
    link = FakeLink(lambda *_: FAILED)
    router = create_baseline_router(FakeDirectory(LOCAL), link, random.Random(7))
    reply = await router.call(create_request(allowance=0), ONCE_ROW)
    assert reply.status == 500 and len(link.sent) == 4
