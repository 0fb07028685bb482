"""The routes in force on a node."""

import attrs

from coltsfootspar.logs import log_decision
from coltsfootspar.replication import ReplicationClient
from coltsfootspar.routes import RouteMatcher, RouteTable, create_route_matcher

__all__ = ["RouteCopy", "create_route_copy"]


@attrs.define(eq=False)
class RouteCopy:
    """The highest version of the routes that this node has seen."""

    table: RouteTable = attrs.field(factory=RouteTable)
    matcher: RouteMatcher = attrs.field(
        factory=lambda: create_route_matcher(RouteTable())
    )

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self.table.version

    def apply(self, table: RouteTable) -> None:
        """Takes a table into force unless it is older."""
        if table.version <= self.version:
            return
        previous = self.version
        self.table, self.matcher = table, create_route_matcher(table)
        log_decision("routes-applied", version=table.version, previous=previous)

    async def follow(self, client: ReplicationClient) -> None:
        """Takes each new version from the replicas until cancelled."""
        async for table in client.watch_routes():
            self.apply(table)


def create_route_copy() -> RouteCopy:
    """Creates a copy without routes."""
    return RouteCopy()
