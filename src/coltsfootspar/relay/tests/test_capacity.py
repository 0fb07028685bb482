"""Tests of the learned capacity on a virtual clock, with models of backend servers."""

import random

import attrs
import pytest
import trio

from coltsfootspar.relay import (
    Capacity,
    create_capacity_estimator,
    create_fixed_capacity,
    create_placement,
)
from coltsfootspar.testing.servers import ModelFleet, ModelServer, create_model_server

# Mean service seconds of each kind of call.
KINDS = {"short": 0.05, "long": 0.15}
SLOTS = 40
# Calls per second that a server of mean speed completes with all slots in use: the
# mean of the kinds, for a model whose calls take 1.28 times their mean on average.
FULL_CALLS_PER_SECOND = SLOTS / (0.1 * 1.28)


def create_fleet(servers: list[ModelServer], nodes: int = 4) -> ModelFleet:
    source = random.Random(1)
    placements = [create_placement("a", random.Random(i)) for i in range(nodes)]
    return ModelFleet(servers, placements, source)


def create_servers(capacity_factory, *speeds: float, **options) -> list[ModelServer]:
    return [
        create_model_server(f"n{i}", SLOTS, capacity_factory(), speed=speed, **options)
        for i, speed in enumerate(speeds)
    ]


def compute_share_in_time(fleet: ModelFleet) -> float:
    in_time = [
        result
        for result in fleet.results
        if result.seconds is not None and result.seconds <= fleet.target_latency
    ]
    return len(in_time) / len(fleet.results)


def count_refused_with_room(fleet: ModelFleet) -> int:
    return sum(r.seconds is None and r.had_room for r in fleet.results)


async def record_limits(server: ModelServer, limits: list[int]) -> None:
    while True:
        limits.append(server.limiter.limit)
        await trio.sleep(0.1)


async def offer_alone(
    server: ModelServer, load: float, seconds: float, kinds=KINDS
) -> tuple[ModelFleet, list[int]]:
    """Sends calls to one server and records its limit ten times a second."""
    fleet = create_fleet([server])
    limits = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record_limits, server, limits)
        await fleet.offer(load * FULL_CALLS_PER_SECOND, seconds, kinds)
        nursery.cancel_scope.cancel()
    return fleet, limits


async def measure_knee(create_capacity) -> ModelFleet:
    servers = create_servers(
        create_capacity, 0.6, 1.0, 1.4, 1.0, knee=0.95, knee_factor=1.3
    )
    fleet = create_fleet(servers)
    await fleet.offer(4 * FULL_CALLS_PER_SECOND, 4, KINDS)
    fleet.results.clear()
    await fleet.offer(4 * FULL_CALLS_PER_SECOND, 8, KINDS)
    return fleet


async def test_more_calls_in_time_below_the_knee(autojump_clock):
    """Guards against full slots at servers that are faster with some of them free."""
    learned = await measure_knee(create_capacity_estimator)
    fixed = await measure_knee(create_fixed_capacity)
    assert compute_share_in_time(learned) > compute_share_in_time(fixed) + 0.05


async def test_no_server_lowered_without_a_knee(autojump_clock):
    """Guards against calls refused with room at servers that are merely busy."""
    [server] = create_servers(create_capacity_estimator, 1.0)
    fleet, limits = await offer_alone(server, load=1.3, seconds=10)
    assert limits.count(SLOTS) > 0.9 * len(limits)
    assert count_refused_with_room(fleet) < 0.02 * len(fleet.results)


async def test_limit_kept_at_a_slow_server(autojump_clock):
    """A lower limit does not help a server whose calls all take three times as long."""
    [server] = create_servers(create_capacity_estimator, 1.0)

    async def slow_down() -> None:
        await trio.sleep(3)
        server.slow_factor = 3.0
        await trio.sleep(10)
        server.slow_factor = 1.0

    async with trio.open_nursery() as nursery:
        nursery.start_soon(slow_down)
        _, limits = await offer_alone(server, load=0.9, seconds=18)
    assert limits.count(SLOTS) > 0.85 * len(limits)
    assert limits[-1] == SLOTS


@pytest.mark.parametrize("load", [0.4, 0.9])
async def test_rate_follows_a_slow_server(autojump_clock, load):
    """Guards against a share of the work that lags behind the speed of a server."""
    [server] = create_servers(create_capacity_estimator, 1.0)
    capacity = server.limiter.capacity
    fleet = create_fleet([server])
    rates = []

    async def slow_down() -> None:
        for factor in (3.0, 1.0):
            await trio.sleep(8)
            rates.append(capacity.calls_per_second)
            server.slow_factor = factor
            await trio.sleep(2)
            rates.append(capacity.calls_per_second)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(slow_down)
        await fleet.offer(load * FULL_CALLS_PER_SECOND, 20, KINDS)
    before, slowed, still_slow, recovered = rates
    assert 0.25 < slowed / before < 0.5
    assert 0.25 < still_slow / before < 0.5
    assert 0.8 < recovered / before < 1.25


async def test_limit_found_again_after_the_knee_moves(autojump_clock):
    """Follows a knee that appears within two seconds, and its end."""
    [server] = create_servers(create_capacity_estimator, 1.0, knee_factor=2.0)
    fleet = create_fleet([server])
    limits = []

    async def move_knee() -> None:
        for knee in (0.7, 1.0):
            await trio.sleep(4)
            server.knee = knee

    async with trio.open_nursery() as nursery:
        nursery.start_soon(record_limits, server, limits)
        nursery.start_soon(move_knee)
        await fleet.offer(1.5 * FULL_CALLS_PER_SECOND, 14, KINDS)
        nursery.cancel_scope.cancel()
    assert min(limits[40:60]) < SLOTS
    assert max(limits[65:80]) <= 0.85 * SLOTS
    assert max(limits[-20:]) >= 0.9 * SLOTS


async def test_mix_of_kinds_may_change(autojump_clock):
    """Guards against a limit lowered because more calls are long by nature."""
    [server] = create_servers(create_capacity_estimator, 1.0)
    await offer_alone(server, load=0.5, seconds=4)
    _, limits = await offer_alone(server, 1.2, 6, {"long": 0.15})
    assert limits.count(SLOTS) > 0.85 * len(limits)


async def test_fast_failures_and_nested_waits_are_left_out(autojump_clock):
    """Failures say nothing about the speed, and nested calls are not its own time."""
    capacity = create_capacity_estimator()
    capacity.compute_limit(SLOTS)

    async def finish(seconds: float, **options) -> None:
        measurement = capacity.start("short", 1)
        await trio.sleep(seconds)
        capacity.finish(measurement, **options)

    for _ in range(200):
        await finish(0.1, is_served=True)
        await finish(0.0, is_served=False)
    for _ in range(50):
        await finish(0.5, is_served=True, nested_seconds=0.4)
    assert abs(capacity.recent_log_ratio) < 0.01


async def test_few_calls_change_nothing(autojump_clock):
    """Guards against a limit that a few long calls lower."""
    capacity = create_capacity_estimator()
    for _ in range(20):
        assert capacity.compute_limit(2) == 2
        measurement = capacity.start("short", 2)
        await trio.sleep(5)
        capacity.finish(measurement, is_served=True)
    assert capacity.calls_per_second == 0


@pytest.mark.parametrize("slots", [1, 2, 3, 5])
async def test_limit_of_small_servers(autojump_clock, slots):
    """Guards against a limit of zero, or one above the slots."""
    server = attrs.evolve(
        create_model_server("n0", slots, create_capacity_estimator(), knee=0.5)
    )
    server.knee_factor = 3.0
    fleet = create_fleet([server])
    limits = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record_limits, server, limits)
        await fleet.offer(slots * 15, 20, KINDS)
        nursery.cancel_scope.cancel()
    assert min(limits) >= 1
    assert max(limits) <= slots


async def test_a_new_server_starts_anew(autojump_clock):
    """Guards against figures of the last process that hold for its successor."""
    [server] = create_servers(create_capacity_estimator, 1.0, knee=0.6, knee_factor=2.0)
    await offer_alone(server, load=1.3, seconds=6)
    capacity: Capacity = server.limiter.capacity
    assert server.limiter.limit < SLOTS
    capacity.reset()
    assert capacity.compute_limit(SLOTS // 2) == SLOTS // 2
    assert capacity.calls_per_second == 0


async def test_operators_pin_the_limit(autojump_clock):
    """Guards against a fixed limit that is exceeded, or that exceeds the slots."""
    capacity = create_fixed_capacity(12)
    assert capacity.compute_limit(SLOTS) == 12
    assert capacity.compute_limit(5) == 5
    assert create_fixed_capacity().compute_limit(SLOTS) == SLOTS
