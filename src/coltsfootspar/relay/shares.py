"""Shares of a route's requests among several services."""

import attrs

from coltsfootspar.routes import Route

__all__ = ["ShareKeeper"]


@attrs.define(eq=False)
class ShareKeeper:
    """Spreads the requests of each route by the weights of its services.

    Each request goes to the service that is furthest behind its share, so that
    the shares are kept over any number of requests.
    """

    _credits: dict[str, tuple[Route, list[float]]] = attrs.field(factory=dict)

    def choose(self, route: Route) -> str:
        """Chooses the service of the next request."""
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        known = self._credits.get(route.name)
        if known is None or known[0].targets != targets:
            known = self._credits[route.name] = (route, [0.0] * len(targets))
        credits = known[1]
        total = sum(target.weight for target in targets)
        for index, target in enumerate(targets):
            credits[index] += target.weight / total
        best = max(range(len(targets)), key=credits.__getitem__)
        credits[best] -= 1
        return targets[best].service
