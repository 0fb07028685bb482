"""Records how claimed requests ended, also after their callers are gone."""

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import NoQuorumError
from coltsfootspar.replication import Abandon, Finish, ReplicationClient

__all__ = ["ClaimRecorder", "create_recorder"]

_MAX_WAITING = 10_000
_TRY_SECONDS = 60.0
_STOP_SECONDS = 2.0
_ATTEMPT_SECONDS = 5.0


def _create_scope() -> trio.CancelScope:
    deadline = trio.current_time() + _TRY_SECONDS
    return trio.CancelScope(deadline=deadline, shield=True)


@attrs.define(eq=False)
class _Record:
    command: Finish | Abandon
    done: trio.Event = attrs.field(factory=trio.Event)
    scope: trio.CancelScope = attrs.field(factory=_create_scope)


@attrs.define(eq=False)
class ClaimRecorder:
    """Sends the end of claims until a majority has them, for a bounded time.

    A record that is given up leaves the key unknown once the claim expires.
    """

    _client: ReplicationClient
    _sender: trio.MemorySendChannel
    _receiver: trio.MemoryReceiveChannel
    _waiting: set[_Record] = attrs.field(factory=set)

    @property
    def waiting(self) -> int:
        """Records that no majority has confirmed yet."""
        return len(self._waiting)

    def submit(self, command: Finish | Abandon) -> trio.Event:
        """Takes a record.

        :returns: an event that is set once the record is made or given up.
        """
        record = _Record(command)
        if len(self._waiting) >= _MAX_WAITING:
            logging.error("Key %r is left unknown: too many records", command.key)
            record.done.set()
            return record.done
        self._waiting.add(record)
        self._sender.send_nowait(record)
        return record.done

    async def run(self) -> None:
        """Sends records until cancelled, and those that wait then for 2 s more."""
        async with trio.open_nursery() as nursery:
            try:
                async for record in self._receiver:
                    nursery.start_soon(self._send, record)
            finally:
                self._send_last(nursery)

    def _send_last(self, nursery: trio.Nursery) -> None:
        limit = trio.current_time() + _STOP_SECONDS
        for record in self._waiting:
            record.scope.deadline = min(record.scope.deadline, limit)
        while True:
            try:
                nursery.start_soon(self._send, self._receiver.receive_nowait())
            except trio.WouldBlock:
                return

    async def _send(self, record: _Record) -> None:
        with record.scope:
            while not await self._try_send(record.command):
                pass
        if record.scope.cancelled_caught:
            logging.error("Key %r is left unknown: no majority", record.command.key)
        self._waiting.discard(record)
        record.done.set()

    async def _try_send(self, command: Finish | Abandon) -> bool:
        try:
            if isinstance(command, Finish):
                await self._client.finish(command, _ATTEMPT_SECONDS)
            else:
                await self._client.abandon(command, _ATTEMPT_SECONDS)
        except NoQuorumError:
            return False
        return True


def create_recorder(client: ReplicationClient) -> ClaimRecorder:
    """Creates a recorder; its :meth:`ClaimRecorder.run` has to be running."""
    return ClaimRecorder(client, *trio.open_memory_channel(_MAX_WAITING))
