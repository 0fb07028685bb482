"""The lowest rank that is admitted while there is more work than capacity."""

import math
from collections import deque

import attrs

from coltsfootspar.admission.ranks import HIGHEST_RANK

__all__ = ["OverloadThreshold"]

_WINDOW_SECONDS = 0.05
_MAX_WINDOWS = 20

# An announcement may end a window early, but not one without any time.
_MIN_WINDOW_SECONDS = 0.01

# Demand fades by the first factor for each window, or more slowly while fewer
# than _MIN_CALLS calls are remembered.
_WINDOW_DECAY = 0.5
_SLOW_WINDOW_DECAY = 0.92
_MIN_CALLS = 32
_MIN_DEMAND = 1e-6

# Demand below the threshold is refused by the senders and cannot be observed.
# Its last value fades with this time.
_HIDDEN_SECONDS = 1.0

# Windows until senders have taken notice of a lower threshold.
_NOTICE_WINDOWS = 3

_MIN_TARGET_SECONDS = 0.01
_MAX_TARGET_SECONDS = 0.5
_IDLE_SHARE = 0.1

# Admitted demand is corrected by the queue delay that is missing to the target,
# over this time.
_CORRECTION_SECONDS = 0.25
_MIN_SHARE = 0.8
_MAX_SHARE = 1.05

# Ranks of the first step downwards; 128 ranks are all requests of one level.
_FIRST_FALL = 16

# Senders know only the mean threshold of several servers. The own queue takes a
# little more, so that what senders let pass is not refused for small differences.
_LOCAL_SHARE = 1.1


@attrs.define(eq=False)
class OverloadThreshold:
    """Follows the queue delay and the demand at each rank.

    When the smallest delay of a window is over the target, the threshold is set
    to the rank above which demand fits the capacity, and follows demand from
    then on. While there is no queue, the threshold falls by steps that double.

    :param value: lowest rank admitted to the own queue; 0 admits all.
    :param announced: lowest admitted rank as the senders are told.
    """

    value: int = 0
    announced: int = 0
    _demand: dict[int, float] = attrs.field(factory=dict)
    _hidden: dict[int, float] = attrs.field(factory=dict)
    _calls: float = 0.0
    _weight: float = 0.0
    _window_start: float = -math.inf
    _lowest_delay: float = math.inf
    _fall: int = _FIRST_FALL
    _history: deque[int] = attrs.field(factory=lambda: deque(maxlen=_NOTICE_WINDOWS))

    def record_arrival(self, rank: int, work: float) -> None:
        """Counts a call, admitted or not.

        :param work: expected service time, seconds.
        """
        self._demand[rank] = self._demand.get(rank, 0.0) + work
        self._calls += 1

    def record_delay(self, seconds: float) -> None:
        """Takes the time that the waiting work needs at present."""
        if seconds < self._lowest_delay:
            self._lowest_delay = seconds

    def compute_target(self) -> float:
        """Computes the queue delay up to which nothing is refused.

        :returns: the mean service time within bounds, seconds.
        """
        mean = sum(self._demand.values()) / self._calls if self._calls > 0 else 0.0
        return min(_MAX_TARGET_SECONDS, max(_MIN_TARGET_SECONDS, mean))

    def update(self, now: float, delay: float, slots: float) -> bool:
        """Ends a window.

        :param delay: time that the waiting work needs at present, seconds.
        :param slots: slots for this kind of work.
        :returns: true when the delay stayed over the target.
        """
        elapsed = now - self._window_start
        if elapsed < _MIN_WINDOW_SECONDS:
            return False
        self._window_start = now
        lowest = min(self._lowest_delay, delay)
        self._lowest_delay = delay
        if not math.isfinite(elapsed):
            return False
        self._weight += elapsed
        target = self.compute_target()
        is_over = lowest > target
        if is_over or self.announced > 0:
            self._adjust(lowest, target, slots, elapsed)
        self._history.append(self.announced)
        self._age(elapsed)
        return is_over

    def _adjust(
        self, lowest: float, target: float, slots: float, elapsed: float
    ) -> None:
        correction = (target - lowest) / _CORRECTION_SECONDS
        share = min(_MAX_SHARE, max(_MIN_SHARE, 1 + correction))
        fitting = self._find_fitting_rank(share * slots)
        # Windows without any call count too.
        windows = min(_MAX_WINDOWS, max(1, int(elapsed / _WINDOW_SECONDS)))
        if lowest >= _IDLE_SHARE * target:
            self._fall = _FIRST_FALL
            self.announced = max(fitting, self.announced - windows * _FIRST_FALL)
        else:
            for _ in range(windows):
                self.announced = max(0, self.announced - self._fall)
                self._fall = min(2 * self._fall, HIGHEST_RANK)
        lenient = self._find_fitting_rank(_LOCAL_SHARE * share * slots)
        self.value = min(self.announced, lenient)

    def _find_fitting_rank(self, room: float) -> int:
        """Finds the lowest rank down to which demand fits.

        :param room: slots for the demand.
        """
        noticed = max(self._history, default=0)
        rates = {
            rank: work / self._weight
            for rank, work in self._demand.items()
            if rank >= noticed
        }
        for rank, hidden in self._hidden.items():
            if rank < noticed:
                observed = self._demand.get(rank, 0.0) / self._weight
                rates[rank] = max(observed, hidden)
        for rank in sorted(rates, reverse=True):
            room -= rates[rank]
            if room < 0:
                return min(rank, HIGHEST_RANK)
        return 0

    def _age(self, elapsed: float) -> None:
        noticed = max(self._history)
        fading = math.exp(-elapsed / _HIDDEN_SECONDS)
        hidden = {
            rank: rate * fading
            for rank, rate in self._hidden.items()
            if rank < noticed and rate > _MIN_DEMAND
        }
        for rank, work in self._demand.items():
            if rank >= noticed:
                hidden[rank] = work / self._weight
        self._hidden = hidden
        factor = self._compute_decay(elapsed)
        self._weight *= factor
        self._calls *= factor
        self._demand = {
            rank: work * factor
            for rank, work in self._demand.items()
            if work * factor > _MIN_DEMAND
        }

    def _compute_decay(self, elapsed: float) -> float:
        windows = elapsed / _WINDOW_SECONDS
        kept = _MIN_CALLS / self._calls if self._calls > 0 else 1.0
        slow = _SLOW_WINDOW_DECAY**windows
        return max(_WINDOW_DECAY**windows, min(slow, kept))
