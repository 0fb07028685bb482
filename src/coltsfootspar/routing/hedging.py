"""Hedges: second attempts sent while a slow first one is in progress."""

import heapq
import itertools
from collections.abc import Awaitable, Callable

import attrs
import trio

from coltsfootspar.routing.results import AttemptResult

__all__ = ["Hedge", "HedgeTimer", "Race"]


@attrs.define(eq=False)
class Race:
    """An attempt and its hedge, of which the first final result is used.

    :param scope: cancels the first attempt.
    :param done: set when there is a result or an error, or the call has ended.
    """

    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    done: trio.Event = attrs.field(factory=trio.Event)
    _running: int = 0
    _result: AttemptResult | None = None
    _error: Exception | None = None

    async def run(self, attempt: Awaitable[AttemptResult]) -> None:
        """Runs one of the two attempts.

        Ends the race when the result is final or no attempt is left.

        :param attempt: makes the attempt.
        """
        self._running += 1
        result = await attempt
        self._running -= 1
        if self._result is None or not self._result.is_final:
            self._result = result
        if result.is_final or self._running == 0:
            self._end()

    def fail(self, error: Exception) -> None:
        """Ends the race with an unexpected error."""
        self._error = error
        self._end()

    async def wait(self) -> AttemptResult:
        """Waits for the result.

        :raises Exception: the error that ended the race.
        """
        if not self.done.is_set():
            await self.done.wait()
        if self._error is not None:
            raise self._error
        return self._result

    def _end(self) -> None:
        self.done.set()
        self.scope.cancel()


@attrs.define(eq=False)
class Hedge:
    """A second attempt that starts when the first takes too long.

    :param race: the race of the first attempt.
    """

    race: Race
    _start: Callable[[Race], Awaitable[None]] | None
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def cancel(self) -> None:
        """Cancels the hedge, whether it has started or not."""
        self.race.done.set()
        self._scope.cancel()
        # The timer holds the hedge until it is due; clearing the function frees
        # the request and its body before that.
        self._start = None

    async def run(self) -> None:
        """Makes the second attempt unless it has been cancelled."""
        start = self._start
        if start is None:
            return
        with self._scope:
            try:
                await start(self.race)
            except Exception as error:
                # Raised by the waiting call; the hedges of other calls continue.
                self.race.fail(error)


@attrs.define(eq=False)
class HedgeTimer:
    """Starts the hedges of all calls from one task.

    A nursery for each call would cost as much as all other work of the router,
    and few hedges ever start.
    """

    _heap: list[tuple[float, int, Hedge]] = attrs.field(factory=list)
    _sequence: itertools.count = attrs.field(factory=itertools.count)
    _next_start_changed: trio.Event = attrs.field(factory=trio.Event)
    _is_started: bool = False

    def schedule(
        self, due_at: float, race: Race, start: Callable[[Race], Awaitable[None]]
    ) -> Hedge:
        """Schedules a hedge, which does not start once its race is done.

        :param due_at: start time, trio clock, seconds.
        :param race: the race of the first attempt.
        :param start: makes the second attempt.
        """
        if not self._is_started:
            self._is_started = True
            trio.lowlevel.spawn_system_task(self._run)
        hedge = Hedge(race, start)
        if not self._heap or due_at < self._heap[0][0]:
            self._next_start_changed.set()
        heapq.heappush(self._heap, (due_at, next(self._sequence), hedge))
        return hedge

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                self._next_start_changed = trio.Event()
                with trio.move_on_at(self._find_next_start()):
                    await self._next_start_changed.wait()
                now = trio.current_time()
                while self._heap and self._heap[0][0] <= now:
                    _, _, hedge = heapq.heappop(self._heap)
                    if not hedge.race.done.is_set():
                        nursery.start_soon(hedge.run)

    def _find_next_start(self) -> float:
        heap = self._heap
        while heap and heap[0][2].race.done.is_set():
            heapq.heappop(heap)
        return heap[0][0] if heap else float("inf")
