"""Entry gate: refuses requests at the sender that would be refused downstream."""

from collections.abc import Callable

import attrs
import trio

from coltsfootspar.admission.interfaces import EntryGate
from coltsfootspar.admission.quotas import RowQuota
from coltsfootspar.admission.ranks import compute_rank, compute_rank_downstream
from coltsfootspar.admission.row_dependencies import RowDependencies
from coltsfootspar.admission.signals import SignalStore
from coltsfootspar.calls import CallContext, CallReply, OverloadSignal
from coltsfootspar.exceptions import RefusedError
from coltsfootspar.table import Row

__all__ = ["AdaptiveEntryGate", "create_entry_gate"]

_IDLE_TIMEOUT_SECONDS = 600.0
_MAX_ROWS_WITHOUT_EVICTION = 1_000


@attrs.define(eq=False)
class _RowState:
    last_used_at: float
    quota: RowQuota = attrs.field(factory=RowQuota)
    dependencies: RowDependencies = attrs.field(factory=RowDependencies)


@attrs.define(eq=False)
class _AdaptiveEntryPermit:
    _gate: "AdaptiveEntryGate"
    _row_state: _RowState
    _holds_quota: bool
    _is_closed: bool = False

    def close(self, reply: CallReply | None) -> None:
        """Ends the request and records its reply; a second call has no effect."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._holds_quota:
            self._row_state.quota.in_progress -= 1
        if reply is not None:
            self._gate._record_reply(self._row_state, reply)


@attrs.define(eq=False)
class AdaptiveEntryGate:
    """Enforces the limits of rows and the overload signals of earlier replies."""

    _count_entry_nodes: Callable[[Row], int]
    _signals: SignalStore = attrs.field(factory=SignalStore)
    _row_states: dict[str, _RowState] = attrs.field(factory=dict)

    def admit(self, row: Row, context: CallContext) -> _AdaptiveEntryPermit:
        """Checks a call against the limits of its row and the known signals.

        A call of a started request is checked only against the signals of its own
        target, where it ranks above new requests.

        :param row: row of the call.
        :param context: context of the call.
        :raises RefusedError: when the call exceeds a limit of its row, would be
            refused downstream or has passed its deadline.
        """
        now = trio.current_time()
        if context.deadline <= now:
            raise RefusedError(
                "the deadline has passed", code="deadline-unreachable", retry_after=0.0
            )
        row_state = self._find_row_state(row, now)
        rank = compute_rank(context)
        self._check_signals(row.key.service, rank, now)
        self._check_signals(row.name, rank, now)
        if context.is_started:
            return _AdaptiveEntryPermit(self, row_state, holds_quota=False)
        downstream_rank = compute_rank_downstream(context)
        for name in row_state.dependencies.list_names():
            if name not in (row.key.service, row.name):
                self._check_signals(name, downstream_rank, now)
        node_count = max(1, self._count_entry_nodes(row))
        row_state.quota.acquire(row, node_count, now)
        row_state.quota.in_progress += 1
        return _AdaptiveEntryPermit(self, row_state, holds_quota=True)

    def get_signals(self, service: str) -> tuple[OverloadSignal, ...]:
        """Returns the unexpired overload signals of a service and its rows."""
        return self._signals.list_signals(service, trio.current_time())

    def _check_signals(self, name: str, rank: int, now: float) -> None:
        if self._signals.is_refused(name, rank, now):
            raise RefusedError(f"{name} is overloaded")

    def _record_reply(self, row_state: _RowState, reply: CallReply) -> None:
        now = trio.current_time()
        self._signals.record(reply, now)
        row_state.dependencies.record(reply, now)

    def _find_row_state(self, row: Row, now: float) -> _RowState:
        row_state = self._row_states.get(row.name)
        if row_state is None:
            if len(self._row_states) >= _MAX_ROWS_WITHOUT_EVICTION:
                self._evict_idle(now)
            row_state = self._row_states[row.name] = _RowState(now)
        row_state.last_used_at = now
        return row_state

    def _evict_idle(self, now: float) -> None:
        idle = [
            name
            for name, row_state in self._row_states.items()
            if now - row_state.last_used_at > _IDLE_TIMEOUT_SECONDS
            and row_state.quota.in_progress == 0
        ]
        for name in idle:
            del self._row_states[name]


def create_entry_gate(
    *, count_entry_nodes: Callable[[Row], int] = lambda row: 1
) -> EntryGate:
    """Creates the entry gate of a node.

    :param count_entry_nodes: returns the number of live nodes that receive entry
        traffic for a row; each enforces an equal share of the row's limits.
    """
    return AdaptiveEntryGate(count_entry_nodes)
