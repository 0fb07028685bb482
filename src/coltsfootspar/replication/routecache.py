"""The last committed routes, for the time between a start and the next leader.

Which entries of the log are committed is known only once there is a leader. The
routes that were in force before a loss of power are, so nodes can be served with
them at once.
"""

import attrs
from absl import logging

from coltsfootspar.exceptions import CorruptLogError, FrameError
from coltsfootspar.replication.identity import load_document, save_document
from coltsfootspar.replication.interfaces import Disk
from coltsfootspar.replication.routestate import RouteState

__all__ = ["RouteCache", "load_route_cache"]

_FILE_NAME = "routes"


@attrs.define(eq=False)
class RouteCache:
    """Routes that were committed, as far as they were saved."""

    _disk: Disk
    routes: RouteState = attrs.field(factory=RouteState)

    def choose(self, applied: RouteState) -> RouteState:
        """Returns the newer one of the saved and the applied routes."""
        if self.routes.table.version > applied.table.version:
            return self.routes
        return applied

    async def save(self, applied: RouteState) -> None:
        """Saves routes that are newer than the saved ones.

        :raises StorageError: when the disk fails.
        """
        if applied.table.version <= self.routes.table.version:
            return
        saved = RouteState(applied.table, applied.data)
        await save_document(self._disk, _FILE_NAME, {"data": saved.data.decode()})
        self.routes = saved


async def load_route_cache(disk: Disk) -> RouteCache:
    """Reads the saved routes, if there are any."""
    cache = RouteCache(disk)
    if _FILE_NAME in await disk.list_files():
        try:
            content = await load_document(disk, _FILE_NAME)
            cache.routes.load(content["data"].encode())
        except (CorruptLogError, FrameError) as error:
            logging.warning("The saved routes are not used: %s", error)
    return cache
