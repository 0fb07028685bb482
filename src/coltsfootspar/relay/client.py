"""Connections to one address, kept open between requests."""

import contextlib
import socket
from collections.abc import Awaitable, Callable

import attrs
import trio

from coltsfootspar.exceptions import MalformedRequestError, TransferError
from coltsfootspar.logs import log_decision
from coltsfootspar.relay.messages import (
    LAST_CHUNK,
    Response,
    ResponseReader,
    encode_chunk,
)
from coltsfootspar.relay.sockets import (
    connect,
    find_readable,
    limit_silence,
    peek,
    receive,
    send_all,
    wait_readable,
)
from coltsfootspar.wire import Address

__all__ = ["ClientConnection", "ConnectionPool", "OutgoingRequest", "StreamedBody"]

# Several times the round trip between data centres.
CONNECT_SECONDS = 0.25
MAX_IDLE_SECONDS = 8.0
# Several round trips between data centres.
STALE_SECONDS = 0.05
# Share of the announced idle time for which a connection is used again.
_IDLE_SHARE = 0.6
# A body up to this size fits into the buffers of a new connection, so that it
# can be written before the response is read.
_INLINE_BODY_BYTES = 16_384
_FIRST_FINAL_STATUS = 200


@attrs.frozen
class StreamedBody:
    """A body that is passed on while it arrives.

    :param length: announced length, None when it is sent in chunks.
    """

    read: Callable[[], Awaitable[bytes]]
    length: int | None


@attrs.frozen
class OutgoingRequest:
    """A request, encoded.

    :param request_id: value that the response has to repeat, if it names one.
    :param id_header: lower-case name of the header with that value.
    :param stream: the rest of the body, for one that is not in ``data``.
    """

    data: bytes
    request_id: bytes | None = None
    id_header: bytes = b""
    is_head: bool = False
    stream: StreamedBody | None = None


@attrs.define(eq=False)
class ClientConnection:
    """One connection to a server.

    :param used_at: trio clock when the last response was complete, seconds.
    :param is_reused: true when it has served a request before.
    """

    sock: socket.socket
    used_at: float = 0.0
    idle_seconds: float = MAX_IDLE_SECONDS
    is_reused: bool = False
    is_spent: bool = False
    has_response_begun: bool = False
    _reader: ResponseReader = attrs.field(factory=ResponseReader)

    def close(self) -> None:
        """Closes the connection."""
        self.is_spent = True
        self.sock.close()

    def is_usable(self, now: float, max_idle: float) -> bool:
        """Tells whether another request may be sent, as far as is known."""
        return (
            not self.is_spent
            and now - self.used_at < min(self.idle_seconds, max_idle)
            and not self._reader.messages
        )

    def has_input(self) -> bool:
        """Tells whether bytes or the end have arrived that no request asked for."""
        return peek(self.sock) is not None

    async def exchange(self, request: OutgoingRequest, buffer: int) -> Response:
        """Sends a request and reads its response.

        :param buffer: bytes of the body to read; the rest of a longer one follows
            with :meth:`read_body`.
        :raises TransferError: when the connection ends before that.
        """
        self.has_response_begun = False
        if request.stream is None and len(request.data) <= _INLINE_BODY_BYTES:
            await send_all(self.sock, request.data)
            await wait_readable(self.sock)
            return await self._read_response(request, buffer)
        limit_silence(self.sock, reads_slowly=True)
        # The server may answer before it has read the body.
        response, failure = None, None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_body, request)
            try:
                response = await self._read_response(request, buffer)
            except TransferError as error:
                failure = error
                nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        limit_silence(self.sock, reads_slowly=False)
        return response

    async def read_body(self, response: Response) -> bytes:
        """Reads the next piece of a body; empty at its end.

        :raises TransferError: when the connection ends before that.
        """
        while not response.parts and not response.is_complete:
            await self._read_more(response)
        return response.take_body()

    async def _send_body(self, request: OutgoingRequest) -> None:
        stream = request.stream
        try:
            await send_all(self.sock, request.data)
            while stream is not None:
                data = await stream.read()
                if not data:
                    break
                is_chunked = stream.length is None
                await send_all(self.sock, encode_chunk(data) if is_chunked else data)
            if stream is not None and stream.length is None:
                await send_all(self.sock, LAST_CHUNK)
        except TransferError:
            # The server may have answered and closed without reading the body;
            # the reader finds out. The connection cannot be used again.
            self.is_spent = True
            if stream is not None:
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_WR)

    async def _read_response(self, request: OutgoingRequest, buffer: int) -> Response:
        messages = self._reader.messages
        while True:
            while not messages or not messages[0].has_head:
                await self._read_more(None)
            response = messages.popleft()
            if response.status < _FIRST_FINAL_STATUS:
                continue
            self.has_response_begun = True
            if request.is_head:
                response.is_complete, self.is_spent = True, True
            while not response.is_complete and response.received <= buffer:
                await self._read_more(response)
            given = response.find(request.id_header)
            if given is None or request.request_id in (None, given):
                self._note_end(response)
                return response
            # A late response to an earlier request of another caller.
            self.is_spent = True
            if not response.is_complete:
                text = "the response belongs to another request"
                raise TransferError(text, may_have_run=True, code="other-response")

    async def _read_more(self, response: Response | None) -> None:
        data = await receive(self.sock)
        try:
            if data:
                self._reader.feed(data)
            else:
                self._reader.finish()
        except MalformedRequestError as error:
            self.is_spent = True
            if response is None or not response.is_complete:
                raise TransferError(
                    str(error), may_have_run=True, code="malformed-response"
                ) from error
        if not data:
            self.is_spent = True
            if response is None or not response.is_complete:
                raise TransferError(
                    "the server closed the connection", may_have_run=True, code="closed"
                )

    def _note_end(self, response: Response) -> None:
        self.used_at = trio.current_time()
        self.is_reused = True
        if (
            not response.is_complete
            or not response.keeps_connection
            or response.ends_with_connection
        ):
            self.is_spent = True
        elif (value := response.find(b"keep-alive")) is not None:
            self.idle_seconds = _parse_idle_seconds(value, self.idle_seconds)


@attrs.define(eq=False)
class ConnectionPool:
    """Connections to one address; the one used last is used first.

    :param checks_input: true when the server may send bytes that belong to no
        request; a connection with such bytes is then not used again.
    :param opened: connections opened so far.
    """

    address: Address
    checks_input: bool = True
    opened: int = 0
    _idle: list[ClientConnection] = attrs.field(factory=list)

    async def exchange(
        self,
        request: OutgoingRequest,
        buffer: int,
        *,
        max_idle: float = MAX_IDLE_SECONDS,
        is_retryable: bool = False,
    ) -> tuple[ClientConnection, Response]:
        """Sends a request and reads its response.

        :param buffer: bytes of the body to read; the rest of a longer one follows
            with :meth:`ClientConnection.read_body`.
        :param longest_idle: a connection without use for this time is not taken,
            seconds.
        :param is_repeatable: true when the request may be sent again if the server
            turns out to have closed an idle connection.
        :returns: the connection, which has to be given back, and the response.
        :raises TransferError: when no connection can be made or it ends early.
        """
        connection = self._take(max_idle, is_retryable=is_retryable)
        if connection is not None:
            sent_at = trio.current_time()
            try:
                return connection, await _exchange(connection, request, buffer)
            except TransferError as error:
                if not (is_retryable and _is_stale(connection, sent_at)):
                    raise
                log_decision(
                    "idle-connection-closed",
                    request=request.request_id,
                    address=self.address,
                    error=error.code,
                )
        sock = await connect(self.address, CONNECT_SECONDS)
        self.opened += 1
        connection = ClientConnection(sock)
        return connection, await _exchange(connection, request, buffer)

    def return_connection(self, connection: ClientConnection) -> None:
        """Keeps a connection for another request, if its response was complete."""
        if connection.is_reused and not connection.is_spent:
            self._idle.append(connection)
        else:
            connection.close()

    def drop_idle(self, now: float) -> None:
        """Closes the connections that were not used for some time, or have ended."""
        idle = {connection.sock.fileno(): connection for connection in self._idle}
        ended = set(find_readable(idle)) if idle else set()
        kept = []
        for descriptor, connection in idle.items():
            if descriptor not in ended and connection.is_usable(now, MAX_IDLE_SECONDS):
                kept.append(connection)
            else:
                connection.close()
        self._idle = kept

    def close(self) -> None:
        """Closes all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take(self, max_idle: float, *, is_retryable: bool) -> ClientConnection | None:
        now = trio.current_time()
        # The check costs a system call; a request that may be sent again goes
        # without it.
        needs_check = self.checks_input or not is_retryable
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable(now, max_idle) and not (
                needs_check and connection.has_input()
            ):
                return connection
            connection.close()
        return None


async def _exchange(
    connection: ClientConnection, request: OutgoingRequest, buffer: int
) -> Response:
    try:
        return await connection.exchange(request, buffer)
    except BaseException:
        connection.close()
        raise


def _is_stale(connection: ClientConnection, sent_at: float) -> bool:
    """Tells whether the server had closed a connection before a request came.

    Its answer to the request is then a reset, within a round trip; a connection
    that ends later may have carried the request.
    """
    is_early = trio.current_time() - sent_at < STALE_SECONDS
    return is_early and not connection.has_response_begun


def _parse_idle_seconds(value: bytes, default: float) -> float:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return min(default, int(number) * _IDLE_SHARE)
    return default
