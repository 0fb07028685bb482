"""One request on a connection and the response to it."""

import math
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import attrs
import trio

from coltsfootspar.calls import Outcome
from coltsfootspar.exceptions import TransferError
from coltsfootspar.logs import log_decision
from coltsfootspar.memory import Holding
from coltsfootspar.relay.ahead import HeldAnswer, Turn
from coltsfootspar.relay.calls import (
    ERROR_HEADER,
    OUTCOME_HEADER,
    RETRY_AFTER_HEADER,
)
from coltsfootspar.relay.messages import (
    LAST_CHUNK,
    Headers,
    Request,
    Response,
    encode_chunk,
    encode_response,
)
from coltsfootspar.relay.sockets import count_unread, send_some

if TYPE_CHECKING:
    from coltsfootspar.relay.connections import Connection

__all__ = [
    "CLOSE_HEADERS",
    "EXCHANGE_BYTES",
    "NO_MEMORY_HEADERS",
    "Exchange",
    "Handler",
]

# Most bytes that are sent before the progress of the caller is noted.
_SEND_PIECE_BYTES = 32_768
# Interval at which the progress of a caller that reads slowly is asked for.
_READ_CHECK_SECONDS = 0.5
# Memory of a request in progress beside its content: its exchange, its call, the frames
# of its handler and, if it was sent ahead, its task.
EXCHANGE_BYTES = 5_120
CLOSE_HEADERS: Headers = [(b"Connection", b"close")]
# Headers of a refusal before a handler has begun.
NO_MEMORY_HEADERS: Headers = [
    (OUTCOME_HEADER, Outcome.NOT_RUN.encode()),
    (ERROR_HEADER, b"no-memory"),
    (RETRY_AFTER_HEADER, b"0.5"),
]


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
    :param unread_since: when the caller was last seen to read, while the system takes
        no more of the response, trio clock, seconds.
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
    unread_since: float = math.inf
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
        """About the memory of the request and of the answer that waits for its turn."""
        answer_bytes = self.turn.answer_bytes if self.turn is not None else 0
        return self._head_bytes + self.request.received_bytes + answer_bytes

    @property
    def _head_bytes(self) -> int:
        """About the memory of the request without its body."""
        return EXCHANGE_BYTES + self.request.head_cost

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

    async def reserve(self, size: int) -> bool:
        """Counts memory that it takes to serve the request, until it is answered.

        Is cancelled when the request has to give way to others.

        :param size: bytes.
        :returns: false when the process never has this much.
        """
        account, holding = self._connection.server.account, self.holding
        if size > account.budget_bytes:
            return False
        holding.is_settled = False
        holding.charge(size)
        if self.is_cancelled:
            await trio.lowlevel.checkpoint()
        holding.is_settled = True
        return True

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
        holding.charge(self._head_bytes + len(body))
        # From its end on, the request waits for its server and not for its caller.
        holding.is_settled = request.is_complete
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
            headers = headers + CLOSE_HEADERS
        connection = self._connection
        was_broken, connection.is_broken = connection.is_broken, True
        if len(body) <= _SEND_PIECE_BYTES:
            await self._send(encode_response(status, headers, body, reason))
        else:
            # Without a copy of the body.
            headers = [*headers, (b"Content-Length", b"%d" % len(body))]
            await self._send(encode_response(status, headers, None, reason))
            await self._send(body)
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
            headers += CLOSE_HEADERS
        connection = self._connection
        connection.is_broken = True
        head = encode_response(response.status, headers, None, response.reason)
        await self._send(head)
        data, start = start or await read(), b""
        while data:
            await self._send(data if length else encode_chunk(data))
            # It would stay in memory while the next piece is waited for.
            data = b""
            data = await read()
        if length is None:
            await self._send(LAST_CHUNK)
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
        """Sends a part of a response; what is not taken at once is held until it is.

        :raises TransferError: when the caller has disconnected.
        """
        sock = self._connection.sock
        sent = send_some(sock, data)
        if sent == len(data):
            return
        rest = memoryview(data)[sent:]
        holding = self.holding
        was_settled, holding.is_settled = holding.is_settled, False
        holding.restart(trio.current_time())
        holding.charge(len(data))
        while rest:
            await self._wait_until_read()
            sent = send_some(sock, rest[:_SEND_PIECE_BYTES])
            holding.record_progress(sent, trio.current_time())
            rest = rest[sent:]
        holding.discharge(len(data))
        holding.is_settled = was_settled

    async def _wait_until_read(self) -> None:
        """Waits until the system takes more of a response.

        It does so only after a large part of what it holds has been read, so the
        progress of a slow caller is asked for.

        :raises TransferError: when the caller reads nothing for the time that a
            connection may be idle.
        """
        sock, limits = self._connection.sock, self._connection.server.limits
        self.unread_since, unread = trio.current_time(), count_unread(sock)
        while True:
            with trio.move_on_after(min(_READ_CHECK_SECONDS, limits.idle_seconds)):
                await trio.lowlevel.wait_writable(sock)
                break
            now, before, unread = trio.current_time(), unread, count_unread(sock)
            if unread < before or not unread:
                self.unread_since = now
            elif now - self.unread_since >= limits.idle_seconds:
                text = "the caller does not read the response"
                raise TransferError(text, may_have_run=True, code="unread")
        self.unread_since = math.inf

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
        self.request.drop_content(keeps_values=True)
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
