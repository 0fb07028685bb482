"""Requests to the admin interface of a node or replica."""

import time
import urllib.parse
from typing import Any

import attrs
import httpcore
import orjson

from coltsfootspar.exceptions import (
    ClientError,
    ConflictError,
    ServerError,
    UnreachableError,
)

__all__ = ["AdminConnection", "open_connection"]

# A node asks the replicas and all other nodes for some answers.
_TIMEOUT_SECONDS = 15.0
_CONNECT_SECONDS = 3.0
# The server answers a long poll after 25 s at the latest.
_WATCH_SECONDS = 60.0
_ATTEMPTS = 3
_RETRY_SECONDS = 0.3

_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
_LOST_REPLIES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@attrs.define(eq=False)
class AdminConnection:
    """HTTP connection to one server.

    Requests are sent again after a lost reply. That is safe for all of them:
    they read, or set a state, or carry a change id.
    """

    _server: str
    _pool: httpcore.ConnectionPool
    _attempts: int = _ATTEMPTS
    _retry_seconds: float = _RETRY_SECONDS

    def get(self, path: str, **query: object) -> Any:
        """Reads a path.

        :raises ServerError: when the server answers with an error.
        :raises UnreachableError: when there is no whole answer.
        """
        return self._request("GET", _add_query(path, query), b"", _TIMEOUT_SECONDS)

    def watch(self, path: str, **query: object) -> Any:
        """Reads a path whose answer may take as long as a long poll."""
        return self._request("GET", _add_query(path, query), b"", _WATCH_SECONDS)

    def post(self, path: str, content: Any = None) -> Any:
        """Sends a change as JSON.

        :raises ConflictError: when a cell is not at its expected version.
        :raises ServerError: when the server answers with another error.
        :raises UnreachableError: when there is no whole answer.
        """
        body = b"" if content is None else orjson.dumps(content)
        return self._request("POST", path, body, _TIMEOUT_SECONDS)

    def close(self) -> None:
        """Closes the connection."""
        self._pool.close()

    def _request(self, method: str, target: str, body: bytes, timeout: float) -> Any:
        may_have_run = False
        for attempt in range(1, self._attempts + 1):
            try:
                response = self._send(method, target, body, timeout)
                return _read_response(response)
            except _CONNECT_ERRORS as error:
                last = error
            except _LOST_REPLIES as error:
                may_have_run = True
                last = error
            if attempt < self._attempts:
                time.sleep(self._retry_seconds * attempt)
        reason = str(last) or type(last).__name__
        raise UnreachableError(
            f"{self._server} cannot be reached: {reason}", may_have_run=may_have_run
        ) from last

    def _send(
        self, method: str, target: str, body: bytes, timeout: float
    ) -> httpcore.Response:
        headers = [("accept", "application/json")]
        if body:
            headers.append(("content-type", "application/json"))
        limits = {
            "connect": _CONNECT_SECONDS,
            "read": timeout,
            "write": timeout,
            "pool": timeout,
        }
        return self._pool.request(
            method,
            self._server + target,
            headers=headers,
            content=body,
            extensions={"timeout": limits},
        )


def open_connection(server: str) -> AdminConnection:
    """Prepares a connection; nothing is sent yet.

    :param server: URL such as ``http://127.0.0.1:7400``.
    :raises ClientError: when the URL is not valid.
    """
    parts = urllib.parse.urlsplit(server)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ClientError(f"server {server!r} is not http://HOST:PORT", code="url")
    return AdminConnection(server.rstrip("/"), httpcore.ConnectionPool())


def _add_query(path: str, query: dict[str, object]) -> str:
    return f"{path}?{urllib.parse.urlencode(query)}" if query else path


def _read_response(response: httpcore.Response) -> Any:
    try:
        content = orjson.loads(response.content)
    except orjson.JSONDecodeError as error:
        raise ServerError(
            f"the answer with status {response.status} is not JSON",
            status=response.status,
            code="malformed-answer",
        ) from error
    if response.status == 200:
        return content
    raise _create_error(response.status, content)


def _create_error(status: int, content: Any) -> ClientError | ConflictError:
    fields = content if isinstance(content, dict) else {}
    message = str(fields.get("message", f"status {status}"))
    if status == 409 and "version" in fields:
        return ConflictError(
            message, value=fields.get("value"), version=fields["version"]
        )
    may_have_run = fields.get("may_have_run") is True
    code = fields.get("code")
    return ServerError(message, status=status, code=code, may_have_run=may_have_run)
