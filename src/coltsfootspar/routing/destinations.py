"""What the router knows of each node that offers a service."""

import enum
import math

import attrs

from coltsfootspar.calls import Priority
from coltsfootspar.routing.interfaces import Candidate
from coltsfootspar.routing.latency import RowStatistics

__all__ = ["Attempt", "Availability", "Destination"]

MIN_WARM_SHARE = 0.1
RESTART_SECONDS = 1.0
MIN_REFUSAL_MEMORY = 0.25
MAX_REFUSAL_MEMORY = 2.0
# A new sample counts more the longer the last one lies back.
MIN_SAMPLE_WEIGHT = 0.1
MAX_SAMPLE_WEIGHT = 0.3
ESTIMATE_SECONDS = 5.0
FORGET_SECONDS = 10.0
OVERDUE_WEIGHT = 0.5
OVERDUE_LOG = math.log(2.5)
MAX_EVIDENCE = 8
NOISE_LOG = 0.25
MIN_SCORE_LOG = math.log(0.5)
MAX_SCORE_LOG = math.log(100)


class Availability(enum.Enum):
    """How well a destination suits a call."""

    GOOD = "good"
    FULL = "full"
    EJECTED = "ejected"
    UNREACHABLE = "unreachable"
    SKIPPED = "skipped"
    LEAVING = "leaving"


@attrs.define(eq=False)
class Attempt:
    """One call sent to a destination.

    :param row: statistics of its row.
    :param start: when it was sent, seconds.
    """

    row: RowStatistics
    start: float


@attrs.define(eq=False)
class Destination:
    """One node of a service and the calls sent to it.

    :param candidate: latest entry of the directory.
    :param first_seen: time at which the router learned of it, seconds.
    :param distance: 0 in the own data centre, 1 in the own region, else 2.
    :param calls: attempts without a reply.
    :param samples: replies behind the estimate.
    :param sampled_at: time of the last one, seconds.
    :param is_ejected: true while it gets trial calls only.
    :param ejected_at: time of the ejection, seconds.
    """

    candidate: Candidate
    first_seen: float
    distance: int
    # In order of sending: the order decides about the estimate.
    calls: dict[Attempt, None] = attrs.field(factory=dict)
    samples: int = 0
    sampled_at: float = 0.0
    is_ejected: bool = False
    ejected_at: float = 0.0
    _skip_until: float = 0.0
    _unreachable_until: float = 0.0
    _floor: Priority | None = None
    _floor_until: float = 0.0
    _refusal_memory: float = MIN_REFUSAL_MEMORY
    _log_estimate: float = 0.0
    _log_overdue: float = 0.0
    _score: float = 1.0

    @property
    def node_id(self) -> str:
        """Id of the node."""
        return self.candidate.node_id

    @property
    def _slots(self) -> int:
        return max(1, self.candidate.slots)

    @property
    def log_score(self) -> float:
        """Logarithm of its latency relative to the usual latency of the rows."""
        return self._log_estimate + self._log_overdue

    @property
    def has_overdue(self) -> bool:
        """True when calls have been outstanding for much longer than usual."""
        return self._log_overdue > 0

    @property
    def is_on_trial(self) -> bool:
        """True while a call sent after its ejection has no reply."""
        return any(attempt.start >= self.ejected_at for attempt in self.calls)

    def is_open(self, now: float) -> bool:
        """True when it takes new work and can be reached, as far as is known."""
        if self.candidate.is_leaving:
            return False
        return now >= self._skip_until and now >= self._unreachable_until

    def update(self, candidate: Candidate, now: float) -> None:
        """Takes a new entry of the directory."""
        if abs(candidate.warm_at - self.candidate.warm_at) > RESTART_SECONDS:
            self.first_seen = now
        self.candidate = candidate

    def skip(self, until: float) -> None:
        """Sends nothing to it while there is another, since it takes no new work.

        :param until: trio clock, seconds.
        """
        self._skip_until = until

    def avoid(self, until: float) -> None:
        """Prefers all others, since it could not be reached.

        :param until: trio clock, seconds.
        """
        self._unreachable_until = until

    def set_floor(self, floor: Priority, until: float) -> None:
        """Records which priorities it refuses.

        :param floor: lowest priority that it admits.
        :param until: time until which this holds, seconds.
        """
        self._floor = floor
        self._floor_until = until

    def clear_floor(self) -> None:
        """Records that it admits all priorities."""
        self._floor_until = 0.0
        self._refusal_memory = MIN_REFUSAL_MEMORY

    def record_refusal(self, priority: Priority, now: float) -> float:
        """Records the refusal of a call; repeated ones are kept longer.

        :param priority: priority of the call; it admits at best what ranks above.
        :returns: time until which this holds, seconds.
        """
        self._floor = Priority(priority.importance, priority.bucket + 1)
        self._floor_until = now + self._refusal_memory
        self._refusal_memory = min(MAX_REFUSAL_MEMORY, self._refusal_memory * 2)
        return self._floor_until

    def compute_warm_share(self, now: float) -> float:
        """Computes the share of its usual calls that it should get.

        :param now: trio clock, seconds.
        :returns: rises from 0.1 to 1 while it warms up.
        """
        warm_at = self.candidate.warm_at
        if now >= warm_at:
            return 1.0
        return max(
            MIN_WARM_SHARE, (now - self.first_seen) / (warm_at - self.first_seen)
        )

    def is_full(self, priority: Priority, now: float) -> bool:
        """True when it would probably refuse a call.

        :param priority: priority of the call.
        """
        if now < self._floor_until and priority < self._floor:
            return True
        return len(self.calls) >= self._slots * self.compute_warm_share(now)

    def check(self, priority: Priority, now: float) -> Availability:
        """Tells how well it suits a call.

        :param priority: priority of the call.
        """
        if self.candidate.is_leaving:
            return Availability.LEAVING
        if now < self._skip_until:
            return Availability.SKIPPED
        if now < self._unreachable_until:
            return Availability.UNREACHABLE
        if self.is_ejected:
            return Availability.EJECTED
        if self.is_full(priority, now):
            return Availability.FULL
        return Availability.GOOD

    def compute_cost(self) -> float:
        """Computes how long a call would probably take, in relation to others."""
        return (len(self.calls) + 1) / self._slots * self._score

    def observe(self, log_ratio: float, now: float) -> None:
        """Adds the latency of a call to the estimate.

        :param log_ratio: logarithm of its ratio to the usual latency of its row.
        :param now: trio clock, seconds.
        """
        self.samples += 1
        age = now - self.sampled_at
        weight = max(MIN_SAMPLE_WEIGHT, 1 - math.exp(-age / ESTIMATE_SECONDS))
        weight = max(1 / self.samples, min(MAX_SAMPLE_WEIGHT, weight))
        self.sampled_at = now
        self._log_estimate += (log_ratio - self._log_estimate) * weight
        self._refresh_score()

    def review(self, now: float, delay: float, elapsed: float) -> None:
        """Takes account of overdue calls and lets an old estimate fade.

        :param delay: round-trip time of the link, seconds.
        :param elapsed: time since the last review, seconds.
        """
        if now - self.sampled_at > ESTIMATE_SECONDS:
            self._log_estimate *= math.exp(-elapsed / FORGET_SECONDS)
        self._log_overdue = self._weigh_overdue(now - delay)
        self._refresh_score()

    def reset_estimate(self, log_score: float) -> None:
        """Replaces the estimate; it needs new samples before it counts again."""
        self._log_estimate = log_score
        self._log_overdue = 0.0
        self.samples = 0
        self._refresh_score()

    def _weigh_overdue(self, now: float) -> float:
        """Treats overdue calls as if they were answered now.

        A stalled server sends no replies that would raise the estimate.
        """
        estimate = self._log_estimate
        found = 0
        for attempt in self.calls:
            excess = attempt.row.compute_excess(now - attempt.start)
            if excess > OVERDUE_LOG and excess > estimate:
                estimate += (excess - estimate) * OVERDUE_WEIGHT
                found += 1
                if found == MAX_EVIDENCE:
                    break
        return estimate - self._log_estimate

    def _refresh_score(self) -> None:
        score = self.log_score
        if abs(score) < NOISE_LOG:
            # Otherwise the smallest differences would decide between idle nodes.
            score = 0.0
        self._score = math.exp(min(MAX_SCORE_LOG, max(MIN_SCORE_LOG, score)))
