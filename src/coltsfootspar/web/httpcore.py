"""HTTP client on the connection pool of httpcore."""

import attrs
import httpcore

from coltsfootspar.exceptions import TransferError
from coltsfootspar.web.headers import drop_hop_headers, require_complete_head
from coltsfootspar.web.interfaces import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    WebLimits,
)
from coltsfootspar.wire import Address

__all__ = ["create_httpcore_client"]

_NOT_CONNECTED = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)


@attrs.define(eq=False)
class HttpcoreClient:
    """HTTP/1.1 client with httpcore."""

    _limits: WebLimits
    _pool: httpcore.AsyncConnectionPool

    async def send(
        self, address: Address, request: HttpRequest, *, fresh: bool = False
    ) -> HttpResponse:
        """Sends a request and reads the whole response."""
        headers = list(request.headers)
        if fresh:
            headers.append((b"connection", b"close"))
        timeout = {"connect": self._limits.connect_seconds}
        pool = self._create_pool(1) if fresh else self._pool
        try:
            async with pool.stream(
                request.method.encode(),
                f"http://{address}{request.target}",
                headers=headers,
                content=request.body or None,
                extensions={"timeout": timeout},
            ) as response:
                require_complete_head(response.status, response.headers, request.method)
                body = await self._read_body(response)
        except _NOT_CONNECTED as error:
            raise TransferError(str(error), may_have_run=False) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise TransferError(str(error), may_have_run=True) from error
        finally:
            if fresh:
                await pool.aclose()
        pairs = tuple((name.lower(), value) for name, value in response.headers)
        return HttpResponse(response.status, drop_hop_headers(pairs), body)

    async def _read_body(self, response: httpcore.Response) -> bytes:
        body = bytearray()
        async for piece in response.aiter_stream():
            body += piece
            if len(body) > self._limits.body_bytes:
                raise TransferError("response body is too large", may_have_run=True)
        return bytes(body)

    def _create_pool(self, size: int) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(max_connections=size)


def create_httpcore_client(limits: WebLimits | None = None) -> HttpClient:
    """Creates a client on httpcore."""
    limits = limits or WebLimits()
    pool = httpcore.AsyncConnectionPool(
        max_connections=limits.connections, keepalive_expiry=limits.idle_seconds
    )
    return HttpcoreClient(limits, pool)
