"""The backend server beside the node: announcement and calls over HTTP."""

from collections.abc import Callable

import attrs
import trio
from absl import logging

from coltsfootspar.calls import (
    CallReply,
    CallRequest,
    Header,
    Outcome,
    Refusal,
    find_header,
)
from coltsfootspar.exceptions import BackendError, TransferError
from coltsfootspar.node.replies import OUTCOME_HEADER
from coltsfootspar.telemetry import format_traceparent
from coltsfootspar.web import HttpClient, HttpRequest, HttpResponse
from coltsfootspar.wire import Address

__all__ = ["Announcement", "AnnouncedBackend", "create_backend"]

DEADLINE_HEADER = b"coltsfootspar-deadline-ms"
_REPLACED_HEADERS = (
    b"traceparent",
    DEADLINE_HEADER,
    b"coltsfootspar-service",
    b"coltsfootspar-attempt",
)
_UNAVAILABLE = 503
_DEFAULT_RETRY_AFTER = 1.0

ChangeListener = Callable[["Announcement | None"], None]


@attrs.frozen
class Announcement:
    """What a backend server says of itself.

    :param slots: requests that it works on at once.
    :param cold_start_seconds: time that it needs to warm up.
    """

    service: str
    address: Address
    slots: int
    cold_start_seconds: float = 0.0


@attrs.define(eq=False)
class AnnouncedBackend:
    """The backend server as last announced.

    :param announcement: None while there is none.
    """

    _client: HttpClient
    _on_change: ChangeListener
    announcement: Announcement | None = None
    is_leaving: bool = False
    _announced_at: float = 0.0

    def announce(self, announcement: Announcement) -> None:
        """Takes a first or repeated announcement."""
        self._announced_at = trio.current_time()
        if announcement == self.announcement and not self.is_leaving:
            return
        self.announcement = announcement
        self.is_leaving = False
        logging.info("Backend server announced: %s", announcement)
        self._on_change(announcement)

    def leave(self) -> None:
        """Marks the backend server as leaving; its calls go on."""
        if self.announcement is None or self.is_leaving:
            return
        self.is_leaving = True
        logging.info("Backend server of %s is leaving", self.announcement.service)
        self._on_change(None)

    def drop_expired(self, limit: float) -> None:
        """Takes a backend server as gone when it is not announced again.

        :param limit: longest time between two announcements, seconds.
        """
        age = trio.current_time() - self._announced_at
        if self.announcement is not None and not self.is_leaving and age > limit:
            logging.warning("No announcement for %.1f s", age)
            self.leave()

    async def execute(self, request: CallRequest) -> CallReply:
        """Sends a request to the backend server and reads its whole answer."""
        announcement = self.announcement
        if announcement is None or announcement.service != request.service:
            raise BackendError(
                f"no backend server of {request.service} here",
                may_have_run=False,
                code="no-backend-server",
            )
        is_once = request.context.idempotency_key is not None
        try:
            response = await self._client.send(
                announcement.address, _create_http_request(request), fresh=is_once
            )
        except TransferError as error:
            raise BackendError(
                f"backend server of {request.service}: {error}",
                may_have_run=error.may_have_run,
            ) from error
        return _create_reply(response)


def _create_http_request(request: CallRequest) -> HttpRequest:
    context = request.context
    remaining = max(0, int(context.compute_remaining() * 1e3))
    headers: list[Header] = [
        pair for pair in request.headers if pair[0] not in _REPLACED_HEADERS
    ]
    traceparent = format_traceparent(context.trace_id, context.parent_span_id)
    headers.append((b"traceparent", traceparent))
    headers.append((DEADLINE_HEADER, str(remaining).encode()))
    return HttpRequest(request.method, request.path, tuple(headers), request.body)


def _create_reply(response: HttpResponse) -> CallReply:
    said = find_header(response.headers, OUTCOME_HEADER)
    is_shed = response.status == _UNAVAILABLE and said == Outcome.NOT_RUN.encode()
    refusal = None
    if is_shed:
        refusal = Refusal("backend-shed", _read_retry_after(response))
    return CallReply(
        status=response.status,
        headers=tuple(pair for pair in response.headers if pair[0] != OUTCOME_HEADER),
        body=response.body,
        outcome=Outcome.NOT_RUN if is_shed else Outcome.RAN,
        refusal=refusal,
    )


def _read_retry_after(response: HttpResponse) -> float:
    value = find_header(response.headers, b"retry-after") or b""
    return float(value) if value.isdigit() else _DEFAULT_RETRY_AFTER


def create_backend(client: HttpClient, on_change: ChangeListener) -> AnnouncedBackend:
    """Creates the view of a backend server that has yet to announce itself.

    :param on_change: called with a new announcement, or None when the backend
        server leaves.
    """
    return AnnouncedBackend(client, on_change)
