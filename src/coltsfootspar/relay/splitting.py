"""Weighted splitting of a route's requests among several services."""

import attrs

from coltsfootspar.routes import Route

__all__ = ["TrafficSplitter"]


@attrs.define(eq=False)
class TrafficSplitter:
    """Splits the requests of each route by the weights of its services.

    Uses smooth weighted round robin: each request goes to the service that is
    furthest behind its share, so that the shares hold over any number of requests.
    """

    _credits: dict[str, tuple[Route, list[float]]] = attrs.field(factory=dict)

    def choose(self, route: Route) -> str:
        """Chooses the service for the next request of a route."""
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        entry = self._credits.get(route.name)
        if entry is None or entry[0].targets != targets:
            entry = self._credits[route.name] = (route, [0.0] * len(targets))
        credits = entry[1]
        total = sum(target.weight for target in targets)
        for index, target in enumerate(targets):
            credits[index] += target.weight / total
        best = max(range(len(targets)), key=credits.__getitem__)
        credits[best] -= 1
        return targets[best].service
