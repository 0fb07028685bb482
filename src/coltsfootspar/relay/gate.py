"""Slots of one backend server and the calls that wait for them.

Answers the load of a service that gets more calls than its slots can serve: the
calls of requests that have begun go first, then the more important ones, and a
call that could not be answered in time is refused when it arrives.
"""

import itertools

import attrs
import outcome
import trio
from sortedcontainers import SortedKeyList

from coltsfootspar.exceptions import RefusedError
from coltsfootspar.relay.calls import Call, Importance, Load

__all__ = ["SlotGate", "create_slot_gate"]

# Weight of the latest call in the mean service time.
_MEAN_WEIGHT = 0.05
_INITIAL_SECONDS = 0.05
# A new call may wait for this share of its target latency.
WAIT_SHARE = 0.35
# While it is new, a backend server gets this share of its slots.
_COLD_SHARE = 0.5


@attrs.define(eq=False)
class _Waiter:
    order: tuple[int, int, int]
    call: Call
    task: trio.lowlevel.Task
    latest: float


@attrs.define(eq=False)
class SlotGate:
    """Lets as many calls through as the backend server has slots.

    :param mean_seconds: mean time for which a call holds a slot, seconds.
    """

    slots: int = 0
    in_use: int = 0
    warm_at: float = 0.0
    mean_seconds: float = _INITIAL_SECONDS
    _queue: SortedKeyList = attrs.field(
        factory=lambda: SortedKeyList(key=lambda waiter: waiter.order)
    )
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    @property
    def limit(self) -> int:
        """Calls that may be in progress at once."""
        if trio.current_time() < self.warm_at:
            return max(1, int(self.slots * _COLD_SHARE))
        return self.slots

    @property
    def load(self) -> Load:
        """Present load."""
        return Load(self.in_use, self.limit, len(self._queue))

    def try_acquire(self, call: Call) -> bool:
        """Takes a slot that is free.

        :returns: false when the call would have to wait.
        :raises RefusedError: when the call cannot be answered in time.
        """
        now = trio.current_time()
        latest = self._compute_latest_start(call, now)
        if latest <= now and call.importance is not Importance.STARTED:
            raise RefusedError("the time that is left is too short", code="deadline")
        if self.in_use >= self.limit or self._queue:
            return False
        self.in_use += 1
        return True

    async def acquire(self, call: Call) -> None:
        """Waits for a slot.

        :raises RefusedError: when the call cannot be answered in time.
        """
        if self.try_acquire(call):
            return
        now = trio.current_time()
        latest = self._compute_latest_start(call, now)
        order = (call.importance, call.rank, next(self._sequence))
        ahead = self._queue.bisect_key_left(order) + 1
        if now + self._estimate_wait(ahead) > latest:
            raise RefusedError("the wait for a slot is too long", code="overload")
        waiter = _Waiter(order, call, trio.lowlevel.current_task(), latest)
        self._queue.add(waiter)
        self._refuse_overtaken(now)

        def abort(_: object) -> trio.lowlevel.Abort:
            self._queue.remove(waiter)
            return trio.lowlevel.Abort.SUCCEEDED

        await trio.lowlevel.wait_task_rescheduled(abort)

    def release(self, seconds: float | None) -> None:
        """Gives a slot back.

        :param seconds: time for which a call that ended well held it.
        """
        self.in_use -= 1
        if seconds is not None:
            self.mean_seconds += (seconds - self.mean_seconds) * _MEAN_WEIGHT
        self._dispatch()

    def update(self, slots: int, warm_at: float) -> None:
        """Takes what the backend server says of itself."""
        self.slots, self.warm_at = slots, warm_at
        self._dispatch()

    def refuse_all(self, code: str) -> None:
        """Refuses all that wait, when the backend server takes no more work."""
        while self._queue:
            self._refuse(self._queue[0], code)

    def _compute_latest_start(self, call: Call, now: float) -> float:
        latest = call.deadline - min(self.mean_seconds, call.target_latency / 2)
        if call.importance is Importance.STARTED:
            return latest
        return min(latest, now + call.target_latency * WAIT_SHARE)

    def _estimate_wait(self, ahead: int) -> float:
        return ahead * self.mean_seconds / max(1, self.limit)

    def _dispatch(self) -> None:
        now = trio.current_time()
        while self._queue and self.in_use < self.limit:
            waiter = self._queue[0]
            if waiter.latest < now:
                self._refuse(waiter, "overload")
                continue
            del self._queue[0]
            self.in_use += 1
            trio.lowlevel.reschedule(waiter.task)

    def _refuse_overtaken(self, now: float) -> None:
        """Refuses waiting calls that more important ones have overtaken."""
        while self._queue:
            last = self._queue[-1]
            if now + self._estimate_wait(len(self._queue)) <= last.latest:
                return
            if last.task is trio.lowlevel.current_task():
                return
            self._refuse(last, "overload")

    def _refuse(self, waiter: _Waiter, code: str) -> None:
        self._queue.remove(waiter)
        error = RefusedError("refused while it waited for a slot", code=code)
        trio.lowlevel.reschedule(waiter.task, outcome.Error(error))


def create_slot_gate() -> SlotGate:
    """Creates a gate without slots; :meth:`SlotGate.update` sets them."""
    return SlotGate()
