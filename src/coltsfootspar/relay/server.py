"""HTTP server: one task for each connection."""

import math
import socket
from collections.abc import Awaitable, Callable

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import (
    MalformedRequestError,
    TooLargeError,
    TransferError,
)
from coltsfootspar.relay.messages import (
    LAST_CHUNK,
    Headers,
    Request,
    RequestReader,
    Response,
    encode_chunk,
    encode_response,
)
from coltsfootspar.relay.sockets import (
    accept,
    find_readable,
    listen,
    peek,
    receive,
    send_all,
    wait_readable,
)
from coltsfootspar.routes import ClientLimits
from coltsfootspar.wire import Address

__all__ = ["Exchange", "Handler", "RelayServer", "create_relay_server"]

# How often deadlines and callers that have left are looked for. Two nodes in a row
# have to notice within half a second that a caller has left.
CHECK_SECONDS = 0.06
_DISCARD_SECONDS = 2.0
_LAST_ANSWERS_SECONDS = 0.1
_DISCARD_BYTES = 64 << 20
_CLOSE: Headers = [(b"Connection", b"close")]


@attrs.define(eq=False)
class Exchange:
    """A request that is being answered on one connection.

    :param request: the request; its body may still be arriving.
    :param scope: cancelled when the caller has left or the deadline has passed.
    """

    request: Request
    _connection: "_Connection"
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    has_answered: bool = False
    has_left: bool = False
    deadline: float = math.inf
    on_late: Callable[[], Awaitable[None]] | None = None

    @property
    def caller_host(self) -> str:
        """IP address of the caller."""
        return self._connection.caller_host

    async def buffer_body(self, limit: int) -> None:
        """Reads the body until it is complete or longer than a limit.

        :raises TransferError: when the caller breaks off.
        :raises TooLargeError: when the body exceeds what clients may send.
        """
        request = self.request
        while not request.is_complete and request.received_bytes <= limit:
            await self._connection.read_more(request)

    async def read_body(self) -> bytes:
        """Reads the next piece of the body; empty at its end.

        :raises TransferError: when the caller breaks off.
        """
        request = self.request
        while not request.body_parts and not request.is_complete:
            await self._connection.read_more(request)
        return request.take_body()

    async def answer(
        self, status: int, headers: Headers, body: bytes, reason: bytes = b""
    ) -> None:
        """Sends a whole response.

        :raises TransferError: when the caller has left.
        """
        self.has_answered = True
        if not self._keeps_connection():
            headers = headers + _CLOSE
        data = encode_response(status, headers, body, reason)
        await send_all(self._connection.sock, data)

    async def pass_on(
        self,
        response: Response,
        headers: Headers,
        read: Callable[[], Awaitable[bytes]],
    ) -> None:
        """Sends a response whose body is still arriving.

        :param read: returns the next piece of the body, empty at its end.
        :raises TransferError: when either side breaks off; the caller can then
            see that the response is not complete.
        """
        self.has_answered = True
        length = response.content_length
        if length is not None:
            headers = [*headers, (b"Content-Length", b"%d" % length)]
        else:
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        if not self._keeps_connection():
            headers += _CLOSE
        connection = self._connection
        connection.is_broken = True
        head = encode_response(response.status, headers, None, response.reason)
        await send_all(connection.sock, head)
        while data := await read():
            await send_all(connection.sock, data if length else encode_chunk(data))
        if length is None:
            await send_all(connection.sock, LAST_CHUNK)
        connection.is_broken = False

    def _keeps_connection(self) -> bool:
        request, server = self.request, self._connection.server
        if server.is_draining or not request.keeps_connection:
            self._connection.is_last = True
            return False
        return True

    def set_deadline(
        self, deadline: float, on_late: Callable[[], Awaitable[None]]
    ) -> None:
        """Ends the handler soon after a deadline, until :meth:`clear_deadline`.

        Deadlines of scopes cost more than the checks of the server.

        :param deadline: trio clock, seconds.
        :param on_late: answers in place of the handler.
        """
        self.on_late = on_late
        self.deadline = deadline

    def clear_deadline(self) -> None:
        """Lets the handler finish, however late it is."""
        self.deadline = math.inf

    @property
    def descriptor(self) -> int:
        """File descriptor of the connection."""
        return self._connection.sock.fileno()

    def check_caller(self) -> None:
        """Cancels the exchange when its caller has closed the connection."""
        if peek(self._connection.sock) == b"":
            self.has_left = True
            self.scope.cancel()

    @property
    def is_late(self) -> bool:
        """True when the deadline has ended the handler before it answered."""
        is_ended = self.scope.cancelled_caught and not self.has_left
        return is_ended and not self.has_answered and self.on_late is not None


Handler = Callable[[Exchange], Awaitable[None]]


@attrs.define(eq=False)
class _Connection:
    """One accepted connection."""

    server: "RelayServer"
    sock: socket.socket
    caller_host: str
    reader: RequestReader = attrs.field(factory=RequestReader)
    is_last: bool = False
    is_broken: bool = False
    is_idle: bool = True
    idle_since: float = attrs.field(factory=trio.current_time)
    is_reading: bool = False
    is_too_slow: bool = False
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        """Serves requests until either side closes the connection."""
        with self.scope:
            while not self.is_last and not self.is_broken:
                request = await self._read_request()
                if request is None:
                    return
                await self._serve(request)
        if self.is_too_slow:
            await self._refuse(408)

    def check_reading(self, now: float) -> None:
        """Ends a connection that is idle, or whose caller sends a head too slowly."""
        limits = self.server.limits
        if self.is_idle:
            if now - self.idle_since > limits.idle_seconds:
                self.close_idle()
        elif self.is_reading and now - self.idle_since > limits.header_seconds:
            self.is_too_slow = True
            self.scope.cancel()

    def close_idle(self) -> None:
        """Closes the connection unless a request has begun or has arrived."""
        if self.is_idle and peek(self.sock) is None:
            self.scope.cancel()

    async def read_more(self, request: Request) -> None:
        """Reads more of a request's body.

        :raises TransferError: when the caller breaks off.
        :raises TooLargeError: when the body exceeds what clients may send.
        """
        data = await receive(self.sock)
        if not data:
            self.is_broken = True
            raise TransferError("the caller left", may_have_run=True, code="left")
        try:
            self.reader.feed(data)
        except MalformedRequestError:
            self.is_broken = True
            raise
        if request.received_bytes > self.server.limits.body_bytes:
            self.is_broken = True
            raise TooLargeError("the body is too long")

    async def _read_request(self) -> Request | None:
        messages = self.reader.messages
        self.is_idle, self.is_reading = not messages, True
        self.idle_since = trio.current_time()
        if self.is_idle and self.server.is_closing:
            return None
        try:
            if self.is_idle:
                await wait_readable(self.sock)
            while not messages:
                if not await self._feed():
                    return None
            if not messages[0].has_head:
                self.is_idle, self.idle_since = False, trio.current_time()
                while not messages[0].has_head:
                    if not await self._feed():
                        return None
            self.is_idle = self.is_reading = False
        except MalformedRequestError as error:
            logging.info("Connection closed: %s", error)
            await self._refuse(400)
            return None
        except TooLargeError:
            await self._refuse(431)
            return None
        request = messages.popleft()
        request.arrived_at = trio.current_time()
        return request

    async def _feed(self) -> bool:
        data = await receive(self.sock)
        if not data:
            return False
        self.reader.feed(data)
        if self.reader.head_bytes > self.server.limits.header_bytes:
            raise TooLargeError("the head of the request is too long")
        return True

    async def _refuse(self, status: int) -> None:
        await send_all(self.sock, encode_response(status, _CLOSE, b""))
        await self._discard_input()

    async def _serve(self, request: Request) -> None:
        exchange = Exchange(request, self)
        server = self.server
        server.exchanges.add(exchange)
        if request.find(b"expect") is not None and not request.is_complete:
            await send_all(self.sock, b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            with exchange.scope:
                await server.handler(exchange)
            if exchange.is_late:
                await exchange.on_late()
        finally:
            server.exchanges.discard(exchange)
        if not exchange.has_answered:
            self.is_broken = True
        elif not request.is_complete and not self.is_broken:
            await self._discard_body(request)

    async def _discard_body(self, request: Request) -> None:
        """Reads the rest of a body nobody wants, so that the answer arrives.

        Closing a connection with unread bytes resets it.
        """
        with trio.move_on_after(_DISCARD_SECONDS) as scope:
            while not request.is_complete and request.received_bytes < _DISCARD_BYTES:
                await self.read_more(request)
                request.take_body()
        if scope.cancelled_caught or not request.is_complete:
            self.is_broken = True

    async def _discard_input(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)
        with trio.move_on_after(_DISCARD_SECONDS):
            while await receive(self.sock):
                pass


@attrs.define(eq=False)
class RelayServer:
    """Accepts connections and hands their requests to a handler.

    :param limits: what clients may send.
    :param exchanges: requests without a complete answer.
    :param is_draining: true when each answer is the last one of its connection;
        new connections are still served.
    :param is_closing: true when no request is read any more.
    """

    handler: Handler
    limits: ClientLimits = attrs.field(factory=ClientLimits)
    exchanges: set[Exchange] = attrs.field(factory=set)
    is_draining: bool = False
    is_closing: bool = False
    _connections: set[_Connection] = attrs.field(factory=set)

    async def serve(
        self,
        address: Address,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens until cancelled.

        :raises OSError: when the address cannot be listened on.
        """
        listener = listen(address)
        with listener:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._check)
                task_status.started()
                while True:
                    try:
                        sock, host = await accept(listener)
                    except OSError as error:
                        logging.warning("Connection not accepted: %s", error)
                        await trio.sleep(CHECK_SECONDS)
                        continue
                    nursery.start_soon(self._run_connection, sock, host)

    async def drain(self) -> None:
        """Reads no more requests and waits for those in progress."""
        self.is_draining = self.is_closing = True
        self.close_idle()
        await self._wait_until_answered(CHECK_SECONDS)

    async def answer_rest(self) -> None:
        """Answers the requests in progress as if their deadlines had passed."""
        for exchange in self.exchanges:
            exchange.scope.cancel()
        with trio.move_on_after(_LAST_ANSWERS_SECONDS):
            await self._wait_until_answered(_LAST_ANSWERS_SECONDS / 10)

    async def _wait_until_answered(self, period: float) -> None:
        # Exchanges are many and short, and have no event for the last one.
        while self.exchanges:  # noqa: ASYNC110
            await trio.sleep(period)

    def close_idle(self) -> None:
        """Closes the connections on which no request has begun."""
        for connection in self._connections:
            connection.close_idle()

    async def _run_connection(self, sock: socket.socket, host: str) -> None:
        connection = _Connection(self, sock, host)
        self._connections.add(connection)
        try:
            await connection.run()
        except (TransferError, MalformedRequestError, TooLargeError) as error:
            logging.debug("Connection ended: %s", error)
        except Exception:
            # A fault in one request must not end those of all other callers.
            logging.exception("Request failed")
        finally:
            self._connections.discard(connection)
            sock.close()

    async def _check(self) -> None:
        while True:
            await trio.sleep(CHECK_SECONDS)
            self._cancel_left()
            now = trio.current_time()
            for exchange in self.exchanges:
                if now >= exchange.deadline:
                    exchange.scope.cancel()
            for connection in self._connections:
                connection.check_reading(now)

    def _cancel_left(self) -> None:
        """Cancels the exchanges whose callers have left."""
        waiting = {exchange.descriptor: exchange for exchange in self.exchanges}
        for descriptor in find_readable(waiting) if waiting else ():
            # Input may also be the next request.
            waiting[descriptor].check_caller()


def create_relay_server(handler: Handler) -> RelayServer:
    """Creates a server.

    :param handler: answers each request.
    """
    return RelayServer(handler)
