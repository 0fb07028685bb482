"""Destinations of one service, grouped by distance."""

import random
from collections.abc import Iterable, Sequence, Set

import attrs

from coltsfootspar.calls import Priority
from coltsfootspar.routing.budget import RetryBudget, create_retry_budget
from coltsfootspar.routing.destinations import Availability, Destination
from coltsfootspar.routing.ejection import OutlierDetector
from coltsfootspar.routing.interfaces import Candidate
from coltsfootspar.routing.latency import LinkDelays, RowStatistics

__all__ = ["ServiceState", "Site"]

REVIEW_PERIOD = 0.05
# A node that was draining a moment ago may be back; it refuses what it must.
_FALLBACK_GROUPS = (
    (Availability.GOOD, Availability.FULL, Availability.EJECTED),
    (Availability.UNREACHABLE,),
    (Availability.SKIPPED,),
)


@attrs.frozen
class Site:
    """Where a node stands."""

    region: str
    data_centre: str

    def measure_distance(self, candidate: Candidate) -> int:
        """Returns 0 for the own data centre, 1 for the own region, else 2."""
        if candidate.region != self.region:
            return 2
        return 0 if candidate.data_centre == self.data_centre else 1


@attrs.define(eq=False)
class ServiceState:
    """All that the router knows of one service.

    :param delays: round-trip times, shared by all services.
    :param outliers: its ejected destinations.
    :param overloaded_until: time until which a destination is known to refuse
        calls, seconds.
    """

    _site: Site
    _random: random.Random
    delays: LinkDelays
    budget: RetryBudget = attrs.field(factory=create_retry_budget)
    outliers: OutlierDetector = attrs.field(factory=OutlierDetector)
    overloaded_until: float = 0.0
    _rows: dict[str, RowStatistics] = attrs.field(factory=dict)
    _tiers: tuple[list[Destination], ...] = ([], [], [])
    _listed: tuple[Candidate, ...] = ()
    _destinations: dict[str, Destination] = attrs.field(factory=dict)
    _reviewed_at: float = 0.0

    def get_row(self, name: str) -> RowStatistics:
        """Returns the statistics of a row."""
        row = self._rows.get(name)
        if row is None:
            row = self._rows[name] = RowStatistics()
        return row

    def update(self, candidates: Sequence[Candidate], now: float) -> None:
        """Takes the present candidates and reviews the destinations when due."""
        listed = tuple(candidates)
        # Unchanged entries are the same objects, so this compares identities.
        if listed != self._listed:
            self._replace(listed, now)
        if now - self._reviewed_at >= REVIEW_PERIOD:
            self._review(now)

    def _replace(self, listed: tuple[Candidate, ...], now: float) -> None:
        self._listed = listed
        known = self._destinations
        self._destinations = {}
        self._tiers = ([], [], [])
        for candidate in listed:
            distance = self._site.measure_distance(candidate)
            destination = known.get(candidate.node_id)
            if destination is None:
                destination = Destination(candidate, now, distance)
            destination.update(candidate, now)
            self._destinations[candidate.node_id] = destination
            self._tiers[distance].append(destination)

    def _review(self, now: float) -> None:
        elapsed, self._reviewed_at = now - self._reviewed_at, now
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
        is_local: bool = False,
        is_refused: bool = False,
    ) -> Destination | None:
        """Selects a destination for an attempt.

        The own data centre comes first, then the others of the region while
        the own is full or refuses. When all are full the own data centre
        decides. Other regions are used when the own has no reachable node.

        :param priority: priority of the call.
        :param excluded: ids of nodes that must not be used.
        :param is_local: true when only the own data centre may be used.
        :param is_refused: true after a refusal; the other data centres come
            first, since the load of the own one is even.
        :returns: None when there is none.
        """
        tiers = self._tiers[:1] if is_local else self._tiers
        checked = [
            [
                (d, d.compute_availability(priority, now))
                for d in tier
                if d.node_id not in excluded
            ]
            for tier in tiers
        ]
        region = checked[:2]
        for states in reversed(region) if is_refused else region:
            good = [d for d, state in states if state is Availability.GOOD]
            if good:
                return self._choose(good, now)
        return self._choose_fallback(checked, now)

    def record_overload(self, until: float) -> None:
        """Records that a destination refuses calls.

        :param until: time until which this holds, seconds.
        """
        self.overloaded_until = max(self.overloaded_until, until)

    def draw(self) -> float:
        """Draws a random number from 0 to 1."""
        return self._random.random()

    def _choose_fallback(
        self, checked: Iterable[list[tuple[Destination, Availability]]], now: float
    ) -> Destination | None:
        for group in _FALLBACK_GROUPS:
            for states in checked:
                found = [d for d, state in states if state in group]
                if found:
                    return self._choose(found, now)
        return None

    def _choose(self, destinations: list[Destination], now: float) -> Destination:
        """Takes the cheaper of two random destinations."""
        count = len(destinations)
        if count == 1:
            return destinations[0]
        position = int(self._random.random() * count)
        step = 1 + int(self._random.random() * (count - 1))
        first = destinations[position]
        second = destinations[(position + step) % count]
        if second.compute_cost() < first.compute_cost():
            first, second = second, first
        share = first.compute_warmup_share(now)
        return first if share >= 1 or self.draw() < share else second
