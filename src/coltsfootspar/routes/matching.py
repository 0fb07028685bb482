"""Finding the route of a request."""

import attrs

from coltsfootspar.routes.model import Route, RouteTable

__all__ = ["RouteMatcher", "create_route_matcher"]


@attrs.frozen
class RouteMatcher:
    """Routes of one version, by host and then by path."""

    _hosts: dict[str, dict[str, Route]]

    def find(self, host: str, path: str) -> Route | None:
        """Finds the route with the longest prefix of a path.

        :param host: host of the request; a port is ignored.
        :param path: path; a query is ignored.

        >>> create_route_matcher(RouteTable()).find("a.example", "/b/c") is None
        True
        """
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        plain = path.partition("?")[0]
        end = len(plain)
        while (end := plain.rfind("/", 0, end)) >= 0:
            route = prefixes.get(plain[: end + 1])
            if route is not None:
                return route
        return None


def create_route_matcher(table: RouteTable) -> RouteMatcher:
    """Prepares a table for matching."""
    hosts: dict[str, dict[str, Route]] = {}
    for route in table.routes:
        hosts.setdefault(route.host.lower(), {})[route.prefix] = route
    return RouteMatcher(hosts)
