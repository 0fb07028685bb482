"""Tells the calls of backend servers from the requests of callers.

Both may come from the same address. Three signs decide, from the surest to the least
sure: the id extends that of a call in progress at the own backend server; the request
has no id or there is no such server, so that the address alone decides; all earlier
requests of the route were calls of backend servers.
"""

import enum

import attrs

from coltsfootspar.relay.running import RunningCall

__all__ = ["Origin", "OriginClassifier"]

# Requests of a route that must have been nested calls, with no other among them.
MIN_NESTED_REQUESTS = 16
# Routes whose requests are counted.
MAX_ROUTES = 4_096


class Origin(enum.Enum):
    """Sender of a request."""

    CALLER = "caller"
    # A backend server, for the call in progress that its id names.
    BACKEND = "backend"
    # A backend server by other signs; its call is not known.
    PROBABLY_BACKEND = "probably-backend"


@attrs.define(eq=False)
class OriginClassifier:
    """Classifies requests from the local host.

    Learns which routes only backend servers use.
    """

    # Nested calls in a row, by the name of the route.
    _nested_counts: dict[str, int] = attrs.field(factory=dict)

    def classify(
        self,
        route_name: str,
        parent: RunningCall | None,
        *,
        has_id: bool,
        has_backend: bool,
    ) -> Origin:
        """Classifies a request from the local host.

        :param parent: call in progress whose id the request extends.
        :param has_id: true when the request has an id.
        :param has_backend: true when the backend server of the host has reported.
        """
        if parent is not None:
            self._count_nested(route_name)
            return Origin.BACKEND
        if not (has_id and has_backend):
            return Origin.PROBABLY_BACKEND
        if self._nested_counts.get(route_name, 0) >= MIN_NESTED_REQUESTS:
            return Origin.PROBABLY_BACKEND
        self._nested_counts.pop(route_name, None)
        return Origin.CALLER

    def _count_nested(self, route_name: str) -> None:
        counts = self._nested_counts
        if route_name not in counts and len(counts) >= MAX_ROUTES:
            del counts[next(iter(counts))]
        counts[route_name] = min(counts.get(route_name, 0) + 1, MIN_NESTED_REQUESTS)
