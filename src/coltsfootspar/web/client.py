"""HTTP client on h11 with a pool of connections for each address."""

import select

import attrs
import h11
import trio

from coltsfootspar.exceptions import TransferError
from coltsfootspar.web.headers import drop_hop_headers, require_complete_head
from coltsfootspar.web.interfaces import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    WebLimits,
)
from coltsfootspar.web.sockets import set_socket_options
from coltsfootspar.wire import Address
from coltsfootspar.wire.locks import hold_lock

__all__ = ["create_h11_client"]

_RECEIVE_BYTES = 64 << 10
_MAX_INTERIM_RESPONSES = 16


@attrs.define(eq=False)
class _ClientConnection:
    stream: trio.SocketStream
    http: h11.Connection
    idle_since: float = 0.0

    def is_reusable(self, now: float, idle_seconds: float) -> bool:
        """Tells whether the server has left an idle connection open."""
        if now - self.idle_since > idle_seconds:
            return False
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        # Data or an end of stream on an idle connection: the server closed it.
        return not poll.poll(0)

    async def exchange(self, request: HttpRequest, limit: int) -> HttpResponse:
        """Sends a request and reads the whole response.

        :param limit: largest body, bytes.
        """
        await self.stream.send_all(self._encode(request))
        event = await self._next_event()
        interim_responses = 0
        while isinstance(event, h11.InformationalResponse):
            interim_responses += 1
            if interim_responses > _MAX_INTERIM_RESPONSES:
                raise h11.RemoteProtocolError("too many interim responses")
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise h11.RemoteProtocolError("connection closed before the response")
        require_complete_head(event.status_code, event.headers, request.method)
        body = bytearray()
        while isinstance(data := await self._next_event(), h11.Data):
            body += data.data
            if len(body) > limit:
                raise h11.RemoteProtocolError(f"response body exceeds {limit} bytes")
        return HttpResponse(
            status=event.status_code,
            headers=drop_hop_headers(event.headers),
            body=bytes(body),
        )

    def _encode(self, request: HttpRequest) -> bytes:
        headers = list(request.headers)
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = self.http.send(head)
        if request.body:
            data += self.http.send(h11.Data(data=request.body))
        return data + self.http.send(h11.EndOfMessage())

    async def _next_event(self) -> h11.Event:
        while (event := self.http.next_event()) is h11.NEED_DATA:
            self.http.receive_data(await self.stream.receive_some(_RECEIVE_BYTES))
        return event


@attrs.define(eq=False)
class H11Client:
    """HTTP/1.1 client with h11."""

    _limits: WebLimits
    _idle: dict[Address, list[_ClientConnection]] = attrs.field(factory=dict)
    _slots: trio.CapacityLimiter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._slots = trio.CapacityLimiter(self._limits.connections)

    async def send(
        self, address: Address, request: HttpRequest, *, fresh: bool = False
    ) -> HttpResponse:
        """Sends a request and reads the whole response."""
        async with hold_lock(self._slots):
            connection = self._take_idle(address) if not fresh else None
            if connection is None:
                connection = await self._connect(address)
            is_kept = False
            try:
                response = await connection.exchange(request, self._limits.body_bytes)
                is_kept = self._keep(address, connection)
            except (
                OSError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                h11.RemoteProtocolError,
            ) as error:
                raise TransferError(str(error), may_have_run=True) from error
            except h11.LocalProtocolError as error:
                raise TransferError(str(error), may_have_run=False) from error
            else:
                return response
            finally:
                if not is_kept:
                    await trio.aclose_forcefully(connection.stream)

    def _take_idle(self, address: Address) -> _ClientConnection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable(trio.current_time(), self._limits.idle_seconds):
                return connection
            connection.stream.socket.close()
        return None

    async def _connect(self, address: Address) -> _ClientConnection:
        with trio.move_on_after(self._limits.connect_seconds):
            try:
                stream = await trio.open_tcp_stream(address.host, address.port)
            except OSError as error:
                raise TransferError(
                    f"cannot connect to {address}: {error}", may_have_run=False
                ) from error
            set_socket_options(stream)
            size = self._limits.header_bytes
            http = h11.Connection(h11.CLIENT, max_incomplete_event_size=size)
            return _ClientConnection(stream, http)
        raise TransferError(
            f"no connection to {address} within {self._limits.connect_seconds:g} s",
            may_have_run=False,
        )

    def _keep(self, address: Address, connection: _ClientConnection) -> bool:
        http = connection.http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        extra, _ = http.trailing_data
        if extra:
            return False
        http.start_next_cycle()
        connection.idle_since = trio.current_time()
        self._idle.setdefault(address, []).append(connection)
        return True


def create_h11_client(limits: WebLimits | None = None) -> HttpClient:
    """Creates a client on h11."""
    return H11Client(limits or WebLimits())
