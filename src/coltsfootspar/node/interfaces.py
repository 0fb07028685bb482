"""What the pipeline needs from the backend server's side and from the table."""

from typing import Protocol

import attrs

from coltsfootspar.calls import CallReply, CallRequest, Header
from coltsfootspar.table import RowMatcher

__all__ = ["BackendServer", "IncomingCall", "TableView"]


class BackendServer(Protocol):
    """The backend server beside the node."""

    async def execute(self, request: CallRequest) -> CallReply:
        """Sends a request to the backend server and reads its whole answer.

        Cancelling the wait cancels the work of the backend server.

        :raises BackendError: when there is no whole answer.
        """


class TableView(Protocol):
    """The node's copy of the table."""

    @property
    def matcher(self) -> RowMatcher:
        """Rows of the present version."""


@attrs.frozen
class IncomingCall:
    """A call as it comes from a client or from the own backend server.

    :param trace_id: W3C trace id from ``traceparent``, or a new one.
    :param parent_span_id: W3C span id from ``traceparent``, or empty.
    :param is_internal: true when it comes from the own backend server.
    :param deadline_ms: value of ``Coltsfootspar-Deadline-Ms``, or None.
    :param is_client_retry: true when the client has sent it before.
    """

    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    trace_id: str
    parent_span_id: str = ""
    is_internal: bool = False
    deadline_ms: int | None = None
    idempotency_key: str | None = None
    is_client_retry: bool = False
