"""Lowest rank admitted while demand exceeds capacity."""

import math
from collections import deque

import attrs

from coltsfootspar.admission.ranks import HIGHEST_RANK

__all__ = ["OverloadThreshold"]

_WINDOW_SECONDS = 0.05
_MAX_ELAPSED_WINDOWS = 20

# An announcement of the backend server may end a window early, but not before this
# time has passed.
_MIN_WINDOW_SECONDS = 0.01

# Recorded demand decays by the first factor per window, but by no more than the
# second one once it covers fewer than _MIN_REMEMBERED_CALLS calls.
_WINDOW_DECAY = 0.5
_SLOW_WINDOW_DECAY = 0.92
_MIN_REMEMBERED_CALLS = 32
_MIN_DEMAND = 1e-6

# Senders refuse demand below the threshold, so it cannot be observed here. The last
# observed value decays with this time constant.
_UNOBSERVED_DECAY_SECONDS = 1.0

# Windows until a lowered threshold has reached the senders.
_PROPAGATION_WINDOWS = 3

_MIN_TARGET_SECONDS = 0.01
_MAX_TARGET_SECONDS = 0.5
_IDLE_TARGET_FRACTION = 0.1

# The difference between target and queueing delay is to be corrected over this time
# by admitting more or less demand than the capacity.
_CORRECTION_SECONDS = 0.25
_MIN_CAPACITY_FACTOR = 0.8
_MAX_CAPACITY_FACTOR = 1.05

# In ranks; one level of requests has 128 ranks.
_INITIAL_DECREASE_STEP = 16

# Senders know only the mean threshold of several servers. The local queue admits
# slightly more, so that small differences do not refuse what senders let pass.
_LOCAL_CAPACITY_FACTOR = 1.1


@attrs.define(eq=False)
class OverloadThreshold:
    """Computes the threshold from the queueing delay and the demand at each rank.

    When the smallest delay of a window exceeds the target, the threshold is set to
    the rank above which demand fits the capacity, and tracks demand from then on.
    While there is hardly any queue, it falls by steps that double.

    :param local_rank: lowest rank admitted to the local queue; 0 admits all.
    :param announced_rank: lowest admitted rank as signalled to the senders.
    """

    local_rank: int = 0
    announced_rank: int = 0
    _demand: dict[int, float] = attrs.field(factory=dict)
    _unobserved_demand: dict[int, float] = attrs.field(factory=dict)
    _call_count: float = 0.0
    _observed_seconds: float = 0.0
    _window_start: float = -math.inf
    _min_delay: float = math.inf
    _decrease_step: int = _INITIAL_DECREASE_STEP
    _announced_history: deque[int] = attrs.field(
        factory=lambda: deque(maxlen=_PROPAGATION_WINDOWS)
    )

    def record_arrival(self, rank: int, work: float) -> None:
        """Counts a call towards demand, whether it is admitted or not.

        :param rank: rank of the call.
        :param work: expected service time, seconds.
        """
        self._demand[rank] = self._demand.get(rank, 0.0) + work
        self._call_count += 1

    def record_delay(self, seconds: float) -> None:
        """Records the current queueing delay.

        :param seconds: time in which the queued work can be served.
        """
        if seconds < self._min_delay:
            self._min_delay = seconds

    def compute_target(self) -> float:
        """Computes the queueing delay up to which no call is refused.

        :returns: mean service time, limited to fixed bounds, seconds.
        """
        mean = (
            sum(self._demand.values()) / self._call_count
            if self._call_count > 0
            else 0.0
        )
        return min(_MAX_TARGET_SECONDS, max(_MIN_TARGET_SECONDS, mean))

    def update(self, now: float, delay: float, slots: float) -> bool:
        """Ends a window and recomputes the threshold.

        Does nothing when the window has only just begun.

        :param now: trio clock, seconds.
        :param delay: current queueing delay, seconds.
        :param slots: slots for this class of work.
        :returns: true when the delay exceeded the target during the whole window.
        """
        elapsed = now - self._window_start
        if elapsed < _MIN_WINDOW_SECONDS:
            return False
        self._window_start = now
        min_delay = min(self._min_delay, delay)
        self._min_delay = delay
        if not math.isfinite(elapsed):
            return False
        self._observed_seconds += elapsed
        target = self.compute_target()
        is_over_target = min_delay > target
        if is_over_target or self.announced_rank > 0:
            self._adjust_ranks(min_delay, target, slots, elapsed)
        self._announced_history.append(self.announced_rank)
        self._decay_demand(elapsed)
        return is_over_target

    def _adjust_ranks(
        self, min_delay: float, target: float, slots: float, elapsed: float
    ) -> None:
        correction = (target - min_delay) / _CORRECTION_SECONDS
        capacity_factor = min(
            _MAX_CAPACITY_FACTOR, max(_MIN_CAPACITY_FACTOR, 1 + correction)
        )
        marginal_rank = self._find_marginal_rank(capacity_factor * slots)
        # No update takes place while there are no calls, so several windows may
        # have passed.
        windows = min(_MAX_ELAPSED_WINDOWS, max(1, int(elapsed / _WINDOW_SECONDS)))
        if min_delay >= _IDLE_TARGET_FRACTION * target:
            self._decrease_step = _INITIAL_DECREASE_STEP
            self.announced_rank = max(
                marginal_rank, self.announced_rank - windows * _INITIAL_DECREASE_STEP
            )
        else:
            for _ in range(windows):
                self.announced_rank = max(0, self.announced_rank - self._decrease_step)
                self._decrease_step = min(2 * self._decrease_step, HIGHEST_RANK)
        local_marginal_rank = self._find_marginal_rank(
            _LOCAL_CAPACITY_FACTOR * capacity_factor * slots
        )
        self.local_rank = min(self.announced_rank, local_marginal_rank)

    def _find_marginal_rank(self, capacity: float) -> int:
        """Finds the rank above which demand fits the capacity.

        :param capacity: slots available for the demand.
        :returns: the rank at which the demand, summed from the highest rank
            downwards, exceeds the capacity; 0 when all of it fits.
        """
        propagated_rank = max(self._announced_history, default=0)
        rates = {
            rank: work / self._observed_seconds
            for rank, work in self._demand.items()
            if rank >= propagated_rank
        }
        for rank, unobserved in self._unobserved_demand.items():
            if rank < propagated_rank:
                observed = self._demand.get(rank, 0.0) / self._observed_seconds
                rates[rank] = max(observed, unobserved)
        for rank in sorted(rates, reverse=True):
            capacity -= rates[rank]
            if capacity < 0:
                return min(rank, HIGHEST_RANK)
        return 0

    def _decay_demand(self, elapsed: float) -> None:
        propagated_rank = max(self._announced_history)
        decay_factor = math.exp(-elapsed / _UNOBSERVED_DECAY_SECONDS)
        unobserved = {
            rank: rate * decay_factor
            for rank, rate in self._unobserved_demand.items()
            if rank < propagated_rank and rate > _MIN_DEMAND
        }
        for rank, work in self._demand.items():
            if rank >= propagated_rank:
                unobserved[rank] = work / self._observed_seconds
        self._unobserved_demand = unobserved
        factor = self._compute_decay_factor(elapsed)
        self._observed_seconds *= factor
        self._call_count *= factor
        self._demand = {
            rank: work * factor
            for rank, work in self._demand.items()
            if work * factor > _MIN_DEMAND
        }

    def _compute_decay_factor(self, elapsed: float) -> float:
        windows = elapsed / _WINDOW_SECONDS
        min_factor = (
            _MIN_REMEMBERED_CALLS / self._call_count if self._call_count > 0 else 1.0
        )
        slow_factor = _SLOW_WINDOW_DECAY**windows
        return max(_WINDOW_DECAY**windows, min(slow_factor, min_factor))
