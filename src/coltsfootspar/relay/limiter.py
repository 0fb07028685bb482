"""Concurrency limit of a backend server, with a priority queue.

Handles the overload of a service that receives more calls than its slots can
serve: nested calls go first, then calls of a more important organisation, then of a
more important route, then in a fair order of the organisations, and a call that could
not be answered in time is refused on arrival.
"""

import itertools

import attrs
import outcome
import trio
from sortedcontainers import SortedKeyList

from coltsfootspar.exceptions import RefusedError
from coltsfootspar.relay.calls import Call, Load, PriorityClass
from coltsfootspar.relay.capacity import Capacity, create_fixed_capacity
from coltsfootspar.relay.fairness import FairQueueing

__all__ = ["ConcurrencyLimiter", "create_concurrency_limiter"]

_SERVICE_TIME_EWMA_WEIGHT = 0.05
_INITIAL_SERVICE_SECONDS = 0.05
# Longest queueing delay of a new call, as a share of its target latency.
MAX_QUEUEING_FRACTION = 0.35
# Share of its slots that a backend server gets while it warms up.
_WARMUP_SLOT_FRACTION = 0.5


@attrs.define(eq=False)
class _Waiter:
    # Priority class, ranks of organisation and route, fair order, order of arrival.
    sort_key: tuple[int, int, int, float, int]
    call: Call
    task: trio.lowlevel.Task
    # The call is refused unless it has a slot by then; trio clock, seconds.
    latest_start: float

    @property
    def tag(self) -> float:
        """Tag of the fair order."""
        return self.sort_key[3]


@attrs.define(eq=False)
class ConcurrencyLimiter:
    """Limits the calls in progress to the slots of the backend server.

    :param slots: announced slots of the backend server.
    :param in_use: slots held by calls in progress.
    :param warmed_up_at: time at which all slots become available, trio clock,
        seconds.
    :param mean_service_seconds: exponentially weighted moving average of the time
        for which a call holds a slot.
    :param capacity: decides how many of the available slots are used.
    """

    slots: int = 0
    in_use: int = 0
    warmed_up_at: float = 0.0
    mean_service_seconds: float = _INITIAL_SERVICE_SECONDS
    capacity: Capacity = attrs.field(factory=create_fixed_capacity)
    _queue: SortedKeyList = attrs.field(
        factory=lambda: SortedKeyList(key=lambda waiter: waiter.sort_key)
    )
    _fair_queueing: FairQueueing = attrs.field(factory=FairQueueing)
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    @property
    def limit(self) -> int:
        """Most calls that may be in progress at once."""
        if trio.current_time() < self.warmed_up_at:
            slots = max(1, int(self.slots * _WARMUP_SLOT_FRACTION))
            return self.capacity.compute_limit(slots)
        return self.capacity.compute_limit(self.slots)

    @property
    def load(self) -> Load:
        """Current load."""
        return Load(self.in_use, self.limit, len(self._queue))

    def try_acquire(self, call: Call) -> bool:
        """Acquires a slot without waiting.

        Refuses a new call whose latest start has passed; a nested call may still
        have a slot then.

        :returns: false when the call would have to wait.
        :raises RefusedError: when the call cannot be answered in time.
        """
        now = trio.current_time()
        latest_start = self._compute_latest_start(call, now)
        if latest_start <= now and call.priority_class is not PriorityClass.NESTED:
            raise RefusedError("the remaining time is too short", code="deadline")
        if self.in_use >= self.limit or self._queue:
            return False
        self.in_use += 1
        return True

    async def acquire(self, call: Call) -> None:
        """Acquires a slot, waiting in the queue if necessary.

        :raises RefusedError: when the call cannot be answered in time, or is
            refused in the queue.
        """
        if self.try_acquire(call):
            return
        now = trio.current_time()
        latest_start = self._compute_latest_start(call, now)
        tag = self._fair_queueing.compute_tag(call)
        sort_key = (
            call.priority_class,
            *call.importance,
            tag,
            next(self._sequence),
        )
        ahead = self._queue.bisect_key_left(sort_key) + 1
        if now + self._estimate_wait(ahead) > latest_start:
            raise RefusedError(
                "the estimated queueing delay is too long", code="overload"
            )
        waiter = _Waiter(sort_key, call, trio.lowlevel.current_task(), latest_start)
        self._queue.add(waiter)
        self._fair_queueing.add(call, tag)
        self._refuse_overtaken(now)

        def abort(_: object) -> trio.lowlevel.Abort:
            self._remove(waiter)
            return trio.lowlevel.Abort.SUCCEEDED

        await trio.lowlevel.wait_task_rescheduled(abort)

    def release(self, service_seconds: float | None) -> None:
        """Releases a slot and starts the calls that may run now.

        :param service_seconds: time for which a successful call held the slot; None
            leaves the mean unchanged.
        """
        self.in_use -= 1
        if service_seconds is not None:
            self.mean_service_seconds += (
                service_seconds - self.mean_service_seconds
            ) * _SERVICE_TIME_EWMA_WEIGHT
        self._dispatch()

    def set_capacity(self, slots: int, warmed_up_at: float) -> None:
        """Sets the slots that the backend server announced.

        :param warmed_up_at: time at which all of them become available, trio clock,
            seconds.
        """
        self.slots, self.warmed_up_at = slots, warmed_up_at
        self._dispatch()

    def refuse_waiting(self, code: str) -> None:
        """Refuses all waiting calls.

        :param code: error code of the refusals.
        """
        while self._queue:
            self._refuse(self._queue[0], code)

    def _compute_latest_start(self, call: Call, now: float) -> float:
        latest_start = call.deadline - min(
            self.mean_service_seconds, call.target_latency / 2
        )
        if call.priority_class is PriorityClass.NESTED:
            return latest_start
        return min(latest_start, now + call.target_latency * MAX_QUEUEING_FRACTION)

    def _estimate_wait(self, ahead: int) -> float:
        return ahead * self.mean_service_seconds / max(1, self.limit)

    def _dispatch(self) -> None:
        now = trio.current_time()
        while self._queue and self.in_use < self.limit:
            waiter = self._queue[0]
            if waiter.latest_start < now:
                self._refuse(waiter, "overload")
                continue
            del self._queue[0]
            self._fair_queueing.start(waiter.call, waiter.tag)
            self.in_use += 1
            trio.lowlevel.reschedule(waiter.task)

    def _refuse_overtaken(self, now: float) -> None:
        """Refuses the calls that can no longer start in time.

        A call of higher priority has been queued ahead of them.
        """
        while self._queue:
            lowest = self._queue[-1]
            if now + self._estimate_wait(len(self._queue)) <= lowest.latest_start:
                return
            if lowest.task is trio.lowlevel.current_task():
                return
            self._refuse(lowest, "overload")

    def _refuse(self, waiter: _Waiter, code: str) -> None:
        self._remove(waiter)
        error = RefusedError("refused while waiting for a slot", code=code)
        trio.lowlevel.reschedule(waiter.task, outcome.Error(error))

    def _remove(self, waiter: _Waiter) -> None:
        self._queue.remove(waiter)
        self._fair_queueing.remove(waiter.call, waiter.tag)


def create_concurrency_limiter() -> ConcurrencyLimiter:
    """Creates a limiter without slots.

    :meth:`ConcurrencyLimiter.set_capacity` sets them.
    """
    return ConcurrencyLimiter()
