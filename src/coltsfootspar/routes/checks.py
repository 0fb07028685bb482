"""Finds all faults of a route table."""

import collections
import math

from coltsfootspar.routes.model import Organisation, Route, RouteTable

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
    return problems + _check_organisations(table.organisations)


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


def _check_organisations(organisations: tuple[Organisation, ...]) -> list[str]:
    """Lists the faults of organisations, without their keys."""
    problems = []
    holders: dict[str, str] = {}
    names = collections.Counter(organisation.name for organisation in organisations)
    for name, count in names.items():
        if count > 1:
            problems.append(f"{count} organisations share the name {name!r}")
    for organisation in organisations:
        name = organisation.name
        problems += [
            f"organisation {name!r}: {text}"
            for text in _check_organisation(organisation)
        ]
        for key in set(organisation.keys):
            holder = holders.setdefault(key, name)
            if holder != name:
                problems.append(f"organisations {holder!r} and {name!r} share a key")
    return problems


def _check_organisation(organisation: Organisation) -> list[str]:
    problems = []
    if not _is_header_value(organisation.name):
        problems.append("the name is not a header value")
    if not all(_is_header_value(key) for key in organisation.keys):
        problems.append("a key is not a header value")
    allowance = (organisation.rate, organisation.burst)
    if not all(math.isfinite(value) and value >= 0 for value in allowance):
        problems.append("the rate or the burst is below 0")
    return problems


def _is_header_value(text: str) -> bool:
    return bool(text) and text.isprintable() and text == text.strip()
