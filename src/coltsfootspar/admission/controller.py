"""Admission control in front of the backend server of a node."""

import itertools
import math

import attrs
import outcome
import trio

from coltsfootspar.admission.interfaces import AdmissionController
from coltsfootspar.admission.job_classes import (
    JobClass,
    LongCapacity,
    compute_long_capacity,
)
from coltsfootspar.admission.limits import (
    DEFAULT_CEILING,
    DEFAULT_FLOOR,
    ConcurrencyLimiter,
    create_limiter,
)
from coltsfootspar.admission.queues import Waiter, compute_service_order
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
_MIN_QUEUE_LENGTH = 32

_REFRESH_INTERVAL_SECONDS = 0.05
_SIGNAL_LIFETIME_SECONDS = 0.3

# Longest wait of the call of the lowest rank while calls are refused, in multiples
# of the target queueing delay.
_MAX_WAIT_TARGETS = 3.0

# One call that is expected to miss its deadline is admitted at this interval, so
# that an outdated estimate of the service time gets corrected.
_PROBE_INTERVAL_SECONDS = 0.25


@attrs.define(eq=False)
class _LocalPermit:
    _controller: "LocalAdmissionController"
    _profile: RowProfile
    _is_released: bool = False

    def release(
        self,
        service_seconds: float,
        *,
        succeeded: bool,
        downstream_seconds: float = 0.0,
    ) -> None:
        """Releases the slot and records the call; a second call has no effect."""
        if self._is_released:
            return
        self._is_released = True
        downstream = min(downstream_seconds, service_seconds)
        self._controller._record_service_time(
            self._profile, service_seconds, downstream, succeeded=succeeded
        )
        self._controller._release_slot(self._profile)


@attrs.define(eq=False)
class LocalAdmissionController:
    """Applies a concurrency limit, a bounded queue and an overload threshold.

    It decides when a call arrives or ends, when signals are read and when slots are
    announced; there is no background task.
    """

    service: str
    _limiter: ConcurrencyLimiter
    _queue_per_slot: int
    _profiles: RowProfiles = attrs.field(factory=RowProfiles)
    _short: JobClass = attrs.field(factory=JobClass)
    _long: JobClass = attrs.field(factory=JobClass)
    _long_capacity: LongCapacity = attrs.field(
        factory=lambda: LongCapacity((1,) * 10, 1)
    )
    _limit: int = 0
    _refreshed_at: float = -math.inf
    _last_probe_at: float = -math.inf
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    @property
    def limit(self) -> int:
        """Maximum number of calls in progress, as of the last refresh."""
        return self._limit

    @property
    def in_use(self) -> int:
        """Calls in progress."""
        return self._short.in_use + self._long.in_use

    @property
    def waiting(self) -> int:
        """Calls in both queues."""
        return len(self._short.queue) + len(self._long.queue)

    async def acquire(self, request: CallRequest, row: Row) -> _LocalPermit:
        """Waits for a slot; returns immediately when one is free.

        :param request: call for the backend server.
        :param row: row of the call.
        :returns: permit to release when the call has ended.
        :raises RefusedError: when the call must not wait, was refused while it
            waited or cannot complete before its deadline.
        """
        now = trio.current_time()
        if now - self._refreshed_at >= _REFRESH_INTERVAL_SECONDS:
            self._refresh(now)
        context = request.context
        profile = self._profiles.get(row)
        job_class = self._get_job_class(profile)
        rank = compute_rank(context)
        job_class.threshold.record_arrival(rank, profile.mean)
        if self._limit == 0:
            raise RefusedError(f"{self.service} has no backend server at this node")
        if self._has_free_slot(job_class, context):
            self._check_deadline(context, profile, 0.0, now)
            profile.add_call(context.priority.importance)
            return self._take_slot(profile)
        level = compute_level(context)
        queueing_delay = job_class.queue.compute_work_ahead(level) / max(
            1, job_class.capacity
        )
        self._check_deadline(context, profile, queueing_delay, now)
        if rank < job_class.threshold.local_rank:
            self._evict_lowest(job_class, rank)
        else:
            self._ensure_queue_space(job_class, rank)
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
            job_class=job_class,
        )
        return await self._wait_in_queue(waiter)

    def get_signals(self, row: Row | None = None) -> tuple[OverloadSignal, ...]:
        """Returns the overload signals of this service.

        A signal that names the service applies to all its rows. A row of long
        calls gets an additional signal of its own while the threshold of long calls
        is above that of short ones.

        :param row: row of the reply that carries the signals.
        """
        now = trio.current_time()
        if now - self._refreshed_at >= _REFRESH_INTERVAL_SECONDS:
            self._refresh(now)
        announced_rank = self._short.threshold.announced_rank
        signals = (
            (_create_signal(self.service, announced_rank),)
            if announced_rank > 0
            else ()
        )
        if row is None or self._long.threshold.announced_rank <= announced_rank:
            return signals
        if not self._profiles.get(row).is_long:
            return signals
        return (*signals, _create_signal(row.name, self._long.threshold.announced_rank))

    def update_slots(self, slots: int, cold_start: float) -> None:
        """Applies an announcement of the backend server.

        :param slots: calls that it processes at once; 0 when it is gone.
        :param cold_start: time that it needs to warm up, seconds.
        """
        now = trio.current_time()
        self._limiter.update_slots(slots, cold_start, now)
        self._refresh(now)

    def _has_free_slot(self, job_class: JobClass, context: CallContext) -> bool:
        if self.in_use >= self._limit:
            return False
        if job_class is self._short:
            return not job_class.queue
        return not job_class.queue and job_class.in_use < self._long_capacity.get(
            context.priority.importance
        )

    def _check_deadline(
        self,
        context: CallContext,
        profile: RowProfile,
        queueing_delay: float,
        now: float,
    ) -> None:
        remaining = context.deadline - now
        if queueing_delay + profile.mean <= remaining:
            return
        is_probe = (
            queueing_delay == 0 and now - self._last_probe_at >= _PROBE_INTERVAL_SECONDS
        )
        if is_probe and remaining > 0:
            self._last_probe_at = now
            return
        raise RefusedError(
            f"{self.service} cannot answer within the deadline",
            code="deadline-unreachable",
        )

    def _ensure_queue_space(self, job_class: JobClass, rank: int) -> None:
        """Evicts the waiting call of the lowest rank when the queue is full.

        :raises RefusedError: when the queue is full and no waiting call ranks below
            the new one.
        """
        queue = job_class.queue
        if len(queue) < max(
            _MIN_QUEUE_LENGTH, self._queue_per_slot * job_class.capacity
        ):
            return
        lowest = queue.find_lowest()
        if lowest.rank >= rank:
            raise RefusedError(
                f"the queue of {self.service} is full", code="queue-full"
            )
        self._refuse(lowest, "overload", f"{self.service} is overloaded")

    def _evict_lowest(self, job_class: JobClass, rank: int) -> None:
        """Refuses the waiting call of the lowest rank in place of the new one.

        Calls that were queued before the threshold rose may rank below it and
        below the new call.

        :raises RefusedError: when no waiting call ranks below the new one.
        """
        lowest = job_class.queue.find_lowest()
        if lowest is None or lowest.rank >= rank:
            raise RefusedError(f"{self.service} is overloaded")
        self._refuse(lowest, "overload", f"{self.service} is overloaded")

    async def _wait_in_queue(self, waiter: Waiter) -> _LocalPermit:
        waiter.job_class.queue.add(waiter)

        def abort(_: object) -> trio.lowlevel.Abort:
            waiter.job_class.queue.remove(waiter)
            self._record_delay(waiter.job_class)
            return trio.lowlevel.Abort.SUCCEEDED

        return await trio.lowlevel.wait_task_rescheduled(abort)

    def _get_job_class(self, profile: RowProfile) -> JobClass:
        return self._long if profile.is_long else self._short

    def _take_slot(self, profile: RowProfile) -> _LocalPermit:
        job_class = self._get_job_class(profile)
        profile.in_use += 1
        job_class.in_use += 1
        self._record_delay(job_class)
        return _LocalPermit(self, profile)

    def _record_service_time(
        self, profile: RowProfile, seconds: float, downstream: float, *, succeeded: bool
    ) -> None:
        now = trio.current_time()
        # A call that failed or was cancelled early says nothing about the service
        # time; one that ran into its deadline gives a lower bound.
        if succeeded or seconds > profile.mean:
            profile.add_sample(seconds, seconds - downstream, now)
        is_normal = self._limiter.record(
            seconds,
            downstream,
            profile.baseline,
            succeeded=succeeded,
            in_use=self.in_use,
            now=now,
        )
        if is_normal:
            for known_profile in self._profiles:
                known_profile.update_baseline()

    def _release_slot(self, profile: RowProfile) -> None:
        profile.in_use -= 1
        self._get_job_class(profile).in_use -= 1
        now = trio.current_time()
        if now - self._refreshed_at >= _REFRESH_INTERVAL_SECONDS:
            self._refresh(now)
        else:
            self._dispatch(now)

    def _refresh(self, now: float) -> None:
        """Recomputes limit, capacities and thresholds, and serves waiting calls."""
        self._refreshed_at = now
        self._limit = self._limiter.compute_limit(now)
        for profile in self._profiles.refresh(now):
            self._reclassify(profile)
        long_delay = self._long.compute_delay()
        self._long_capacity = compute_long_capacity(
            self._profiles,
            self._limit,
            is_overloaded=long_delay > self._long.threshold.compute_target(),
        )
        self._short.capacity = max(1, self._limit - self._long.in_use)
        self._long.capacity = self._long_capacity.typical
        self._dispatch(now)
        for job_class in (self._short, self._long):
            is_over_target = job_class.threshold.update(
                now, job_class.compute_delay(), job_class.capacity
            )
            self._shed_queue(job_class, now, is_over_target=is_over_target)

    def _reclassify(self, profile: RowProfile) -> None:
        """Moves the calls of a row, waiting and in progress, to its new job class.

        Calls in progress that stayed behind would reduce the capacity of the new
        class to what is left beside them.
        """
        source, target = self._short, self._long
        if not profile.is_long:
            source, target = target, source
        source.in_use -= profile.in_use
        target.in_use += profile.in_use
        for waiter in source.queue.list_row(profile):
            source.queue.remove(waiter)
            waiter.job_class = target
            waiter.work = profile.mean
            target.queue.add(waiter)

    def _shed_queue(
        self, job_class: JobClass, now: float, *, is_over_target: bool
    ) -> None:
        """Refuses waiting calls of the lowest ranks from a standing queue.

        Otherwise calls near the threshold would wait until their deadline while
        others overtake them.
        """
        target = job_class.threshold.compute_target()
        while job_class.queue and job_class.threshold.announced_rank > 0:
            lowest = job_class.queue.find_lowest()
            is_delay_high = is_over_target and job_class.compute_delay() > target
            is_below_threshold = lowest.rank < job_class.threshold.local_rank
            has_waited_too_long = now - lowest.arrived_at > _MAX_WAIT_TARGETS * target
            if not (is_delay_high and is_below_threshold) and not has_waited_too_long:
                return
            self._refuse(lowest, "overload", f"{self.service} is overloaded")

    def _dispatch(self, now: float) -> None:
        while self.in_use < self._limit:
            waiter = self._select_next()
            if waiter is None:
                return
            if waiter.deadline - now < waiter.profile.mean:
                text = f"{self.service} cannot answer within the deadline"
                self._refuse(waiter, "deadline-unreachable", text)
                continue
            waiter.job_class.queue.remove(waiter)
            permit = self._take_slot(waiter.profile)
            trio.lowlevel.reschedule(waiter.task, outcome.Value(permit))

    def _select_next(self) -> Waiter | None:
        short = self._short.queue.find_next()
        long = self._long.queue.find_next()
        if long is not None and (
            self._long.in_use >= self._long_capacity.get(long.importance)
        ):
            long = None
        if short is None or long is None:
            return short or long
        return min(short, long, key=compute_service_order)

    def _refuse(self, waiter: Waiter, code: str, text: str) -> None:
        waiter.job_class.queue.remove(waiter)
        self._record_delay(waiter.job_class)
        error = RefusedError(text, code=code)
        trio.lowlevel.reschedule(waiter.task, outcome.Error(error))

    def _record_delay(self, job_class: JobClass) -> None:
        job_class.threshold.record_delay(job_class.compute_delay())


def _create_signal(name: str, rank: int) -> OverloadSignal:
    return OverloadSignal(name, create_threshold(rank), _SIGNAL_LIFETIME_SECONDS)


def create_admission_controller(
    *,
    service: str,
    slots: int = 0,
    cold_start: float = 0.0,
    ceiling: float = DEFAULT_CEILING,
    floor: float = DEFAULT_FLOOR,
    queue_per_slot: int = DEFAULT_QUEUE_PER_SLOT,
) -> AdmissionController:
    """Creates the admission controller in front of a backend server.

    :param service: service of the backend server.
    :param slots: announced slots, 0 before the first announcement.
    :param cold_start: time over which a new backend server warms up, seconds.
    :param ceiling: highest limit as a multiple of the slots. Backend servers shed
        calls beyond their slots, so the default does not exceed them.
    :param floor: lowest limit as a fraction of the slots.
    :param queue_per_slot: maximum number of waiting calls per slot.
    """
    now = trio.current_time()
    limiter = create_limiter(slots, cold_start, now, ceiling=ceiling, floor=floor)
    return LocalAdmissionController(service, limiter, queue_per_slot)
