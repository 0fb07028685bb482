"""Context of a request: what every hop of its call tree has to know."""

import itertools
from typing import TYPE_CHECKING

import attrs
import trio
import xxhash

if TYPE_CHECKING:
    from coltsfootspar.calls.messages import CallReply, OverloadSignal

__all__ = [
    "CallContext",
    "CallScope",
    "ContextStore",
    "PRIORITY_BUCKETS",
    "Priority",
    "create_context_store",
    "hash_priority_bucket",
]

PRIORITY_BUCKETS = 128


@attrs.frozen(order=True)
class Priority:
    """Order in which requests are kept under overload; larger is kept longer.

    :param importance: the row's importance from the table, 0 to 9.
    :param bucket: hash of the trace id, 0 to ``PRIORITY_BUCKETS - 1``, equal
        for all calls of one request.
    """

    importance: int
    bucket: int


@attrs.frozen
class CallContext:
    """Data that travels with all calls of one request.

    :param trace_id: W3C trace id, 32 hexadecimal digits.
    :param parent_span_id: W3C span id of the sender, 16 hexadecimal digits.
    :param deadline: time on the trio clock of this process, seconds.
    :param priority: order of the request under overload.
    :param allowance: retries that this call and the calls below it may spend.
    :param depth: hops above this one; 0 at the entry of the call graph.
    :param is_client_retry: true when the client is known to have retried.
    :param idempotency_key: the client's key, or None.
    :param row_key: key of the row that the request matched at the entry.
    :param entry_id: node at which the request entered.
    """

    trace_id: str
    parent_span_id: str
    deadline: float
    priority: Priority
    allowance: int
    depth: int = 0
    is_client_retry: bool = False
    idempotency_key: str | None = None
    row_key: str = ""
    entry_id: str = ""

    @property
    def is_started(self) -> bool:
        """True for a call below the entry: work for the request has begun."""
        return self.depth > 0

    def compute_remaining(self) -> float:
        """Computes the time left until the deadline.

        :returns: seconds, negative when it has passed.
        """
        return self.deadline - trio.current_time()


def hash_priority_bucket(trace_id: str) -> int:
    """Maps a trace id to a priority bucket.

    :param trace_id: W3C trace id.
    :returns: 0 to ``PRIORITY_BUCKETS - 1``.

    >>> hash_priority_bucket("0" * 32) == hash_priority_bucket("0" * 32)
    True
    """
    return xxhash.xxh64_intdigest(trace_id.encode()) % PRIORITY_BUCKETS


@attrs.define(eq=False)
class CallScope:
    """A call that the own backend server is working on.

    :param spendable: retries left for the calls that the backend server makes.
    :param reached: services that those calls have reached.
    :param signals: latest overload signal of each service on their replies.
    :param is_refused_below: true once one of those calls was refused.
    :param below_seconds: time in which at least one of them was in progress.
    """

    context: CallContext
    spendable: int
    reached: set[str] = attrs.field(factory=set)
    signals: dict[str, "OverloadSignal"] = attrs.field(factory=dict)
    is_refused_below: bool = False
    below_seconds: float = 0.0
    _waits: int = 0
    _wait_started: float = 0.0

    def begin_wait(self, now: float) -> None:
        """Records that a call below begins.

        :param now: trio clock, seconds.
        """
        if self._waits == 0:
            self._wait_started = now
        self._waits += 1

    def end_wait(self, now: float) -> None:
        """Records that a call below has ended."""
        self._waits -= 1
        if self._waits == 0:
            self.below_seconds += now - self._wait_started

    def record_reply(self, reply: "CallReply") -> None:
        """Keeps what a reply says about the services below."""
        self.reached.update(reply.reached)
        self.signals.update((signal.service, signal) for signal in reply.signals)
        if reply.refusal is not None:
            self.is_refused_below = True


@attrs.define(eq=False)
class ContextStore:
    """Contexts of the calls that the own backend server is working on.

    The backend server passes on only ``traceparent``. Its outgoing calls find
    their context here by trace id. Several calls of one request may run at the
    backend server at once; they share the allowance that is left.
    """

    _scopes: dict[str, list[CallScope]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return sum(len(scopes) for scopes in self._scopes.values())

    def add(self, context: CallContext) -> CallScope:
        """Records a call handed to the backend server.

        :returns: a handle for :meth:`remove`.
        """
        scope = CallScope(context, context.allowance)
        self._scopes.setdefault(context.trace_id, []).append(scope)
        return scope

    def remove(self, scope: CallScope) -> int:
        """Forgets a call that has ended.

        :returns: the allowance that the calls below it left unused.
        """
        scopes = self._scopes.get(scope.context.trace_id, [])
        if scope in scopes:
            scopes.remove(scope)
        if not scopes:
            self._scopes.pop(scope.context.trace_id, None)
        # Nothing can be drawn from it once its rest was given back.
        unused, scope.spendable = scope.spendable, 0
        return unused

    def find(self, trace_id: str, parent_span_id: str = "") -> CallScope | None:
        """Finds the context for an outgoing call of the backend server.

        :param parent_span_id: span id sent by the backend server; it selects
            among several calls of one trace, else the latest one applies.
        """
        scopes = self._scopes.get(trace_id)
        if not scopes:
            return None
        for scope in scopes:
            if scope.context.parent_span_id == parent_span_id:
                return scope
        return scopes[-1]

    def draw_allowance(self, scope: CallScope) -> int:
        """Takes the share of the allowance for one outgoing call.

        The first call gets half of what is left, rounded up, so that a parallel
        call still finds some; what is unused comes back with the reply.
        """
        share = (scope.spendable + 1) // 2
        scope.spendable -= share
        return share

    def return_allowance(self, scope: CallScope, unused: int) -> None:
        """Gives back the unused part of a drawn share."""
        scope.spendable += unused

    def drop_expired(self, now: float) -> int:
        """Forgets calls whose deadline has passed.

        :param now: trio clock, seconds.
        :returns: how many were forgotten.
        """
        expired = [
            scope
            for scope in itertools.chain.from_iterable(self._scopes.values())
            if scope.context.deadline < now
        ]
        for scope in expired:
            self.remove(scope)
        return len(expired)


def create_context_store() -> ContextStore:
    """Creates an empty context store."""
    return ContextStore()
