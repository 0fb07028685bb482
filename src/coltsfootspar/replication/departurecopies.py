"""Copies of departures, which a replica takes over from the others when it starts."""

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import FrameError, LinkError, StorageError
from coltsfootspar.replication.core import ReplicaCore
from coltsfootspar.replication.departures import DepartureStore
from coltsfootspar.replication.messages import DeparturesReply, NoteDeparturesRequest
from coltsfootspar.wire import replication as codec

__all__ = ["DepartureCopier", "create_departure_copier"]

_REQUEST_TIMEOUT_SECONDS = 1.0
_MIN_RETRY_SECONDS = 0.25
_MAX_RETRY_SECONDS = 4.0


@attrs.define(eq=False)
class DepartureCopier:
    """Copies the departures that the other replicas keep.

    A disk that was lost may have been one of a majority that kept a departure. Each
    departure is then on the disks of at least majority - 1 others, so it is on one of
    any (replicas - majority + 1) others.

    :param _copied_from: replicas whose departures were copied, and which lack none that
        they would have to have.
    """

    _core: ReplicaCore
    _store: DepartureStore
    _copied_from: set[str] = attrs.field(factory=set)

    async def run(self) -> None:
        """Copies until enough replicas have been asked.

        Begins once the replica is admitted: from then on the replaced disk counts for
        no majority, so the others have all that was acknowledged with its help.
        """
        core = self._core
        await core.admitted.wait()
        needed = len(core.replica_ids) - core.majority + 1 if core.peer_ids else 0
        delay = _MIN_RETRY_SECONDS
        while len(self._copied_from) < needed:
            async with trio.open_nursery() as nursery:
                for peer_id in core.peer_ids:
                    if peer_id not in self._copied_from:
                        nursery.start_soon(self._copy_from, peer_id)
            if len(self._copied_from) < needed:
                await trio.sleep(delay)
                delay = min(2 * delay, _MAX_RETRY_SECONDS)
        await self._finish()

    async def _copy_from(self, peer_id: str) -> None:
        reply = await self._request_copies(peer_id)
        # Earlier versions of the program send no copies.
        if reply is None or reply.copies is None:
            return
        try:
            await self._store.add_copies(reply.copies)
        except StorageError as error:
            logging.warning("Departures of %s are not kept: %s", peer_id, error)
            return
        group = reply.group
        is_holder = group is not None and (
            group.incarnation == self._core.list_incarnations().get(peer_id)
        )
        if is_holder and not reply.is_partial:
            self._copied_from.add(peer_id)

    async def _request_copies(self, peer_id: str) -> DeparturesReply | None:
        message = codec.encode_note_departures(NoteDeparturesRequest(node_id=""))
        with trio.move_on_after(_REQUEST_TIMEOUT_SECONDS):
            try:
                reply = await self._core.link.request(peer_id, message)
                return codec.decode_departures(reply)
            except (LinkError, FrameError) as error:
                logging.debug("No departures from %s: %s", peer_id, error)
        return None

    async def _finish(self) -> None:
        try:
            await self._store.mark_whole()
        except StorageError as error:
            logging.warning("Departures stay marked as partial: %s", error)


def create_departure_copier(
    core: ReplicaCore, store: DepartureStore
) -> DepartureCopier:
    """Creates the copier of a replica.

    :param store: where the copies are kept.
    """
    return DepartureCopier(core, store)
