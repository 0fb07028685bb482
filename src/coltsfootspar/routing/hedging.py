"""Second attempts that run beside a slow first one."""

import heapq
import itertools
from collections.abc import Awaitable, Callable

import attrs
import trio

from coltsfootspar.routing.results import AttemptResult

__all__ = ["Hedge", "HedgeTimer", "Race"]


@attrs.define(eq=False)
class Race:
    """An attempt and its hedge; the first settled result ends it.

    :param scope: holds the first attempt.
    :param over: set when there is a result or an error.
    """

    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    over: trio.Event = attrs.field(factory=trio.Event)
    _running: int = 0
    _result: AttemptResult | None = None
    _error: Exception | None = None

    async def run(self, attempt: Awaitable[AttemptResult]) -> None:
        """Runs one of the two attempts."""
        self._running += 1
        result = await attempt
        self._running -= 1
        if self._result is None or not self._result.is_settled:
            self._result = result
        if result.is_settled or self._running == 0:
            self._end()

    def fail(self, error: Exception) -> None:
        """Ends the race with an unexpected error."""
        self._error = error
        self._end()

    async def wait(self) -> AttemptResult:
        """Waits for the result."""
        if not self.over.is_set():
            await self.over.wait()
        if self._error is not None:
            raise self._error
        return self._result

    def _end(self) -> None:
        self.over.set()
        self.scope.cancel()


@attrs.define(eq=False)
class Hedge:
    """A second attempt that starts when the first takes too long.

    :param race: the race that it joins.
    """

    race: Race
    _start: Callable[[Race], Awaitable[None]] | None
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def cancel(self) -> None:
        """Ends the hedge or keeps it from starting."""
        self.race.over.set()
        self._scope.cancel()
        # The timer keeps the hedge until it would be due; the request with its
        # body is not kept that long.
        self._start = None

    async def run(self) -> None:
        """Runs the second attempt unless it was cancelled."""
        start = self._start
        if start is None:
            return
        with self._scope:
            try:
                await start(self.race)
            except Exception as error:
                # The caller raises it; the hedges of others go on.
                self.race.fail(error)


@attrs.define(eq=False)
class HedgeTimer:
    """Starts the hedges of all calls in one task.

    A nursery for each call would cost as much as the rest of the routing, and
    few hedges ever start.
    """

    _heap: list[tuple[float, int, Hedge]] = attrs.field(factory=list)
    _sequence: itertools.count = attrs.field(factory=itertools.count)
    _changed: trio.Event = attrs.field(factory=trio.Event)
    _is_started: bool = False

    def schedule(
        self, at: float, race: Race, start: Callable[[Race], Awaitable[None]]
    ) -> Hedge:
        """Schedules a hedge; one whose race is over does not start.

        :param at: trio clock, seconds.
        :param start: makes the second attempt.
        """
        if not self._is_started:
            self._is_started = True
            trio.lowlevel.spawn_system_task(self._run)
        hedge = Hedge(race, start)
        if not self._heap or at < self._heap[0][0]:
            self._changed.set()
        heapq.heappush(self._heap, (at, next(self._sequence), hedge))
        return hedge

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                self._changed = trio.Event()
                with trio.move_on_at(self._find_next()):
                    await self._changed.wait()
                now = trio.current_time()
                while self._heap and self._heap[0][0] <= now:
                    _, _, hedge = heapq.heappop(self._heap)
                    if not hedge.race.over.is_set():
                        nursery.start_soon(hedge.run)

    def _find_next(self) -> float:
        heap = self._heap
        while heap and heap[0][2].race.over.is_set():
            heapq.heappop(heap)
        return heap[0][0] if heap else float("inf")
