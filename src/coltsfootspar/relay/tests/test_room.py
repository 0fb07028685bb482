"""Tests of the entry gate under load, on a virtual clock and without a network."""

import collections
import itertools
import random

import attrs
import pytest
import trio

from coltsfootspar.calls import Outcome
from coltsfootspar.exceptions import RefusedError
from coltsfootspar.relay import (
    Call,
    PriorityClass,
    Reply,
    create_concurrency_limiter,
    create_room_gate,
)
from coltsfootspar.relay.calls import BUCKETS, inherit
from coltsfootspar.relay.room import RoomEstimator
from coltsfootspar.relay.roomsignals import RoomSignal, RoomSignals

from .conftest import create_route

ENTRY_NODES = 10
DEEP_SERVERS, DEEP_SLOTS, DEEP_SECONDS = 2, 20, 0.05
# Calls that each request makes, one after another, to the deepest service.
DEEP_CALLS = 4
# Whole requests a second that the deepest service bears.
CAPACITY = DEEP_SERVERS * DEEP_SLOTS / DEEP_SECONDS / DEEP_CALLS
FRONT_SECONDS = 0.1
TIMEOUT_SECONDS = 1.0
# Every fifth request is of the important route.
ROUTES = [
    create_route(name=f"rank-{rank}", rank=rank, target_latency=0.7)
    for rank in (0, 1, 1, 1, 1)
]


@attrs.define(eq=False)
class Deepest:
    """A server of the deepest service with its node's limiter and estimator."""

    limiter: object = attrs.field(factory=create_concurrency_limiter)
    room: RoomEstimator = attrs.field(factory=RoomEstimator)

    async def serve(self, call: Call) -> tuple[bool, tuple[RoomSignal, ...]]:
        """Returns whether the call was served, and the signals of the reply."""
        limiter = self.limiter
        mean = limiter.mean_service_seconds
        self.room.record_arrival(call, trio.current_time(), limiter.load, mean)
        served = False
        try:
            await limiter.acquire(call)
            await trio.sleep(DEEP_SECONDS)
            limiter.release(DEEP_SECONDS)
            self.room.record_hold(call, DEEP_SECONDS)
            served = True
        except RefusedError:
            pass
        position = self.room.get_announced(trio.current_time())
        return served, (
            () if position is None else (RoomSignal("deepest", position, 0.0),)
        )


@attrs.define(eq=False)
class Graph:
    """Entry nodes, a front service without a limit, and the deepest service.

    :param served: served requests, by route and second of arrival.
    :param asked: all requests, by the same.
    """

    rng: random.Random
    is_gated: bool = True
    gates: list = attrs.field(
        factory=lambda: [create_room_gate(RoomSignals()) for _ in range(ENTRY_NODES)]
    )
    servers: list[Deepest] = attrs.field(
        factory=lambda: [Deepest() for _ in range(DEEP_SERVERS)]
    )
    asked: collections.Counter = attrs.field(factory=collections.Counter)
    served: collections.Counter = attrs.field(factory=collections.Counter)

    async def play(self, phases: list[tuple[float, float]]) -> None:
        """Sends requests.

        :param phases: duration, seconds, and load as a multiple of the capacity.
        """
        for server in self.servers:
            server.limiter.set_capacity(DEEP_SLOTS, 0.0)
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for duration, load in phases:
                end = trio.current_time() + duration
                while (now := trio.current_time()) < end:
                    nursery.start_soon(self._request, int(now - start))
                    await trio.sleep(self.rng.expovariate(load * CAPACITY))

    async def _request(self, second: int) -> None:
        route, gate = self.rng.choice(ROUTES), self.rng.choice(self.gates)
        self.asked[route.rank, second] += 1
        call = Call(
            service="front",
            deadline=trio.current_time() + TIMEOUT_SECONDS,
            rank=route.rank,
            is_idempotent=True,
            priority_class=PriorityClass.NEW,
            target_latency=0.7,
            caller="",
            bucket=self.rng.randrange(BUCKETS),
        )
        if self.is_gated and gate.find_refusal(route, call) is not None:
            return
        nested = attrs.evolve(
            inherit(call, call), priority_class=PriorityClass.NESTED, target_latency=0.3
        )
        await trio.sleep(FRONT_SECONDS)
        status = 200
        for _ in range(DEEP_CALLS):
            server = min(
                self.rng.sample(self.servers, 2), key=lambda s: s.limiter.load.ratio
            )
            is_served, signals = await server.serve(nested)
            gate.signals.record(signals)
            if not is_served or trio.current_time() > call.deadline:
                status = 500
                break
        reached = {"deepest": DEEP_CALLS}
        reply = Reply(status, [], b"", Outcome.RAN, reached=reached)
        gate.record_reply(route, call, reply)
        self.served[route.rank, second] += status == 200

    def share(self, rank: int, seconds: range) -> float:
        """Returns the served share of a route's requests."""
        keys = [(rank, second) for second in seconds]
        return sum(self.served[k] for k in keys) / sum(self.asked[k] for k in keys)

    def rate(self, seconds: range) -> float:
        """Returns the served requests a second."""
        pairs = itertools.product((0, 1), seconds)
        return sum(self.served[pair] for pair in pairs) / len(seconds)


@pytest.mark.parametrize("seed", range(3))
async def test_served_requests_stay_flat_from_one_to_three_times(autojump_clock, seed):
    """Guards against work on requests whose nested calls find no room."""
    steady = range(3, 8)
    rates = []
    for load in (1, 2, 3):
        graph = Graph(random.Random(seed))
        await graph.play([(8, load)])
        rates.append(graph.rate(steady))
        if load > 1:
            assert graph.share(0, steady) >= 0.97
            assert graph.share(1, steady) < graph.share(0, steady)
    assert min(rates) >= 0.85 * CAPACITY
    assert max(rates) <= 1.15 * min(rates)


async def test_refused_demand_returns_soon_after_a_surge(autojump_clock):
    """Guards against thresholds that outlast the overload."""
    graph = Graph(random.Random(1))
    await graph.play([(2, 0.6), (5, 3), (5, 0.6)])
    assert graph.share(1, range(3, 7)) < 0.5
    assert graph.share(1, range(9, 12)) >= 0.98


async def test_all_requests_are_admitted_while_there_is_room(autojump_clock):
    """Guards against refusals in deployments without overload."""
    graph = Graph(random.Random(1))
    await graph.play([(8, 0.8)])
    assert not any(gate.refused for gate in graph.gates)
