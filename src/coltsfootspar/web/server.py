"""HTTP server on h11, one task pair for each connection."""

import contextlib
from collections.abc import Callable

import attrs
import h11
import trio
from absl import logging

from coltsfootspar.exceptions import (
    MalformedRequestError,
    OutOfMemoryError,
    TooLargeError,
    WebError,
)
from coltsfootspar.memory import (
    ConnectionCount,
    Holding,
    MemoryAccount,
    count_allowed_descriptors,
    create_memory_account,
)
from coltsfootspar.web.headers import drop_hop_headers
from coltsfootspar.web.interfaces import (
    HttpHandler,
    HttpRequest,
    HttpResponse,
    HttpServer,
    WebLimits,
)
from coltsfootspar.web.sockets import is_readable, set_socket_options
from coltsfootspar.wire import Address

__all__ = ["create_h11_server"]

_RECEIVE_BYTES = 64 << 10
_READ_AHEAD_BYTES = 64 << 10
# Copies of a whole body while its request is served, and of one while it is sent.
_BODY_COPIES = 3
_ANSWER_COPIES = 2
# Most bytes that are sent before the progress of the client is noted.
_SEND_PIECE_BYTES = 32 << 10
# Time without progress after which an incomplete request, or an answer that is being
# sent, counts as stalled.
_STALL_SECONDS = 1.0
# Memory of a header line beside its content, and copies of that, while its request is
# served.
_HEADER_BYTES = 640
_HEADER_COPIES = 4
_BODYLESS_STATUS = (204, 304)
_LINGER_SECONDS = 1.0
_LISTEN_BACKLOG = 1024

ErrorCounter = Callable[[str], None]


@attrs.define(eq=False)
class H11Server:
    """Serves HTTP/1.1 with h11."""

    _handler: HttpHandler
    _limits: WebLimits
    _count_error: ErrorCounter
    account: MemoryAccount
    count: ConnectionCount
    # In the order of their acceptance.
    _connections: dict["_ServerConnection", None] = attrs.field(factory=dict)
    _listener_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    _is_draining: bool = False
    _idle: trio.Event = attrs.field(factory=trio.Event)

    async def serve(
        self,
        address: Address,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled; reports the bound :class:`Address`."""
        (listener,) = await trio.open_tcp_listeners(
            address.port, host=address.host, backlog=_LISTEN_BACKLOG
        )
        host, port = listener.socket.getsockname()[:2]
        task_status.started(Address(host, port))
        async with trio.open_nursery() as connections:
            with self._listener_scope:
                await trio.serve_listeners(
                    self._serve_stream, [listener], handler_nursery=connections
                )

    async def drain(self) -> None:
        """Accepts no more connections and waits for requests in progress."""
        self._is_draining = True
        self._listener_scope.cancel()
        for connection in list(self._connections):
            connection.close_idle()
        while self._connections:
            self._idle = trio.Event()
            await self._idle.wait()

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        if not self._has_room():
            self._count_error("too-many-connections")
            await trio.aclose_forcefully(stream)
            return
        set_socket_options(stream)
        connection = _ServerConnection(
            stream, self._handler, self._limits, self._count_error, self
        )
        self._connections[connection] = None
        self.count.add(connection)
        try:
            await connection.run()
        finally:
            del self._connections[connection]
            self.count.discard(connection)
            if not self._connections:
                self._idle.set()
            await trio.aclose_forcefully(stream)

    def _has_room(self) -> bool:
        """Tells whether a connection may be opened; may close others for it."""
        is_full = len(self._connections) >= self._limits.connections
        if is_full and not any(item.close_idle() for item in self._connections):
            return False
        return self.count.has_room(is_peer=False)

    @property
    def is_draining(self) -> bool:
        """True once no more requests are accepted."""
        return self._is_draining


@attrs.define(eq=False)
class _ServerConnection:
    """One connection: a task that reads and one that serves.

    :param waiting_since: start of the idle time, trio clock, seconds.
    :param _progress_at: when the client last sent or took data, trio clock, seconds.
    """

    _stream: trio.SocketStream
    _handler: HttpHandler
    _limits: WebLimits
    _count_error: ErrorCounter
    _server: H11Server
    waiting_since: float = attrs.field(factory=trio.current_time)
    _progress_at: float = attrs.field(factory=trio.current_time)
    _http: h11.Connection = attrs.field(init=False)
    _arrived: trio.Event = attrs.field(factory=trio.Event)
    _consumed: trio.Event = attrs.field(factory=trio.Event)
    _unread: int = 0
    _is_closed: bool = False
    _is_serving: bool = False
    _request_scope: trio.CancelScope | None = None
    _read_scope: trio.CancelScope | None = None
    _send_scope: trio.CancelScope | None = None
    _body: bytearray = attrs.field(factory=bytearray)
    _holding: Holding = attrs.field(init=False)
    _input_holding: Holding = attrs.field(init=False)
    _is_evicted: bool = False
    _is_rejected: bool = False
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def __attrs_post_init__(self) -> None:
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        self._holding = self._server.account.open(self._evict)
        self._input_holding = self._server.account.open(self._evict)

    def _evict(self) -> None:
        """Drops what is being read, and refuses its request."""
        self._is_evicted = True
        self._body.clear()
        for scope in (self._read_scope, self._send_scope):
            if scope is not None:
                scope.cancel()

    @property
    def is_idle(self) -> bool:
        """True while no byte of a request has been received."""
        return not self._is_serving and not self._scope.cancel_called

    def close_idle(self) -> bool:
        """Ends the connection unless a request is being served or waits unread.

        :returns: true when it is being closed.
        """
        if not self.is_idle or self._has_unread_input():
            return False
        self._scope.cancel()
        return True

    def close_stalled(self, now: float) -> bool:
        """Ends a request whose client neither sends it on nor reads its answer.

        :param now: trio clock, seconds.
        :returns: true when the connection is being closed.
        """
        if self._is_evicted or not self._is_stalled(now):
            return False
        self._evict()
        return True

    def _is_stalled(self, now: float) -> bool:
        is_waiting = self._read_scope is not None or self._send_scope is not None
        return is_waiting and now - self._progress_at > _STALL_SECONDS

    def _has_unread_input(self) -> bool:
        if self._http.trailing_data[0]:
            return True
        # The end of the stream stays readable.
        return not self._is_closed and is_readable(self._stream)

    async def run(self) -> None:
        """Serves the requests of the connection one after the other."""
        holdings = contextlib.ExitStack()
        holdings.callback(self._holding.close)
        holdings.callback(self._input_holding.close)
        with holdings, self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                await self._serve_requests()
                nursery.cancel_scope.cancel()

    async def _receive(self) -> None:
        while not self._is_closed:
            try:
                data = await self._stream.receive_some(_RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            self._is_closed = not data
            self._progress_at = trio.current_time()
            self._feed(data)
            # It would stay in memory while the next input is waited for.
            del data
            if self._is_closed and self._request_scope is not None:
                # The client has gone; its request is cancelled down the chain.
                self._request_scope.cancel()
            if self._unread > _READ_AHEAD_BYTES:
                self._consumed = trio.Event()
                await self._consumed.wait()

    def _feed(self, data: bytes) -> None:
        if self._is_rejected:
            return
        if data:
            self._input_holding.charge(len(data))
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError:
            self._is_closed = True
        self._unread += len(data)
        self._arrived.set()

    async def _serve_requests(self) -> None:
        try:
            # In a drain, the next answer closes the connection.
            while True:
                request = await self._read_request()
                if request is None:
                    return
                # What is read ahead cannot be refused while a request is served.
                self._input_holding.is_settled = True
                if not await self._answer(request):
                    return
                # An idle connection would keep its last body.
                del request
                self._holding.release()
                self._input_holding.is_settled = False
                self._http.start_next_cycle()
                self._is_serving = False
                self.waiting_since = trio.current_time()
        except (h11.RemoteProtocolError, TooLargeError, WebError) as error:
            # Its frames refer to the request.
            rejected = error.with_traceback(None)
            rejected.__cause__ = rejected.__context__ = None
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        # Outside of the handler, which refers to the error as it was raised.
        await self._reject(rejected)

    async def _read_request(self) -> HttpRequest | None:
        has_ended = self._is_closed or self._server.is_draining
        if has_ended and not self._has_unread_input():
            return None
        if not self._http.trailing_data[0] and not await self._wait_for_data():
            return None
        self._is_serving = True
        with trio.move_on_after(self._limits.read_seconds) as self._read_scope:
            head = await self._next_event()
            if not isinstance(head, h11.Request):
                return None
            request = await self._read_body(head)
            self._read_scope = None
            return request
        if self._is_evicted:
            raise OutOfMemoryError("no memory for the body")
        raise MalformedRequestError(
            f"request not complete within {self._limits.read_seconds:g} s", code="slow"
        )

    async def _wait_for_data(self) -> bool:
        self._arrived = trio.Event()
        with trio.move_on_after(self._limits.idle_seconds):
            await self._arrived.wait()
            return True
        return False

    async def _read_body(self, head: h11.Request) -> HttpRequest:
        headers = tuple(head.headers)
        self._holding.charge(_estimate_head(headers))
        if self._is_evicted:
            await trio.lowlevel.checkpoint()
        limit = self._limits.body_bytes
        for name, value in headers:
            if name == b"content-length" and int(value) > limit:
                raise TooLargeError(f"body exceeds {limit} bytes")
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._http.send(go_on))
        body = self._body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            if not body:
                await self._holding.wait_for_room()
            self._recount_input()
            body += event.data
            if len(body) > limit:
                raise TooLargeError(f"body exceeds {limit} bytes")
            self._holding.charge(len(event.data) * _BODY_COPIES)
            if self._is_evicted:
                await trio.lowlevel.checkpoint()
        self._recount_input()
        self._holding.is_settled = True
        self._body = bytearray()
        return HttpRequest(
            method=head.method.decode("ascii").upper(),
            target=head.target.decode("ascii"),
            headers=drop_hop_headers(headers),
            body=bytes(body),
        )

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while (event := self._http.next_event()) is h11.NEED_DATA:
            self._note_consumed()
            self._arrived = trio.Event()
            await self._arrived.wait()
        return event

    def _recount_input(self) -> None:
        """Counts only the input that has not been parsed yet."""
        self._input_holding.release()
        unparsed, _ = self._http.trailing_data
        if unparsed:
            self._input_holding.charge(len(unparsed))

    def _note_consumed(self) -> None:
        self._unread = 0
        self._consumed.set()

    async def _answer(self, request: HttpRequest) -> bool:
        with trio.CancelScope() as scope:
            self._request_scope = scope
            if self._is_closed:
                return False
            response = await self._handle(request)
        self._request_scope = None
        if scope.cancelled_caught or self._is_closed:
            return False
        await self._send_response(response, request.method)
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._handler(request)
        except Exception:
            # One faulty request must not end the process.
            logging.exception("Request %s %s failed", request.method, request.target)
            return HttpResponse(500, ((b"coltsfootspar-error", b"internal"),))

    async def _send_response(self, response: HttpResponse, method: str) -> None:
        headers = list(response.headers)
        has_body = response.status not in _BODYLESS_STATUS
        if has_body:
            headers.append((b"content-length", str(len(response.body)).encode()))
        if self._server.is_draining:
            headers.append((b"connection", b"close"))
        http = self._http
        data = http.send(h11.Response(status_code=response.status, headers=headers))
        if has_body and response.body and method != "HEAD":
            data += http.send(h11.Data(data=response.body))
        data += http.send(h11.EndOfMessage())
        with trio.move_on_after(self._limits.idle_seconds) as scope:
            await self._send(data, scope)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("client does not read its answer")

    async def _send(self, data: bytes, scope: trio.CancelScope) -> None:
        """Sends an answer, which is held until the client has read it.

        :param scope: cancelled when the answer has to give way to others.
        """
        holding, self._send_scope = self._holding, scope
        self._progress_at = trio.current_time()
        # A short one is sent even when the process holds all it may.
        holding.is_settled = len(data) <= _SEND_PIECE_BYTES
        holding.charge(_ANSWER_COPIES * len(data))
        for start in range(0, len(data), _SEND_PIECE_BYTES):
            piece = data[start : start + _SEND_PIECE_BYTES]
            await self._stream.send_all(piece)
            self._progress_at = trio.current_time()
            holding.record_progress(len(piece), self._progress_at)
        self._send_scope = None

    async def _reject(self, error: Exception) -> None:
        if isinstance(error, TooLargeError):
            status, code = 413, error.code
        elif isinstance(error, OutOfMemoryError):
            status, code = 503, error.code
        elif isinstance(error, h11.RemoteProtocolError):
            status, code = error.error_status_hint, "malformed-http"
        else:
            status, code = 408, getattr(error, "code", "malformed-http")
        self._count_error(code)
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = HttpResponse(
            status,
            (
                (b"coltsfootspar-error", code.encode()),
                (b"coltsfootspar-outcome", b"not-run"),
                (b"connection", b"close"),
                (b"content-type", b"text/plain; charset=utf-8"),
            ),
            f"{error}\n".encode(),
        )
        self._body = bytearray()
        self._holding.release()
        with trio.move_on_after(_LINGER_SECONDS):
            try:
                await self._send_response(response, "GET")
                self._drop_input()
                await self._stream.send_eof()
                # Without reading on, closing would reset the connection and the
                # client might never see the answer.
                await trio.sleep(_LINGER_SECONDS)
            except (trio.BrokenResourceError, h11.LocalProtocolError):
                return

    def _drop_input(self) -> None:
        """Frees the input of a rejected request, and all that comes behind it."""
        self._is_rejected = True
        self._http = h11.Connection(h11.SERVER)
        self._body = bytearray()
        self._holding.release()
        self._input_holding.release()
        self._note_consumed()


def _estimate_head(headers: tuple[tuple[bytes, bytes], ...]) -> int:
    """Returns about the memory that a head takes while its request is served, bytes."""
    content = sum(len(name) + len(value) for name, value in headers)
    return len(headers) * _HEADER_BYTES + content * _HEADER_COPIES


def create_h11_server(
    handler: HttpHandler,
    limits: WebLimits | None = None,
    count_error: ErrorCounter = lambda code: None,
    account: MemoryAccount | None = None,
    count: ConnectionCount | None = None,
) -> HttpServer:
    """Creates a server on h11.

    :param handler: answers one request; cancelled when the client goes away.
    :param count_error: called with an error code for each rejected connection.
    :param account: memory held for the connections of the process.
    :param count: accepted connections of the process.
    """
    return H11Server(
        handler,
        limits or WebLimits(),
        count_error,
        account or create_memory_account(),
        count or ConnectionCount(count_allowed_descriptors()),
    )
