"""Connections of callers: reading requests and serving them in order."""

import collections
import contextlib
import functools
import socket
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
from coltsfootspar.relay.ahead import AheadLimits, ReadAhead, Turn
from coltsfootspar.relay.exchanges import (
    CLOSE_HEADERS,
    EXCHANGE_BYTES,
    NO_MEMORY_HEADERS,
    Exchange,
    Handler,
)
from coltsfootspar.relay.messages import (
    Request,
    RequestReader,
    encode_response,
)
from coltsfootspar.relay.sockets import peek, receive, send_all, wait_readable
from coltsfootspar.relay.watching import InputWatcher
from coltsfootspar.routes import ClientLimits

__all__ = ["Connection", "ConnectionOwner", "log_failure"]

_DISCARD_TIMEOUT_SECONDS = 2.0
_MAX_DISCARDED_BYTES = 64 << 20
# A whole request that takes no more is served even when the process holds all it may.
_SMALL_REQUEST_BYTES = EXCHANGE_BYTES + 8_192
# A head that takes more is refused while the process holds much.
_LARGE_HEAD_BYTES = 65_536
# Time after which an incomplete head counts as stalled.
_STALLED_HEAD_SECONDS = 1.0


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
            has_input = self.reader.has_input
            self._drop_input()
            self.holding.close()
            self.input_holding.close()
        self.is_idle = self.is_reading_head = False
        await self._prepare_close(has_input=has_input)

    def _drop_input(self) -> None:
        """Frees the input, of which no further request is served."""
        self.reader.close()
        self.input_holding.release()

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

    async def _prepare_close(self, *, has_input: bool) -> None:
        """Sends a refusal that is due, and reads what would reset the connection.

        :param has_input: true when input behind the last request was dropped.
        """
        if self.is_last_request:
            await self._discard_requests_behind(has_input=has_input)
        elif self.is_head_timed_out:
            await self._reject(408)
        elif self._ahead is not None and not self.is_broken:
            # At a stop, the last response may have begun before and announce no close.
            await self._discard_requests_behind(has_input=has_input)

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

    def close_stalled(self, now: float) -> bool:
        """Closes the connection if its peer makes no progress with a request.

        The request is refused; one of which an answer is not read ends without.

        :param now: trio clock, seconds.
        :returns: true when it is being closed.
        """
        if self.is_broken or self.cancel_scope.cancel_called:
            return False
        if self.is_reading_head and not self.is_idle:
            if now - self.waiting_since <= _STALLED_HEAD_SECONDS:
                return False
            self.is_head_timed_out = True
            self._end()
            return True
        for exchange in self.exchanges:
            holding = exchange.holding
            is_held = holding.held_bytes and not exchange.is_cancelled
            if is_held and holding.is_stalled(now):
                holding.give_way()
                return True
        return False

    @property
    def has_unread_input(self) -> bool:
        """True when a request has arrived that its task has not begun to read."""
        return self.is_idle and bool(peek(self.sock))

    @property
    def held_bytes(self) -> int:
        """Bytes held for requests that are not answered, and for kept answers."""
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
        size = reader.held_bytes
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
        if reader.has_input or reader.framing_bytes or self.input_holding.held_bytes:
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
        self.reader.max_head_bytes = self.server.limits.header_bytes
        status = 0
        try:
            if not await self._read_head(messages):
                return None
        except MalformedRequestError as error:
            logging.info("Connection closed: %s", error)
            status = 400
        except TooLargeError:
            status = 431
        if status:
            # Outside of the handlers, whose errors refer to the input.
            self._drop_input()
            await self._reject(status)
            return None
        request = self._last_request = messages.popleft()
        if self.input_holding.held_bytes:
            self._charge_input()
        request.arrived_at = trio.current_time()
        self.is_head_timed_out = False
        return request

    async def _read_head(self, messages: collections.deque[Request]) -> bool:
        """Reads until the head of the next request is complete.

        :returns: false when the connection ends before.
        """
        if self.is_idle:
            await wait_readable(self.sock)
        while not messages:
            if not await self._read_input():
                return False
        if not messages[0].has_head:
            self.is_idle, self.waiting_since = False, trio.current_time()
            while not messages or not messages[0].has_head:
                if not await self._read_input():
                    return False
        self.is_idle = self.is_reading_head = False
        return True

    async def _read_input(self) -> bool:
        reader = self.reader
        if reader.error is not None:
            raise reader.error
        data = b"" if reader.unparsed else await receive(self.sock)
        if not data and not reader.unparsed:
            return False
        reader.add_input(data)
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
        await send_all(self.sock, encode_response(status, CLOSE_HEADERS, b""))
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
            # Each request that is read ahead gives way apart from the others.
            exchange.holding = self.server.account.open(exchange.evict)
        else:
            self._exchange = exchange
        self._charge_request(exchange)
        return exchange

    def _charge_request(self, exchange: Exchange) -> None:
        """Counts what has been received of a request, or refuses it."""
        request, holding = exchange.request, exchange.holding
        if request.head_cost > _LARGE_HEAD_BYTES and self.server.account.is_crowded:
            exchange.evict()
        else:
            size = exchange.held_bytes
            holding.is_settled = request.is_complete and size <= _SMALL_REQUEST_BYTES
            holding.charge(size)
        if exchange.is_cancelled:
            exchange.on_deadline = functools.partial(
                exchange.answer, 503, NO_MEMORY_HEADERS, b""
            )
        else:
            holding.is_settled = request.is_complete

    async def _serve(self, request: Request) -> Exchange:
        exchange = self.begin(request, self.cancel_scope)
        if exchange.is_cancelled:
            # It was refused for lack of memory.
            return exchange
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
        exchange.on_deadline = functools.partial(
            exchange.answer, 503, NO_MEMORY_HEADERS, b""
        )
        await exchange.wait_for_turn()
        await send_all(self.sock, b"HTTP/1.1 100 Continue\r\n\r\n")
        exchange.on_deadline = None

    async def serve_ahead(self, exchange: Exchange) -> None:
        """Serves a request that was read while others were in progress."""
        try:
            with exchange.cancel_scope:
                # One that was refused for lack of memory must not be passed on.
                if not exchange.is_cancelled:
                    await self._handle_ahead(exchange)
        except Exception as error:
            log_failure(error)
        try:
            await self._finish_cancelled(exchange)
        except Exception as error:
            log_failure(error)
            self.abort()

    async def _handle_ahead(self, exchange: Exchange) -> None:
        if exchange.request.find(b"expect") is not None:
            await self._invite_body(exchange)
        await self.server.handler(exchange)

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
        # A connection that stays open keeps its last request.
        exchange.request.drop_content()
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

    async def _discard_requests_behind(self, *, has_input: bool) -> None:
        """Discards requests behind the last response, which closes the connection.

        Closing a connection with unread data resets it, and the response could be
        lost.
        """
        if self._ahead is not None or has_input or peek(self.sock):
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
