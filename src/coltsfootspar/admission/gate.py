"""The entry gate: refuses at the sender what would be refused further down."""

from collections.abc import Callable

import attrs
import trio

from coltsfootspar.admission.interfaces import EntryGate
from coltsfootspar.admission.quotas import RowQuota
from coltsfootspar.admission.ranks import compute_rank, compute_rank_below
from coltsfootspar.admission.reach import RowReach
from coltsfootspar.admission.signals import SignalBoard
from coltsfootspar.calls import CallContext, CallReply, OverloadSignal
from coltsfootspar.exceptions import RefusedError
from coltsfootspar.table import Row

__all__ = ["LearningEntryGate", "create_entry_gate"]

_IDLE_SECONDS = 600.0
_MAX_IDLE_ROWS = 1_000


@attrs.define(eq=False)
class _RowEntry:
    used_at: float
    quota: RowQuota = attrs.field(factory=RowQuota)
    reach: RowReach = attrs.field(factory=RowReach)


@attrs.define(eq=False)
class _LearningPass:
    _gate: "LearningEntryGate"
    _entry: _RowEntry
    _holds_quota: bool
    _is_closed: bool = False

    def close(self, reply: CallReply | None) -> None:
        """Ends the request and learns from its reply; a second call does nothing."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._holds_quota:
            self._entry.quota.in_progress -= 1
        if reply is not None:
            self._gate._learn(self._entry, reply)


@attrs.define(eq=False)
class LearningEntryGate:
    """Checks limits of rows and what replies have told about overload."""

    _count_entry_nodes: Callable[[Row], int]
    _board: SignalBoard = attrs.field(factory=SignalBoard)
    _rows: dict[str, _RowEntry] = attrs.field(factory=dict)

    def admit(self, row: Row, context: CallContext) -> _LearningPass:
        """Checks a call.

        A call below the entry is checked only against the signals of its own
        target, and ranks above new work there.

        :raises RefusedError: when the call exceeds a limit of its row or would
            be refused further down.
        """
        now = trio.current_time()
        if context.deadline <= now:
            raise RefusedError(
                "the deadline has passed", code="deadline-unreachable", retry_after=0.0
            )
        entry = self._find_entry(row, now)
        rank = compute_rank(context)
        self._check_signals(row.key.service, rank, now)
        self._check_signals(row.name, rank, now)
        if context.is_started:
            return _LearningPass(self, entry, holds_quota=False)
        rank_below = compute_rank_below(context)
        for name in entry.reach.list_names():
            if name not in (row.key.service, row.name):
                self._check_signals(name, rank_below, now)
        nodes = max(1, self._count_entry_nodes(row))
        entry.quota.check(row, nodes, now)
        entry.quota.in_progress += 1
        return _LearningPass(self, entry, holds_quota=True)

    def get_signals(self, service: str) -> tuple[OverloadSignal, ...]:
        """Returns what is known to be refused by a service and its rows."""
        return self._board.list_signals(service, trio.current_time())

    def _check_signals(self, name: str, rank: int, now: float) -> None:
        if self._board.is_refused(name, rank, now):
            raise RefusedError(f"{name} is overloaded")

    def _learn(self, entry: _RowEntry, reply: CallReply) -> None:
        now = trio.current_time()
        self._board.record(reply, now)
        entry.reach.record(reply, now)

    def _find_entry(self, row: Row, now: float) -> _RowEntry:
        entry = self._rows.get(row.name)
        if entry is None:
            if len(self._rows) >= _MAX_IDLE_ROWS:
                self._drop_idle(now)
            entry = self._rows[row.name] = _RowEntry(now)
        entry.used_at = now
        return entry

    def _drop_idle(self, now: float) -> None:
        idle = [
            name
            for name, entry in self._rows.items()
            if now - entry.used_at > _IDLE_SECONDS and entry.quota.in_progress == 0
        ]
        for name in idle:
            del self._rows[name]


def create_entry_gate(
    *, count_entry_nodes: Callable[[Row], int] = lambda row: 1
) -> EntryGate:
    """Creates the gate of a node.

    :param count_entry_nodes: tells how many live nodes take entry traffic for a
        row; each enforces an equal share of the row's limits.
    """
    return LearningEntryGate(count_entry_nodes)
