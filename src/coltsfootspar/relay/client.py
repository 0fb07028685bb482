"""HTTP client with a pool of persistent connections to one address."""

import contextlib
import socket
from collections.abc import Awaitable, Callable

import attrs
import trio

from coltsfootspar.exceptions import MalformedRequestError, TransferError
from coltsfootspar.logs import log_decision
from coltsfootspar.memory import Holding, MemoryAccount
from coltsfootspar.relay.messages import (
    LAST_CHUNK,
    Response,
    ResponseReader,
    encode_chunk,
)
from coltsfootspar.relay.sockets import (
    RECEIVE_BYTES,
    connect,
    find_readable,
    peek,
    receive,
    send_all,
    set_user_timeout,
    wait_readable,
)
from coltsfootspar.wire import Address

__all__ = ["ClientConnection", "ConnectionPool", "OutgoingRequest", "StreamedBody"]

# Several times the round trip between data centres.
CONNECT_SECONDS = 0.1
MAX_IDLE_SECONDS = 8.0
# Several round trips between data centres.
STALE_CONNECTION_SECONDS = 0.05
# Share of the idle timeout announced by the server for which a connection is reused.
_IDLE_TIMEOUT_FRACTION = 0.6
# A request up to this size fits into the send buffer of a new connection, so that it
# can be sent completely before the response is read.
INLINE_REQUEST_BYTES = 16_384
_FIRST_FINAL_STATUS = 200
MAX_RESPONSE_HEAD_BYTES = 65_536
MAX_INTERIM_RESPONSES = 16
# Most responses to earlier requests that are skipped before one to the present request.
MAX_EARLIER_RESPONSES = 16
# Most bytes that are received at once of a body while the process holds much.
_CROWDED_RECEIVE_BYTES = 8_192


@attrs.define(eq=False)
class StreamedBody:
    """A body that is forwarded while it is being received.

    :param read: returns the next piece; empty at the end.
    :param length: announced length; None for chunked transfer coding.
    :param is_started: true once a piece may have been read.
    """

    read: Callable[[], Awaitable[bytes]]
    length: int | None
    is_started: bool = False


@attrs.frozen
class OutgoingRequest:
    """An encoded request.

    :param data: the head, with a body that is short.
    :param body: a longer body, sent after the head without a copy.
    :param request_id: id that a response with an id header must echo.
    :param id_header: lower-case name of the id header.
    :param is_head: true for a HEAD request, whose response has no body.
    :param stream: the body, if it is streamed.
    """

    data: bytes
    request_id: bytes | None = None
    id_header: bytes = b""
    is_head: bool = False
    stream: StreamedBody | None = None
    body: bytes = b""

    @property
    def is_short(self) -> bool:
        """True when it can be sent completely before the response is read."""
        is_whole = self.stream is None and not self.body
        return is_whole and len(self.data) <= INLINE_REQUEST_BYTES


@attrs.define(eq=False)
class ClientConnection:
    """One connection to a server.

    :param used_at: time of the last response, trio clock, seconds.
    :param keep_alive_seconds: idle time after which it is not reused.
    :param has_served_request: true once a response has been received.
    :param must_close: true when it cannot be used for another request.
    :param has_response_started: true once the head of the response to the current
        request has been received.
    :param echoes_ids: true once a response has echoed the id of its request.
    :param has_send_failed: true once the server has reset the connection or stopped
        reading during a request.
    :param account: memory held for the connections of the process; None counts no
        responses.
    """

    sock: socket.socket
    account: MemoryAccount | None = None
    used_at: float = 0.0
    keep_alive_seconds: float = MAX_IDLE_SECONDS
    has_served_request: bool = False
    must_close: bool = False
    has_response_started: bool = False
    echoes_ids: bool = False
    has_send_failed: bool = False
    _reader: ResponseReader = attrs.field(factory=ResponseReader)
    _holding: Holding | None = None

    def close(self) -> None:
        """Closes the connection."""
        self.must_close = True
        self.release()
        self.sock.close()

    def release(self) -> None:
        """Counts the response no longer, since it was passed on or is not needed."""
        if self._holding is not None:
            self._holding.close()
            self._holding = None

    def is_usable(self, now: float, max_idle: float) -> bool:
        """Tells whether another request may be sent, without checking the socket.

        :param max_idle: longest idle time, seconds.
        """
        return (
            not self.must_close
            and now - self.used_at < min(self.keep_alive_seconds, max_idle)
            and not self._reader.messages
        )

    def has_unsolicited_input(self) -> bool:
        """Tells whether the socket has unexpected data or was closed by the peer."""
        return peek(self.sock) is not None

    async def exchange(self, request: OutgoingRequest, buffer_bytes: int) -> Response:
        """Sends a request and reads its response.

        :param buffer_bytes: size up to which the body is read; :meth:`read_body`
            returns the rest of a longer one.
        :raises TransferError: when the connection ends early or the response is
            invalid.
        """
        self.has_response_started = False
        if request.is_short:
            await send_all(self.sock, request.data)
            await wait_readable(self.sock)
            return await self._read_response(request, buffer_bytes)
        set_user_timeout(self.sock, allows_slow_reader=True)
        # The server may respond before it has read the whole body.
        response, failure = None, None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_body, request)
            try:
                response = await self._read_response(request, buffer_bytes)
            except TransferError as error:
                failure = error
                nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        set_user_timeout(self.sock, allows_slow_reader=False)
        return response

    async def read_body(self, response: Response) -> bytes:
        """Reads the next piece of a body; empty at its end.

        :raises TransferError: when the connection ends before the body does.
        """
        await trio.lowlevel.checkpoint()
        if not response.body_parts:
            # What was buffered has been sent.
            self.release()
        while not response.body_parts and not response.is_complete:
            await self._read_more(response)
        return response.take_body()

    async def _send_body(self, request: OutgoingRequest) -> None:
        stream = request.stream
        try:
            await send_all(self.sock, request.data)
            await send_all(self.sock, request.body)
            while stream is not None:
                stream.is_started = True
                data = await stream.read()
                if not data:
                    break
                is_chunked = stream.length is None
                await send_all(self.sock, encode_chunk(data) if is_chunked else data)
                # It would stay in memory while the next piece is waited for.
                del data
            if stream is not None and stream.length is None:
                await send_all(self.sock, LAST_CHUNK)
        except TransferError:
            # The server may have responded and closed the connection without reading
            # the body; the task that reads the response detects that. The connection
            # cannot be reused.
            self.must_close = self.has_send_failed = True
            if stream is not None:
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_WR)

    async def _read_response(
        self, request: OutgoingRequest, buffer_bytes: int
    ) -> Response:
        messages = self._reader.messages
        interim_responses = earlier_responses = 0
        is_first = not self.has_served_request
        while True:
            while not messages or not messages[0].has_head:
                await self._read_more(None)
            response = messages.popleft()
            if response.status < _FIRST_FINAL_STATUS:
                interim_responses += 1
                if interim_responses > MAX_INTERIM_RESPONSES:
                    text = "too many interim responses"
                    raise TransferError(
                        text, may_have_run=True, code="malformed-response"
                    )
                continue
            self.has_response_started = True
            if request.is_head:
                response.is_complete, self.must_close = True, True
            await self._buffer_body(response, buffer_bytes)
            echoed_id = response.find(request.id_header)
            if echoed_id is None or request.request_id in (None, echoed_id):
                is_echoed = echoed_id is not None and request.request_id is not None
                response.is_certain = is_echoed or is_first
                self.echoes_ids |= is_echoed
                self._update_reuse(response)
                return response
            # This is a late response to an earlier request.
            self.must_close, is_first = True, False
            if not response.is_complete:
                text = "the response echoes the id of another request"
                raise TransferError(text, may_have_run=True, code="other-response")
            earlier_responses += 1
            if earlier_responses > MAX_EARLIER_RESPONSES:
                text = "too many responses echo ids of other requests"
                raise TransferError(text, may_have_run=True, code="other-response")
            await trio.lowlevel.checkpoint()

    async def _buffer_body(self, response: Response, limit: int) -> None:
        """Reads a body until it is complete or longer than a limit.

        While the process holds much, the rest of a body that has begun stays with the
        server until the caller reads it.

        :param limit: bytes.
        """
        while not response.is_complete and response.received_bytes <= limit:
            if response.received_bytes:
                if self._is_crowded:
                    return
                await trio.lowlevel.checkpoint()
            await self._read_more(response)
            self._charge(response)

    def _charge(self, response: Response) -> None:
        """Counts what has been received of a body."""
        if self.account is None:
            return
        if self._holding is None:
            self._holding = self.account.open_settled(response.received_bytes)
        else:
            self._holding.charge(response.received_bytes - self._holding.held_bytes)

    @property
    def _is_crowded(self) -> bool:
        return self.account is not None and self.account.is_crowded

    async def _read_more(self, response: Response | None) -> None:
        size = _CROWDED_RECEIVE_BYTES if self._is_crowded else RECEIVE_BYTES
        data = await receive(self.sock, size)
        try:
            if data:
                self._reader.feed(data)
            elif not self.has_send_failed:
                # After a reset that ended the sending, the system reports an ordinary
                # end of the connection, which must not complete a response.
                self._reader.feed_eof()
            if self._reader.head_bytes > MAX_RESPONSE_HEAD_BYTES:
                raise MalformedRequestError("the response head exceeds the limit")
        except MalformedRequestError as error:
            self.must_close = True
            if response is None or not response.is_complete:
                raise TransferError(
                    str(error), may_have_run=True, code="malformed-response"
                ) from error
        if not data:
            self.must_close = True
            if response is None or not response.is_complete:
                raise TransferError(
                    "the server closed the connection early",
                    may_have_run=True,
                    code="closed",
                )

    def _update_reuse(self, response: Response) -> None:
        self.used_at = trio.current_time()
        self.has_served_request = True
        if (
            not response.is_complete
            or not response.keeps_connection
            or response.is_close_delimited
        ):
            self.must_close = True
        elif (value := response.find(b"keep-alive")) is not None:
            self.keep_alive_seconds = _parse_idle_seconds(
                value, self.keep_alive_seconds
            )


@attrs.define(eq=False)
class ConnectionPool:
    """Pool of connections to one address; reuses the most recently used one first.

    :param account: memory held for the connections of the process; None counts no
        responses.
    :param opened: number of connections opened so far.
    """

    address: Address
    account: MemoryAccount | None = None
    opened: int = 0
    _idle: list[ClientConnection] = attrs.field(factory=list)

    async def exchange(
        self,
        request: OutgoingRequest,
        buffer_bytes: int,
        *,
        max_idle: float = MAX_IDLE_SECONDS,
        is_retryable: bool = False,
    ) -> tuple[ClientConnection, Response]:
        """Sends a request on an idle or new connection and reads its response.

        :param buffer_bytes: size up to which the body is read;
            :meth:`ClientConnection.read_body` returns the rest of a longer one.
        :param max_idle: longest idle time of a connection to reuse, seconds; 0 opens a
            new one.
        :param is_retryable: true when the request may be sent again on a new
            connection if the server had closed the idle one.
        :returns: the connection, which must be returned with
            :meth:`return_connection`, and the response.
        :raises TransferError: when no connection can be opened, it ends early or the
            response is invalid.
        """
        connection = self._take_idle(max_idle) if max_idle > 0 else None
        if connection is None:
            return await self._exchange_on_new(request, buffer_bytes)
        sent_at = trio.current_time()
        try:
            return connection, await _exchange(connection, request, buffer_bytes)
        except TransferError as error:
            if not (is_retryable and _is_stale(connection, sent_at)):
                raise
            log_decision(
                "idle-connection-closed",
                request=request.request_id,
                address=self.address,
                error=error.code,
            )
        try:
            return await self._exchange_on_new(request, buffer_bytes)
        except TransferError as error:
            # The request may have run on the first connection.
            raise TransferError(
                str(error), may_have_run=True, code=error.code
            ) from error

    async def _exchange_on_new(
        self, request: OutgoingRequest, buffer_bytes: int
    ) -> tuple[ClientConnection, Response]:
        sock = await connect(self.address, CONNECT_SECONDS)
        self.opened += 1
        connection = ClientConnection(sock, self.account)
        return connection, await _exchange(connection, request, buffer_bytes)

    def return_connection(self, connection: ClientConnection) -> None:
        """Returns a connection to the pool, or closes it if it cannot be reused."""
        connection.release()
        if connection.has_served_request and not connection.must_close:
            self._idle.append(connection)
        else:
            connection.close()

    def drop_idle(self, now: float) -> None:
        """Closes connections that were idle too long or have become readable.

        Such a connection has unsolicited input or was closed by the server.

        :param now: trio clock, seconds.
        """
        idle = {connection.sock.fileno(): connection for connection in self._idle}
        readable = set(find_readable(idle)) if idle else set()
        kept = []
        for descriptor, connection in idle.items():
            if descriptor not in readable and connection.is_usable(
                now, MAX_IDLE_SECONDS
            ):
                kept.append(connection)
            else:
                connection.close()
        self._idle = kept

    def close(self) -> None:
        """Closes all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take_idle(self, max_idle: float) -> ClientConnection | None:
        """Takes a connection that the server has not closed or written to since."""
        now = trio.current_time()
        while self._idle:
            connection = self._idle.pop()
            if (
                connection.is_usable(now, max_idle)
                and not connection.has_unsolicited_input()
            ):
                return connection
            connection.close()
        return None


async def _exchange(
    connection: ClientConnection, request: OutgoingRequest, buffer_bytes: int
) -> Response:
    try:
        return await connection.exchange(request, buffer_bytes)
    except BaseException:
        connection.close()
        raise


def _is_stale(connection: ClientConnection, sent_at: float) -> bool:
    """Tells whether the server had closed a connection before the request arrived.

    The server then resets the connection within a round trip; if it ends later, the
    request may have been received.

    :param sent_at: time at which the request was sent, trio clock, seconds.
    """
    is_immediate = trio.current_time() - sent_at < STALE_CONNECTION_SECONDS
    return is_immediate and not connection.has_response_started


def _parse_idle_seconds(value: bytes, default: float) -> float:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return min(default, int(number) * _IDLE_TIMEOUT_FRACTION)
    return default
