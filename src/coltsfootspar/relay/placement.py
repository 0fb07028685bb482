"""Load balancing of calls over the nodes of a service.

Handles backend servers of unequal speed, failed hosts and partitioned data
centres: prefers nodes of the local data centre while they have spare capacity and
temporarily ejects nodes that have just failed.
"""

import random
from collections.abc import Sequence

import attrs
import trio

from coltsfootspar.relay.calls import Load
from coltsfootspar.routing import Candidate

__all__ = ["Placement", "create_placement"]

# Load, as a share of the slots, at which a local node is compared with the nodes of
# other data centres.
SPILLOVER_LOAD = 0.75
# Age at which a reported load is ignored.
LOAD_TTL_SECONDS = 1.0
# Doubles with each consecutive failure of a node, up to the maximum.
BASE_EJECTION_SECONDS = 0.25
MAX_EJECTION_SECONDS = 4.0
# Added to the expected latency of a node in another data centre.
REMOTE_PENALTY_SECONDS = 0.03
# A local node that is slower than the fastest candidate by this factor is not
# preferred.
SLOW_FACTOR = 2.5
# A remote data centre is ejected as a whole when this many of its nodes fail with no
# reply from any of its nodes in between: it may be partitioned.
CENTRE_FAILED_NODES = 2
CENTRE_EJECTION_SECONDS = 0.6
_LATENCY_EWMA_WEIGHT = 0.1
_INITIAL_LATENCY_SECONDS = 0.05


@attrs.define(eq=False)
class _NodeStats:
    """Observations about one node.

    :param in_flight: calls that the local node sent to it and that have not ended.
    :param latency: exponentially weighted moving average, seconds.
    :param load: load that the latest reply reported.
    :param load_at: time of that reply, trio clock, seconds.
    :param ejected_until: end of its ejection, trio clock, seconds.
    """

    in_flight: int = 0
    latency: float = _INITIAL_LATENCY_SECONDS
    load: Load | None = None
    load_at: float = -float("inf")
    consecutive_failures: int = 0
    ejected_until: float = -float("inf")


@attrs.define(eq=False)
class Placement:
    """Chooses a node for each call by the power of two choices.

    Compares two random candidates by latency, load and data centre.
    """

    _data_centre: str
    _random: random.Random
    _stats: dict[str, _NodeStats] = attrs.field(factory=dict)
    _failed_nodes: dict[str, set[str]] = attrs.field(factory=dict)
    _centres_ejected_until: dict[str, float] = attrs.field(factory=dict)

    def choose(
        self, candidates: Sequence[Candidate], tried: set[str]
    ) -> Candidate | None:
        """Chooses the next node for a call.

        Falls back to the node whose ejection ends first when all are ejected.

        :param tried: ids of the nodes that the call was already sent to.
        :returns: None when no candidate is left.
        """
        now = trio.current_time()
        untried = [
            candidate
            for candidate in candidates
            if not candidate.is_leaving and candidate.node_id not in tried
        ]
        if not untried:
            return None
        available = [c for c in untried if self._get_ejection_end(c) <= now]
        if not available:
            return min(untried, key=self._get_ejection_end)
        local = [c for c in available if c.data_centre == self._data_centre]
        if local:
            best = self._pick_of_two(local, now)
            # After a failure, a retry stays local: the other nodes of the remote
            # data centre may fail as well.
            is_only_choice = len(local) == len(available) or bool(tried)
            if is_only_choice or self._is_preferred(best, available, now):
                return best
        return self._pick_of_two(available, now)

    def record_start(self, candidate: Candidate) -> None:
        """Counts a call as in flight to a node."""
        self._get_stats(candidate.node_id).in_flight += 1

    def record_end(
        self, candidate: Candidate, seconds: float | None, load: Load | None
    ) -> None:
        """Records the end of a call.

        :param seconds: time until the backend server responded or the call was
            cancelled; None when the backend server was not involved.
        :param load: load that the reply reported; ends the ejection of the node's
            data centre.
        """
        stats = self._get_stats(candidate.node_id)
        stats.in_flight -= 1
        if seconds is not None:
            stats.latency += (seconds - stats.latency) * _LATENCY_EWMA_WEIGHT
        if load is not None:
            stats.load, stats.load_at = load, trio.current_time()
            stats.consecutive_failures = 0
            self._failed_nodes.pop(candidate.data_centre, None)
            self._centres_ejected_until.pop(candidate.data_centre, None)

    def eject(self, candidate: Candidate, *, is_unresponsive: bool) -> None:
        """Ejects a failed node, with exponential backoff on consecutive failures.

        :param is_unresponsive: true when the node itself did not reply.
        """
        now = trio.current_time()
        stats = self._get_stats(candidate.node_id)
        duration = BASE_EJECTION_SECONDS * 2**stats.consecutive_failures
        stats.consecutive_failures += 1
        stats.ejected_until = now + min(duration, MAX_EJECTION_SECONDS)
        centre = candidate.data_centre
        if is_unresponsive and centre != self._data_centre:
            failed_nodes = self._failed_nodes.setdefault(centre, set())
            failed_nodes.add(candidate.node_id)
            if len(failed_nodes) >= CENTRE_FAILED_NODES:
                self._centres_ejected_until[centre] = now + CENTRE_EJECTION_SECONDS

    def forget_absent(self, present: set[str]) -> None:
        """Discards the statistics of nodes that have left.

        :param present: ids of the nodes that are still members.
        """
        for node_id in list(self._stats):
            stats = self._stats[node_id]
            if node_id not in present and stats.in_flight == 0:
                del self._stats[node_id]

    def _get_ejection_end(self, candidate: Candidate) -> float:
        node_end = self._get_stats(candidate.node_id).ejected_until
        return max(
            node_end, self._centres_ejected_until.get(candidate.data_centre, node_end)
        )

    def _is_preferred(
        self, local: Candidate, available: list[Candidate], now: float
    ) -> bool:
        """Tells whether a local node has spare capacity and is not slow."""
        if self._compute_load(local, now) >= SPILLOVER_LOAD:
            return False
        latency = self._get_stats(local.node_id).latency
        best = min(self._get_stats(c.node_id).latency for c in available)
        return latency <= SLOW_FACTOR * (best + REMOTE_PENALTY_SECONDS)

    def _get_stats(self, node_id: str) -> _NodeStats:
        stats = self._stats.get(node_id)
        if stats is None:
            stats = self._stats[node_id] = _NodeStats()
        return stats

    def _pick_of_two(self, candidates: list[Candidate], now: float) -> Candidate:
        """Returns the cheaper of two random candidates."""
        if len(candidates) > 2:
            candidates = self._random.sample(candidates, 2)
        return min(candidates, key=lambda c: self._compute_cost(c, now))

    def _compute_cost(self, candidate: Candidate, now: float) -> float:
        cost = self._get_stats(candidate.node_id).latency
        cost *= 1 + self._compute_load(candidate, now)
        if candidate.data_centre != self._data_centre:
            cost += REMOTE_PENALTY_SECONDS
        return cost

    def _compute_load(self, candidate: Candidate, now: float) -> float:
        stats = self._get_stats(candidate.node_id)
        in_flight_load = stats.in_flight / max(1, candidate.slots)
        if stats.load is None or now - stats.load_at > LOAD_TTL_SECONDS:
            return in_flight_load
        return max(in_flight_load, stats.load.ratio)


def create_placement(data_centre: str, rng: random.Random) -> Placement:
    """Creates a placement without observations.

    :param data_centre: data centre of the local node.
    :param rng: draws the two candidates to compare.
    """
    return Placement(data_centre, rng)
