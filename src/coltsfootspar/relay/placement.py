"""Load balancing of calls over the nodes of a service.

Handles backend servers of unequal speed, failed hosts and partitioned data
centres: prefers nodes of the local data centre while they have spare capacity and
temporarily ejects nodes that have just failed.
"""

import bisect
import itertools
import math
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
LOWEST_LATENCY_TTL_SECONDS = 0.5
# Up to this many candidates are all checked for availability; of more, some are drawn.
_MAX_FILTERED_CANDIDATES = 4
_MAX_DRAWS = 6
# Speed of a server that is not yet known, as a share of the mean of its service.
_UNKNOWN_SPEED = 0.5
_LATENCY_EWMA_WEIGHT = 0.1
# An older latency approaches the mean of the service by half in each such time, so
# that a server which was slow is tried again.
LATENCY_TTL_SECONDS = 2.0
_OUTDATED_LATENCY_EWMA_WEIGHT = 0.5
_MEAN_LATENCY_EWMA_WEIGHT = 0.02
_INITIAL_LATENCY_SECONDS = 0.05


@attrs.define(eq=False)
class _NodeStats:
    """Observations about one node.

    :param in_flight: calls that the local node sent to it and that have not ended.
    :param latency: exponentially weighted moving average, seconds.
    :param latency_at: time of the latest observation, trio clock, seconds; minus
        infinity before the first.
    :param load: load that the latest reply reported.
    :param load_at: time of that reply, trio clock, seconds.
    :param ejected_until: end of its ejection, trio clock, seconds.
    :param silent_since: latest reply, or the first call that was sent after it; trio
        clock, seconds.
    """

    in_flight: int = 0
    latency: float = _INITIAL_LATENCY_SECONDS
    latency_at: float = -float("inf")
    load: Load | None = None
    load_at: float = -float("inf")
    consecutive_failures: int = 0
    ejected_until: float = -float("inf")
    silent_since: float = -float("inf")

    def get_silence(self, now: float) -> float:
        """Returns for how long the node has replied to none of its calls, seconds.

        :param now: trio clock, seconds.
        """
        return now - self.silent_since if self.in_flight else 0.0


@attrs.define(eq=False)
class _Group:
    """Candidates of a service that are not leaving, in one or more data centres.

    :param cumulative: sums of their weights up to each one; empty while none is known.
    """

    members: list[Candidate] = attrs.field(factory=list)
    cumulative: list[float] = attrs.field(factory=list)

    def __bool__(self) -> bool:
        return bool(self.members)

    def draw(self, random_number: float) -> Candidate:
        """Draws a candidate in proportion to the calls that its server completes.

        :param random_number: 0 to 1, the latter excluded.
        """
        if not self.cumulative:
            return self.members[int(random_number * len(self.members))]
        drawn = random_number * self.cumulative[-1]
        index = bisect.bisect_right(self.cumulative, drawn)
        return self.members[min(index, len(self.members) - 1)]


@attrs.define(eq=False)
class _Pool:
    """Candidates of a service that are not leaving, by data centre.

    :param source: sequence that they were taken from.
    :param lowest_latency: latency of the fastest available node, seconds.
    :param lowest_latency_at: time at which it was found, trio clock, seconds.
    """

    source: Sequence[Candidate]
    local: _Group = attrs.field(factory=_Group)
    remote: _Group = attrs.field(factory=_Group)
    lowest_latency: float = _INITIAL_LATENCY_SECONDS
    lowest_latency_at: float = -float("inf")

    def list_all(self) -> list[Candidate]:
        """Returns the candidates of all data centres."""
        return self.local.members + self.remote.members


@attrs.define(eq=False)
class Placement:
    """Chooses a node for each call by the power of two choices.

    Compares two random candidates by latency, load and data centre. The cost of a
    choice does not grow with the number of candidates.
    """

    _data_centre: str
    _random: random.Random
    _stats: dict[str, _NodeStats] = attrs.field(factory=dict)
    _pools: dict[str, _Pool] = attrs.field(factory=dict)
    # Moving averages by service, seconds.
    _mean_latencies: dict[str, float] = attrs.field(factory=dict)
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
        pool = self._get_pool(candidates)
        now = trio.current_time()
        local = self._draw(pool.local, tried, now)
        if local is not None:
            # After a failure, a retry stays local: the other nodes of the remote
            # data centre may fail as well.
            if not pool.remote or tried or self._is_preferred(local, pool, now):
                return local
            drawn = [local, self._draw(pool.remote, tried, now)]
            return self._pick_cheapest([c for c in drawn if c is not None], now)
        remote = self._draw(pool.remote, tried, now)
        if remote is not None:
            return remote
        untried = [c for c in pool.list_all() if c.node_id not in tried]
        return min(
            untried,
            key=lambda c: self._get_ejection_end(c, self._get_stats(c.node_id)),
            default=None,
        )

    def record_start(self, candidate: Candidate) -> None:
        """Counts a call as in flight to a node."""
        stats = self._get_stats(candidate.node_id)
        if not stats.in_flight:
            stats.silent_since = trio.current_time()
        stats.in_flight += 1

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
            self._record_latency(candidate, stats, seconds)
        if load is not None:
            stats.load = load
            stats.load_at = stats.silent_since = trio.current_time()
            stats.consecutive_failures = 0
            self._failed_nodes.pop(candidate.data_centre, None)
            self._centres_ejected_until.pop(candidate.data_centre, None)

    def _record_latency(
        self, candidate: Candidate, stats: _NodeStats, seconds: float
    ) -> None:
        now = trio.current_time()
        is_outdated = now - LATENCY_TTL_SECONDS > stats.latency_at > -math.inf
        weight = _OUTDATED_LATENCY_EWMA_WEIGHT if is_outdated else _LATENCY_EWMA_WEIGHT
        latency = self._get_latency(candidate, stats, now)
        stats.latency, stats.latency_at = latency + (seconds - latency) * weight, now
        mean = self._mean_latencies.get(candidate.service, seconds)
        self._mean_latencies[candidate.service] = (
            mean + (seconds - mean) * _MEAN_LATENCY_EWMA_WEIGHT
        )

    def _get_latency(
        self, candidate: Candidate, stats: _NodeStats, now: float
    ) -> float:
        """Returns the expected latency of a node, seconds.

        Without recent observations it approaches the mean of the service.
        """
        overdue = now - stats.latency_at - LATENCY_TTL_SECONDS
        if overdue <= 0 or overdue == math.inf:
            return stats.latency
        mean = self._mean_latencies.get(candidate.service, _INITIAL_LATENCY_SECONDS)
        return mean + (stats.latency - mean) * 0.5 ** (overdue / LATENCY_TTL_SECONDS)

    def _get_expected_latency(self, candidate: Candidate, now: float) -> float:
        """Returns the latency of a node, at least the time for which it is silent.

        A host that has lost power replies to nothing and refuses nothing.
        """
        stats = self._get_stats(candidate.node_id)
        return max(self._get_latency(candidate, stats, now), stats.get_silence(now))

    def eject(self, candidate: Candidate, *, is_unresponsive: bool) -> None:
        """Ejects a failed node, with exponential backoff on consecutive failures.

        Calls that fail while it is ejected were sent before and count as one failure.

        :param is_unresponsive: true when the node itself did not reply.
        """
        now = trio.current_time()
        stats = self._get_stats(candidate.node_id)
        if now >= stats.ejected_until:
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

    def _get_ejection_end(self, candidate: Candidate, stats: _NodeStats) -> float:
        node_end = stats.ejected_until
        return max(
            node_end, self._centres_ejected_until.get(candidate.data_centre, node_end)
        )

    def _get_pool(self, candidates: Sequence[Candidate]) -> _Pool:
        """Returns the candidates of a service by data centre.

        They are divided again only when the sequence is another one.
        """
        service = candidates[0].service if candidates else ""
        pool = self._pools.get(service)
        if pool is None or pool.source is not candidates:
            pool = self._pools[service] = self._create_pool(candidates)
        return pool

    def _create_pool(self, candidates: Sequence[Candidate]) -> _Pool:
        pool = _Pool(candidates)
        for candidate in candidates:
            if candidate.is_leaving:
                continue
            is_local = candidate.data_centre == self._data_centre
            (pool.local if is_local else pool.remote).members.append(candidate)
        known = [c for c in candidates if c.calls_per_second and c.slots]
        if known:
            per_slot = sum(c.calls_per_second for c in known) / sum(
                c.slots for c in known
            )
            for group in (pool.local, pool.remote):
                weights = [_compute_weight(c, per_slot) for c in group.members]
                group.cumulative = list(itertools.accumulate(weights))
        return pool

    def _draw(self, group: _Group, tried: set[str], now: float) -> Candidate | None:
        """Returns the cheaper of two random available candidates.

        :returns: None when none is available.
        """
        candidates = group.members
        if len(candidates) <= _MAX_FILTERED_CANDIDATES:
            available = self._filter_available(candidates, tried, now)
            return self._pick_of_two(available, now)
        drawn = []
        # Most candidates are available, so few draws find two of them.
        for _ in range(_MAX_DRAWS):
            candidate = group.draw(self._random.random())
            if candidate not in drawn and self._is_available(candidate, tried, now):
                drawn.append(candidate)
                if len(drawn) == 2:
                    return self._pick_cheapest(drawn, now)
        available = self._filter_available(candidates, tried, now)
        return self._pick_of_two(available, now)

    def _filter_available(
        self, candidates: list[Candidate], tried: set[str], now: float
    ) -> list[Candidate]:
        return [c for c in candidates if self._is_available(c, tried, now)]

    def _is_available(self, candidate: Candidate, tried: set[str], now: float) -> bool:
        """Tells whether a node is not ejected, or waits for a trial call after that."""
        if candidate.node_id in tried:
            return False
        stats = self._get_stats(candidate.node_id)
        if self._get_ejection_end(candidate, stats) > now:
            return False
        return not (stats.consecutive_failures and stats.in_flight)

    def _is_preferred(self, local: Candidate, pool: _Pool, now: float) -> bool:
        """Tells whether a local node has spare capacity and is not slow."""
        if self._compute_load(local, now) >= SPILLOVER_LOAD:
            return False
        latency = self._get_expected_latency(local, now)
        best = self._find_lowest_latency(pool, now)
        return latency <= SLOW_FACTOR * (best + REMOTE_PENALTY_SECONDS)

    def _find_lowest_latency(self, pool: _Pool, now: float) -> float:
        """Returns the latency of the fastest available node, seconds."""
        if now - pool.lowest_latency_at >= LOWEST_LATENCY_TTL_SECONDS:
            available = self._filter_available(pool.list_all(), set(), now)
            latencies = [self._get_expected_latency(c, now) for c in available]
            pool.lowest_latency = min(latencies, default=_INITIAL_LATENCY_SECONDS)
            pool.lowest_latency_at = now
        return pool.lowest_latency

    def _get_stats(self, node_id: str) -> _NodeStats:
        stats = self._stats.get(node_id)
        if stats is None:
            stats = self._stats[node_id] = _NodeStats()
        return stats

    def _pick_of_two(self, candidates: list[Candidate], now: float) -> Candidate | None:
        """Returns the cheaper of two random candidates; None when there are none."""
        if len(candidates) > 2:
            candidates = self._random.sample(candidates, 2)
        return self._pick_cheapest(candidates, now)

    def _pick_cheapest(
        self, candidates: list[Candidate], now: float
    ) -> Candidate | None:
        return min(candidates, key=lambda c: self._compute_cost(c, now), default=None)

    def _compute_cost(self, candidate: Candidate, now: float) -> float:
        cost = self._get_expected_latency(candidate, now)
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


def _compute_weight(candidate: Candidate, per_slot: float) -> float:
    """Returns the weight of a candidate in draws.

    :param per_slot: mean calls per second for each slot of the service.
    """
    known = candidate.calls_per_second
    return known or max(1, candidate.slots) * per_slot * _UNKNOWN_SPEED


def create_placement(data_centre: str, rng: random.Random) -> Placement:
    """Creates a placement without observations.

    :param data_centre: data centre of the local node.
    :param rng: draws the two candidates to compare.
    """
    return Placement(data_centre, rng)
