"""HTTP server on hypercorn."""

import math
from collections.abc import Callable

import attrs
import hypercorn.trio
import trio
from hypercorn.config import Config

from coltsfootspar.web.headers import drop_hop_headers
from coltsfootspar.web.interfaces import (
    HttpHandler,
    HttpRequest,
    HttpResponse,
    HttpServer,
    WebLimits,
)
from coltsfootspar.wire import Address

__all__ = ["create_hypercorn_server"]

# Hypercorn closes a connection after 1,000 requests by default; a client that
# has just sent a request on it sees a reset and cannot know the outcome.
_REQUESTS_PER_CONNECTION = 1_000_000_000
_TOO_LARGE = HttpResponse(413, ((b"coltsfootspar-error", b"too-large"),))


@attrs.define(eq=False)
class HypercornServer:
    """Serves HTTP with hypercorn."""

    _handler: HttpHandler
    _limits: WebLimits
    _stop: trio.Event = attrs.field(factory=trio.Event)
    _stopped: trio.Event = attrs.field(factory=trio.Event)

    async def serve(
        self,
        address: Address,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled; reports the bound :class:`Address`."""
        config = Config()
        config.bind = [str(address)]
        config.errorlog = None
        config.keep_alive_max_requests = _REQUESTS_PER_CONNECTION
        # Whoever drains the server limits the time.
        config.graceful_timeout = math.inf
        config.keep_alive_timeout = self._limits.idle_seconds
        config.h11_max_incomplete_size = self._limits.header_bytes
        async with trio.open_nursery() as nursery:
            (bound,) = await nursery.start(self._run, config)
            host, port = bound.removeprefix("http://").rsplit(":", 1)
            task_status.started(Address(host.strip("[]"), int(port)))

    async def _run(self, config: Config, task_status: trio.TaskStatus) -> None:
        try:
            await hypercorn.trio.serve(
                self._run_app,
                config,
                shutdown_trigger=self._stop.wait,
                task_status=task_status,
                mode="asgi",
            )
        finally:
            self._stopped.set()

    async def drain(self) -> None:
        """Accepts no more connections and waits for requests in progress."""
        self._stop.set()
        await self._stopped.wait()

    async def _run_app(self, scope: dict, receive: Callable, send: Callable) -> None:
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        body = await _read_body(receive, self._limits.body_bytes)
        if body is None:
            await _send_response(send, _TOO_LARGE)
            return
        query = scope["query_string"].decode("ascii")
        target = scope["raw_path"].decode("ascii") + (f"?{query}" if query else "")
        request = HttpRequest(
            method=scope["method"],
            target=target,
            headers=drop_hop_headers(
                (bytes(name), bytes(value)) for name, value in scope["headers"]
            ),
            body=body,
        )
        response = await self._handle_until_disconnect(request, receive)
        if response is not None:
            await _send_response(send, response)

    async def _handle_until_disconnect(
        self, request: HttpRequest, receive: Callable
    ) -> HttpResponse | None:
        response = None
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            response = await self._handler(request)
            nursery.cancel_scope.cancel()
        return response


async def _serve_lifespan(receive: Callable, send: Callable) -> None:
    while True:
        kind = (await receive())["type"]
        await send({"type": f"{kind}.complete"})
        if kind == "lifespan.shutdown":
            return


async def _read_body(receive: Callable, limit: int) -> bytes | None:
    body = bytearray()
    while True:
        message = await receive()
        body += message.get("body", b"")
        if len(body) > limit:
            return None
        if not message.get("more_body", False):
            return bytes(body)


async def _send_response(send: Callable, response: HttpResponse) -> None:
    length = str(len(response.body)).encode()
    headers = [*response.headers, (b"content-length", length)]
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": response.body})


def create_hypercorn_server(
    handler: HttpHandler, limits: WebLimits | None = None
) -> HttpServer:
    """Creates a server on hypercorn."""
    return HypercornServer(handler, limits or WebLimits())
