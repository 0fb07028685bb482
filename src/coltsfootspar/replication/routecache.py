"""The last committed routes, which a replica serves until there is a leader.

After a restart, a replica learns only from a leader which entries of its log are
committed. The saved routes are known to be committed, so nodes get them at once,
even when all replicas restart after a power failure.
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
    """Saved copy of committed routes.

    :param routes: the saved routes; their digests of accepted tables are not saved.
    """

    _disk: Disk
    routes: RouteState = attrs.field(factory=RouteState)

    def get_newest(self, applied: RouteState) -> RouteState:
        """Returns the saved or the applied routes, whichever are newer."""
        if self.routes.table.version > applied.table.version:
            return self.routes
        return applied

    async def save(self, applied: RouteState) -> None:
        """Saves the applied routes if they are newer than the saved ones.

        :raises StorageError: when the disk fails.
        """
        if applied.table.version <= self.routes.table.version:
            return
        saved = RouteState(applied.table, applied.data)
        await save_document(self._disk, _FILE_NAME, {"data": saved.data.decode()})
        self.routes = saved


async def load_route_cache(disk: Disk) -> RouteCache:
    """Reads the saved routes; logs a warning and ignores them when damaged."""
    cache = RouteCache(disk)
    if _FILE_NAME in await disk.list_files():
        try:
            content = await load_document(disk, _FILE_NAME)
            cache.routes.load(content["data"].encode())
        except (CorruptLogError, FrameError) as error:
            logging.warning("Ignoring the saved routes: %s", error)
    return cache
