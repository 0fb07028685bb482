"""HTTP as the node needs it, whatever the library below."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs
import trio

from coltsfootspar.calls import Header
from coltsfootspar.wire import Address

__all__ = [
    "HttpClient",
    "HttpHandler",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "WebLimits",
]


@attrs.frozen
class HttpRequest:
    """One request.

    :param method: upper case.
    :param target: path with query string.
    :param headers: pairs, names in lower case, without hop-by-hop headers.
    """

    method: str
    target: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@attrs.frozen
class HttpResponse:
    """One whole response."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@attrs.frozen
class WebLimits:
    """Limits of servers and clients.

    :param header_bytes: largest size of the headers of a message.
    :param body_bytes: largest size of a body.
    :param connections: most open connections.
    :param idle_seconds: an idle connection is closed after this time.
    :param read_seconds: a request that has begun must be complete in this time.
    :param connect_seconds: time limit for opening a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 16_777_216
    connections: int = 2_000
    idle_seconds: float = 75.0
    read_seconds: float = 10.0
    connect_seconds: float = 0.5


HttpHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServer(Protocol):
    """Serves HTTP on one address."""

    async def serve(
        self,
        address: Address,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled; reports the bound :class:`Address`."""

    async def drain(self) -> None:
        """Accepts no more connections and waits for requests in progress."""


class HttpClient(Protocol):
    """Sends HTTP requests."""

    async def send(
        self, address: Address, request: HttpRequest, *, fresh: bool = False
    ) -> HttpResponse:
        """Sends a request and reads the whole response.

        :param fresh: opens a new connection, so that a stale one cannot leave
            the outcome unknown.
        :raises TransferError: when there is no whole response.
        """
