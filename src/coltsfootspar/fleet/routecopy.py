"""Local copy of the route table on a node."""

import math
from collections.abc import Callable

import attrs
import trio

from coltsfootspar.logs import log_decision
from coltsfootspar.replication import ReplicationClient
from coltsfootspar.routes import (
    KeyIndex,
    RouteMatcher,
    RouteTable,
    create_key_index,
    create_route_matcher,
)

__all__ = ["RouteCopy", "create_route_copy"]


@attrs.define(eq=False)
class RouteCopy:
    """Newest route table that the node has received, prepared for look-ups.

    :param confirmed_at: latest time at which a replica that then had no newer table was
        asked for one, trio clock, seconds.
    :param on_change: called with each new table.
    """

    table: RouteTable = attrs.field(factory=RouteTable)
    matcher: RouteMatcher = attrs.field(
        factory=lambda: create_route_matcher(RouteTable())
    )
    keys: KeyIndex = attrs.field(factory=lambda: create_key_index(RouteTable()))
    confirmed_at: float = -math.inf

    on_change: Callable[[RouteTable], None] = lambda table: None

    @property
    def version(self) -> int:
        """Version of the table, 0 before the first one."""
        return self.table.version

    @property
    def unconfirmed_seconds(self) -> float:
        """Time for which a newer table may have been in force, seconds."""
        return trio.current_time() - self.confirmed_at

    def apply(self, table: RouteTable) -> None:
        """Replaces the table by a newer one; ignores the same or an older version."""
        if table.version <= self.version:
            return
        previous = self.version
        self.table, self.matcher = table, create_route_matcher(table)
        self.keys = create_key_index(table)
        log_decision(
            "routes-applied",
            version=table.version,
            previous=previous,
            organisations=len(table.organisations),
        )
        self.on_change(table)

    def confirm(self, asked_at: float) -> None:
        """Notes that a replica had no newer table.

        :param asked_at: when it was asked, trio clock, seconds.
        """
        self.confirmed_at = asked_at

    async def follow(self, client: ReplicationClient) -> None:
        """Applies each new version from the replicas until cancelled."""
        async for table in client.watch_routes(self.confirm):
            self.apply(table)


def create_route_copy() -> RouteCopy:
    """Creates an empty copy."""
    return RouteCopy()
