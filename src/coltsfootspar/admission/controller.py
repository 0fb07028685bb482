"""Admission at the node of a backend server."""

import itertools
import math

import attrs
import outcome
import trio

from coltsfootspar.admission.interfaces import AdmissionController
from coltsfootspar.admission.lanes import Lane, LongRoom, compute_long_room
from coltsfootspar.admission.limits import (
    DEFAULT_CEILING,
    DEFAULT_FLOOR,
    ConcurrencyLimiter,
    create_limiter,
)
from coltsfootspar.admission.queues import Waiter, rank_for_service
from coltsfootspar.admission.ranks import (
    compute_level,
    compute_rank,
    create_threshold,
)
from coltsfootspar.admission.rows import RowProfile, RowProfiles
from coltsfootspar.calls import CallContext, CallRequest, OverloadSignal
from coltsfootspar.exceptions import RefusedError
from coltsfootspar.table import Row

__all__ = ["LocalAdmissionController", "create_admission_controller"]

DEFAULT_QUEUE_PER_SLOT = 8
_MIN_QUEUE = 32

_REFRESH_SECONDS = 0.05
_SIGNAL_SECONDS = 0.3

# Longest wait of the lowest call while calls are refused, in queue delay targets.
_MAX_WAIT_TARGETS = 3.0

# A call that seems too slow for its deadline passes after this time without one,
# so that an outdated service time is noticed.
_PROBE_SECONDS = 0.25


@attrs.define(eq=False)
class _LocalPermit:
    _controller: "LocalAdmissionController"
    _profile: RowProfile
    _lane: Lane
    _is_released: bool = False

    def release(
        self, service_seconds: float, *, succeeded: bool, below_seconds: float = 0.0
    ) -> None:
        """Gives the slot back; a second call has no effect."""
        if self._is_released:
            return
        self._is_released = True
        below = min(below_seconds, service_seconds)
        self._controller._record(
            self._profile, service_seconds, below, succeeded=succeeded
        )
        self._controller._give_back(self._profile, self._lane)


@attrs.define(eq=False)
class LocalAdmissionController:
    """Concurrency limit, bounded queue and overload threshold.

    All decisions are taken when a call arrives or ends; there is no task.
    """

    service: str
    _limiter: ConcurrencyLimiter
    _queue_per_slot: int
    _profiles: RowProfiles = attrs.field(factory=RowProfiles)
    _short: Lane = attrs.field(factory=Lane)
    _long: Lane = attrs.field(factory=Lane)
    _long_room: LongRoom = attrs.field(factory=lambda: LongRoom((1,) * 10, 1))
    _limit: int = 0
    _refreshed_at: float = -math.inf
    _probed_at: float = -math.inf
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    @property
    def limit(self) -> int:
        """Calls that may be in progress at once, as of the last call or reply."""
        return self._limit

    @property
    def in_use(self) -> int:
        """Calls in progress."""
        return self._short.in_use + self._long.in_use

    @property
    def waiting(self) -> int:
        """Calls in the queue."""
        return len(self._short.queue) + len(self._long.queue)

    async def acquire(self, request: CallRequest, row: Row) -> _LocalPermit:
        """Waits for a slot; returns at once when one is free.

        :raises RefusedError: when the request must not wait or cannot finish in
            time.
        """
        now = trio.current_time()
        if now - self._refreshed_at >= _REFRESH_SECONDS:
            self._refresh(now)
        context = request.context
        profile = self._profiles.get(row)
        lane = self._long if profile.is_long else self._short
        rank = compute_rank(context)
        lane.threshold.record_arrival(rank, profile.mean)
        if self._limit == 0:
            raise RefusedError(f"{self.service} has no backend server here")
        if self._has_free_slot(lane, context):
            self._check_deadline(context, profile, 0.0, now)
            profile.add_call(context.priority.importance)
            return self._occupy(profile, lane)
        level = compute_level(context)
        ahead = lane.queue.compute_work_ahead(level) / max(1, lane.room)
        self._check_deadline(context, profile, ahead, now)
        if rank < lane.threshold.local_rank:
            self._replace_lowest(lane, rank)
        else:
            self._make_room(lane, rank)
        profile.add_call(context.priority.importance)
        waiter = Waiter(
            task=trio.lowlevel.current_task(),
            profile=profile,
            level=level,
            rank=rank,
            deadline=context.deadline,
            sequence=next(self._sequence),
            work=profile.mean,
            importance=context.priority.importance,
            arrived_at=now,
            lane=lane,
        )
        return await self._wait(waiter)

    def get_signals(self, row: Row | None = None) -> tuple[OverloadSignal, ...]:
        """Returns what this service refuses at present.

        A signal that names the service applies to all its rows. A row with long
        service times has a signal of its own while its room is used up.

        :param row: row of the reply that carries the signals.
        """
        now = trio.current_time()
        if now - self._refreshed_at >= _REFRESH_SECONDS:
            self._refresh(now)
        value = self._short.threshold.announced_rank
        signals = (_create_signal(self.service, value),) if value > 0 else ()
        if row is None or self._long.threshold.announced_rank <= value:
            return signals
        if not self._profiles.get(row).is_long:
            return signals
        return (*signals, _create_signal(row.name, self._long.threshold.announced_rank))

    def update_slots(self, slots: int, cold_start: float) -> None:
        """Takes an announcement of the backend server."""
        now = trio.current_time()
        self._limiter.update_slots(slots, cold_start, now)
        self._refresh(now)

    def _has_free_slot(self, lane: Lane, context: CallContext) -> bool:
        if self.in_use >= self._limit:
            return False
        if lane is self._short:
            return not lane.queue
        return not lane.queue and lane.in_use < self._long_room.get(
            context.priority.importance
        )

    def _check_deadline(
        self, context: CallContext, profile: RowProfile, wait: float, now: float
    ) -> None:
        remaining = context.deadline - now
        if wait + profile.mean <= remaining:
            return
        is_probe = wait == 0 and now - self._probed_at >= _PROBE_SECONDS
        if is_probe and remaining > 0:
            self._probed_at = now
            return
        raise RefusedError(
            f"{self.service} cannot answer within the deadline",
            code="deadline-unreachable",
        )

    def _make_room(self, lane: Lane, rank: int) -> None:
        """Refuses the lowest waiting call, or the new one, when the queue is full."""
        queue = lane.queue
        if len(queue) < max(_MIN_QUEUE, self._queue_per_slot * lane.room):
            return
        lowest = queue.find_lowest()
        if lowest.rank >= rank:
            raise RefusedError(
                f"the queue of {self.service} is full", code="queue-full"
            )
        self._refuse(lowest, "overload", f"{self.service} is overloaded")

    def _replace_lowest(self, lane: Lane, rank: int) -> None:
        """Refuses the lowest waiting call in place of the new one.

        Calls that came before the threshold rose may rank below it and below
        the new call.

        :raises RefusedError: when no waiting call ranks below the new one.
        """
        lowest = lane.queue.find_lowest()
        if lowest is None or lowest.rank >= rank:
            raise RefusedError(f"{self.service} is overloaded")
        self._refuse(lowest, "overload", f"{self.service} is overloaded")

    async def _wait(self, waiter: Waiter) -> _LocalPermit:
        waiter.lane.queue.add(waiter)

        def abort(_: object) -> trio.lowlevel.Abort:
            waiter.lane.queue.remove(waiter)
            self._note_delay(waiter.lane)
            return trio.lowlevel.Abort.SUCCEEDED

        return await trio.lowlevel.wait_task_rescheduled(abort)

    def _occupy(self, profile: RowProfile, lane: Lane) -> _LocalPermit:
        profile.in_use += 1
        lane.in_use += 1
        self._note_delay(lane)
        return _LocalPermit(self, profile, lane)

    def _record(
        self, profile: RowProfile, seconds: float, below: float, *, succeeded: bool
    ) -> None:
        now = trio.current_time()
        # A call that failed or was cancelled early does not tell the service
        # time, one that ran into its deadline tells a lower bound.
        if succeeded or seconds > profile.mean:
            profile.add_sample(seconds, seconds - below, now)
        is_normal = self._limiter.record(
            seconds,
            below,
            profile.usual,
            succeeded=succeeded,
            in_use=self.in_use,
            now=now,
        )
        if is_normal:
            for known in self._profiles:
                known.learn_usual()

    def _give_back(self, profile: RowProfile, lane: Lane) -> None:
        profile.in_use -= 1
        lane.in_use -= 1
        now = trio.current_time()
        if now - self._refreshed_at >= _REFRESH_SECONDS:
            self._refresh(now)
        else:
            self._dispatch(now)

    def _refresh(self, now: float) -> None:
        """Recomputes limit, rooms and thresholds, then serves waiting calls."""
        self._refreshed_at = now
        self._limit = self._limiter.compute_limit(now)
        for profile in self._profiles.refresh(now):
            self._move(profile)
        long_delay = self._long.compute_delay()
        self._long_room = compute_long_room(
            self._profiles,
            self._limit,
            is_overloaded=long_delay > self._long.threshold.compute_target(),
        )
        self._short.room = max(1, self._limit - self._long.in_use)
        self._long.room = self._long_room.typical
        self._dispatch(now)
        for lane in (self._short, self._long):
            is_over = lane.threshold.update(now, lane.compute_delay(), lane.room)
            self._shorten(lane, now, is_over=is_over)

    def _move(self, profile: RowProfile) -> None:
        """Moves the waiting calls of a row that has become long or short."""
        source, target = self._short, self._long
        if not profile.is_long:
            source, target = target, source
        for waiter in source.queue.list_row(profile):
            source.queue.remove(waiter)
            waiter.lane = target
            waiter.work = profile.mean
            target.queue.add(waiter)

    def _shorten(self, lane: Lane, now: float, *, is_over: bool) -> None:
        """Refuses the lowest waiting calls while the queue stands.

        Without it, calls near the threshold wait until their deadline while
        others overtake them.
        """
        target = lane.threshold.compute_target()
        while lane.queue and lane.threshold.announced_rank > 0:
            lowest = lane.queue.find_lowest()
            is_too_long = is_over and lane.compute_delay() > target
            is_below = lowest.rank < lane.threshold.local_rank
            has_starved = now - lowest.arrived_at > _MAX_WAIT_TARGETS * target
            if not (is_too_long and is_below) and not has_starved:
                return
            self._refuse(lowest, "overload", f"{self.service} is overloaded")

    def _dispatch(self, now: float) -> None:
        while self.in_use < self._limit:
            waiter = self._select()
            if waiter is None:
                return
            if waiter.deadline - now < waiter.profile.mean:
                text = f"{self.service} cannot answer within the deadline"
                self._refuse(waiter, "deadline-unreachable", text)
                continue
            waiter.lane.queue.remove(waiter)
            permit = self._occupy(waiter.profile, waiter.lane)
            trio.lowlevel.reschedule(waiter.task, outcome.Value(permit))

    def _select(self) -> Waiter | None:
        short = self._short.queue.find_next()
        long = self._long.queue.find_next()
        if long is not None and (
            self._long.in_use >= self._long_room.get(long.importance)
        ):
            long = None
        if short is None or long is None:
            return short or long
        return min(short, long, key=rank_for_service)

    def _refuse(self, waiter: Waiter, code: str, text: str) -> None:
        waiter.lane.queue.remove(waiter)
        self._note_delay(waiter.lane)
        error = RefusedError(text, code=code)
        trio.lowlevel.reschedule(waiter.task, outcome.Error(error))

    def _note_delay(self, lane: Lane) -> None:
        lane.threshold.record_delay(lane.compute_delay())


def _create_signal(name: str, rank: int) -> OverloadSignal:
    return OverloadSignal(name, create_threshold(rank), _SIGNAL_SECONDS)


def create_admission_controller(
    *,
    service: str,
    slots: int = 0,
    cold_start: float = 0.0,
    ceiling: float = DEFAULT_CEILING,
    floor: float = DEFAULT_FLOOR,
    queue_per_slot: int = DEFAULT_QUEUE_PER_SLOT,
) -> AdmissionController:
    """Creates the admission in front of a backend server.

    :param service: service of the backend server.
    :param slots: announced slots, 0 before the first announcement.
    :param cold_start: time over which a new backend server ramps up, seconds.
    :param ceiling: highest limit as a multiple of the slots. Backend servers
        shed what exceeds their slots, so the default does not go beyond them.
    :param floor: lowest limit as a share of the slots.
    :param queue_per_slot: waiting calls for each slot.
    """
    now = trio.current_time()
    limiter = create_limiter(slots, cold_start, now, ceiling=ceiling, floor=floor)
    return LocalAdmissionController(service, limiter, queue_per_slot)
