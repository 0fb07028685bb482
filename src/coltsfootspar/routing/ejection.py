"""Ejection of latency outliers and their readmission after trial calls."""

import math
from collections.abc import Collection

import attrs

from coltsfootspar.routing.destinations import Destination

__all__ = ["OutlierDetector"]

EJECT_LOG_RATIO = math.log(2.5)
READMIT_LOG_RATIO = math.log(2)
MIN_SAMPLES = 5
MAX_SAMPLE_AGE_SECONDS = 10.0
MAX_EJECTED_SHARE = 1 / 3
INITIAL_TRIAL_BACKOFF_SECONDS = 1.0
MAX_TRIAL_BACKOFF_SECONDS = 8.0
TRIAL_INTERVAL_SECONDS = 0.1
TRIALS_TO_READMIT = 3
# Idempotent calls are preferred as trials, since they can be hedged.
UNHEDGED_TRIAL_DELAY_SECONDS = 5.0


@attrs.define(eq=False)
class _TrialState:
    """Trial calls of one ejected destination.

    :param next_at: time of the next trial call, trio clock, seconds.
    :param backoff: delay after the next slow trial call, seconds.
    :param successes: trial calls in succession that were fast enough.
    """

    next_at: float
    backoff: float = INITIAL_TRIAL_BACKOFF_SECONDS
    successes: int = 0


@attrs.define(eq=False)
class OutlierDetector:
    """Ejects the outliers of one service and readmits them.

    :param median_log_ratio: latest median of the destinations' ``log_score``.
    """

    median_log_ratio: float = 0.0
    _trials: dict[Destination, _TrialState] = attrs.field(factory=dict)

    def eject_outliers(self, destinations: Collection[Destination], now: float) -> None:
        """Ejects destinations that are far slower than the median.

        :param destinations: all destinations of the service.
        :param now: trio clock, seconds.
        """
        self._remove_missing(destinations)
        eligible = [d for d in destinations if _is_eligible(d, now)]
        if len(eligible) < 2:
            return
        eligible.sort(key=lambda destination: destination.log_score)
        self.median_log_ratio = eligible[(len(eligible) - 1) // 2].log_score
        for destination in reversed(eligible):
            if destination.log_score - self.median_log_ratio <= EJECT_LOG_RATIO:
                return
            if self._can_eject(destination, destinations):
                destination.is_ejected = True
                destination.ejected_at = now
                self._trials[destination] = _TrialState(
                    now + INITIAL_TRIAL_BACKOFF_SECONDS
                )

    def find_due_trial(
        self, now: float, distance: int, *, is_idempotent: bool
    ) -> Destination | None:
        """Finds an ejected destination that is due for a trial call.

        :param now: trio clock, seconds.
        :param distance: largest distance of the destination.
        :param is_idempotent: true when the call can be hedged.
        """
        wait = 0.0 if is_idempotent else UNHEDGED_TRIAL_DELAY_SECONDS
        for destination, trial in self._trials.items():
            is_due = now >= trial.next_at + wait and destination.distance <= distance
            if (
                is_due
                and not destination.has_trial_in_flight
                and destination.is_usable(now)
            ):
                return destination
        return None

    def record_trial(
        self, destination: Destination, log_ratio: float, now: float
    ) -> None:
        """Records a trial call; readmits the destination after enough fast ones.

        :param log_ratio: logarithm of the latency relative to the row's average.
        :param now: trio clock, seconds.
        """
        trial = self._trials.get(destination)
        if trial is None:
            return
        if log_ratio - self.median_log_ratio > READMIT_LOG_RATIO:
            trial.successes = 0
            trial.next_at = now + trial.backoff
            trial.backoff = min(MAX_TRIAL_BACKOFF_SECONDS, trial.backoff * 2)
            return
        trial.successes += 1
        trial.next_at = now + TRIAL_INTERVAL_SECONDS
        if trial.successes >= TRIALS_TO_READMIT:
            del self._trials[destination]
            destination.is_ejected = False
            destination.reset_estimate(self.median_log_ratio)

    def _remove_missing(self, destinations: Collection[Destination]) -> None:
        for destination in list(self._trials):
            if destination not in destinations:
                del self._trials[destination]

    def _can_eject(
        self, destination: Destination, destinations: Collection[Destination]
    ) -> bool:
        data_centre = destination.candidate.data_centre
        same_data_centre = [
            d for d in destinations if d.candidate.data_centre == data_centre
        ]
        return _is_below_limit(same_data_centre) and _is_below_limit(destinations)


def _is_below_limit(destinations: Collection[Destination]) -> bool:
    limit = max(1, int(len(destinations) * MAX_EJECTED_SHARE))
    return sum(d.is_ejected for d in destinations) < limit


def _is_eligible(destination: Destination, now: float) -> bool:
    candidate = destination.candidate
    if destination.is_ejected or candidate.is_leaving or now < candidate.warm_at:
        # A server that warms up is slow, and its share of the calls is small.
        return False
    if destination.has_overdue_calls:
        return True
    is_recent = now - destination.last_sample_at < MAX_SAMPLE_AGE_SECONDS
    return is_recent and destination.sample_count >= MIN_SAMPLES
