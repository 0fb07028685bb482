"""Requests that a caller sends before the earlier ones have been answered."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import trio
from absl import logging

if TYPE_CHECKING:
    from coltsfootspar.relay.connections import Connection

__all__ = ["AheadLimits", "HeldAnswer", "ReadAhead", "Turn"]


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
class Turn:
    """Turn of a request to be answered, behind those before it on the connection.

    :param has_come: set once the requests before it are answered.
    :param answer: response that waits for the turn.
    :param answer_bytes: size of the body of the response, as far as it is held.
    """

    has_come: trio.Event = attrs.field(factory=trio.Event)
    answer: HeldAnswer | None = None
    answer_bytes: int = 0


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

    async def end(self) -> None:
        """Cancels all tasks and waits until none uses the socket."""
        self.cancel()
        with trio.CancelScope(shield=True):
            await self.has_ended.wait()

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
        while await self._wait_until(self._may_read):
            request = await connection.read_next()
            # Answers may have been made while it waited for input.
            if request is None or not await self._wait_until(self._may_start):
                return
            exchange = connection.begin(request, trio.CancelScope())
            nursery.start_soon(connection.serve_ahead, exchange)
            if not request.keeps_connection:
                return

    async def _wait_until(self, is_possible: Callable[[], bool]) -> bool:
        """Waits for a condition that depends on the requests in progress.

        :returns: false when no request may be started any more, since the connection
            is about to end.
        """
        connection = self._connection
        while not connection.is_last_request:
            # The last of the requests that have started closes the connection.
            if connection.server.is_draining and connection.exchanges:
                return False
            if is_possible():
                return True
            await self._progress.wait()
        return False

    def _may_read(self) -> bool:
        connection = self._connection
        has_place = len(connection.exchanges) < self._limits.requests
        return has_place and connection.has_read_body and not connection.is_full

    def _may_start(self) -> bool:
        return not self._connection.is_full
