"""Latency estimate and availability of each node that offers a service."""

import enum
import math

import attrs

from coltsfootspar.calls import Priority
from coltsfootspar.routing.interfaces import Candidate
from coltsfootspar.routing.latency import RowStatistics

__all__ = ["Attempt", "Availability", "Destination"]

MIN_WARMUP_SHARE = 0.1
# A larger change of the announced warm-up time means that the server restarted.
WARM_AT_TOLERANCE_SECONDS = 1.0
MIN_REFUSAL_VALIDITY_SECONDS = 0.25
MAX_REFUSAL_VALIDITY_SECONDS = 2.0
# The weight of a new sample grows with the time since the previous one.
MIN_SAMPLE_WEIGHT = 0.1
MAX_SAMPLE_WEIGHT = 0.3
ESTIMATE_TIME_CONSTANT_SECONDS = 5.0
# Applies to an estimate without samples for ESTIMATE_TIME_CONSTANT_SECONDS.
DECAY_TIME_CONSTANT_SECONDS = 10.0
OVERDUE_SAMPLE_WEIGHT = 0.5
OVERDUE_LOG_RATIO = math.log(2.5)
MAX_OVERDUE_SAMPLES = 8
NOISE_LOG_RATIO = 0.25
MIN_LOG_SCORE = math.log(0.5)
MAX_LOG_SCORE = math.log(100)


class Availability(enum.Enum):
    """Whether a destination can be expected to serve a call.

    ``GOOD`` destinations are preferred. ``FULL`` ones have no free slot or would
    refuse the priority of the call, ``EJECTED`` ones are latency outliers, the
    connection to ``UNREACHABLE`` ones has failed and ``SKIPPED`` ones replied that
    they are draining. ``LEAVING`` ones are never used.
    """

    GOOD = "good"
    FULL = "full"
    EJECTED = "ejected"
    UNREACHABLE = "unreachable"
    SKIPPED = "skipped"
    LEAVING = "leaving"


@attrs.define(eq=False)
class Attempt:
    """One call sent to a destination.

    :param row: statistics of the row that the call matched.
    :param start: time at which it was sent, trio clock, seconds.
    """

    row: RowStatistics
    start: float


@attrs.define(eq=False)
class Destination:
    """A node that offers a service, with the router's state for it.

    Its latency estimate is an exponentially weighted moving average of the
    logarithm of each call's latency relative to the average of the call's row.
    All times are on the trio clock, in seconds.

    :param candidate: latest entry of the directory.
    :param first_seen: time at which the directory first listed it, or listed it
        again after a restart.
    :param distance: 0 in the router's data centre, 1 in its region, else 2.
    :param in_flight: attempts without a reply.
    :param sample_count: samples in the latency estimate since its last reset.
    :param last_sample_at: time of the latest sample.
    :param is_ejected: true while it gets trial calls only.
    :param ejected_at: time of the latest ejection.
    """

    candidate: Candidate
    first_seen: float
    distance: int
    # Ordered by sending time, since the order of samples affects the estimate.
    in_flight: dict[Attempt, None] = attrs.field(factory=dict)
    sample_count: int = 0
    last_sample_at: float = 0.0
    is_ejected: bool = False
    ejected_at: float = 0.0
    _draining_until: float = 0.0
    _unreachable_until: float = 0.0
    _threshold: Priority | None = None
    _threshold_until: float = 0.0
    _refusal_validity: float = MIN_REFUSAL_VALIDITY_SECONDS
    _log_latency_ratio: float = 0.0
    _overdue_log_ratio: float = 0.0
    _score: float = 1.0

    @property
    def node_id(self) -> str:
        return self.candidate.node_id

    @property
    def _slots(self) -> int:
        return max(1, self.candidate.slots)

    @property
    def log_score(self) -> float:
        """Logarithm of its latency relative to the average, overdue calls included."""
        return self._log_latency_ratio + self._overdue_log_ratio

    @property
    def has_overdue_calls(self) -> bool:
        """True when calls have been in flight for much longer than the average."""
        return self._overdue_log_ratio > 0

    @property
    def has_trial_in_flight(self) -> bool:
        """True while a call sent since the ejection has no reply."""
        return any(attempt.start >= self.ejected_at for attempt in self.in_flight)

    def is_usable(self, now: float) -> bool:
        """Returns false while it is leaving, draining or unreachable."""
        if self.candidate.is_leaving:
            return False
        return now >= self._draining_until and now >= self._unreachable_until

    def update(self, candidate: Candidate, now: float) -> None:
        """Replaces the directory entry; a restart starts a new warm-up."""
        if abs(candidate.warm_at - self.candidate.warm_at) > WARM_AT_TOLERANCE_SECONDS:
            self.first_seen = now
        self.candidate = candidate

    def mark_draining(self, until: float) -> None:
        """Makes it the last choice, since it takes no new work.

        :param until: time at which this ends, trio clock, seconds.
        """
        self._draining_until = until

    def mark_unreachable(self, until: float) -> None:
        """Makes it a fallback, since its connection failed.

        :param until: time at which this ends, trio clock, seconds.
        """
        self._unreachable_until = until

    def set_threshold(self, threshold: Priority, until: float) -> None:
        """Sets the admission threshold that the node has announced.

        :param threshold: lowest priority that it admits.
        :param until: time at which this expires, trio clock, seconds.
        """
        self._threshold = threshold
        self._threshold_until = until

    def clear_threshold(self) -> None:
        """Removes the threshold after the node has admitted a call."""
        self._threshold_until = 0.0
        self._refusal_validity = MIN_REFUSAL_VALIDITY_SECONDS

    def record_refusal(self, priority: Priority, now: float) -> float:
        """Sets the threshold just above a call that the node refused.

        Each further refusal in succession doubles the validity.

        :param priority: priority of the refused call.
        :param now: trio clock, seconds.
        :returns: time at which the threshold expires, trio clock, seconds.
        """
        self._threshold = Priority(priority.importance, priority.bucket + 1)
        self._threshold_until = now + self._refusal_validity
        self._refusal_validity = min(
            MAX_REFUSAL_VALIDITY_SECONDS, self._refusal_validity * 2
        )
        return self._threshold_until

    def compute_warmup_share(self, now: float) -> float:
        """Computes the fraction of its full load that it should get.

        :param now: trio clock, seconds.
        :returns: a fraction that rises linearly from 0.1 to 1 during the warm-up.
        """
        warm_at = self.candidate.warm_at
        if now >= warm_at:
            return 1.0
        return max(
            MIN_WARMUP_SHARE, (now - self.first_seen) / (warm_at - self.first_seen)
        )

    def is_full(self, priority: Priority, now: float) -> bool:
        """Returns true when it would probably refuse a call or has no free slot.

        :param priority: priority of the call.
        :param now: trio clock, seconds.
        """
        if now < self._threshold_until and priority < self._threshold:
            return True
        return len(self.in_flight) >= self._slots * self.compute_warmup_share(now)

    def compute_availability(self, priority: Priority, now: float) -> Availability:
        """Computes the availability for a call.

        :param priority: priority of the call.
        :param now: trio clock, seconds.
        """
        if self.candidate.is_leaving:
            return Availability.LEAVING
        if now < self._draining_until:
            return Availability.SKIPPED
        if now < self._unreachable_until:
            return Availability.UNREACHABLE
        if self.is_ejected:
            return Availability.EJECTED
        if self.is_full(priority, now):
            return Availability.FULL
        return Availability.GOOD

    def compute_cost(self) -> float:
        """Computes the expected latency of one more call, in arbitrary units."""
        return (len(self.in_flight) + 1) / self._slots * self._score

    def record_latency(self, log_ratio: float, now: float) -> None:
        """Adds the latency of a call to the estimate.

        :param log_ratio: logarithm of its ratio to the average of its row.
        :param now: trio clock, seconds.
        """
        self.sample_count += 1
        age = now - self.last_sample_at
        weight = max(
            MIN_SAMPLE_WEIGHT, 1 - math.exp(-age / ESTIMATE_TIME_CONSTANT_SECONDS)
        )
        weight = max(1 / self.sample_count, min(MAX_SAMPLE_WEIGHT, weight))
        self.last_sample_at = now
        self._log_latency_ratio += (log_ratio - self._log_latency_ratio) * weight
        self._refresh_score()

    def refresh_estimate(self, now: float, delay: float, elapsed: float) -> None:
        """Accounts for overdue calls and decays an estimate without new samples.

        :param now: trio clock, seconds.
        :param delay: round-trip time of the link, seconds.
        :param elapsed: time since the last refresh, seconds.
        """
        if now - self.last_sample_at > ESTIMATE_TIME_CONSTANT_SECONDS:
            self._log_latency_ratio *= math.exp(-elapsed / DECAY_TIME_CONSTANT_SECONDS)
        self._overdue_log_ratio = self._compute_overdue_log_ratio(now - delay)
        self._refresh_score()

    def reset_estimate(self, log_latency_ratio: float) -> None:
        """Replaces the estimate and discards the count of its samples.

        :param log_latency_ratio: new value of the estimate.
        """
        self._log_latency_ratio = log_latency_ratio
        self._overdue_log_ratio = 0.0
        self.sample_count = 0
        self._refresh_score()

    def _compute_overdue_log_ratio(self, now: float) -> float:
        """Computes the rise of the estimate if the overdue calls ended now.

        A stalled server sends no replies that would raise the estimate.
        """
        estimate = self._log_latency_ratio
        overdue_count = 0
        for attempt in self.in_flight:
            log_ratio = attempt.row.compute_log_ratio(now - attempt.start)
            if log_ratio > OVERDUE_LOG_RATIO and log_ratio > estimate:
                estimate += (log_ratio - estimate) * OVERDUE_SAMPLE_WEIGHT
                overdue_count += 1
                if overdue_count == MAX_OVERDUE_SAMPLES:
                    break
        return estimate - self._log_latency_ratio

    def _refresh_score(self) -> None:
        score = self.log_score
        if abs(score) < NOISE_LOG_RATIO:
            # Measurement noise must not decide between idle nodes.
            score = 0.0
        self._score = math.exp(min(MAX_LOG_SCORE, max(MIN_LOG_SCORE, score)))
