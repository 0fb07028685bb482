"""Records the outcomes of claimed requests, even after their callers are gone."""

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import NoQuorumError
from coltsfootspar.replication import Abandon, Finish, ReplicationClient

__all__ = ["ClaimRecorder", "create_recorder"]

_MAX_PENDING = 10_000
_RETRY_SECONDS = 60.0
_SHUTDOWN_SECONDS = 2.0
_ATTEMPT_TIMEOUT_SECONDS = 5.0


def _create_scope() -> trio.CancelScope:
    deadline = trio.current_time() + _RETRY_SECONDS
    return trio.CancelScope(deadline=deadline, shield=True)


@attrs.define(eq=False)
class _PendingCommand:
    command: Finish | Abandon
    done: trio.Event = attrs.field(factory=trio.Event)
    scope: trio.CancelScope = attrs.field(factory=_create_scope)


@attrs.define(eq=False)
class ClaimRecorder:
    """Resends the outcomes of claims until a majority confirms them or 60 s pass.

    If no majority confirms in time, the outcome of the key counts as unknown once the
    claim expires.
    """

    _client: ReplicationClient
    _sender: trio.MemorySendChannel
    _receiver: trio.MemoryReceiveChannel
    _pending: set[_PendingCommand] = attrs.field(factory=set)

    @property
    def pending_count(self) -> int:
        """Number of outcomes that no majority has confirmed yet."""
        return len(self._pending)

    def submit(self, command: Finish | Abandon) -> trio.Event:
        """Queues an outcome to be recorded.

        :returns: an event that is set once the outcome is recorded or dropped.
        """
        pending = _PendingCommand(command)
        if len(self._pending) >= _MAX_PENDING:
            logging.error(
                "Outcome of key %r not recorded: too many pending outcomes",
                command.key,
            )
            pending.done.set()
            return pending.done
        self._pending.add(pending)
        self._sender.send_nowait(pending)
        return pending.done

    async def run(self) -> None:
        """Sends outcomes until cancelled, then pending ones for up to 2 s more."""
        async with trio.open_nursery() as nursery:
            try:
                async for pending in self._receiver:
                    nursery.start_soon(self._send, pending)
            finally:
                self._flush(nursery)

    def _flush(self, nursery: trio.Nursery) -> None:
        limit = trio.current_time() + _SHUTDOWN_SECONDS
        for pending in self._pending:
            pending.scope.deadline = min(pending.scope.deadline, limit)
        while True:
            try:
                nursery.start_soon(self._send, self._receiver.receive_nowait())
            except trio.WouldBlock:
                return

    async def _send(self, pending: _PendingCommand) -> None:
        with pending.scope:
            while not await self._try_send(pending.command):
                pass
        if pending.scope.cancelled_caught:
            logging.error(
                "Outcome of key %r not recorded: no majority of the replicas",
                pending.command.key,
            )
        self._pending.discard(pending)
        pending.done.set()

    async def _try_send(self, command: Finish | Abandon) -> bool:
        try:
            if isinstance(command, Finish):
                await self._client.finish(command, _ATTEMPT_TIMEOUT_SECONDS)
            else:
                await self._client.abandon(command, _ATTEMPT_TIMEOUT_SECONDS)
        except NoQuorumError:
            return False
        return True


def create_recorder(client: ReplicationClient) -> ClaimRecorder:
    """Creates a recorder; its :meth:`ClaimRecorder.run` has to be running."""
    return ClaimRecorder(client, *trio.open_memory_channel(_MAX_PENDING))
