"""Ejection of stragglers and their readmission through trial calls."""

import math
from collections.abc import Collection

import attrs

from coltsfootspar.routing.destinations import Destination

__all__ = ["StragglerWatch"]

EJECT_LOG = math.log(2.5)
READMIT_LOG = math.log(2)
MIN_SAMPLES = 5
FRESH_SECONDS = 10.0
MAX_EJECTED_SHARE = 1 / 3
FIRST_TRIAL = 1.0
MAX_TRIAL_PAUSE = 8.0
TRIAL_GAP = 0.1
GOOD_TRIALS = 3
# Rows that may run again are preferred for trials, since they can be hedged.
UNHEDGED_TRIAL_DELAY = 5.0


@attrs.define(eq=False)
class _Trial:
    """Progress of one ejected destination.

    :param next_at: time of the next trial call, seconds.
    :param pause: time to wait after a bad trial, seconds.
    :param good: good trials in succession.
    """

    next_at: float
    pause: float = FIRST_TRIAL
    good: int = 0


@attrs.define(eq=False)
class StragglerWatch:
    """Ejected destinations of one service."""

    median_log: float = 0.0
    _trials: dict[Destination, _Trial] = attrs.field(factory=dict)

    def review(self, destinations: Collection[Destination], now: float) -> None:
        """Ejects destinations that are far slower than the median."""
        self._forget_missing(destinations)
        judged = [d for d in destinations if _is_judged(d, now)]
        if len(judged) < 2:
            return
        judged.sort(key=lambda destination: destination.log_score)
        self.median_log = judged[(len(judged) - 1) // 2].log_score
        for destination in reversed(judged):
            if destination.log_score - self.median_log <= EJECT_LOG:
                return
            if self._may_eject(destination, destinations):
                destination.is_ejected = True
                destination.ejected_at = now
                self._trials[destination] = _Trial(now + FIRST_TRIAL)

    def find_trial(
        self, now: float, distance: int, *, is_idempotent: bool
    ) -> Destination | None:
        """Finds an ejected destination that is due for a trial call.

        :param distance: it must not be further away than this.
        :param is_idempotent: true when the call can be hedged.
        """
        wait = 0.0 if is_idempotent else UNHEDGED_TRIAL_DELAY
        for destination, trial in self._trials.items():
            is_due = now >= trial.next_at + wait and destination.distance <= distance
            if is_due and not destination.is_on_trial and destination.is_open(now):
                return destination
        return None

    def record(self, destination: Destination, log_ratio: float, now: float) -> None:
        """Records the latency of a call sent to an ejected destination."""
        trial = self._trials.get(destination)
        if trial is None:
            return
        if log_ratio - self.median_log > READMIT_LOG:
            trial.good = 0
            trial.next_at = now + trial.pause
            trial.pause = min(MAX_TRIAL_PAUSE, trial.pause * 2)
            return
        trial.good += 1
        trial.next_at = now + TRIAL_GAP
        if trial.good >= GOOD_TRIALS:
            del self._trials[destination]
            destination.is_ejected = False
            destination.reset_estimate(self.median_log)

    def _forget_missing(self, destinations: Collection[Destination]) -> None:
        for destination in list(self._trials):
            if destination not in destinations:
                del self._trials[destination]

    def _may_eject(
        self, destination: Destination, destinations: Collection[Destination]
    ) -> bool:
        data_centre = destination.candidate.data_centre
        near = [d for d in destinations if d.candidate.data_centre == data_centre]
        return _has_room(near) and _has_room(destinations)


def _has_room(destinations: Collection[Destination]) -> bool:
    allowed = max(1, int(len(destinations) * MAX_EJECTED_SHARE))
    return sum(d.is_ejected for d in destinations) < allowed


def _is_judged(destination: Destination, now: float) -> bool:
    candidate = destination.candidate
    if destination.is_ejected or candidate.is_leaving or now < candidate.warm_at:
        # A cold server is slow for a while; its share is small already.
        return False
    if destination.has_overdue:
        return True
    is_fresh = now - destination.sampled_at < FRESH_SECONDS
    return is_fresh and destination.samples >= MIN_SAMPLES
