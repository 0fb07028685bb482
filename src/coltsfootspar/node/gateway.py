"""Calls over HTTP from clients and from the own backend server."""

import collections
import json

import attrs
import trio

from coltsfootspar.calls import CallReply, Outcome, find_header
from coltsfootspar.exceptions import WireError
from coltsfootspar.node.backend import (
    DEADLINE_HEADER,
    AnnouncedBackend,
    Announcement,
)
from coltsfootspar.node.interfaces import IncomingCall, TableView
from coltsfootspar.node.pipeline import Pipeline
from coltsfootspar.node.replies import (
    ERROR_HEADER,
    OUTCOME_HEADER,
    create_error_reply,
)
from coltsfootspar.telemetry import NodeMetrics, parse_traceparent
from coltsfootspar.web import HttpRequest, HttpResponse
from coltsfootspar.wire import Address, parse_address

__all__ = ["Gateway", "create_gateway"]

BACKEND_PATH = "/coltsfootspar/backend"
SERVICE_HEADER = b"coltsfootspar-service"
ATTEMPT_HEADER = b"coltsfootspar-attempt"
_RECENT_REQUESTS = 10_000
_RECENT_SECONDS = 30.0
_MAX_SLOTS = 100_000


@attrs.define(eq=False)
class _RecentRequests:
    """Remembers ids of requests, so that a client's retry is known as one."""

    _seen: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )

    def add(self, key: str) -> bool:
        """Adds an id.

        :returns: true when it was added a short time before.
        """
        now = trio.current_time()
        last = self._seen.pop(key, None)
        self._seen[key] = now
        if len(self._seen) > _RECENT_REQUESTS:
            self._seen.popitem(last=False)
        return last is not None and now - last <= _RECENT_SECONDS


@attrs.define(eq=False)
class Gateway:
    """Turns HTTP requests into calls and replies into HTTP responses."""

    _pipeline: Pipeline
    _table: TableView
    _backend: AnnouncedBackend
    _metrics: NodeMetrics
    _recent: _RecentRequests = attrs.field(factory=_RecentRequests)

    async def handle_inbound(self, request: HttpRequest) -> HttpResponse:
        """Answers a client outside the call graph."""
        return await self._handle_call(request, is_internal=False)

    async def handle_outbound(self, request: HttpRequest) -> HttpResponse:
        """Answers the own backend server: its calls and its announcement."""
        if request.target == BACKEND_PATH:
            return self._handle_announcement(request)
        return await self._handle_call(request, is_internal=True)

    async def _handle_call(
        self, request: HttpRequest, *, is_internal: bool
    ) -> HttpResponse:
        start = trio.current_time()
        try:
            call = self._create_call(request, is_internal=is_internal)
        except ValueError as error:
            reply = create_error_reply("malformed-http", str(error), Outcome.NOT_RUN)
            row = ""
        else:
            reply = await self._pipeline.enter(call)
            row = self._find_row_name(call)
        code = (find_header(reply.headers, ERROR_HEADER) or b"").decode()
        seconds = trio.current_time() - start
        self._metrics.record_answer(row, reply.outcome, code, reply.status, seconds)
        return _create_response(reply)

    def _find_row_name(self, call: IncomingCall) -> str:
        # Only names of rows become labels: clients must not be able to create
        # time series.
        row = self._table.matcher.find(call.service, call.method, call.path)
        return row.name if row is not None else ""

    def _create_call(self, request: HttpRequest, *, is_internal: bool) -> IncomingCall:
        headers = request.headers
        trace = parse_traceparent(find_header(headers, b"traceparent"))
        key = find_header(headers, b"idempotency-key")
        key = key.decode("latin-1") if key is not None else None
        return IncomingCall(
            service=_find_service(request),
            method=request.method,
            path=request.target,
            headers=headers,
            body=request.body,
            trace_id=trace.trace_id,
            parent_span_id=trace.parent_span_id,
            is_internal=is_internal,
            deadline_ms=_read_number(request, DEADLINE_HEADER),
            idempotency_key=key,
            is_client_retry=not is_internal
            and self._is_client_retry(request, trace.trace_id, key),
        )

    def _is_client_retry(
        self, request: HttpRequest, trace_id: str, key: str | None
    ) -> bool:
        seen = self._recent.add(f"{request.method} {request.target} {key or trace_id}")
        attempt = _read_number(request, ATTEMPT_HEADER)
        return seen or (attempt is not None and attempt > 1)

    def _handle_announcement(self, request: HttpRequest) -> HttpResponse:
        if request.method == "DELETE":
            self._backend.leave()
            return HttpResponse(204)
        if request.method != "PUT":
            return HttpResponse(405, ((b"allow", b"PUT, DELETE"),))
        try:
            announcement = _parse_announcement(request.body)
        except (ValueError, TypeError, KeyError, WireError) as error:
            message = f"announcement is not valid: {error!r}\n"
            return HttpResponse(
                400, ((ERROR_HEADER, b"announcement"),), message.encode()
            )
        self._backend.announce(announcement)
        return HttpResponse(204)


def _find_service(request: HttpRequest) -> str:
    named = find_header(request.headers, SERVICE_HEADER)
    host = find_header(request.headers, b"host") or b""
    service = named or host.partition(b":")[0].partition(b".")[0]
    return service.decode("latin-1").lower()


def _read_number(request: HttpRequest, name: bytes) -> int | None:
    value = find_header(request.headers, name)
    if value is None:
        return None
    if not value.isdigit():
        raise ValueError(f"header {name.decode()} is not a whole number")
    return int(value)


def _parse_announcement(body: bytes) -> Announcement:
    content = json.loads(body)
    slots = int(content["slots"])
    cold_start = float(content.get("cold_start_seconds", 0.0))
    if not 1 <= slots <= _MAX_SLOTS:
        raise ValueError(f"slots must be from 1 to {_MAX_SLOTS}")
    if not 0 <= cold_start < float("inf"):
        raise ValueError("cold_start_seconds must not be negative")
    address: Address = parse_address(f"{content['host']}:{int(content['port'])}")
    return Announcement(str(content["service"]), address, slots, cold_start)


def _create_response(reply: CallReply) -> HttpResponse:
    headers = tuple(pair for pair in reply.headers if pair[0] != OUTCOME_HEADER)
    outcome = (OUTCOME_HEADER, reply.outcome.value.encode())
    return HttpResponse(reply.status, (*headers, outcome), reply.body)


def create_gateway(
    pipeline: Pipeline,
    table: TableView,
    backend: AnnouncedBackend,
    metrics: NodeMetrics,
) -> Gateway:
    """Creates the HTTP side of a node."""
    return Gateway(pipeline, table, backend, metrics)
