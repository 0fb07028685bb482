"""One task that serves the periodic ticks of all parts of a process."""

import heapq
import itertools
import math
import random
from collections.abc import AsyncIterator

import attrs
import trio

__all__ = [
    "Subscription",
    "TimerService",
    "compute_next_tick",
    "create_timer_service",
]


@attrs.define(eq=False)
class Subscription:
    """Periodic ticks for one part.

    A part that is late gets one tick, not one for each that it missed.

    :param period: time between two ticks, seconds.
    :param jitter: largest random share of the period added to it, 0 to 1.
    """

    period: float
    jitter: float
    _service: "TimerService"
    _pending: trio.Event = attrs.field(factory=trio.Event)
    _cancelled: bool = False

    def cancel(self) -> None:
        """Ends the ticks; iteration stops."""
        self._cancelled = True
        self._pending.set()

    def __aiter__(self) -> AsyncIterator[float]:
        return self

    async def __anext__(self) -> float:
        """Waits for the next tick.

        :returns: the trio clock at the tick, seconds.
        """
        await self._pending.wait()
        if self._cancelled:
            raise StopAsyncIteration
        self._pending = trio.Event()
        return trio.current_time()

    def _fire(self) -> None:
        self._pending.set()


@attrs.define(eq=False)
class TimerService:
    """Schedules the ticks of all subscriptions in one task.

    ::

        timers = create_timer_service(random.Random(1))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            async for now in timers.subscribe(period=1.0):
                ...
    """

    _random: random.Random
    _heap: list[tuple[float, int, Subscription]] = attrs.field(factory=list)
    _sequence: itertools.count = attrs.field(factory=itertools.count)
    _changed: trio.Event = attrs.field(factory=trio.Event)

    def subscribe(self, period: float, jitter: float = 0.0) -> Subscription:
        """Creates a subscription whose first tick is at most one period from now.

        Without jitter, ticks come at the multiples of the period, so that
        subscriptions with related periods wake up the process together.

        :param period: time between two ticks, seconds.
        :param jitter: largest random share of the period added to it, 0 to 1.
        :returns: an asynchronous iterator over ticks.
        """
        subscription = Subscription(period, jitter, self)
        self._schedule(subscription, trio.current_time())
        return subscription

    async def run(self) -> None:
        """Serves all subscriptions until cancelled."""
        while True:
            self._changed = trio.Event()
            with trio.move_on_at(self._next_time()):
                await self._changed.wait()
            self._fire_due(trio.current_time())

    def _next_time(self) -> float:
        return self._heap[0][0] if self._heap else float("inf")

    def _schedule(self, subscription: Subscription, now: float) -> None:
        if subscription.jitter:
            extra = subscription.jitter * self._random.random()
            due = now + subscription.period * (1 + extra)
        else:
            due = compute_next_tick(now, subscription.period)
        heapq.heappush(self._heap, (due, next(self._sequence), subscription))
        self._changed.set()

    def _fire_due(self, now: float) -> None:
        while self._heap and self._heap[0][0] <= now:
            _, _, subscription = heapq.heappop(self._heap)
            if subscription._cancelled:
                continue
            subscription._fire()
            self._schedule(subscription, now)


def compute_next_tick(now: float, period: float) -> float:
    """Computes the next multiple of a period.

    :param now: trio clock, seconds.
    :param period: seconds.
    """
    tick = (math.floor(now / period) + 1) * period
    # The quotient of a multiple may be rounded down to the one before it.
    return tick if tick > now else tick + period


def create_timer_service(source: random.Random) -> TimerService:
    """Creates a timer service.

    :param source: random numbers for the jitter.
    """
    return TimerService(source)
