"""Requests that a caller sends before the earlier ones have been answered."""

from typing import TYPE_CHECKING

import attrs
import trio
from absl import logging

if TYPE_CHECKING:
    from coltsfootspar.relay.connections import Connection

__all__ = ["AheadLimits", "HeldAnswer", "ReadAhead"]


@attrs.frozen
class AheadLimits:
    """Bounds on what one connection holds; beyond them it is not read further.

    :param requests: requests that have started and are not yet answered.
    :param held_bytes: bodies of these requests, and answers that wait for the answers
        before them.
    """

    requests: int = 16
    held_bytes: int = 262_144


@attrs.frozen
class HeldAnswer:
    """A complete response that waits for the responses before it."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    reason: bytes


@attrs.define(eq=False)
class ReadAhead:
    """Reads the further requests of a connection while others are in progress.

    It takes over the reading from the task of the connection when a caller first
    sends a request ahead, and keeps it until the connection ends. Each request then
    runs in a task of its own.

    :param has_ended: set once all requests are answered and no other is read.
    """

    _connection: "Connection"
    _limits: AheadLimits
    has_ended: trio.Event = attrs.field(factory=trio.Event)
    _tasks_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    _progress: trio.Event = attrs.field(factory=trio.Event)

    async def run(self) -> None:
        """Reads and serves requests until the connection ends."""
        try:
            with self._tasks_scope:
                async with trio.open_nursery() as nursery:
                    await self._read_requests(nursery)
        except Exception:
            # A fault on one connection must not end the others.
            logging.exception("Reading ahead failed")
            self._connection.abort()
        finally:
            self.has_ended.set()

    def cancel(self) -> None:
        """Ends the reading and the requests that it has started."""
        self._tasks_scope.cancel()

    def notify(self) -> None:
        """Tells that a request was answered or that its body has been read."""
        self._progress.set()
        self._progress = trio.Event()

    async def wait_until_answered(self) -> None:
        """Waits until all requests that were read are answered."""
        while self._connection.exchanges:
            await self._progress.wait()

    async def _read_requests(self, nursery: trio.Nursery) -> None:
        connection = self._connection
        while await self._wait_for_room():
            request = await connection.read_next()
            if request is None:
                return
            exchange = connection.begin(request, trio.CancelScope())
            nursery.start_soon(connection.serve_ahead, exchange)
            if not request.keeps_connection:
                return

    async def _wait_for_room(self) -> bool:
        """Waits until the next request may be read.

        :returns: false when none may be read, since the connection is about to end.
        """
        connection = self._connection
        while not connection.is_last_request:
            # Answers only to the requests that have been read: the last one closes
            # the connection.
            if connection.server.is_draining and connection.exchanges:
                return False
            if self._has_room():
                return True
            await self._progress.wait()
        return False

    def _has_room(self) -> bool:
        connection = self._connection
        return (
            connection.has_read_body
            and len(connection.exchanges) < self._limits.requests
            and connection.held_bytes < self._limits.held_bytes
        )
