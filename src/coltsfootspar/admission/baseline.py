"""Admission without overload control, the baseline for comparisons in the bench."""

from collections import deque

import attrs
import trio

from coltsfootspar.admission.interfaces import AdmissionController, EntryGate
from coltsfootspar.calls import CallContext, CallReply, CallRequest, OverloadSignal
from coltsfootspar.exceptions import RefusedError
from coltsfootspar.table import Row

__all__ = ["create_baseline_controller", "create_baseline_gate"]

_MAX_QUEUE_LENGTH = 10_000


@attrs.define(eq=False)
class _BaselinePermit:
    _controller: "_BaselineController"
    _is_released: bool = False

    def release(
        self,
        service_seconds: float,
        *,
        succeeded: bool,
        downstream_seconds: float = 0.0,
    ) -> None:
        if not self._is_released:
            self._is_released = True
            self._controller._release_slot()


@attrs.define(eq=False)
class _BaselineController:
    """Serves calls in order of arrival, as many at once as there are slots."""

    _slots: int
    _in_use: int = 0
    _waiting: deque[trio.lowlevel.Task] = attrs.field(factory=deque)

    async def acquire(self, request: CallRequest, row: Row) -> _BaselinePermit:
        if self._in_use < self._slots and not self._waiting:
            self._in_use += 1
            return _BaselinePermit(self)
        if len(self._waiting) >= _MAX_QUEUE_LENGTH:
            raise RefusedError("the queue is full", code="queue-full")
        task = trio.lowlevel.current_task()
        self._waiting.append(task)

        def abort(_: object) -> trio.lowlevel.Abort:
            self._waiting.remove(task)
            return trio.lowlevel.Abort.SUCCEEDED

        await trio.lowlevel.wait_task_rescheduled(abort)
        return _BaselinePermit(self)

    def get_signals(self, row: Row | None = None) -> tuple[OverloadSignal, ...]:
        return ()

    def update_slots(self, slots: int, cold_start: float) -> None:
        self._slots = slots
        self._dispatch()

    def _release_slot(self) -> None:
        self._in_use -= 1
        self._dispatch()

    def _dispatch(self) -> None:
        while self._waiting and self._in_use < self._slots:
            self._in_use += 1
            trio.lowlevel.reschedule(self._waiting.popleft())


@attrs.frozen
class _PassThroughPermit:
    def close(self, reply: CallReply | None) -> None:
        """Does nothing."""


_PASS_THROUGH_PERMIT = _PassThroughPermit()


@attrs.frozen
class _PassThroughGate:
    """Admits every call."""

    def admit(self, row: Row, context: CallContext) -> _PassThroughPermit:
        return _PASS_THROUGH_PERMIT

    def get_signals(self, service: str) -> tuple[OverloadSignal, ...]:
        return ()


def create_baseline_controller(slots: int) -> AdmissionController:
    """Creates a first-in, first-out queue without deadlines or signals.

    :param slots: maximum number of calls in progress.
    """
    return _BaselineController(slots)


def create_baseline_gate() -> EntryGate:
    """Creates a gate that admits every call."""
    return _PassThroughGate()
