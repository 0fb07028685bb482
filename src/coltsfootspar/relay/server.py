"""HTTP server with one task per connection."""

import contextlib
import socket
from collections.abc import Callable, Iterator

import attrs
import trio
from absl import logging

from coltsfootspar.logs import log_decision
from coltsfootspar.memory import (
    ConnectionCount,
    MemoryAccount,
    MemoryLimits,
    create_memory_account,
)
from coltsfootspar.relay.ahead import AheadLimits, ReadAhead
from coltsfootspar.relay.connections import Connection, log_failure
from coltsfootspar.relay.exchanges import Exchange, Handler
from coltsfootspar.relay.sockets import accept, find_closed, listen
from coltsfootspar.relay.watching import InputWatcher, create_input_watcher
from coltsfootspar.routes import ClientLimits
from coltsfootspar.timers import compute_next_tick
from coltsfootspar.wire import Address

__all__ = ["RelayServer", "create_relay_server"]

# Interval of the checks for passed deadlines and disconnected callers. Two nodes in a
# row have to detect within half a second that a caller has disconnected.
CHECK_INTERVAL_SECONDS = 0.1
# Interval of the checks while no request is in progress; only idle connections and
# incomplete heads have time limits then.
IDLE_CHECK_INTERVAL_SECONDS = 0.5
_FINAL_RESPONSES_SECONDS = 0.1
# While others wait for the server, a response of which nothing is read for this time
# is broken off.
_UNREAD_SECONDS = 3.0


@attrs.define(eq=False)
class RelayServer:
    """Accepts connections and passes their requests to a handler.

    :param handler: sends the response to each request.
    :param limits: limits on requests and idle connections.
    :param exchanges: requests in progress.
    :param is_draining: true when connections close after the next response; new ones
        are still accepted.
    :param ahead_limits: bounds on requests that a caller sends before the earlier ones
        are answered; None serves the requests of a connection one after the other.
    :param watcher: notices such requests.
    :param connections_ahead: connections on which a request was sent ahead.
    :param account: memory held for the connections of the process.
    :param count: accepted connections of the process.
    :param is_for_peers: true when other nodes connect here.
    :param has_waiting: tells whether requests wait for the slots that responses hold.
    :param unread_seconds: longest time, while any wait, without progress in a response.
    """

    handler: Handler
    ahead_limits: AheadLimits | None = None
    limits: ClientLimits = attrs.field(factory=ClientLimits)
    exchanges: set[Exchange] = attrs.field(factory=set)
    is_draining: bool = False
    watcher: InputWatcher | None = None
    connections_ahead: int = 0
    _nursery: trio.Nursery | None = None
    account: MemoryAccount = attrs.field(factory=create_memory_account)
    count: ConnectionCount = attrs.field(
        factory=lambda: ConnectionCount(MemoryLimits().descriptors)
    )
    is_for_peers: bool = False
    has_waiting: Callable[[], bool] = lambda: False
    unread_seconds: float = _UNREAD_SECONDS
    _connections: set[Connection] = attrs.field(factory=set)
    _has_work: trio.Event = attrs.field(factory=trio.Event)

    async def serve(
        self,
        address: Address,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves an address until cancelled.

        :raises OSError: when the address cannot be bound.
        """
        listener = listen(address)
        with listener, self._open_watcher():
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._run_checks)
                if self.watcher is not None:
                    nursery.start_soon(self.watcher.run)
                task_status.started()
                while True:
                    try:
                        sock, host = await accept(listener)
                    except OSError as error:
                        logging.warning("Connection not accepted: %s", error)
                        await trio.sleep(CHECK_INTERVAL_SECONDS)
                        continue
                    if self.count.has_room(is_peer=self.is_for_peers):
                        nursery.start_soon(self._run_connection, sock, host)
                    else:
                        sock.close()

    @contextlib.contextmanager
    def _open_watcher(self) -> Iterator[None]:
        if self.ahead_limits is None:
            yield
            return
        with contextlib.closing(create_input_watcher()) as self.watcher:
            yield

    def start_reading_ahead(self, ahead: ReadAhead) -> None:
        """Starts the task that reads the further requests of a connection."""
        self.connections_ahead += 1
        self._nursery.start_soon(ahead.run)

    async def drain(self) -> None:
        """Closes idle connections and waits for the requests in progress.

        Further requests are still read, so the handler has to refuse them.
        """
        self.is_draining = True
        self.close_idle()
        await self._wait_until_answered(CHECK_INTERVAL_SECONDS)

    def cancel_incomplete(self) -> None:
        """Ends the requests that wait for their bodies and were sent to no server."""
        for exchange in self.exchanges:
            if not exchange.request.is_complete and not exchange.sent_to:
                exchange.cancel()

    async def expire_in_flight(self) -> None:
        """Ends the requests in progress as if their deadlines had passed.

        Responses that are being delivered may go on until the process ends.
        """
        for exchange in self.exchanges:
            if not exchange.has_answered:
                exchange.cancel()
        with trio.move_on_after(_FINAL_RESPONSES_SECONDS):
            await self._wait_until_answered(_FINAL_RESPONSES_SECONDS / 10)

    async def _wait_until_answered(self, period: float) -> None:
        # Polls: exchanges are many and short, and no event marks the end of the last.
        while self.exchanges or self._has_unread_input():  # noqa: ASYNC110
            await trio.sleep(period)

    def _has_unread_input(self) -> bool:
        return any(connection.has_unread_input for connection in self._connections)

    def close_idle(self) -> None:
        """Closes the connections on which no request has started."""
        for connection in self._connections:
            connection.close_idle()

    async def _run_connection(self, sock: socket.socket, host: str) -> None:
        connection = Connection(self, sock, host)
        self._connections.add(connection)
        self.count.add(connection)
        if self.watcher is not None:
            self.watcher.add(sock.fileno(), connection.notice_input)
        try:
            await connection.run()
        except Exception as error:
            # A fault in one request must not end the requests of other callers.
            log_failure(error)
        finally:
            self._connections.discard(connection)
            if self.watcher is not None:
                self.watcher.remove(sock.fileno())
            self.count.discard(connection)
            sock.close()

    def add_exchange(self, exchange: Exchange) -> None:
        """Adds a request in progress to the periodic checks."""
        self.exchanges.add(exchange)
        self._has_work.set()

    async def _wait_for_check(self) -> None:
        """Waits until the next periodic check.

        All servers of a process check at the same times, so that they wake it up
        together.
        """
        if not self.exchanges:
            self._has_work = trio.Event()
            tick = compute_next_tick(trio.current_time(), IDLE_CHECK_INTERVAL_SECONDS)
            with trio.move_on_at(tick) as scope:
                await self._has_work.wait()
            if scope.cancelled_caught:
                return
        tick = compute_next_tick(trio.current_time(), CHECK_INTERVAL_SECONDS)
        await trio.sleep_until(tick)

    async def _run_checks(self) -> None:
        while True:
            await self._wait_for_check()
            self._cancel_disconnected()
            now = trio.current_time()
            self._abort_unread(now)
            for exchange in self.exchanges:
                if now >= exchange.deadline:
                    exchange.cancel()
            for connection in self._connections:
                connection.enforce_read_timeouts(now)

    def _abort_unread(self, now: float) -> None:
        """Breaks off responses that keep others waiting and are not read."""
        latest = now - self.unread_seconds
        unread = [
            exchange for exchange in self.exchanges if exchange.unread_since <= latest
        ]
        if not unread or not self.has_waiting():
            return
        for exchange in unread:
            log_decision("response-unread", caller=exchange.caller_host)
            exchange.connection.abort()

    def _cancel_disconnected(self) -> None:
        """Cancels the exchanges whose callers have disconnected."""
        connections = {
            exchange.descriptor: exchange.connection for exchange in self.exchanges
        }
        for descriptor in find_closed(connections) if connections else ():
            connections[descriptor].abort()


def create_relay_server(
    handler: Handler,
    ahead_limits: AheadLimits | None = None,
    *,
    account: MemoryAccount | None = None,
    count: ConnectionCount | None = None,
    is_for_peers: bool = False,
) -> RelayServer:
    """Creates a server.

    :param handler: sends the response to each request.
    :param ahead_limits: bounds on requests that a caller sends before the earlier ones
        are answered; None serves the requests of a connection one after the other.
    :param account: memory held for the connections of the process.
    :param count: accepted connections of the process.
    :param is_for_peers: true when other nodes connect here.
    """
    return RelayServer(
        handler,
        ahead_limits,
        account=account or create_memory_account(),
        count=count or ConnectionCount(MemoryLimits().descriptors),
        is_for_peers=is_for_peers,
    )
