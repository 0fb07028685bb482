"""Finds all faults of a route table."""

import collections
import math

from coltsfootspar.routes.model import Route, RouteTable

__all__ = ["check_routes"]


def check_routes(table: RouteTable) -> list[str]:
    """Lists the faults of a table.

    :returns: one sentence for each fault; empty when the table is valid.
    """
    problems = []
    if table.version <= table.base_version:
        problems.append(
            f"version {table.version} is not above its base {table.base_version}"
        )
    services = {service.name for service in table.services}
    places = collections.Counter((route.host, route.prefix) for route in table.routes)
    for (host, prefix), count in places.items():
        if count > 1:
            problems.append(f"{count} routes share host {host!r} and path {prefix!r}")
    for route in table.routes:
        problems += [f"route {route.name!r}: {text}" for text in _check(route)]
        problems += [
            f"route {route.name!r}: no service {target.service!r}"
            for target in route.targets
            if target.service not in services
        ]
    return problems


def _check(route: Route) -> list[str]:
    problems = []
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        problems.append(f"path {route.prefix!r} does not begin and end with a slash")
    if not (route.timeout > 0 and math.isfinite(route.timeout)):
        problems.append(f"timeout {route.timeout!r} is not above 0")
    if route.attempts < 1:
        problems.append(f"{route.attempts} attempts, fewer than 1")
    weights = [target.weight for target in route.targets]
    if not route.targets:
        problems.append("no service")
    elif not all(math.isfinite(weight) and weight >= 0 for weight in weights):
        problems.append("a weight is below 0")
    elif sum(weights) <= 0:
        problems.append("all weights are 0")
    return problems
