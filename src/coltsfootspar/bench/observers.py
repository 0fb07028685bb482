"""Wrappers that record the decisions of admission and of the entry gate."""

import attrs
import trio

from coltsfootspar.admission import AdmissionController, EntryGate, EntryPermit, Permit
from coltsfootspar.bench.envelope import parse_envelope
from coltsfootspar.bench.journal import AdmissionEvent, GateEvent, Journal
from coltsfootspar.bench.scenario import RequestKind
from coltsfootspar.calls import CallContext, CallRequest, OverloadSignal
from coltsfootspar.exceptions import RefusedError
from coltsfootspar.table import Row

__all__ = ["ObservedController", "ObservedGate"]


@attrs.define(eq=False)
class ObservedController:
    """Records each decision of a node's admission controller."""

    _node_id: str
    _controller: AdmissionController
    _rows: dict[str, RequestKind]
    _journal: Journal

    async def acquire(self, request: CallRequest, row: Row) -> Permit:
        """Waits for a slot and records how the wait ended."""
        arrived_at = trio.current_time()
        code, was_cancelled = "", False
        if not self._rows[row.name].calls:
            position = parse_envelope(request).position
            self._journal.attempts_at[request.context.trace_id, position] += 1
        try:
            return await self._controller.acquire(request, row)
        except RefusedError as error:
            code = error.code
            self._journal.refusals[f"admission {code}"] += 1
            raise
        except trio.Cancelled:
            was_cancelled = True
            raise
        finally:
            self._journal.admissions.append(
                AdmissionEvent(
                    self._node_id,
                    row.name,
                    request.context.priority.importance,
                    arrived_at,
                    trio.current_time(),
                    code,
                    was_cancelled,
                )
            )

    def get_signals(self, row: Row | None = None) -> tuple[OverloadSignal, ...]:
        """Returns what this service refuses at present."""
        return self._controller.get_signals(row)

    def update_slots(self, slots: int, cold_start: float) -> None:
        """Takes an announcement of the backend server."""
        self._controller.update_slots(slots, cold_start)


@attrs.define(eq=False)
class ObservedGate:
    """Records each decision of an entry gate about a client's request."""

    _node_id: str
    _gate: EntryGate
    _journal: Journal

    def admit(self, row: Row, context: CallContext) -> EntryPermit:
        """Checks a call and records the decision."""
        code = ""
        try:
            return self._gate.admit(row, context)
        except RefusedError as error:
            code = error.code
            self._journal.refusals[f"gate {code}"] += 1
            raise
        finally:
            if context.depth == 0:
                self._journal.gates.append(
                    GateEvent(
                        self._node_id,
                        row.name,
                        context.priority.importance,
                        trio.current_time(),
                        code,
                    )
                )

    def get_signals(self, service: str) -> tuple[OverloadSignal, ...]:
        """Returns what is known to be refused by a service and its rows."""
        return self._gate.get_signals(service)
