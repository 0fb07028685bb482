"""Ticks must come on time and must not pile up for a slow part."""

import random

import pytest
import trio

from coltsfootspar.timers import compute_next_tick, create_timer_service


async def test_ticks_follow_the_period(autojump_clock):
    timers = create_timer_service(random.Random(1))
    times = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timers.run)
        start = trio.current_time()
        async for now in timers.subscribe(period=0.5):
            times.append(round(now - start, 6))
            if len(times) == 3:
                nursery.cancel_scope.cancel()
    assert times == [0.5, 1.0, 1.5]


async def test_related_periods_tick_together(autojump_clock):
    """Guards against processes that each of their parts wakes up on its own."""
    timers = create_timer_service(random.Random(1))
    times = {0.5: [], 1.0: []}

    async def subscribe(delay, period):
        await trio.sleep(delay)
        async for now in timers.subscribe(period):
            times[period].append(now)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(timers.run)
        nursery.start_soon(subscribe, 0.13, 0.5)
        nursery.start_soon(subscribe, 0.61, 1.0)
        await trio.sleep(4.2)
        nursery.cancel_scope.cancel()
    assert len(times[1.0]) == 4
    assert set(times[1.0]) <= set(times[0.5])


@pytest.mark.parametrize("period", [0.05, 0.1, 0.3, 0.5, 0.7])
def test_next_tick_is_in_the_future(period):
    """Guards against a tick at the present time, which would come without end."""
    for count in range(1, 2_000):
        now = count * period
        assert now < compute_next_tick(now, period) <= now + 1.001 * period


async def test_slow_subscriber_gets_one_tick_for_many_missed(autojump_clock):
    timers = create_timer_service(random.Random(1))
    ticks = 0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timers.run)
        subscription = timers.subscribe(period=1.0)
        await trio.sleep(10.5)
        with trio.move_on_after(0.1):
            async for _ in subscription:
                ticks += 1
        nursery.cancel_scope.cancel()
    assert ticks == 1


async def test_cancelled_subscription_ends_its_loop(autojump_clock):
    timers = create_timer_service(random.Random(1))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timers.run)
        subscription = timers.subscribe(period=1.0)
        subscription.cancel()
        assert [now async for now in subscription] == []
        nursery.cancel_scope.cancel()
