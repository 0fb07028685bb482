"""Choice among the destinations of one service, grouped by distance."""

import random
from collections.abc import Iterable, Sequence, Set

import attrs

from coltsfootspar.calls import Priority
from coltsfootspar.routing.budget import RetryBudget, create_retry_budget
from coltsfootspar.routing.destinations import Availability, Destination
from coltsfootspar.routing.ejection import OutlierDetector
from coltsfootspar.routing.interfaces import Candidate
from coltsfootspar.routing.latency import LinkDelays, RowStatistics

__all__ = ["Location", "ServiceState"]

REFRESH_PERIOD_SECONDS = 0.05
# Draining nodes come last: one may be back, and otherwise it refuses the call.
_FALLBACK_GROUPS = (
    (Availability.GOOD, Availability.FULL, Availability.EJECTED),
    (Availability.UNREACHABLE,),
    (Availability.SKIPPED,),
)


@attrs.frozen
class Location:
    """Region and data centre of a node."""

    region: str
    data_centre: str

    def compute_distance(self, candidate: Candidate) -> int:
        """Returns 0 for the own data centre, 1 for the own region, else 2."""
        if candidate.region != self.region:
            return 2
        return 0 if candidate.data_centre == self.data_centre else 1


@attrs.define(eq=False)
class ServiceState:
    """Destinations, latency statistics and retry budget of one service.

    :param delays: round-trip times, shared by all services.
    :param budget: limits the retries and hedges sent to the service.
    :param outliers: ejects and readmits destinations.
    :param overloaded_until: time until which at least one destination is expected
        to refuse calls, trio clock, seconds.
    """

    _location: Location
    _random: random.Random
    delays: LinkDelays
    budget: RetryBudget = attrs.field(factory=create_retry_budget)
    outliers: OutlierDetector = attrs.field(factory=OutlierDetector)
    overloaded_until: float = 0.0
    _statistics: dict[str, RowStatistics] = attrs.field(factory=dict)
    _tiers: tuple[list[Destination], ...] = ([], [], [])
    _candidates: tuple[Candidate, ...] = ()
    _destinations: dict[str, Destination] = attrs.field(factory=dict)
    _refreshed_at: float = 0.0

    def get_statistics(self, name: str) -> RowStatistics:
        """Returns the statistics of a row, created when missing.

        :param name: name of the row.
        """
        statistics = self._statistics.get(name)
        if statistics is None:
            statistics = self._statistics[name] = RowStatistics()
        return statistics

    def update(self, candidates: Sequence[Candidate], now: float) -> None:
        """Updates the destinations and, when due, their latency estimates.

        :param candidates: present entries of the directory.
        :param now: trio clock, seconds.
        """
        listed = tuple(candidates)
        # Unchanged entries are the same objects, so this compares identities only.
        if listed != self._candidates:
            self._replace_destinations(listed, now)
        if now - self._refreshed_at >= REFRESH_PERIOD_SECONDS:
            self._refresh_estimates(now)

    def _replace_destinations(self, listed: tuple[Candidate, ...], now: float) -> None:
        self._candidates = listed
        previous = self._destinations
        self._destinations = {}
        self._tiers = ([], [], [])
        for candidate in listed:
            distance = self._location.compute_distance(candidate)
            destination = previous.get(candidate.node_id)
            if destination is None:
                destination = Destination(candidate, now, distance)
            destination.update(candidate, now)
            self._destinations[candidate.node_id] = destination
            self._tiers[distance].append(destination)

    def _refresh_estimates(self, now: float) -> None:
        elapsed, self._refreshed_at = now - self._refreshed_at, now
        destinations = self._destinations.values()
        for destination in destinations:
            delay = self.delays.get(destination.candidate.data_centre)
            destination.refresh_estimate(now, delay, elapsed)
        self.outliers.eject_outliers(destinations, now)

    def select(
        self,
        priority: Priority,
        now: float,
        *,
        excluded: Set[str] = frozenset(),
        is_local_only: bool = False,
        is_after_refusal: bool = False,
    ) -> Destination | None:
        """Selects a destination for an attempt.

        Prefers the own data centre, then the others of the region while the own
        one is full or refuses the call. When the whole region is full, the own
        data centre gets the call, to admit or refuse it. Other regions get calls
        only when the own region has no reachable node.

        :param priority: priority of the call.
        :param now: trio clock, seconds.
        :param excluded: ids of nodes that must not be used.
        :param is_local_only: true when only the own data centre may be used.
        :param is_after_refusal: true after a refusal. Prefers the other data
            centres, since the nodes of the own one are about equally loaded.
        :returns: the destination, or None when there is none.
        """
        tiers = self._tiers[:1] if is_local_only else self._tiers
        availabilities = [
            [
                (d, d.compute_availability(priority, now))
                for d in tier
                if d.node_id not in excluded
            ]
            for tier in tiers
        ]
        in_region = availabilities[:2]
        for pairs in reversed(in_region) if is_after_refusal else in_region:
            good = [d for d, availability in pairs if availability is Availability.GOOD]
            if good:
                return self._choose(good, now)
        return self._choose_fallback(availabilities, now)

    def record_overload(self, until: float) -> None:
        """Records that a destination refuses calls.

        :param until: time at which the record expires, trio clock, seconds.
        """
        self.overloaded_until = max(self.overloaded_until, until)

    def draw_random(self) -> float:
        """Draws a random number from the range [0, 1)."""
        return self._random.random()

    def _choose_fallback(
        self,
        availabilities: Iterable[list[tuple[Destination, Availability]]],
        now: float,
    ) -> Destination | None:
        for group in _FALLBACK_GROUPS:
            for pairs in availabilities:
                matching = [d for d, availability in pairs if availability in group]
                if matching:
                    return self._choose(matching, now)
        return None

    def _choose(self, destinations: list[Destination], now: float) -> Destination:
        """Chooses the cheaper of two random destinations.

        One that warms up gets only its share; the rest goes to the other.
        """
        count = len(destinations)
        if count == 1:
            return destinations[0]
        index = int(self._random.random() * count)
        offset = 1 + int(self._random.random() * (count - 1))
        first = destinations[index]
        second = destinations[(index + offset) % count]
        if second.compute_cost() < first.compute_cost():
            first, second = second, first
        share = first.compute_warmup_share(now)
        return first if share >= 1 or self.draw_random() < share else second
