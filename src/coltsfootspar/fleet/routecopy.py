"""Local copy of the route table on a node."""

from collections.abc import Callable

import attrs

from coltsfootspar.logs import log_decision
from coltsfootspar.replication import ReplicationClient
from coltsfootspar.routes import RouteMatcher, RouteTable, create_route_matcher

__all__ = ["RouteCopy", "create_route_copy"]


@attrs.define(eq=False)
class RouteCopy:
    """Newest route table that the node has received, and its matcher.

    :param on_change: called with each new table.
    """

    table: RouteTable = attrs.field(factory=RouteTable)
    matcher: RouteMatcher = attrs.field(
        factory=lambda: create_route_matcher(RouteTable())
    )

    on_change: Callable[[RouteTable], None] = lambda table: None

    @property
    def version(self) -> int:
        """Version of the table, 0 before the first one."""
        return self.table.version

    def apply(self, table: RouteTable) -> None:
        """Replaces the table by a newer one; ignores the same or an older version."""
        if table.version <= self.version:
            return
        previous = self.version
        self.table, self.matcher = table, create_route_matcher(table)
        self.on_change(table)
        log_decision("routes-applied", version=table.version, previous=previous)

    async def follow(self, client: ReplicationClient) -> None:
        """Applies each new version from the replicas until cancelled."""
        async for table in client.watch_routes():
            self.apply(table)


def create_route_copy() -> RouteCopy:
    """Creates an empty copy."""
    return RouteCopy()
