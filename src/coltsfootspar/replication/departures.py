"""Departures of backend servers that nodes have acknowledged.

A node keeps in memory that its backend server takes no new work. Each replica keeps
the same in a file, so that a node that starts again does not use the server because of
a report that was under way. There is no order among departures, so each replica
answers on its own, with or without a leader.
"""

import collections
from collections.abc import Iterable

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import CorruptLogError
from coltsfootspar.replication.identity import load_document, save_document
from coltsfootspar.replication.interfaces import Disk
from coltsfootspar.replication.messages import Departure

__all__ = ["DepartureStore", "load_departures"]

_FILE_NAME = "departures"
_MAX_NODES = 1_000
_MAX_DEPARTURES_OF_A_NODE = 8


@attrs.define(eq=False)
class DepartureStore:
    """Latest departures beside each node, on disk.

    :param _by_node: departures by instance id, by node id; the latest ones last.
    """

    _disk: Disk
    _by_node: collections.OrderedDict[str, dict[str, Departure]] = attrs.field(
        factory=collections.OrderedDict
    )
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
                with trio.CancelScope(shield=True):
                    await save_document(self._disk, _FILE_NAME, self._to_document())
            return tuple(self._by_node.get(node_id, {}).values())

    def _merge(self, node_id: str, departures: Iterable[Departure]) -> bool:
        known = self._by_node.get(node_id, {})
        news = [
            departure
            for departure in departures
            if departure.instance_id not in known
            or departure.order > known[departure.instance_id].order
        ]
        if not news:
            return False
        self._by_node[node_id] = known
        self._by_node.move_to_end(node_id)
        for departure in news:
            known.pop(departure.instance_id, None)
            known[departure.instance_id] = departure
        while len(known) > _MAX_DEPARTURES_OF_A_NODE:
            del known[next(iter(known))]
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


async def load_departures(disk: Disk) -> DepartureStore:
    """Reads the saved departures; logs a warning and ignores them when damaged."""
    store = DepartureStore(disk)
    if _FILE_NAME in await disk.list_files():
        try:
            store.load(await load_document(disk, _FILE_NAME))
        except CorruptLogError as error:
            logging.warning("Ignoring the saved departures: %s", error)
    return store
