"""The lowest rank that is admitted while there is more work than capacity."""

import math

import attrs

from coltsfootspar.admission.ranks import HIGHEST_RANK

__all__ = ["OverloadThreshold"]

_WINDOW_SECONDS = 0.05
_WINDOW_DECAY = 0.5
_MAX_WINDOWS = 20
_MIN_DEMAND = 1e-6

# Part of the capacity that admitted work may ask for while a queue stands.
_ADMITTED_SHARE = 0.97

_MIN_TARGET_SECONDS = 0.01
_MAX_TARGET_SECONDS = 0.5
_QUIET_SHARE = 0.5

_FIRST_FALL = 16
_STUBBORN_FACTOR = 4.0


@attrs.define(eq=False)
class OverloadThreshold:
    """Follows the queue delay and the demand at each rank.

    While the smallest delay of a window is over the target, the threshold is
    set to the rank above which the demand of the last windows fits the
    capacity. While the delay is below half of the target, the threshold falls
    by steps that double.

    :param value: lowest admitted rank; 0 admits all.
    """

    value: int = 0
    _demand: dict[int, float] = attrs.field(factory=dict)
    _calls: float = 0.0
    _weight: float = 0.0
    _window_start: float = -math.inf
    _lowest_delay: float = math.inf
    _fall: int = _FIRST_FALL

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

    def is_due(self, now: float) -> bool:
        """Tells whether the window has ended."""
        return now - self._window_start >= _WINDOW_SECONDS

    def compute_target(self) -> float:
        """Computes the queue delay up to which nothing is refused.

        :returns: the mean service time within bounds, seconds.
        """
        mean = sum(self._demand.values()) / self._calls if self._calls > 0 else 0.0
        return min(_MAX_TARGET_SECONDS, max(_MIN_TARGET_SECONDS, mean))

    def update(self, now: float, delay: float, slots: float) -> None:
        """Ends a window.

        :param delay: time that the waiting work needs at present, seconds.
        :param slots: slots for this kind of work.
        """
        elapsed = now - self._window_start
        self._window_start = now
        if not math.isfinite(elapsed):
            self._lowest_delay = delay
            return
        lowest = min(self._lowest_delay, delay)
        target = self.compute_target()
        self._weight += elapsed
        if lowest > target:
            self._fall = _FIRST_FALL
            self._rise(slots, is_stubborn=lowest > _STUBBORN_FACTOR * target)
        elif self.value > 0 and lowest < _QUIET_SHARE * target:
            # Windows without any call count too.
            windows = int(elapsed / _WINDOW_SECONDS)
            for _ in range(min(_MAX_WINDOWS, max(1, windows))):
                self._lower()
        self._age(elapsed)
        self._lowest_delay = delay

    def _rise(self, slots: float, *, is_stubborn: bool) -> None:
        room = _ADMITTED_SHARE * slots * self._weight
        for rank in sorted(self._demand, reverse=True):
            room -= self._demand[rank]
            if room < 0:
                self.value = max(self.value, min(rank, HIGHEST_RANK))
                return
        if is_stubborn:
            # The demand is underestimated: calls take longer than expected.
            self.value = min(HIGHEST_RANK, self.value + _FIRST_FALL)

    def _lower(self) -> None:
        self.value = max(0, self.value - self._fall)
        self._fall = min(2 * self._fall, HIGHEST_RANK)

    def _age(self, elapsed: float) -> None:
        factor = _WINDOW_DECAY ** (elapsed / _WINDOW_SECONDS)
        self._weight *= factor
        self._calls *= factor
        self._demand = {
            rank: work * factor
            for rank, work in self._demand.items()
            if work * factor > _MIN_DEMAND
        }
