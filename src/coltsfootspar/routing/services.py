"""Destinations of one service, grouped by distance."""

import random
from collections.abc import Sequence, Set

import attrs

from coltsfootspar.calls import Priority
from coltsfootspar.routing.budget import RetryBudget, create_retry_budget
from coltsfootspar.routing.destinations import Destination
from coltsfootspar.routing.interfaces import Candidate

__all__ = ["ServiceState", "Site"]


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

    :param tiers: destinations by distance, nearest first.
    """

    _site: Site
    _random: random.Random
    budget: RetryBudget = attrs.field(factory=create_retry_budget)
    tiers: tuple[list[Destination], ...] = ([], [], [])
    _listed: tuple[Candidate, ...] = ()
    _destinations: dict[str, Destination] = attrs.field(factory=dict)

    def update(self, candidates: Sequence[Candidate], now: float) -> None:
        """Takes the present candidates of the directory."""
        listed = tuple(candidates)
        # Unchanged entries are the same objects, so this compares identities.
        if listed == self._listed:
            return
        self._listed = listed
        known = self._destinations
        self._destinations = {}
        self.tiers = ([], [], [])
        for candidate in listed:
            destination = known.get(candidate.node_id)
            if destination is None:
                destination = Destination(candidate, now)
            destination.candidate = candidate
            self._destinations[candidate.node_id] = destination
            self.tiers[self._site.measure_distance(candidate)].append(destination)

    def select(
        self,
        priority: Priority,
        now: float,
        *,
        excluded: Set[str],
        is_spilled: bool,
    ) -> Destination | None:
        """Selects a destination for an attempt.

        :param excluded: ids of nodes that must not be used.
        :param is_spilled: true when only the own data centre may be used.
        :returns: None when there is none.
        """
        tiers = [
            [d for d in tier if d.is_usable(now) and d.node_id not in excluded]
            for tier in (self.tiers[:1] if is_spilled else self.tiers)
        ]
        region = tiers[:2]
        for tier in region:
            free = [d for d in tier if not d.is_full(priority, now)]
            reachable = [d for d in free if now >= d.unreachable_until]
            if reachable:
                return self._choose(reachable, now)
        for tier in region:
            reachable = [d for d in tier if now >= d.unreachable_until]
            if reachable:
                return self._choose(reachable, now)
        for tier in reversed(tiers):
            if tier:
                return self._choose(tier, now)
        return None

    def _choose(self, destinations: list[Destination], now: float) -> Destination:
        if len(destinations) == 1:
            return destinations[0]
        first, second = self._random.sample(destinations, 2)
        if second.compute_cost(now) < first.compute_cost(now):
            return second
        return first
