"""Connections of callers and the requests on them."""

import math
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import (
    MalformedRequestError,
    TooLargeError,
    TransferError,
)
from coltsfootspar.logs import log_decision
from coltsfootspar.memory import Holding, MemoryAccount
from coltsfootspar.relay.messages import (
    LAST_CHUNK,
    Headers,
    Request,
    RequestReader,
    Response,
    encode_chunk,
    encode_response,
)
from coltsfootspar.relay.sockets import peek, receive, send_all, wait_readable
from coltsfootspar.routes import ClientLimits

__all__ = ["Connection", "ConnectionOwner", "Exchange", "Handler"]

_DISCARD_TIMEOUT_SECONDS = 2.0
_MAX_DISCARDED_BYTES = 64 << 20
# Most bytes that are sent before the progress of the caller is noted.
_SEND_PIECE_BYTES = 32_768
# Memory of a header beside its bytes: objects, and entries of the two collections.
_HEADER_BYTES = 320
_CLOSE_HEADERS: Headers = [(b"Connection", b"close")]


class ConnectionOwner(Protocol):
    """Server that a connection belongs to.

    :param exchanges: requests in progress.
    :param is_draining: true when connections close after the next response.
    :param account: memory held for the connections of the process.
    """

    handler: "Handler"
    limits: ClientLimits
    account: MemoryAccount
    exchanges: set["Exchange"]
    is_draining: bool

    def add_exchange(self, exchange: "Exchange") -> None:
        """Adds a request in progress."""


@attrs.define(eq=False)
class Exchange:
    """A request on one connection and the response to it.

    :param request: the request; its body may be incomplete.
    :param is_cancelled: true once the caller has disconnected or the deadline has
        passed before the handler ended.
    :param has_answered: true once a response has been started.
    :param has_disconnected: true once the caller has closed the connection.
    :param deadline: trio clock, seconds.
    :param on_deadline: sends the response when the deadline ends the handler.
    :param sent_to: ids of the nodes and backend servers that the request was sent to.
    :param cancel_reason: error code of a refusal after :meth:`cancel`.
    """

    request: Request
    _connection: "Connection"
    is_cancelled: bool = False
    has_answered: bool = False
    has_disconnected: bool = False
    deadline: float = math.inf
    on_deadline: Callable[[], Awaitable[None]] | None = None
    sent_to: set[str] = attrs.field(factory=set)
    cancel_reason: str = "stopping"

    @property
    def caller_host(self) -> str:
        """IP address of the caller."""
        return self._connection.caller_host

    async def buffer_body(self, limit: int) -> None:
        """Reads the body until it is complete or longer than a limit.

        :param limit: bytes.
        :raises TransferError: when the caller disconnects.
        :raises TooLargeError: when the body exceeds the limit for clients.
        """
        request, connection = self.request, self._connection
        if not request.is_complete:
            connection.holding.charge(request.received_bytes + estimate_head(request))
        while not request.is_complete and request.received_bytes <= limit:
            if request.received_bytes:
                await trio.lowlevel.checkpoint()
            await connection.holding.wait_for_room()
            known_bytes = request.received_bytes
            await connection.read_more(request)
            connection.holding.charge(request.received_bytes - known_bytes)
        if self.is_cancelled:
            # The body was dropped to free memory; it must not go on in part.
            await trio.lowlevel.checkpoint()
        connection.holding.is_settled = request.is_complete

    async def read_body(self) -> bytes:
        """Reads the next piece of the body; empty at its end.

        :raises TransferError: when the caller disconnects.
        :raises TooLargeError: when the body exceeds the limit for clients.
        """
        request, holding = self.request, self._connection.holding
        await trio.lowlevel.checkpoint()
        # The previous piece has been sent.
        holding.release()
        while not request.body_parts and not request.is_complete:
            await self._connection.read_more(request)
        body = request.take_body()
        holding.charge(len(body))
        return body

    async def answer(
        self, status: int, headers: Headers, body: bytes, reason: bytes = b""
    ) -> None:
        """Sends a complete response.

        :raises TransferError: when the caller has disconnected.
        """
        self.has_answered = True
        if not self._keeps_connection():
            headers = headers + _CLOSE_HEADERS
        data = encode_response(status, headers, body, reason)
        connection = self._connection
        was_broken, connection.is_broken = connection.is_broken, True
        await connection.send(data)
        connection.is_broken = was_broken

    async def stream_response(
        self,
        response: Response,
        headers: Headers,
        read: Callable[[], Awaitable[bytes]],
    ) -> None:
        """Sends a response and streams its body.

        :param read: returns the next piece of the body; empty at its end.
        :raises TransferError: when either connection ends early; the caller can then
            detect that the response is incomplete.
        """
        self.has_answered = True
        length = response.content_length
        if length is not None:
            headers = [*headers, (b"Content-Length", b"%d" % length)]
        else:
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        if not self._keeps_connection():
            headers += _CLOSE_HEADERS
        connection = self._connection
        connection.is_broken = True
        head = encode_response(response.status, headers, None, response.reason)
        await send_all(connection.sock, head)
        while data := await read():
            await connection.send(data if length else encode_chunk(data))
        if length is None:
            await send_all(connection.sock, LAST_CHUNK)
        connection.is_broken = False

    def _keeps_connection(self) -> bool:
        request, server = self.request, self._connection.server
        if server.is_draining or not request.keeps_connection:
            self._connection.is_last_request = True
            return False
        return True

    def set_deadline(
        self,
        deadline: float,
        on_deadline: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Cancels the handler soon after a deadline, until :meth:`clear_deadline`.

        The periodic checks of the server cost less than deadlines of cancel scopes.

        :param deadline: trio clock, seconds.
        :param on_deadline: sends the response in place of the handler; None closes the
            connection instead.
        """
        self.on_deadline = on_deadline
        self.deadline = deadline

    def clear_deadline(self) -> None:
        """Removes the deadline, so that the handler may finish."""
        self.deadline = math.inf

    @property
    def descriptor(self) -> int:
        """File descriptor of the connection."""
        return self._connection.sock.fileno()

    def cancel(self) -> None:
        """Cancels the handler."""
        self.is_cancelled = True
        self._connection.cancel_scope.cancel()

    def cancel_if_disconnected(self) -> None:
        """Cancels the exchange if the caller has closed the connection."""
        if peek(self._connection.sock) == b"":
            self.has_disconnected = True
            self.cancel()

    @property
    def needs_late_response(self) -> bool:
        """True when a deadline ended the handler before it sent a response."""
        is_caller_waiting = not self.has_disconnected and not self.has_answered
        return is_caller_waiting and self.on_deadline is not None


Handler = Callable[[Exchange], Awaitable[None]]


def estimate_head(request: Request) -> int:
    """Returns about the memory that the head of a request takes, bytes."""
    return len(request.headers) * _HEADER_BYTES


@attrs.define(eq=False)
class Connection:
    """An accepted connection.

    :param is_last_request: true when the connection closes after the response.
    :param is_broken: true when the connection serves no further request.
    :param is_idle: true while no byte of a request has been received.
    :param waiting_since: start of the idle time or of the incomplete head, trio
        clock, seconds.
    :param cancel_scope: surrounds all requests until one is cancelled, since a scope
        for each request is dear.
    """

    server: ConnectionOwner
    sock: socket.socket
    caller_host: str
    reader: RequestReader = attrs.field(factory=RequestReader)
    is_last_request: bool = False
    is_broken: bool = False
    is_idle: bool = True
    waiting_since: float = attrs.field(factory=trio.current_time)
    is_reading_head: bool = False
    is_head_timed_out: bool = False
    cancel_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    holding: Holding = attrs.field(init=False)
    _exchange: Exchange | None = None

    def __attrs_post_init__(self) -> None:
        self.holding = self.server.account.open(self._evict)

    async def run(self) -> None:
        """Serves requests until either side closes the connection."""
        try:
            while not self.is_last_request and not self.is_broken:
                self.cancel_scope = trio.CancelScope()
                with self.cancel_scope:
                    await self._serve_requests()
                if self._exchange is not None:
                    await self._finish_cancelled(self._exchange)
        finally:
            if self._exchange is not None:
                self._remove_exchange(self._exchange)
            self.holding.release()
        if self.is_head_timed_out:
            await self._reject(408)

    def enforce_read_timeouts(self, now: float) -> None:
        """Closes a connection that is idle or receives a head for too long.

        :param now: trio clock, seconds.
        """
        limits = self.server.limits
        if self.is_idle:
            if now - self.waiting_since > limits.idle_seconds:
                self.close_idle()
        elif self.is_reading_head and now - self.waiting_since > limits.header_seconds:
            self.is_head_timed_out = True
            self._end()

    def close_idle(self) -> bool:
        """Closes the connection unless a request has started or is waiting unread.

        :returns: true when it is being closed.
        """
        if self.is_broken or not self.is_idle or peek(self.sock) is not None:
            return False
        self._end()
        return True

    @property
    def has_unread_input(self) -> bool:
        """True when a request has arrived that its task has not begun to read."""
        return self.is_idle and bool(peek(self.sock))

    def _end(self) -> None:
        self.is_broken = True
        self.cancel_scope.cancel()

    def _evict(self) -> None:
        """Drops what is held, and refuses the request or closes the connection."""
        exchange = self._exchange
        if exchange is None:
            self._end()
            return
        log_decision("evicted", caller=self.caller_host)
        exchange.request.body_parts.clear()
        exchange.cancel_reason = "no-memory"
        exchange.cancel()

    async def send(self, data: bytes) -> None:
        """Sends a part of a response; a large one is held until it has been sent.

        :raises TransferError: when the caller has disconnected.
        """
        if len(data) <= _SEND_PIECE_BYTES:
            await send_all(self.sock, data)
            return
        holding = self.holding
        holding.is_settled = False
        holding.restart(trio.current_time())
        holding.charge(len(data))
        rest = memoryview(data)
        while rest:
            await send_all(self.sock, rest[:_SEND_PIECE_BYTES])
            holding.record_progress(_SEND_PIECE_BYTES, trio.current_time())
            rest = rest[_SEND_PIECE_BYTES:]
        holding.discharge(len(data))

    async def read_more(self, request: Request) -> None:
        """Reads more of the body of a request.

        :raises TransferError: when the caller disconnects.
        :raises TooLargeError: when the body exceeds the limit for clients.
        """
        data = await receive(self.sock)
        if not data:
            self.is_broken = True
            raise TransferError(
                "the caller disconnected", may_have_run=True, code="left"
            )
        try:
            self.reader.feed(data)
        except MalformedRequestError:
            self.is_broken = True
            raise
        if request.received_bytes > self.server.limits.body_bytes:
            self.is_broken = True
            raise TooLargeError("the request body exceeds the limit")

    async def _read_request(self) -> Request | None:
        messages = self.reader.messages
        self.is_idle, self.is_reading_head = not messages, True
        self.waiting_since = trio.current_time()
        try:
            if self.is_idle:
                await wait_readable(self.sock)
            while not messages:
                if not await self._read_input():
                    return None
            if not messages[0].has_head:
                self.is_idle, self.waiting_since = False, trio.current_time()
                while not messages[0].has_head:
                    if not await self._read_input():
                        return None
                self.holding.release()
            self.is_idle = self.is_reading_head = False
        except MalformedRequestError as error:
            logging.info("Connection closed: %s", error)
            await self._reject(400)
            return None
        except TooLargeError:
            await self._reject(431)
            return None
        request = messages.popleft()
        request.arrived_at = trio.current_time()
        return request

    async def _read_input(self) -> bool:
        data = await receive(self.sock)
        if not data:
            return False
        self.reader.feed(data)
        if self.reader.head_bytes > self.server.limits.header_bytes:
            raise TooLargeError("the request head exceeds the limit")
        if self.reader.head_bytes:
            self.holding.release()
            self.holding.charge(estimate_head(self.reader.messages[-1]))
        return True

    async def _reject(self, status: int) -> None:
        await send_all(self.sock, encode_response(status, _CLOSE_HEADERS, b""))
        await self._discard_input()

    async def _serve_requests(self) -> None:
        """Serves requests until the connection ends or one of them is cancelled."""
        while not self.is_last_request and not self.is_broken:
            request = await self._read_request()
            if request is None:
                self.is_broken = True
                return
            exchange = await self._serve(request)
            if exchange.is_cancelled:
                # The handler ended first. The cancellation must not reach the next
                # request.
                return

    async def _serve(self, request: Request) -> Exchange:
        exchange = self._exchange = Exchange(request, self)
        self.server.add_exchange(exchange)
        if request.find(b"expect") is not None and not request.is_complete:
            await send_all(self.sock, b"HTTP/1.1 100 Continue\r\n\r\n")
        await self.server.handler(exchange)
        await self._finish(exchange)
        return exchange

    async def _finish_cancelled(self, exchange: Exchange) -> None:
        if exchange.needs_late_response:
            await exchange.on_deadline()
        await self._finish(exchange)

    async def _finish(self, exchange: Exchange) -> None:
        self._remove_exchange(exchange)
        request = exchange.request
        if not exchange.has_answered:
            self.is_broken = True
        elif not request.is_complete and not self.is_broken:
            await self._discard_body(request)

    def _remove_exchange(self, exchange: Exchange) -> None:
        self._exchange = None
        self.holding.release()
        self.server.exchanges.discard(exchange)
        # It refers to the exchange, which would stay as cyclic garbage.
        exchange.on_deadline = None

    async def _discard_body(self, request: Request) -> None:
        """Reads and discards the rest of a request body.

        Closing a connection with unread data resets it, and the response could be
        lost.
        """
        self.is_broken = True
        with trio.move_on_after(_DISCARD_TIMEOUT_SECONDS):
            while (
                not request.is_complete
                and request.received_bytes < _MAX_DISCARDED_BYTES
            ):
                await trio.lowlevel.checkpoint()
                await self.read_more(request)
                request.take_body()
            self.is_broken = not request.is_complete

    async def _discard_input(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)
        with trio.move_on_after(_DISCARD_TIMEOUT_SECONDS):
            while await receive(self.sock):
                await trio.lowlevel.checkpoint()
