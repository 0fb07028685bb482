"""Model of backend servers with unequal speeds, for tests on a virtual clock."""

import random

import attrs
import trio

from coltsfootspar.exceptions import RefusedError
from coltsfootspar.relay import (
    Call,
    ConcurrencyLimiter,
    Placement,
    PriorityClass,
    create_concurrency_limiter,
)
from coltsfootspar.relay.capacity import Capacity
from coltsfootspar.routing import Candidate

__all__ = ["ModelFleet", "ModelServer", "Result", "create_model_server"]

_SERVICE = "wallet"
_MAX_NODES_PER_CALL = 4


@attrs.define(eq=False)
class ModelServer:
    """Backend server that slows down beyond a share of its slots.

    :param speed: factor of its speed.
    :param knee: share of its slots above which calls take ``knee_factor`` as long.
    :param slow_factor: factor by which all calls are slowed down at present.
    """

    node_id: str
    slots: int
    speed: float
    knee: float
    knee_factor: float
    limiter: ConcurrencyLimiter
    slow_factor: float = 1.0
    served: int = 0

    async def serve(self, call: Call, kind: str, seconds: float) -> None:
        """Serves a call.

        :param seconds: its time on a server of mean speed without congestion.
        :raises RefusedError: when the limiter refuses it.
        """
        await self.limiter.acquire(call)
        capacity, in_use = self.limiter.capacity, self.limiter.in_use
        measurement = capacity.start(kind, in_use)
        factor = self.slow_factor / self.speed
        if in_use > self.knee * self.slots:
            factor *= self.knee_factor
        await trio.sleep(seconds * factor)
        capacity.finish(measurement, is_served=True)
        self.limiter.release(seconds * factor)
        self.served += 1


@attrs.frozen
class Result:
    """Result of one call for its caller.

    :param started_at: trio clock, seconds.
    :param seconds: time until the answer; None when the call was refused.
    :param had_room: true when a server had a free slot at the time of the refusal.
    """

    started_at: float
    seconds: float | None
    had_room: bool = False


@attrs.define(eq=False)
class ModelFleet:
    """Servers, and callers that choose among them.

    :param placements: one for each node with callers.
    :param target_latency: time within which an answer is in time, seconds.
    """

    servers: list[ModelServer]
    placements: list[Placement]
    source: random.Random
    target_latency: float = 0.6
    deadline_seconds: float = 2.5
    results: list[Result] = attrs.field(factory=list)
    candidates: list[Candidate] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.publish()

    def publish(self) -> None:
        """Replaces the candidates by the present state of the servers."""
        self.candidates = [
            Candidate(
                s.node_id,
                _SERVICE,
                "r",
                "a",
                s.slots,
                calls_per_second=round(s.limiter.capacity.calls_per_second),
            )
            for s in self.servers
        ]

    async def offer(
        self, calls_per_second: float, seconds: float, kinds: dict[str, float]
    ) -> None:
        """Sends calls at random times and waits for their results.

        :param kinds: mean service seconds of each kind; all are equally frequent.
        """
        names = list(kinds)
        ends_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_at:
                kind = self.source.choice(names)
                work = kinds[kind] * self._draw_factor()
                nursery.start_soon(self._call, kind, work)
                await trio.sleep(self.source.expovariate(calls_per_second))

    def _draw_factor(self) -> float:
        """Draws the work of a call; three of a hundred calls take much longer."""
        factor = self.source.lognormvariate(0.0, 0.4)
        return factor * 7 if self.source.random() < 0.03 else factor

    async def _call(self, kind: str, work: float) -> None:
        start = trio.current_time()
        call = Call(
            service=_SERVICE,
            deadline=start + self.deadline_seconds,
            rank=1,
            is_idempotent=True,
            priority_class=PriorityClass.NEW,
            target_latency=self.target_latency,
            caller="diaries",
        )
        placement = self.source.choice(self.placements)
        tried = set()
        while len(tried) < _MAX_NODES_PER_CALL:
            candidate = placement.choose(self.candidates, tried)
            if candidate is None:
                break
            tried.add(candidate.node_id)
            if await self._try(placement, candidate, call, kind, work):
                seconds = trio.current_time() - start
                self.results.append(Result(start, seconds))
                return
        had_room = any(s.limiter.in_use < s.slots for s in self.servers)
        self.results.append(Result(start, None, had_room))

    async def _try(
        self,
        placement: Placement,
        candidate: Candidate,
        call: Call,
        kind: str,
        work: float,
    ) -> bool:
        server = next(s for s in self.servers if s.node_id == candidate.node_id)
        start = trio.current_time()
        placement.record_start(candidate)
        seconds = None
        try:
            with trio.move_on_at(call.deadline):
                await server.serve(call, kind, work)
                seconds = trio.current_time() - start
        except RefusedError:
            return False
        finally:
            placement.record_end(candidate, seconds, server.limiter.load)
        return seconds is not None


def create_model_server(
    node_id: str,
    slots: int,
    capacity: Capacity,
    *,
    speed: float = 1.0,
    knee: float = 1.0,
    knee_factor: float = 1.0,
) -> ModelServer:
    """Creates a warm model of a backend server."""
    limiter = create_concurrency_limiter()
    limiter.capacity = capacity
    limiter.set_capacity(slots, 0.0)
    return ModelServer(node_id, slots, speed, knee, knee_factor, limiter)
