"""Calls between nodes: their headers and their replies."""

import enum
import functools
import urllib.parse
from collections.abc import Awaitable, Callable, Mapping

import attrs
import xxhash

from coltsfootspar.calls import Outcome
from coltsfootspar.exceptions import MalformedRequestError
from coltsfootspar.relay.client import ClientConnection, StreamedBody
from coltsfootspar.relay.identification import Identity
from coltsfootspar.relay.messages import Headers, Response, filter_headers
from coltsfootspar.relay.ranks import BUCKETS
from coltsfootspar.relay.roomsignals import RoomSignal

__all__ = [
    "BLOCKED_ERROR",
    "BUCKETS",
    "CALL_HEADER",
    "ERROR_HEADER",
    "INTERNAL_HEADERS",
    "LOAD_HEADER",
    "OUTCOME_HEADER",
    "REACHED_HEADER",
    "RETRIES_HEADER",
    "RETRY_AFTER_HEADER",
    "ROOM_HEADER",
    "Call",
    "HeaderNames",
    "PriorityClass",
    "Load",
    "OutgoingCall",
    "Reply",
    "compute_bucket",
    "compute_level",
    "compute_position",
    "compute_request_digest",
    "create_refusal",
    "create_reply",
    "decode_allowance",
    "decode_call_header",
    "decode_load",
    "do_nothing",
    "encode_allowance",
    "encode_call_header",
    "encode_load",
    "inherit",
]

CALL_HEADER = b"Coltsfootspar-Call"
OUTCOME_HEADER = b"Coltsfootspar-Outcome"
ERROR_HEADER = b"Coltsfootspar-Error"
LOAD_HEADER = b"Coltsfootspar-Load"
RETRIES_HEADER = b"Coltsfootspar-Retries"
REACHED_HEADER = b"Coltsfootspar-Reached"
ROOM_HEADER = b"Coltsfootspar-Room"
RETRY_AFTER_HEADER = b"Retry-After"
# Error of a node that keeps a request away from its server because others have
# crashed under it; further nodes refuse it too.
BLOCKED_ERROR = "blocked"
INTERNAL_HEADERS = frozenset(
    name.lower()
    for name in (
        CALL_HEADER,
        OUTCOME_HEADER,
        ERROR_HEADER,
        LOAD_HEADER,
        REACHED_HEADER,
        RETRIES_HEADER,
        ROOM_HEADER,
    )
)
# Larger ranks have the same place in the order of admission.
_MAX_RANK = 63
_SEPARATOR = b";"
# Fields of the first version, which takes no others; the later ones follow them and
# are left out when they have their defaults.
_MIN_CALL_FIELDS = 7
_DEFAULT_LATER_FIELDS = (b"", b"0", b"0", b"0")
_MAX_CACHED_NAMES = 4096


@attrs.frozen
class HeaderNames:
    """Names of the headers that callers, nodes and backend servers exchange.

    :param request_id: id of one attempt of a client; the response echoes it.
    :param deadline_ms: remaining time until the deadline, milliseconds.
    :param not_run: marks a response of a backend server that did not run the
        request.
    :param caller: service of the node to which the caller sent the request.
    :param instance: id of the backend server that the request is meant for.
    :param key: key of the client's organisation; not forwarded.
    :param organisation: name of the organisation, for the backend server.
    :param id_separator: stands between the id of a request and what the ids of its
        nested calls add.
    :param not_forwarded: lower-case names of headers that a node does not forward,
        since it sets or handles them itself.
    """

    request_id: bytes = b"Coltsfootspar-Request"
    deadline_ms: bytes = b"Coltsfootspar-Deadline-Ms"
    not_run: bytes = b"Coltsfootspar-Not-Run"
    caller: bytes = b"Coltsfootspar-Caller"
    instance: bytes = b"Coltsfootspar-Instance"
    key: bytes = b"Coltsfootspar-Key"
    organisation: bytes = b"Coltsfootspar-Organisation"
    id_separator: bytes = b"."
    not_forwarded: frozenset[bytes] = attrs.field(init=False)

    @not_forwarded.default
    def _collect_not_forwarded(self) -> frozenset[bytes]:
        headers = (
            b"Expect",
            self.deadline_ms,
            self.instance,
            self.caller,
            self.key,
            self.organisation,
        )
        return INTERNAL_HEADERS.union(name.lower() for name in headers)


class PriorityClass(enum.IntEnum):
    """Priority of a call for a slot; the smallest value goes first."""

    # Calls made by a backend server while it serves a request: refusing them wastes
    # the work already done for that request.
    NESTED = 0
    NEW = 1


@attrs.frozen
class Call:
    """Properties of a call that the node of the backend server needs.

    :param deadline: trio clock, seconds; sent as the remaining time.
    :param rank: rank of the route; 0 is the most important.
    :param is_idempotent: true when the request may run more than once.
    :param target_latency: latency within which a response has its full value,
        seconds.
    :param caller: service of the node to which the caller sent the request.
    :param organisation: organisation on whose behalf the request is served; empty when
        none is known. A nested call has that of the request that makes it.
    :param organisation_rank: rank of the organisation; goes before the rank.
    :param bucket: number from 0 to :data:`BUCKETS` - 1, the same for a request and all
        calls made for it. Of requests of equal rank, those of high buckets are refused
        first, so that all nodes choose the same ones.
    :param is_keyed: true when the request itself carried a key of the organisation;
        only then the backend server gets the name of the organisation.
    """

    service: str
    deadline: float
    rank: int
    is_idempotent: bool
    priority_class: PriorityClass
    target_latency: float
    caller: str
    organisation: str = ""
    organisation_rank: int = 0
    bucket: int = 0
    is_keyed: bool = False

    @property
    def importance(self) -> tuple[int, int]:
        """Ranks of organisation and route; smaller values go first."""
        return self.organisation_rank, self.rank

    @property
    def is_nested(self) -> bool:
        """True when a backend server makes the call while it serves a request."""
        return self.priority_class is PriorityClass.NESTED


@attrs.frozen
class Load:
    """Load of a backend server, as measured by its node.

    :param in_use: calls in progress.
    :param limit: most calls that may be in progress at once.
    :param waiting: calls queued for a slot.
    """

    in_use: int
    limit: int
    waiting: int

    @property
    def ratio(self) -> float:
        """Calls in progress or queued, divided by the limit."""
        return (self.in_use + self.waiting) / max(1, self.limit)


def compute_bucket(request_id: bytes | None, separator: bytes) -> int:
    """Returns the bucket of a request and of all calls made for it.

    :param separator: ends the id of the first request in that of a nested call.
    """
    root_id = (request_id or b"").partition(separator)[0]
    return xxhash.xxh3_64_intdigest(root_id) % BUCKETS


def compute_level(call: Call) -> int:
    """Returns the number of all requests that are as important as a call's."""
    organisation_rank = min(max(call.organisation_rank, 0), _MAX_RANK)
    rank = min(max(call.rank, 0), _MAX_RANK)
    return organisation_rank * (_MAX_RANK + 1) + rank


def compute_position(call: Call) -> int:
    """Returns the place of a call's request in the order of admission.

    The order is that of the organisation's rank, the route's rank and the bucket.

    :returns: a smaller number for requests that are refused later.
    """
    return compute_level(call) * BUCKETS + call.bucket


def inherit(call: Call, parent: Call) -> Call:
    """Returns a nested call with the importance of the request that it belongs to.

    :param parent: call that the backend server works on.
    """
    return attrs.evolve(
        call,
        deadline=min(call.deadline, parent.deadline),
        rank=parent.rank,
        organisation=parent.organisation,
        organisation_rank=parent.organisation_rank,
        bucket=parent.bucket,
    )


def do_nothing() -> None:
    """Finishes a reply that holds no connection and no slot."""


@attrs.frozen
class Reply:
    """Reply to a call.

    :param body: the whole body; empty if :attr:`read` is set.
    :param error: error code of a reply that a node sends in place of the backend
        server.
    :param read: returns the next piece of a body that was received in part; empty at
        its end.
    :param length: announced length of an incomplete body.
    :param load: load of the backend server when the reply was created.
    :param finish: releases the connection and the slot; must be called once the body
        was read or is not needed.
    :param retry_allowance: retries for each call of its rank that the node of the
        backend server allows; None unless the backend server rejected the call.
    :param reached: calls made for this one, by service, at all depths.
    :param signals: admission thresholds of services that the sender knows.
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
    retry_allowance: float | None = None
    reached: Mapping[str, int] = attrs.field(factory=dict)
    signals: tuple[RoomSignal, ...] = ()


@attrs.frozen
class OutgoingCall:
    """A call together with the request to send.

    :param headers: end-to-end headers of the request.
    :param body: the whole body; None without one or when it is streamed.
    :param stream: source of a body that is too long to buffer.
    :param sent_to: ids of the nodes and backend servers that it was sent to.
    :param streamed_digest: digest of a request whose body is streamed.
    :param identity: organisation whose key the request carries, at its first node.
    """

    call: Call
    method: bytes
    target: bytes
    headers: Headers
    request_id: bytes | None
    body: bytes | None
    stream: StreamedBody | None = None
    sent_to: set[str] = attrs.field(factory=set)
    streamed_digest: int = 0
    identity: Identity | None = None

    @property
    def is_retryable(self) -> bool:
        """True when the request may run more than once and its body is buffered."""
        return self.call.is_idempotent and self.stream is None

    @property
    def is_key_withdrawn(self) -> bool:
        """True once the key that the request carries is no longer in force."""
        return self.identity is not None and not self.identity.is_in_force

    @property
    def has_whole_body(self) -> bool:
        """False once a part of a streamed body has been read."""
        return self.stream is None or not self.stream.is_started

    @functools.cached_property
    def digest(self) -> int:
        """Digest of the request; see :func:`compute_request_digest`."""
        if self.stream is not None:
            return self.streamed_digest
        return compute_request_digest(
            self.method, self.target, self.call.caller, self.body or b""
        )


def compute_request_digest(
    method: bytes, target: bytes, caller: str, body: bytes
) -> int:
    """Returns a 64-bit digest that repeats of a request share; they differ in the id.

    :param caller: service of the node to which the caller sent the request.
    :param body: the whole body, or the beginning of one that is streamed.
    """
    head = b"\0".join((method, target, caller.encode(), b""))
    digest = xxhash.xxh3_64(head)
    digest.update(body)
    return digest.intdigest()


def create_reply(
    connection: ClientConnection,
    response: Response,
    outcome: Outcome,
    *,
    error: str = "",
    load: Load | None = None,
    finish: Callable[[], None],
    retry_allowance: float | None = None,
    reached: Mapping[str, int] | None = None,
    signals: tuple[RoomSignal, ...] = (),
) -> Reply:
    """Creates a reply from a response whose body may be incomplete.

    :param connection: source of the rest of the body.
    """

    async def read() -> bytes:
        return await connection.read_body(response)

    return Reply(
        response.status,
        filter_headers(response, INTERNAL_HEADERS),
        # A reply lasts until the end of its body, and would keep the beginning as long.
        response.take_body() if response.is_complete else b"",
        outcome,
        response.reason,
        error,
        None if response.is_complete else read,
        response.content_length,
        load,
        finish,
        retry_allowance,
        reached or {},
        signals,
    )


def create_refusal(
    error: str,
    outcome: Outcome = Outcome.NOT_RUN,
    *,
    status: int = 503,
    load: Load | None = None,
) -> Reply:
    """Creates the reply of a node to a call that no backend server responded to."""
    return Reply(status, [], b"", outcome, error=error, load=load)


def encode_call_header(call: Call, now: float) -> bytes:
    """Encodes the properties of a call for another node.

    :param now: trio clock, seconds.
    """
    fields = (
        call.service.encode(),
        b"%d" % max(0, int((call.deadline - now) * 1e3)),
        b"%d" % call.rank,
        b"%d" % call.is_idempotent,
        b"%d" % call.priority_class,
        b"%d" % int(call.target_latency * 1e3),
        call.caller.encode(),
    )
    if call.organisation or call.organisation_rank or call.bucket or call.is_keyed:
        fields += _encode_later_fields(call)
    return _SEPARATOR.join(fields)


def _encode_later_fields(call: Call) -> tuple[bytes, ...]:
    return (
        _encode_name(call.organisation),
        b"%d" % call.organisation_rank,
        b"%d" % call.bucket,
        b"%d" % call.is_keyed,
    )


def decode_call_header(value: bytes | None, now: float) -> Call:
    """Decodes the call header.

    :param now: trio clock, seconds; the remaining time is added to it.
    :raises MalformedRequestError: when the header is missing or malformed.
    """
    fields = (value or b"").split(_SEPARATOR)
    if len(fields) < _MIN_CALL_FIELDS:
        raise MalformedRequestError("the call header is missing or malformed")
    fields += _DEFAULT_LATER_FIELDS[len(fields) - _MIN_CALL_FIELDS :]
    try:
        return Call(
            service=fields[0].decode(),
            deadline=now + int(fields[1]) / 1e3,
            rank=int(fields[2]),
            is_idempotent=fields[3] == b"1",
            priority_class=PriorityClass(int(fields[4])),
            target_latency=int(fields[5]) / 1e3,
            caller=fields[6].decode(),
            organisation=urllib.parse.unquote(fields[7].decode()),
            organisation_rank=int(fields[8]),
            bucket=int(fields[9]),
            is_keyed=fields[10] == b"1",
        )
    except ValueError as error:
        raise MalformedRequestError(f"malformed call header: {error}") from error


@functools.lru_cache(_MAX_CACHED_NAMES)
def _encode_name(name: str) -> bytes:
    """Encodes a name that operators chose; it may hold the separator of the header."""
    return urllib.parse.quote(name).encode()


def encode_load(load: Load) -> bytes:
    """Encodes a load for the load header of a reply."""
    return b"%d/%d/%d" % (load.in_use, load.limit, load.waiting)


def decode_load(value: bytes | None) -> Load | None:
    """Decodes the load header; None when it is missing or malformed."""
    try:
        return Load(*(int(part) for part in (value or b"").split(b"/")))
    except (ValueError, TypeError):
        return None


def encode_allowance(allowance: float) -> bytes:
    """Encodes the retries for each call that the sender of a reply allows."""
    return b"%.3f" % allowance


def decode_allowance(value: bytes | None) -> float | None:
    """Decodes the retries allowed for each call; None when missing or malformed."""
    try:
        allowance = float(value) if value is not None else -1.0
    except ValueError:
        return None
    return allowance if 0 <= allowance <= 1 else None
