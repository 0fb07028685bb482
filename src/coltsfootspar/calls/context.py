"""Request context that is propagated to every hop of the call tree."""

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
    """Priority of a request under overload; the lowest priorities are shed first.

    :param importance: the row's importance from the table, 0 to 9.
    :param bucket: hash of the trace id, 0 to ``PRIORITY_BUCKETS - 1``. It is equal
        for all calls of one request, so that every hop ranks them alike.
    """

    importance: int
    bucket: int


@attrs.frozen
class CallContext:
    """Context that is propagated with all calls of one request.

    :param trace_id: W3C trace id, 32 hexadecimal digits.
    :param parent_span_id: W3C span id of the sender, 16 hexadecimal digits.
    :param deadline: time on the trio clock of this process, seconds.
    :param priority: priority of the request under overload.
    :param allowance: retries that this call and its nested calls may spend.
    :param depth: number of hops above this one; 0 at the entry of the call graph.
    :param is_client_retry: true when the client marked the request as a retry or had
        sent it before.
    :param idempotency_key: idempotency key of the call, or None.
    :param row_key: key of the row that the request matched at the entry.
    :param entry_id: id of the node at which the request entered.
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
        """True for a nested call, for whose request work has already been done."""
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
    """A call in flight at the local backend server, and the calls nested in it.

    :param remaining_allowance: retries left for the nested calls, which the backend
        server makes while it handles this one.
    :param reached: services that the nested calls have reached.
    :param signals: latest overload signal of each service, from replies to the nested
        calls.
    :param is_refused_below: true once a nested call was refused.
    :param below_seconds: time during which at least one nested call was in flight.
    """

    context: CallContext
    remaining_allowance: int
    reached: set[str] = attrs.field(factory=set)
    signals: dict[str, "OverloadSignal"] = attrs.field(factory=dict)
    is_refused_below: bool = False
    below_seconds: float = 0.0
    _nested_in_flight: int = 0
    _nested_since: float = 0.0

    def begin_nested_call(self, now: float) -> None:
        """Records the start of a nested call.

        :param now: trio clock, seconds.
        """
        if self._nested_in_flight == 0:
            self._nested_since = now
        self._nested_in_flight += 1

    def end_nested_call(self, now: float) -> None:
        """Records the end of a nested call.

        :param now: trio clock, seconds.
        """
        self._nested_in_flight -= 1
        if self._nested_in_flight == 0:
            self.below_seconds += now - self._nested_since

    def record_reply(self, reply: "CallReply") -> None:
        """Records reached services, signals and refusal of a nested call."""
        self.reached.update(reply.reached)
        self.signals.update((signal.service, signal) for signal in reply.signals)
        if reply.refusal is not None:
            self.is_refused_below = True


@attrs.define(eq=False)
class ContextStore:
    """Contexts of the calls in flight at the local backend server.

    The backend server propagates only ``traceparent``, so that the context of its
    outgoing calls is looked up here by trace id. Several calls of one request may
    be in flight at the backend server at once; each has a share of its allowance.
    """

    _scopes: dict[str, list[CallScope]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return sum(len(scopes) for scopes in self._scopes.values())

    def add(self, context: CallContext) -> CallScope:
        """Registers a call that is sent to the backend server.

        :returns: the scope of the call, to be passed to :meth:`remove`.
        """
        scope = CallScope(context, context.allowance)
        self._scopes.setdefault(context.trace_id, []).append(scope)
        return scope

    def remove(self, scope: CallScope) -> int:
        """Removes a call that has ended.

        :returns: the allowance that its nested calls left unused.
        """
        scopes = self._scopes.get(scope.context.trace_id, [])
        if scope in scopes:
            scopes.remove(scope)
        if not scopes:
            self._scopes.pop(scope.context.trace_id, None)
        # The unused allowance goes back to the caller; no nested call may reserve it
        # any more.
        unused, scope.remaining_allowance = scope.remaining_allowance, 0
        return unused

    def find(self, trace_id: str, parent_span_id: str = "") -> CallScope | None:
        """Finds the call for which the backend server makes an outgoing call.

        :param trace_id: W3C trace id of the outgoing call.
        :param parent_span_id: span id sent by the backend server; selects among
            several calls of one trace. Without a match the latest call applies.
        :returns: the scope of the call, or None when no call of the trace is in
            flight.
        """
        scopes = self._scopes.get(trace_id)
        if not scopes:
            return None
        for scope in scopes:
            if scope.context.parent_span_id == parent_span_id:
                return scope
        return scopes[-1]

    def reserve_allowance(self, scope: CallScope) -> int:
        """Reserves a share of the remaining allowance for one outgoing call.

        Each call gets half of the remaining allowance, rounded up, so that parallel
        calls get a share too. The unused part is returned with the reply.

        :returns: number of retries reserved.
        """
        share = (scope.remaining_allowance + 1) // 2
        scope.remaining_allowance -= share
        return share

    def return_allowance(self, scope: CallScope, unused: int) -> None:
        """Returns the unused part of a reserved share.

        :param unused: number of retries that were not spent.
        """
        scope.remaining_allowance += unused

    def drop_expired(self, now: float) -> int:
        """Removes calls whose deadline has passed.

        :param now: trio clock, seconds.
        :returns: number of calls removed.
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
