"""Calls between nodes: the header that describes a call, and replies."""

import enum
from collections.abc import Awaitable, Callable

import attrs

from coltsfootspar.calls import Outcome
from coltsfootspar.exceptions import MalformedRequestError
from coltsfootspar.relay.client import ClientConnection, StreamedBody
from coltsfootspar.relay.messages import Headers, Response, filter_headers

__all__ = [
    "CALL_HEADER",
    "ERROR_HEADER",
    "INTERNAL_HEADERS",
    "LOAD_HEADER",
    "OUTCOME_HEADER",
    "Call",
    "HeaderNames",
    "PriorityClass",
    "Load",
    "OutgoingCall",
    "Reply",
    "create_refusal",
    "create_reply",
    "decode_call_header",
    "decode_load",
    "do_nothing",
    "encode_call_header",
    "encode_load",
]

CALL_HEADER = b"Coltsfootspar-Call"
OUTCOME_HEADER = b"Coltsfootspar-Outcome"
ERROR_HEADER = b"Coltsfootspar-Error"
LOAD_HEADER = b"Coltsfootspar-Load"
INTERNAL_HEADERS = frozenset(
    name.lower() for name in (CALL_HEADER, OUTCOME_HEADER, ERROR_HEADER, LOAD_HEADER)
)
_SEPARATOR = b";"
_CALL_FIELDS = 7


@attrs.frozen
class HeaderNames:
    """Names of the headers that callers, nodes and backend servers exchange.

    :param request_id: id of one attempt of a client, repeated in the response.
    :param deadline_ms: time that is left, milliseconds.
    :param not_run: set by a backend server on a response that says that it did
        not run the request.
    :param caller: service on whose host the request began.
    :param instance: id of the backend server that has to answer.
    :param replaced: lower-case names of headers that a node does not pass on as
        they came, since it sets or answers them itself.
    """

    request_id: bytes = b"Coltsfootspar-Request"
    deadline_ms: bytes = b"Coltsfootspar-Deadline-Ms"
    not_run: bytes = b"Coltsfootspar-Not-Run"
    caller: bytes = b"Coltsfootspar-Caller"
    instance: bytes = b"Coltsfootspar-Instance"
    replaced: frozenset[bytes] = attrs.field(init=False)

    @replaced.default
    def _collect_replaced(self) -> frozenset[bytes]:
        own = (b"Expect", self.deadline_ms, self.instance, self.caller)
        return INTERNAL_HEADERS.union(name.lower() for name in own)


class PriorityClass(enum.IntEnum):
    """Priority of a call for a slot; the smallest value goes first."""

    # Calls made by a backend server while it serves a request: refusing them wastes
    # the work already done for that request.
    NESTED = 0
    NEW = 1


@attrs.frozen
class Call:
    """What the node of a backend server has to know of a call.

    :param deadline: trio clock, seconds; travels as the time that is left.
    :param rank: rank of the route, 0 for the most important.
    :param target_latency: time within which an answer has its full value, seconds.
    :param caller: service on whose host the request began.
    """

    service: str
    deadline: float
    rank: int
    is_idempotent: bool
    priority_class: PriorityClass
    target_latency: float
    caller: str


@attrs.frozen
class Load:
    """How busy a backend server is, as its node sees it.

    :param in_use: calls in progress.
    :param limit: calls that may be in progress at once.
    :param waiting: calls that wait for a slot.
    """

    in_use: int
    limit: int
    waiting: int

    @property
    def ratio(self) -> float:
        """Calls in progress and waiting, as a share of the limit."""
        return (self.in_use + self.waiting) / max(1, self.limit)


def do_nothing() -> None:
    """Finishes a reply that holds nothing."""


@attrs.frozen
class Reply:
    """The answer to a call.

    :param body: the whole body, or what of it has arrived.
    :param read: returns the next piece of the body, for one that is incomplete.
    :param error: why the system answers in place of the backend server.
    :param length: announced length of an incomplete body.
    :param finish: to be called once the body was read or is not wanted.
    """

    status: int
    headers: Headers
    body: bytes
    outcome: Outcome
    reason: bytes = b""
    error: str = ""
    read: Callable[[], Awaitable[bytes]] | None = None
    length: int | None = None
    load: Load | None = None
    finish: Callable[[], None] = do_nothing


@attrs.frozen
class OutgoingCall:
    """A request on its way to a backend server.

    :param headers: headers of the request that concern more than one connection.
    :param body: the whole body; None without one.
    :param stream: the body, when it is too long to be held.
    """

    call: Call
    method: bytes
    target: bytes
    headers: Headers
    request_id: bytes | None
    body: bytes | None
    stream: StreamedBody | None = None

    @property
    def is_retryable(self) -> bool:
        """True when it may run more than once and its body is at hand."""
        return self.call.is_idempotent and self.stream is None


def create_reply(
    connection: ClientConnection,
    response: Response,
    outcome: Outcome,
    *,
    error: str = "",
    load: Load | None = None,
    finish: Callable[[], None],
) -> Reply:
    """Creates the reply from a response, whose body may still be arriving.

    :param connection: where the rest of the body is read.
    """

    async def read() -> bytes:
        return await connection.read_body(response)

    return Reply(
        response.status,
        filter_headers(response, INTERNAL_HEADERS),
        response.take_body(),
        outcome,
        response.reason,
        error,
        None if response.is_complete else read,
        response.content_length,
        load,
        finish,
    )


def create_refusal(
    error: str,
    outcome: Outcome = Outcome.NOT_RUN,
    *,
    status: int = 503,
    load: Load | None = None,
) -> Reply:
    """Creates the answer of a node to a call that its backend server did not
    answer."""
    return Reply(status, [], b"", outcome, error=error, load=load)


def encode_call_header(call: Call, now: float) -> bytes:
    """Encodes what the next node has to know.

    :param now: trio clock, seconds.
    """
    return _SEPARATOR.join(
        (
            call.service.encode(),
            b"%d" % max(0, int((call.deadline - now) * 1e3)),
            b"%d" % call.rank,
            b"%d" % call.is_idempotent,
            b"%d" % call.priority_class,
            b"%d" % int(call.target_latency * 1e3),
            call.caller.encode(),
        )
    )


def decode_call_header(value: bytes | None, now: float) -> Call:
    """Decodes the header of a call.

    :raises MalformedRequestError: when it is missing or malformed.
    """
    fields = (value or b"").split(_SEPARATOR)
    if len(fields) != _CALL_FIELDS:
        raise MalformedRequestError("the call header is missing or malformed")
    try:
        return Call(
            service=fields[0].decode(),
            deadline=now + int(fields[1]) / 1e3,
            rank=int(fields[2]),
            is_idempotent=fields[3] == b"1",
            priority_class=PriorityClass(int(fields[4])),
            target_latency=int(fields[5]) / 1e3,
            caller=fields[6].decode(),
        )
    except ValueError as error:
        raise MalformedRequestError(f"the call header: {error}") from error


def encode_load(load: Load) -> bytes:
    """Encodes the load of a backend server for a reply."""
    return b"%d/%d/%d" % (load.in_use, load.limit, load.waiting)


def decode_load(value: bytes | None) -> Load | None:
    """Decodes the load on a reply; None when there is none."""
    try:
        return Load(*(int(part) for part in (value or b"").split(b"/")))
    except (ValueError, TypeError):
        return None
