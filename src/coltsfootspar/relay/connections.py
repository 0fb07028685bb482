"""Connections of callers and the requests on them."""

import collections
import contextlib
import functools
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
from coltsfootspar.relay.ahead import AheadLimits, HeldAnswer, ReadAhead, Turn
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
from coltsfootspar.relay.watching import InputWatcher
from coltsfootspar.routes import ClientLimits

__all__ = ["Connection", "ConnectionOwner", "Exchange", "Handler", "log_failure"]

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
    :param ahead_limits: bounds on requests sent ahead; None serves the requests of a
        connection one after the other.
    :param watcher: notices requests sent ahead; None without limits for them.
    :param account: memory held for the connections of the process.
    """

    handler: "Handler"
    limits: ClientLimits
    account: MemoryAccount
    exchanges: set["Exchange"]
    is_draining: bool
    ahead_limits: AheadLimits | None
    watcher: InputWatcher | None

    def add_exchange(self, exchange: "Exchange") -> None:
        """Adds a request in progress."""

    def start_reading_ahead(self, ahead: ReadAhead) -> None:
        """Starts the task that reads the further requests of a connection."""


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
    :param turn: its turn to be answered; None when no request was before it on the
        connection.
    :param cancel_reason: error code of a refusal after :meth:`cancel`.
    :param cancel_scope: surrounds the handler.
    :param holding: memory held for this request and its response.
    """

    request: Request
    _connection: "Connection"
    is_cancelled: bool = False
    has_answered: bool = False
    has_disconnected: bool = False
    deadline: float = math.inf
    on_deadline: Callable[[], Awaitable[None]] | None = None
    sent_to: set[str] = attrs.field(factory=set)
    turn: Turn | None = None
    cancel_reason: str = "stopping"
    cancel_scope: trio.CancelScope = attrs.field(
        default=attrs.Factory(
            lambda self: self._connection.cancel_scope, takes_self=True
        )
    )
    holding: Holding = attrs.field(
        default=attrs.Factory(lambda self: self._connection.holding, takes_self=True)
    )

    @property
    def connection(self) -> "Connection":
        """Connection on which the request arrived."""
        return self._connection

    @property
    def is_behind(self) -> bool:
        """True while an earlier request on the connection is not answered."""
        return self.turn is not None and not self.turn.has_come.is_set()

    @property
    def held_bytes(self) -> int:
        """Size of the body received and of the answer that waits for its turn."""
        answer_bytes = self.turn.answer_bytes if self.turn is not None else 0
        return self.request.received_bytes + answer_bytes

    async def wait_for_turn(self) -> None:
        """Waits until the earlier requests on the connection are answered.

        A request that must not run twice may start only then: if the connection
        ended before, its caller would send it again.
        """
        if self.turn is not None:
            await self.turn.has_come.wait()

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
        request, holding = self.request, self.holding
        if not request.is_complete:
            holding.is_settled = False
            if not holding.held_bytes:
                holding.charge(request.received_bytes + estimate_head(request))
        while not request.is_complete and request.received_bytes <= limit:
            if self.turn is not None:
                await self._wait_for_room()
            if request.received_bytes:
                await trio.lowlevel.checkpoint()
            await holding.wait_for_room()
            known_bytes = request.received_bytes
            await self._connection.read_more(request)
            holding.charge(request.received_bytes - known_bytes)
        if self.is_cancelled:
            # The body was dropped to free memory; it must not go on in part.
            await trio.lowlevel.checkpoint()
        holding.is_settled = request.is_complete

    async def read_body(self) -> bytes:
        """Reads the next piece of the body; empty at its end.

        :raises TransferError: when the caller disconnects.
        :raises TooLargeError: when the body exceeds the limit for clients.
        """
        request, holding = self.request, self.holding
        await trio.lowlevel.checkpoint()
        # The previous piece has been sent.
        holding.release()
        while not request.body_parts and not request.is_complete:
            if self.turn is not None:
                await self._wait_for_room()
            await self._connection.read_more(request)
        body = request.take_body()
        holding.charge(len(body))
        return body

    async def _wait_for_room(self) -> None:
        if self._connection.is_full:
            await self.wait_for_turn()

    async def answer(
        self, status: int, headers: Headers, body: bytes, reason: bytes = b""
    ) -> None:
        """Sends a complete response, or keeps it until its turn.

        :raises TransferError: when the caller has disconnected.
        """
        self.has_answered = True
        if self.turn is not None and self.is_behind:
            self.turn.answer = HeldAnswer(status, headers, body, reason)
            self._set_kept_bytes(len(body))
            return
        if not self._keeps_connection():
            headers = headers + _CLOSE_HEADERS
        data = encode_response(status, headers, body, reason)
        connection = self._connection
        was_broken, connection.is_broken = connection.is_broken, True
        await self._send(data)
        connection.is_broken = was_broken

    async def deliver(self) -> None:
        """Sends the response that was kept, in its turn.

        :raises TransferError: when the caller has disconnected.
        """
        await self.wait_for_turn()
        held, self.turn.answer = self.turn.answer, None
        if held is not None:
            self._set_kept_bytes(0)
            await self.answer(held.status, held.headers, held.body, held.reason)

    async def stream_response(
        self,
        response: Response,
        headers: Headers,
        read: Callable[[], Awaitable[bytes]],
    ) -> None:
        """Sends a response and streams its body.

        Before its turn, the body is read as far as the connection may hold it; a whole
        one is then kept as a complete response.

        :param read: returns the next piece of the body; empty at its end.
        :raises TransferError: when either connection ends early; the caller can then
            detect that the response is incomplete.
        """
        start = b""
        if self.is_behind:
            start, is_complete = await self._read_until_turn(read)
            if is_complete:
                await self.answer(response.status, headers, start, response.reason)
                return
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
        while data := start or await read():
            start = b""
            await self._send(data if length else encode_chunk(data))
        if length is None:
            await send_all(connection.sock, LAST_CHUNK)
        connection.is_broken = False

    async def _read_until_turn(
        self, read: Callable[[], Awaitable[bytes]]
    ) -> tuple[bytes, bool]:
        """Reads the beginning of a body before the response may be sent.

        :returns: what was read, and whether this is the whole body.
        """
        start = bytearray()
        while self.is_behind and not self._connection.is_full:
            data = await read()
            if not data:
                return bytes(start), True
            start += data
            self._set_kept_bytes(len(start))
        await self.wait_for_turn()
        self._set_kept_bytes(0)
        return bytes(start), False

    def _set_kept_bytes(self, size: int) -> None:
        """Counts the part of the answer that waits for its turn.

        It waits for this process, so it gives way only when nothing else can. Its
        request has run and cannot be refused, so the connection ends.
        """
        turn, holding = self.turn, self.holding
        added_bytes, turn.answer_bytes = size - turn.answer_bytes, size
        if added_bytes <= 0:
            holding.discharge(-added_bytes)
            return
        holding.is_settled = True
        holding.charge(added_bytes)
        if self._connection.server.account.is_full:
            log_decision("evicted", caller=self.caller_host)
            self._connection.abort()

    async def _send(self, data: bytes) -> None:
        """Sends a part of a response; a large one is held until it has been sent.

        :raises TransferError: when the caller has disconnected.
        """
        sock = self._connection.sock
        if len(data) <= _SEND_PIECE_BYTES:
            await send_all(sock, data)
            return
        holding = self.holding
        holding.is_settled = False
        holding.restart(trio.current_time())
        holding.charge(len(data))
        rest = memoryview(data)
        while rest:
            await send_all(sock, rest[:_SEND_PIECE_BYTES])
            holding.record_progress(_SEND_PIECE_BYTES, trio.current_time())
            rest = rest[_SEND_PIECE_BYTES:]
        holding.discharge(len(data))

    def _keeps_connection(self) -> bool:
        """Decides whether the connection stays open after this response.

        Requests behind this one may have been passed on, and have to be answered
        first.
        """
        request, connection = self.request, self._connection
        is_closing = connection.server.is_draining or connection.is_last_request
        if not is_closing and request.keeps_connection:
            return True
        if connection.has_request_behind(self):
            return True
        connection.end_reading()
        return False

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
        self.cancel_scope.cancel()

    def evict(self) -> None:
        """Drops what is held, and refuses the request.

        After the beginning of a response, the connection ends instead, with all
        requests on it.
        """
        log_decision("evicted", caller=self.caller_host)
        self.request.body_parts.clear()
        if self.has_answered:
            self._connection.abort()
            return
        self.cancel_reason = "no-memory"
        self.cancel()

    @property
    def needs_late_response(self) -> bool:
        """True when a deadline ended the handler before it sent a response."""
        is_caller_waiting = not self.has_disconnected and not self.has_answered
        has_response = self.is_cancelled and self.on_deadline is not None
        return is_caller_waiting and has_response


Handler = Callable[[Exchange], Awaitable[None]]


def estimate_head(request: Request) -> int:
    """Returns about the memory that the head of a request takes, bytes."""
    return len(request.headers) * _HEADER_BYTES


@attrs.define(eq=False)
class Connection:
    """An accepted connection.

    :param is_last_request: true when the connection closes after the response.
    :param is_broken: true when the connection serves no further request.
    :param is_idle: true while no byte of a further request has been received.
    :param waiting_since: start of the idle time or of the incomplete head, trio
        clock, seconds.
    :param cancel_scope: surrounds all requests until one is cancelled, since a scope
        for each request is dear; once requests are read ahead, only the reading.
    :param exchanges: requests that are not answered yet, in the order of arrival.
    :param holding: memory held for the request that the task of the connection serves.
        A request that is read ahead has its own.
    :param input_holding: memory held for input of which no request has been taken.
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
    exchanges: collections.deque[Exchange] = attrs.field(factory=collections.deque)
    holding: Holding = attrs.field(init=False)
    input_holding: Holding = attrs.field(init=False)
    _last_request: Request | None = None
    _exchange: Exchange | None = None
    _ahead: ReadAhead | None = None

    def __attrs_post_init__(self) -> None:
        account = self.server.account
        self.holding = account.open(self._evict_request)
        self.input_holding = account.open(self._evict_input)

    async def run(self) -> None:
        """Serves requests until either side closes the connection."""
        try:
            while not self.is_last_request and not self.is_broken:
                await self._serve_until_cancelled()
                if self._ahead is not None:
                    await self._ahead.has_ended.wait()
                    break
        finally:
            if self._ahead is not None:
                await self._ahead.end()
            for exchange in list(self.exchanges):
                self._remove_exchange(exchange)
            self.holding.close()
            self.input_holding.close()
        self.is_idle = self.is_reading_head = False
        await self._prepare_close()

    async def _serve_until_cancelled(self) -> None:
        """Serves requests until the connection ends, or one is cancelled or fails."""
        self.cancel_scope = trio.CancelScope()
        try:
            with self.cancel_scope:
                await self._serve_requests()
        except Exception as error:
            if self._ahead is None:
                raise
            # The requests behind this one are still to be answered.
            log_failure(error)
            if self._exchange is None:
                self.abort()
        if self._exchange is not None:
            await self._finish_cancelled(self._exchange)

    async def _prepare_close(self) -> None:
        """Sends a refusal that is due, and reads what would reset the connection."""
        if self.is_last_request:
            await self._discard_requests_behind()
        elif self.is_head_timed_out:
            await self._reject(408)
        elif self._ahead is not None and not self.is_broken:
            # At a stop, the last response may have begun before and announce no close.
            await self._discard_requests_behind()

    def enforce_read_timeouts(self, now: float) -> None:
        """Closes a connection that is idle or receives a head for too long.

        :param now: trio clock, seconds.
        """
        limits = self.server.limits
        if self.is_idle:
            if not self.exchanges and now - self.waiting_since > limits.idle_seconds:
                self.close_idle()
        elif self.is_reading_head and now - self.waiting_since > limits.header_seconds:
            self.is_head_timed_out = True
            self._end()

    def close_idle(self) -> bool:
        """Closes the connection unless a request has started or is waiting unread.

        :returns: true when it is being closed.
        """
        is_ending = self.is_broken or self.cancel_scope.cancel_called
        if is_ending or not self.is_idle or self.exchanges:
            return False
        if peek(self.sock) is not None:
            return False
        self._end()
        return True

    @property
    def has_unread_input(self) -> bool:
        """True when a request has arrived that its task has not begun to read."""
        return self.is_idle and bool(peek(self.sock))

    @property
    def held_bytes(self) -> int:
        """Bytes held for requests that are not answered: bodies and kept answers."""
        return sum(exchange.held_bytes for exchange in self.exchanges)

    @property
    def is_full(self) -> bool:
        """True when the connection holds as many bytes as it may.

        While the process holds much, that is none beside the requests in progress.
        """
        limits = self.server.ahead_limits
        if limits is None:
            return False
        is_crowded = self.server.account.is_crowded and bool(self.exchanges)
        return is_crowded or self.held_bytes >= limits.held_bytes

    @property
    def has_read_body(self) -> bool:
        """True when the last request has been read to its end."""
        return self._last_request is None or self._last_request.is_complete

    def has_request_behind(self, exchange: Exchange) -> bool:
        """Tells whether a later request has been started."""
        return bool(self.exchanges) and self.exchanges[-1] is not exchange

    def end_reading(self) -> None:
        """Reads no further request: the present response closes the connection."""
        self.is_last_request = True
        if self._ahead is not None:
            self.cancel_scope.cancel()

    def abort(self) -> None:
        """Ends all requests without a response."""
        self.is_broken = True
        for exchange in self.exchanges:
            exchange.has_disconnected = True
            exchange.cancel()
        if self._ahead is not None:
            self._ahead.cancel()

    def _end(self) -> None:
        if self._ahead is None:
            self.is_broken = True
        self.cancel_scope.cancel()

    def notice_input(self) -> None:
        """Starts to read ahead when a further request has arrived."""
        exchange = self.exchanges[0] if self.exchanges else None
        if exchange is None or self._ahead is not None:
            return
        if self.has_read_body and peek(self.sock):
            self._start_reading_ahead()

    def _watch_input(self) -> None:
        """Notices the next request while the present one is in progress."""
        request = self._last_request
        if not request.keeps_connection or self.server.is_draining:
            return
        if self.reader.has_input:
            self._start_reading_ahead()
        else:
            self.server.watcher.arm(self.sock.fileno())

    def _start_reading_ahead(self) -> None:
        self.cancel_scope = trio.CancelScope()
        self._ahead = ReadAhead(self, self.server.ahead_limits)
        self.server.start_reading_ahead(self._ahead)

    async def read_next(self) -> Request | None:
        """Reads the next request while others may be in progress.

        :returns: None when no further request is served.
        """
        messages = self.reader.messages
        if messages and messages[0].has_head:
            return await self._read_request()
        self.cancel_scope = trio.CancelScope()
        request = None
        with self.cancel_scope:
            try:
                request = await self._read_request()
            except TransferError as error:
                logging.debug("Reading ended: %s", error)
        self.is_idle = self.is_reading_head = False
        return None if self.is_last_request else request

    def _evict_request(self) -> None:
        if self._exchange is not None:
            self._exchange.evict()

    def _evict_input(self) -> None:
        """Drops the input; the last request in progress closes the connection.

        Requests behind a closing response count as not read. When no request is in
        progress, the first one is served if it is whole.
        """
        if self.exchanges and not self.exchanges[-1].request.is_complete:
            # The input belongs to the body of the last request.
            self.exchanges[-1].evict()
            return
        log_decision("evicted", caller=self.caller_host)
        is_unused = not self.exchanges and self._ahead is None
        self.reader.drop_input(keeps_first=is_unused)
        self.end_reading()
        if not self.exchanges and not self.reader.messages:
            self._end()

    def _charge_input(self) -> None:
        """Counts the input of which no request has been taken."""
        reader, holding = self.reader, self.input_holding
        size = reader.unparsed_bytes
        for request in reader.messages:
            size += estimate_head(request) + request.received_bytes
        if size > holding.held_bytes:
            holding.charge(size - holding.held_bytes)
        else:
            holding.discharge(holding.held_bytes - size)

    async def read_more(self, request: Request) -> None:
        """Reads more of the body of a request.

        :raises TransferError: when the caller disconnects.
        :raises TooLargeError: when the body exceeds the limit for clients.
        """
        reader = self.reader
        data = b"" if reader.unparsed else await receive(self.sock)
        if not data and not reader.unparsed:
            self._end_after_answers()
            raise TransferError(
                "the caller disconnected", may_have_run=True, code="left"
            )
        try:
            reader.add_input(data)
        except MalformedRequestError:
            self._end_after_answers()
            raise
        if reader.has_input or self.input_holding.held_bytes:
            self._charge_input()
        if request.is_complete:
            self._note_body_end()
        if request.received_bytes > self.server.limits.body_bytes:
            self._end_after_answers()
            raise TooLargeError("the request body exceeds the limit")

    def _end_after_answers(self) -> None:
        """Serves no request behind the last one, whose body cannot be read."""
        if len(self.exchanges) > 1:
            # The requests before it are answered first. Its body stays incomplete, so
            # that nothing behind it is read.
            return
        self.is_broken = True

    def _note_body_end(self) -> None:
        if self._ahead is not None:
            self._ahead.notify()
        elif self.server.watcher is not None and self.exchanges:
            self._watch_input()

    async def _read_request(self) -> Request | None:
        messages = self.reader.messages
        self.is_idle, self.is_reading_head = not self.reader.has_input, True
        self.waiting_since = trio.current_time()
        try:
            if self.is_idle:
                await wait_readable(self.sock)
            while not messages:
                if not await self._read_input():
                    return None
            if not messages[0].has_head:
                self.is_idle, self.waiting_since = False, trio.current_time()
                while not messages or not messages[0].has_head:
                    if not await self._read_input():
                        return None
            self.is_idle = self.is_reading_head = False
        except MalformedRequestError as error:
            logging.info("Connection closed: %s", error)
            await self._reject(400)
            return None
        except TooLargeError:
            await self._reject(431)
            return None
        request = self._last_request = messages.popleft()
        if self.input_holding.held_bytes:
            self._charge_input()
        request.arrived_at = trio.current_time()
        self.is_head_timed_out = False
        return request

    async def _read_input(self) -> bool:
        reader = self.reader
        if reader.error is not None:
            raise reader.error
        data = b"" if reader.unparsed else await receive(self.sock)
        if not data and not reader.unparsed:
            return False
        reader.add_input(data)
        is_too_long = reader.head_bytes > self.server.limits.header_bytes
        if is_too_long and not (reader.messages and reader.messages[0].has_head):
            raise TooLargeError("the request head exceeds the limit")
        if reader.head_bytes or reader.unparsed or len(reader.messages) > 1:
            self._charge_input()
        # An eviction may have dropped the input.
        return not self.is_last_request or bool(reader.messages)

    async def _reject(self, status: int) -> None:
        self.is_reading_head = False
        if self._ahead is not None:
            await self._ahead.wait_until_answered()
            if self.is_broken:
                # A response broke off: the caller would take the refusal for its rest.
                return
        self.is_broken = True
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
            if exchange.is_cancelled or self._ahead is not None:
                # The handler ended first. The cancellation must not reach the next
                # request.
                return

    def begin(self, request: Request, cancel_scope: trio.CancelScope) -> Exchange:
        """Adds a request to those in progress."""
        exchange = Exchange(request, self, cancel_scope=cancel_scope)
        if self.exchanges:
            exchange.turn = Turn()
        self.exchanges.append(exchange)
        self.server.add_exchange(exchange)
        if self._ahead is not None:
            self._charge_ahead(exchange)
        return exchange

    def _charge_ahead(self, exchange: Exchange) -> None:
        """Counts a request that was read ahead, apart from the others."""
        request = exchange.request
        holding = exchange.holding = self.server.account.open(exchange.evict)
        holding.is_settled = True
        holding.charge(request.received_bytes + estimate_head(request))

    async def _serve(self, request: Request) -> Exchange:
        exchange = self._exchange = self.begin(request, self.cancel_scope)
        watcher = self.server.watcher
        if request.find(b"expect") is not None:
            await self._invite_body(exchange)
        if watcher is None:
            await self.server.handler(exchange)
        else:
            if request.is_complete:
                self._watch_input()
            await self.server.handler(exchange)
            watcher.disarm(self.sock.fileno())
        await self._finish(exchange)
        return exchange

    async def _invite_body(self, exchange: Exchange) -> None:
        """Asks for the body of a request, in its turn.

        A request that is cancelled before is refused, since its handler has not begun.
        """
        if exchange.request.is_complete:
            return
        exchange.on_deadline = functools.partial(exchange.answer, 503, [], b"")
        await exchange.wait_for_turn()
        await send_all(self.sock, b"HTTP/1.1 100 Continue\r\n\r\n")
        exchange.on_deadline = None

    async def serve_ahead(self, exchange: Exchange) -> None:
        """Serves a request that was read while others were in progress."""
        try:
            with exchange.cancel_scope:
                if exchange.request.find(b"expect") is not None:
                    await self._invite_body(exchange)
                await self.server.handler(exchange)
        except Exception as error:
            log_failure(error)
        try:
            await self._finish_cancelled(exchange)
        except Exception as error:
            log_failure(error)
            self.abort()

    async def _finish_cancelled(self, exchange: Exchange) -> None:
        if exchange.needs_late_response:
            await exchange.on_deadline()
        elif self._ahead is not None:
            await self._answer_failed(exchange)
        await self._finish(exchange)

    async def _answer_failed(self, exchange: Exchange) -> None:
        """Responds to a request that failed, for the sake of those behind it."""
        if not exchange.has_answered and not exchange.has_disconnected:
            await exchange.answer(502, [], b"")

    async def _finish(self, exchange: Exchange) -> None:
        if exchange.turn is not None and exchange.has_answered:
            await exchange.deliver()
        self._remove_exchange(exchange)
        request = exchange.request
        if not exchange.has_answered:
            self.is_broken = True
        elif not request.is_complete and not self.is_broken:
            await self._discard_body(request)
        if self._ahead is not None:
            self._continue_ahead()

    def _continue_ahead(self) -> None:
        if self.is_broken:
            self.abort()
        elif self.is_idle and not self.exchanges:
            self.waiting_since = trio.current_time()
        self._ahead.notify()

    def _remove_exchange(self, exchange: Exchange) -> None:
        if exchange is self._exchange:
            self._exchange = None
        self.exchanges.remove(exchange)
        if self.exchanges and not self.is_broken:
            self.exchanges[0].turn.has_come.set()
        self._exchange = None
        if exchange.holding is self.holding:
            self.holding.release()
        else:
            exchange.holding.close()
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

    async def _discard_requests_behind(self) -> None:
        """Discards requests behind the last response, which closes the connection.

        Closing a connection with unread data resets it, and the response could be
        lost.
        """
        if self._ahead is not None or self.reader.has_input or peek(self.sock):
            await self._discard_input()

    async def _discard_input(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
        with trio.move_on_after(_DISCARD_TIMEOUT_SECONDS):
            while await receive(self.sock):
                await trio.lowlevel.checkpoint()


def log_failure(error: Exception) -> None:
    """Logs why a request or a connection ended without a response."""
    if isinstance(error, (TransferError, MalformedRequestError, TooLargeError)):
        logging.debug("Connection ended: %s", error)
    else:
        logging.error("Request failed", exc_info=error)
