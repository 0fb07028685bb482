"""Routing must keep to its limits whatever the nodes answer."""

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

READ = create_row(parse_row_key("specs GET /specs/{id}"))
LONG = create_row(parse_row_key("specs GET /summaries"))
ONCE = create_row(parse_row_key("specs POST /specs"), execution="once")
USUAL = 0.02
OK = CallReply(200, reached=("specs",), service_seconds=USUAL)
REFUSED = create_refusal("overload")
REFUSED_BELOW = CallReply(503, refusal=Refusal("overload", 1.0, below=True))
DRAINING = create_refusal("draining")
FAILED = CallReply(500, reached=("specs",), service_seconds=0.001)
LOST = LinkError("lost", may_have_run=True)
NOT_SENT = LinkError("not sent", may_have_run=False)


def create_candidate(name, data_centre="a", region="r", slots=50, **values):
    return Candidate(name, "specs", region, data_centre, slots, **values)


LOCAL = [create_candidate(name) for name in ("x1", "x2", "x3", "x4")]
NEAR = [create_candidate(name, "b") for name in ("y1", "y2")]
FAR = [create_candidate("z1", "c", "other")]


def create_parts(answer, candidates=LOCAL):
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


async def drive(router, seconds, rate=100, row=READ, **values):
    """Sends calls at a steady rate and returns their latencies."""
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
        (READ, [LOST, LOST, OK], 3),
        (READ, [FAILED, FAILED, FAILED, FAILED], 4),
        (READ, [REFUSED, OK], 2),
        (READ, [REFUSED, REFUSED], 2),
        (READ, [REFUSED_BELOW], 1),
        (ONCE, [LOST], 1),
        (ONCE, [FAILED], 1),
        (ONCE, [NOT_SENT, OK], 2),
        (ONCE, [REFUSED, FAILED], 2),
        (ONCE, [NOT_SENT, LOST], 2),
    ],
)
async def test_only_safe_attempts_are_repeated(row, replies, attempts, autojump_clock):
    """Guards against double effects and against retries of refusals."""
    answers = iter(replies)
    router, link = create_parts(lambda node_id, request: next(answers))
    # Leaves are known to need no part of the allowance.
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
    router, _ = create_parts(lambda node_id, request: next(answers))
    with pytest.raises(AttemptsExhaustedError) as caught:
        await router.call(create_request(), READ)
    assert caught.value.may_have_run


async def test_retries_stay_within_a_tenth_of_the_calls(autojump_clock):
    """Guards against retries that multiply the load on a failing service."""
    router, link = create_parts(lambda node_id, request: FAILED)
    await drive(router, seconds=10)
    assert 1000 < len(link.sent) <= 1000 * 1.1 + 5


async def test_call_ends_at_the_deadline(autojump_clock):
    router, link = create_parts(lambda *_: attrs.evolve(OK, service_seconds=60))
    start = trio.current_time()
    with pytest.raises(DeadlineError) as caught:
        await router.call(create_request(remaining=1.0), READ)
    assert trio.current_time() == pytest.approx(start + 1.0)
    assert caught.value.may_have_run and len(link.cancelled) == 1
    link.sent.clear()
    with pytest.raises(DeadlineError) as caught:
        await router.call(create_request(remaining=0.0), READ)
    assert not caught.value.may_have_run and not link.sent


async def test_spills_over_before_refusal_and_never_twice(autojump_clock):
    """Guards against refusals while the region has room, and against loops."""

    def answer(node_id, request):
        return REFUSED if node_id.startswith("x") else OK

    router, link = create_parts(answer, LOCAL + NEAR + FAR)
    await drive(router, seconds=1)
    link.sent.clear()
    replies = [await router.call(create_request(), READ) for _ in range(10)]
    assert {reply.status for reply in replies} == {200}
    by_node = {node_id: request.is_spilled for node_id, request in link.sent}
    assert all(by_node[node_id] == (node_id[0] == "y") for node_id in by_node)
    assert "z1" not in by_node
    link.sent.clear()
    reply = await router.call(create_request(is_spilled=True), READ)
    assert reply.status == 503 and {name[0] for name in link.node_ids} == {"x"}


async def test_refusal_of_low_importance_leaves_high_importance_local(autojump_clock):
    def answer(node_id, request):
        return OK if request.context.priority.importance > 5 else REFUSED

    router, link = create_parts(answer, LOCAL + NEAR)
    await drive(router, seconds=1, importance=2)
    link.sent.clear()
    await drive(router, seconds=0.2, importance=9)
    assert {name[0] for name in link.node_ids} == {"x"}


async def test_other_region_only_when_the_own_has_no_reachable_node(autojump_clock):
    down = set()
    router, link = create_parts(
        lambda name, _: NOT_SENT if name in down else OK, LOCAL[:1] + NEAR[:1] + FAR
    )
    await drive(router, seconds=0.5)
    assert set(link.take_counts()) == {"x1"}
    down.update(("x1", "y1"))
    for _ in range(3):
        assert (await router.call(create_request(), READ)).status == 200
    assert link.node_ids[-1] == "z1"


async def test_draining_node_is_left_at_once_without_spending(autojump_clock):
    router, link = create_parts(lambda name, _: DRAINING if name == "x1" else OK)
    await drive(router, seconds=2, allowance=0)
    assert link.take_counts()["x1"] <= 1


async def test_only_node_is_used_as_soon_as_it_is_back(autojump_clock):
    """Guards against seconds without an answer after a short absence."""
    replies = [DRAINING]
    router, _ = create_parts(lambda *_: replies[0], LOCAL[:1])
    assert (await router.call(create_request(), READ)).refusal == DRAINING.refusal
    replies[0] = OK
    assert (await router.call(create_request(), READ)).status == 200


async def test_leaving_and_absent_nodes_get_no_calls(autojump_clock):
    leaving = [attrs.evolve(c, is_leaving=True) for c in LOCAL]
    router, link = create_parts(lambda *_: OK, leaving)
    with pytest.raises(NoCandidateError):
        await router.call(create_request(), READ)
    assert not link.sent


async def test_cold_node_ramps_up(autojump_clock):
    cold = create_candidate("cold", warm_at=trio.current_time() + 10)
    router, link = create_parts(lambda *_: OK, [*LOCAL[:3], cold])
    await drive(router, seconds=1, rate=400)
    early = link.take_counts()["cold"]
    await trio.sleep(10)
    await drive(router, seconds=1, rate=400)
    assert 0 < early < 60 < link.take_counts()["cold"]


async def test_straggler_loses_its_traffic_and_gets_it_back(autojump_clock):
    """Guards against one slow server of four that sets the tail latency."""
    slow = set()

    def answer(node_id, request):
        return attrs.evolve(OK, service_seconds=USUAL * (10 if node_id in slow else 1))

    router, link = create_parts(answer)
    await drive(router, seconds=2)
    slow.add("x1")
    await drive(router, seconds=2)
    link.sent.clear()
    slowed = await drive(router, seconds=10)
    assert link.take_counts()["x1"] <= 10
    assert slowed[len(slowed) * 99 // 100] <= 2 * USUAL * 1.01
    slow.clear()
    await drive(router, seconds=12)
    link.sent.clear()
    await drive(router, seconds=2)
    assert link.take_counts()["x1"] >= 30


async def test_stalled_node_is_ejected_without_any_reply(autojump_clock):
    """Guards against a server that gives no evidence since it answers nothing."""

    def answer(node_id, request):
        return attrs.evolve(OK, service_seconds=3600 if node_id == "x1" else USUAL)

    router, link = create_parts(answer)
    with trio.move_on_after(2):
        await drive(router, seconds=2, row=ONCE)
    link.sent.clear()
    with trio.move_on_after(2):
        await drive(router, seconds=2, row=ONCE)
    assert link.take_counts()["x1"] <= 2


async def test_long_rows_do_not_make_a_node_look_slow(autojump_clock):
    """Guards against ejection of the node that happens to run summaries."""

    def answer(node_id, request):
        return attrs.evolve(OK, service_seconds=0.6 if request.body else USUAL)

    router, _ = create_parts(answer)
    for _ in range(3):
        await drive(router, seconds=1)
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                request = attrs.evolve(create_request(), body=b"long")
                nursery.start_soon(router.call, request, LONG)
        assert not any(
            destination.is_ejected
            for destination in router._get_service("specs")._destinations.values()
        )


async def test_ejects_at_most_a_third_of_the_candidates(autojump_clock):
    def answer(node_id, request):
        seconds = {"x1": 0.4, "x2": 0.4, "x3": 0.4}.get(node_id, USUAL)
        return attrs.evolve(OK, service_seconds=seconds)

    candidates = [*LOCAL, create_candidate("x5"), create_candidate("x6")]
    candidates += [create_candidate("x7")]
    router, _ = create_parts(answer, candidates)
    await drive(router, seconds=5, rate=200)
    destinations = router._get_service("specs")._destinations.values()
    assert sum(destination.is_ejected for destination in destinations) == 2


async def test_hedge_answers_for_a_slow_attempt_and_cancels_it(autojump_clock):
    """Guards against a late reply of the loser that reaches a caller."""
    slow = set()

    def answer(node_id, request):
        first = request.attempt == 1 and request.path in slow
        return attrs.evolve(
            OK, body=request.path.encode(), service_seconds=2.0 if first else USUAL
        )

    router, link = create_parts(answer)
    await drive(router, seconds=1)
    slow.add("/specs/7")
    link.sent.clear()
    request = attrs.evolve(create_request(), path="/specs/7")
    start = trio.current_time()
    reply = await router.call(request, READ)
    assert trio.current_time() - start < 5 * USUAL
    assert reply.body == b"/specs/7" and reply.unused_allowance == 2
    first, second = link.node_ids
    assert first != second and link.cancelled == [first]
    await drive(router, seconds=3)
    assert link.cancelled == [first]


async def test_hedge_in_flight_at_the_deadline_may_have_run(autojump_clock):
    """Guards against "not run" for a call whose hedge reached a server."""
    router, link = create_parts(lambda *_: OK)
    await drive(router, seconds=1)
    link.error_seconds = 0.5
    answers = iter([NOT_SENT, attrs.evolve(OK, service_seconds=60)])
    link.answer = lambda *_: next(answers)
    with pytest.raises(DeadlineError) as caught:
        await router.call(create_request(remaining=1.0), READ)
    assert caught.value.may_have_run
    await trio.sleep(1)
    assert len(link.cancelled) == 1


async def test_abandoned_call_starts_no_hedge(autojump_clock):
    router, link = create_parts(lambda *_: OK)
    await drive(router, seconds=1)
    link.answer = lambda *_: attrs.evolve(OK, service_seconds=60)
    link.sent.clear()
    with trio.move_on_after(USUAL):
        await router.call(create_request(), READ)
    await trio.sleep(1)
    assert len(link.sent) == 1


@pytest.mark.parametrize("options", [{"row": ONCE}, {"allowance": 0}])
async def test_no_hedge_without_allowance_or_for_once_rows(options, autojump_clock):
    def answer(node_id, request):
        calls = len(link.sent)
        return attrs.evolve(OK, service_seconds=1.0 if calls % 20 == 0 else USUAL)

    router, link = create_parts(answer)
    await drive(router, seconds=3, **options)
    assert len(link.sent) == 300


async def test_baseline_retries_three_times_at_each_hop(autojump_clock):
    link = FakeLink(lambda *_: FAILED)
    router = create_baseline_router(FakeDirectory(LOCAL), link, random.Random(7))
    reply = await router.call(create_request(allowance=0), ONCE)
    assert reply.status == 500 and len(link.sent) == 4
