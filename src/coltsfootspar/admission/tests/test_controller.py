"""Checks goodput, order of refusals and latency of admission under overload."""

import pytest
import trio
import trio.testing

from coltsfootspar.admission import create_admission_controller
from coltsfootspar.admission.controller import DEFAULT_QUEUE_PER_SLOT
from coltsfootspar.calls import Priority
from coltsfootspar.exceptions import RefusedError

SLOTS = 20
SERVICE_SECONDS = 0.02
CAPACITY = SLOTS / SERVICE_SECONDS


def create_rows(load, names=("low", "middle", "high")):
    """Creates rows of increasing importance and equal service times."""
    importances = dict(zip(names, (2, 5, 8), strict=False))
    rows = [load.row(f"s GET /{n}", importance=i) for n, i in importances.items()]
    load.service_seconds = {row.name: SERVICE_SECONDS for row in rows}
    load.controller = create_admission_controller(service="s", slots=SLOTS)
    return rows


async def test_refuses_by_importance_and_keeps_goodput_at_ten_times_load(
    load, autojump_clock
):
    """Guards against refusing important rows while less important ones are served."""
    low, middle, high = create_rows(load)
    load.retries = 2
    rates = [(low, 6 * CAPACITY), (middle, 3.4 * CAPACITY), (high, 0.6 * CAPACITY)]
    await load.run(rates, seconds=2.0)
    assert load.count(high, "ok") == sum(e.row == high.name for e in load.outcomes)
    assert load.count(middle, "ok") > 10 * load.count(low, "ok")
    successes = (
        load.count(low, "ok") + load.count(middle, "ok") + load.count(high, "ok")
    )
    assert successes >= 0.90 * 2.0 * CAPACITY


async def test_keeps_goodput_and_short_queues_at_twice_the_capacity(
    load, autojump_clock
):
    """Guards against a standing queue that makes all calls miss their deadline."""
    (row,) = create_rows(load, ["only"])
    await load.run([(row, 2 * CAPACITY)], seconds=3.0)
    assert load.count(row, "ok") >= 0.95 * 3.0 * CAPACITY
    assert load.count(row, "late") <= 0.01 * len(load.outcomes)


async def test_recovers_within_two_seconds_after_overload(load, autojump_clock):
    """Guards against refusals and queues that outlast the overload."""
    low, middle, high = create_rows(load)
    rows = (low, middle, high)
    normal_rates = [(row, 0.2 * CAPACITY) for row in rows]
    start = trio.current_time()
    await load.run(normal_rates, seconds=1.0)
    before = load.list_latencies(low, start)
    await load.run([(row, 3 * CAPACITY) for row in rows], seconds=2.0)
    await load.run(normal_rates, seconds=2.0)
    recovered_at = trio.current_time()
    refused = len(load.outcomes) - sum(e.code == "ok" for e in load.outcomes)
    await load.run(normal_rates, seconds=1.0)
    after = load.list_latencies(low, recovered_at)
    assert sum(e.code != "ok" for e in load.outcomes) == refused
    assert after[int(0.99 * len(after))] <= 1.05 * before[int(0.99 * len(before))]
    assert load.controller.get_signals() == ()


@pytest.mark.parametrize("importance", [2, 8])
async def test_short_work_does_not_wait_behind_long_work(
    importance, load, autojump_clock
):
    """Guards against head-of-line blocking by requests 30 times as long."""
    short = load.row("s GET /short", importance=8)
    long = load.row("s POST /long", importance=importance)
    load.service_seconds = {
        short.name: SERVICE_SECONDS,
        long.name: 30 * SERVICE_SECONDS,
    }
    load.timeout_seconds = 5.0
    rate = CAPACITY / 3.9
    load.controller = create_admission_controller(service="s", slots=SLOTS)
    await load.run([(short, 0.9 * rate)], seconds=4.0)
    alone = load.list_latencies(short)
    load.outcomes.clear()
    load.controller = create_admission_controller(service="s", slots=SLOTS)
    await load.run([(short, 0.9 * rate), (long, 0.1 * rate)], seconds=8.0)
    mixed = load.list_latencies(short)
    assert load.count(long, "ok") > 0
    assert mixed[int(0.99 * len(mixed))] <= 2 * alone[int(0.99 * len(alone))]


async def test_long_work_alone_uses_all_slots(load, autojump_clock):
    """Guards against slots reserved for short work when there is none."""
    row = load.row("s POST /long")
    load.service_seconds = {row.name: 1.0}
    load.timeout_seconds = 5.0
    load.controller = create_admission_controller(service="s", slots=SLOTS)
    async with trio.open_nursery() as nursery:
        for _ in range(2 * SLOTS):
            nursery.start_soon(load.call, row)
        await trio.sleep(0.1)
        assert load.controller.in_use == SLOTS


async def test_calls_queued_when_their_row_is_classified_as_short_are_served(
    load, autojump_clock
):
    """Guards against calls that starve in the queue for long work.

    A row counts as long until its first call has completed, so its first calls are
    queued as long work and must move to the other queue once it is found short.
    """
    rows = create_rows(load)
    await load.run([(row, 0.7 * CAPACITY) for row in rows], seconds=1.5)
    assert sum(load.count(row, "late") for row in rows) == 0


async def test_row_that_becomes_short_takes_its_running_calls_along(
    load, autojump_clock
):
    """Guards against a queue that shrinks after the first call of a server."""
    (row,) = create_rows(load, ["only"])
    request = load.request(row, deadline=trio.current_time() + 1000.0)
    permits = [await load.controller.acquire(request, row) for _ in range(SLOTS)]
    permits[0].release(SERVICE_SECONDS, succeeded=True)
    await trio.sleep(0.1)
    permits[0] = await load.controller.acquire(request, row)
    async with trio.open_nursery() as nursery:
        for _ in range(DEFAULT_QUEUE_PER_SLOT * SLOTS):
            nursery.start_soon(load.controller.acquire, request, row)
        await trio.testing.wait_all_tasks_blocked()
        assert load.controller.waiting == DEFAULT_QUEUE_PER_SLOT * SLOTS
        nursery.cancel_scope.cancel()
    for permit in permits:
        permit.release(SERVICE_SECONDS, succeeded=True)
    assert load.controller.in_use == 0


async def test_slots_are_divided_by_weight(load, autojump_clock):
    heavy = load.row("s GET /heavy", weight=30)
    light = load.row("s GET /light", weight=10)
    load.service_seconds = {heavy.name: SERVICE_SECONDS, light.name: SERVICE_SECONDS}
    load.controller = create_admission_controller(service="s", slots=SLOTS)
    await load.run([(heavy, CAPACITY), (light, CAPACITY)], seconds=0.2)
    async with trio.open_nursery() as nursery:
        for row in (heavy, light):
            for _ in range(3 * SLOTS):
                nursery.start_soon(load.call, row)
        await trio.sleep(3 * SERVICE_SECONDS)
        in_use = {p.name: p.in_use for p in load.controller._profiles}
        nursery.cancel_scope.cancel()
    assert in_use == {heavy.name: 15, light.name: 5}


async def test_full_queue_refuses_the_lowest_rank(load, autojump_clock):
    """Guards against a full queue that refuses calls of higher rank than its own."""
    low, _, high = create_rows(load)
    controller = create_admission_controller(service="s", slots=1, queue_per_slot=1)
    load.controller = controller
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.call, low)
        await trio.testing.wait_all_tasks_blocked()
        for bucket in range(32):
            priority = Priority(2, bucket)
            nursery.start_soon(lambda p=priority: load.call(low, priority=p))
        await trio.testing.wait_all_tasks_blocked()
        with pytest.raises(RefusedError, match="queue of s is full"):
            await controller.acquire(load.request(low, priority=Priority(2, 0)), low)
        nursery.start_soon(load.call, high)
        await trio.testing.wait_all_tasks_blocked()
        assert controller.waiting == 32
        assert [e.code for e in load.outcomes] == ["overload"]
        nursery.cancel_scope.cancel()


async def test_started_work_then_first_attempts_are_served_first(load, autojump_clock):
    _, row, _ = create_rows(load)
    load.controller = create_admission_controller(service="s", slots=1)
    order = []

    async def call(name, **values):
        permit = await load.controller.acquire(load.request(row, **values), row)
        order.append(name)
        permit.release(SERVICE_SECONDS, succeeded=True)

    permit = await load.controller.acquire(load.request(row), row)
    now = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: call("retry", is_client_retry=True))
        nursery.start_soon(lambda: call("late", deadline=now + 2))
        nursery.start_soon(lambda: call("early", deadline=now + 1))
        nursery.start_soon(lambda: call("begun", depth=1, deadline=now + 3))
        await trio.testing.wait_all_tasks_blocked()
        permit.release(SERVICE_SECONDS, succeeded=True)
    assert order == ["begun", "early", "late", "retry"]


async def test_refuses_on_arrival_what_cannot_meet_its_deadline(load, autojump_clock):
    _, row, _ = create_rows(load)
    await load.run([(row, CAPACITY / 2)], seconds=0.5)
    now = trio.current_time()
    codes = []
    for _ in range(3):
        try:
            request = load.request(row, deadline=now + SERVICE_SECONDS / 2)
            await load.controller.acquire(request, row)
        except RefusedError as error:
            codes.append(error.code)
    # The first call is admitted as a probe, so that an outdated estimate of the
    # service time gets corrected.
    assert codes == ["deadline-unreachable"] * 2


async def test_cold_backend_server_gets_its_slots_gradually(load, autojump_clock):
    """Guards against full load on a server that is still warming up."""
    _, row, _ = create_rows(load)
    load.controller = create_admission_controller(service="s")
    with pytest.raises(RefusedError):
        await load.controller.acquire(load.request(row), row)
    load.controller.update_slots(SLOTS, cold_start=2.0)
    peaks = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run, [(row, 4 * CAPACITY)], 2.5)
        for _ in range(5):
            await trio.sleep(0.4)
            load.controller.update_slots(SLOTS, cold_start=2.0)
            peaks.append(load.controller.in_use)
        await trio.sleep(0.2)
        peaks.append(load.controller.in_use)
    assert peaks == sorted(peaks)
    assert peaks[0] <= SLOTS // 2
    assert peaks[-1] == SLOTS


async def test_announcement_changes_the_slots_while_calls_wait(load, autojump_clock):
    _, row, _ = create_rows(load)
    load.service_seconds[row.name] = 1.0
    load.timeout_seconds = 60.0
    load.controller = create_admission_controller(service="s", slots=2)
    async with trio.open_nursery() as nursery:
        for _ in range(20):
            nursery.start_soon(load.call, row)
        await trio.testing.wait_all_tasks_blocked()
        assert load.controller.in_use == 2
        load.controller.update_slots(8, 0.0)
        assert load.controller.in_use == 8
        load.controller.update_slots(4, 0.0)
        await trio.sleep(1.6)
        assert load.controller.in_use <= 4
    assert load.count(row, "ok") == 20


async def test_cancelled_caller_leaks_no_slot(load, autojump_clock):
    _, row, _ = create_rows(load)
    load.controller = create_admission_controller(service="s", slots=1)
    permit = await load.controller.acquire(load.request(row), row)
    with trio.move_on_after(0.1) as scope:
        await load.controller.acquire(load.request(row), row)
    assert scope.cancelled_caught
    assert load.controller.waiting == 0
    permit.release(SERVICE_SECONDS, succeeded=True)
    permit.release(SERVICE_SECONDS, succeeded=True)
    assert load.controller.in_use == 0


async def test_downstream_wait_does_not_lower_the_limit(load, autojump_clock):
    """Guards against a limit that collapses when a downstream service slows down."""
    _, row, _ = create_rows(load)
    await load.run([(row, CAPACITY / 2)], seconds=1.0)
    for _ in range(50):
        with trio.fail_after(1.0):
            permits = [
                await load.controller.acquire(load.request(row), row)
                for _ in range(SLOTS)
            ]
            await trio.sleep(10 * SERVICE_SECONDS)
        for permit in permits:
            permit.release(
                10 * SERVICE_SECONDS,
                succeeded=True,
                downstream_seconds=9 * SERVICE_SECONDS,
            )
    assert load.controller.limit == SLOTS
