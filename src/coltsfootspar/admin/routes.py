"""JSON over HTTP for operators: paths, handlers and errors."""

import contextlib
import re
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import orjson
from absl import logging

from coltsfootspar.exceptions import (
    ColtsfootsparError,
    ConflictError,
    NoQuorumError,
    TableError,
    WebError,
)
from coltsfootspar.memory import (
    MemoryAccount,
    create_memory_account,
    estimate_decoded_bytes,
)
from coltsfootspar.web import HttpRequest, HttpResponse

__all__ = ["AdminRequest", "AdminRouter", "RawAnswer", "create_admin_router"]

_JSON = (b"content-type", b"application/json")
# Memory of a decoded body from which on it is refused while the process holds much.
_LARGE_CONTENT_BYTES = 65_536


@attrs.frozen
class AdminRequest:
    """A request of an operator.

    :param parameters: values from the path.
    :param query: values from the query string.
    :param content: decoded JSON body, None without a body.
    """

    parameters: dict[str, str]
    query: dict[str, str]
    content: Any

    def read_number(self, name: str, default: int, maximum: int) -> int:
        """Reads a whole number from the query string.

        :raises WebError: when it is not one from 0 to ``maximum``.
        """
        value = self.query.get(name, str(default))
        if not value.isdecimal() or int(value) > maximum:
            raise WebError(
                f"query parameter {name!r}: {value!r} is not a whole number from 0 "
                f"to {maximum}",
                code="query",
            )
        return int(value)


@attrs.frozen
class RawAnswer:
    """An answer that is not JSON."""

    body: bytes
    content_type: bytes


AdminHandler = Callable[[AdminRequest], Awaitable[Any]]


@attrs.define(eq=False)
class AdminRouter:
    """Finds the handler of a request and encodes its answer as JSON."""

    _account: MemoryAccount
    _routes: list[tuple[str, re.Pattern[str], AdminHandler]] = attrs.field(factory=list)

    def add(self, method: str, path: str, handler: AdminHandler) -> None:
        """Adds a handler.

        :param path: path; ``{name}`` stands for one segment.
        :param handler: returns a value for JSON or a :class:`RawAnswer`.
        """
        form = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", path)
        self._routes.append((method, re.compile(form), handler))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answers a request."""
        path, _, query = request.target.partition("?")
        methods = set()
        for method, form, handler in self._routes:
            match = form.fullmatch(path)
            if match and method == request.method:
                return await self._run(handler, request, match.groupdict(), query)
            if match:
                methods.add(method)
        if methods:
            return _create_error(
                "method", f"allowed: {', '.join(sorted(methods))}", 405
            )
        return _create_error("no-path", f"no path {path}", 404)

    async def _run(
        self,
        handler: AdminHandler,
        request: HttpRequest,
        parameters: dict[str, str],
        query: str,
    ) -> HttpResponse:
        size = estimate_decoded_bytes(request.body)
        if size > self._account.budget_bytes:
            text = "the body takes too much memory once it is decoded"
            return _create_error("too-dense", text, 413)
        if size > _LARGE_CONTENT_BYTES and self._account.is_crowded:
            return _create_error("no-memory", "the process holds too much", 503)
        with contextlib.closing(self._account.open_settled(size)):
            return await self._run_counted(handler, request, parameters, query)

    async def _run_counted(
        self,
        handler: AdminHandler,
        request: HttpRequest,
        parameters: dict[str, str],
        query: str,
    ) -> HttpResponse:
        try:
            content = orjson.loads(request.body) if request.body else None
        except orjson.JSONDecodeError as error:
            return _create_error("malformed-json", str(error), 400)
        try:
            answer = await handler(
                AdminRequest(parameters, dict(urllib.parse.parse_qsl(query)), content)
            )
        except ColtsfootsparError as error:
            return _describe_error(error)
        except Exception:
            # One faulty request must not end the process.
            logging.exception("Admin request %s failed", request.target)
            return _create_error("internal", "internal error", 500)
        if isinstance(answer, RawAnswer):
            headers = ((b"content-type", answer.content_type),)
            return HttpResponse(200, headers, answer.body)
        return HttpResponse(200, (_JSON,), orjson.dumps(answer))


def _describe_error(error: ColtsfootsparError) -> HttpResponse:
    if isinstance(error, ConflictError):
        extra = {"value": error.value, "version": error.version}
        return _create_error(error.code, str(error), 409, **extra)
    status = 503
    if isinstance(error, TableError | WebError):
        status = 404 if error.code.startswith("no-") else 400
    if isinstance(error, NoQuorumError):
        return _create_error(
            error.code, str(error), status, may_have_run=error.may_have_run
        )
    return _create_error(error.code, str(error), status)


def _create_error(code: str, message: str, status: int, **extra: Any) -> HttpResponse:
    content = {"code": code, "message": message, **extra}
    return HttpResponse(status, (_JSON,), orjson.dumps(content))


def create_admin_router(account: MemoryAccount | None = None) -> AdminRouter:
    """Creates a router without handlers.

    :param account: memory held for the connections of the process.
    """
    return AdminRouter(account or create_memory_account())
