"""Departures of backend servers that nodes have acknowledged.

A node keeps in memory that its backend server takes no new work. Each replica keeps
the same in a file, so that a node that starts again does not use the server because of
a report that was under way. There is no order among departures, so each replica
answers on its own, with or without a leader.

A departure is acknowledged once it is on the disks of a majority. A new disk has none
of them; it counts for a read only once the departures of so many others were copied to
it that one of them must have had each acknowledged one.
"""

import collections
from collections.abc import Iterable, Mapping

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import CorruptLogError
from coltsfootspar.replication.identity import load_document, save_document
from coltsfootspar.replication.interfaces import Disk
from coltsfootspar.replication.messages import Departure

__all__ = ["DepartureStore", "load_departures"]

_FILE_NAME = "departures"
# Exists while the folder may lack departures that others keep.
_PARTIAL_FILE_NAME = "departures-partial"
_MAX_NODES = 1_000
_MAX_DEPARTURES_OF_A_NODE = 8


@attrs.define(eq=False)
class DepartureStore:
    """Latest departures beside each node, on disk.

    :param is_partial: true while departures that others keep may be missing.
    :param _by_node: departures by instance id, by node id; the latest ones last.
    :param _is_dirty: true while the disk may lack something in memory.
    """

    _disk: Disk
    is_partial: bool = False
    _by_node: collections.OrderedDict[str, dict[str, Departure]] = attrs.field(
        factory=collections.OrderedDict
    )
    _is_dirty: bool = False
    _lock: trio.Lock = attrs.field(factory=trio.Lock)

    async def note(
        self, node_id: str, departures: Iterable[Departure]
    ) -> tuple[Departure, ...]:
        """Keeps departures, durably.

        :returns: all departures that are kept for the node.
        :raises StorageError: when the disk fails.
        """
        async with self._lock:
            if self._merge(node_id, departures):
                self._is_dirty = True
            await self._save_if_dirty()
            return tuple(self._by_node.get(node_id, {}).values())

    async def add_copies(self, copies: Mapping[str, Iterable[Departure]]) -> None:
        """Keeps departures that another replica has, durably.

        :param copies: departures by node id.
        :raises StorageError: when the disk fails.
        """
        async with self._lock:
            for node_id, departures in copies.items():
                if self._merge(node_id, departures, is_older=True):
                    self._is_dirty = True
            await self._save_if_dirty()

    def list_all(self) -> dict[str, tuple[Departure, ...]]:
        """Returns the departures that are kept, by node id."""
        return {
            node_id: tuple(known.values()) for node_id, known in self._by_node.items()
        }

    async def mark_whole(self) -> None:
        """Notes durably that nothing that others keep is missing.

        :raises StorageError: when the disk fails.
        """
        if not self.is_partial:
            return
        with trio.CancelScope(shield=True):
            await self._disk.remove(_PARTIAL_FILE_NAME)
            await self._disk.sync_folder()
        self.is_partial = False

    async def mark_partial(self) -> None:
        """Notes durably that departures which others keep may be missing.

        :raises StorageError: when the disk fails.
        """
        await save_document(self._disk, _PARTIAL_FILE_NAME, {})
        self.is_partial = True

    async def _save_if_dirty(self) -> None:
        if self._is_dirty:
            with trio.CancelScope(shield=True):
                await save_document(self._disk, _FILE_NAME, self._to_document())
            self._is_dirty = False

    def _merge(
        self, node_id: str, departures: Iterable[Departure], *, is_older: bool = False
    ) -> bool:
        """Adds departures of a node.

        :param is_older: true to drop them before those that are kept already.
        :returns: false when all of them were known.
        """
        known = self._by_node.get(node_id, {})
        news = [
            departure
            for departure in departures
            if departure.instance_id not in known
            or departure.order > known[departure.instance_id].order
        ]
        if not news:
            return False
        for departure in news:
            known.pop(departure.instance_id, None)
        added = {departure.instance_id: departure for departure in news}
        known = added | known if is_older else known | added
        self._by_node[node_id] = known
        while len(known) > _MAX_DEPARTURES_OF_A_NODE:
            del known[next(iter(known))]
        self._by_node.move_to_end(node_id)
        while len(self._by_node) > _MAX_NODES:
            self._by_node.popitem(last=False)
        return True

    def _to_document(self) -> dict:
        return {
            node_id: [attrs.astuple(departure) for departure in known.values()]
            for node_id, known in self._by_node.items()
        }

    def load(self, document: dict) -> None:
        """Loads the departures of a saved document."""
        for node_id, departures in document.items():
            self._merge(node_id, [Departure(*values) for values in departures])


async def load_departures(disk: Disk, *, is_new: bool = False) -> DepartureStore:
    """Reads the saved departures; logs a warning and ignores them when damaged.

    :param is_new: true for the disk of a replica that is not admitted yet.
    :raises StorageError: when the disk fails.
    """
    names = await disk.list_files()
    store = DepartureStore(disk, is_partial=_PARTIAL_FILE_NAME in names)
    is_lost = is_new
    if _FILE_NAME in names:
        try:
            store.load(await load_document(disk, _FILE_NAME))
        except CorruptLogError as error:
            logging.warning("Ignoring the saved departures: %s", error)
            is_lost = True
    if is_lost and not store.is_partial:
        await store.mark_partial()
    return store
