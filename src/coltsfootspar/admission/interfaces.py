"""Interfaces between a node and its admission control."""

from typing import Protocol

from coltsfootspar.calls import CallContext, CallReply, CallRequest, OverloadSignal
from coltsfootspar.table import Row

__all__ = ["AdmissionController", "EntryGate", "EntryPermit", "Permit"]


class Permit(Protocol):
    """The right to occupy one slot of the backend server."""

    def release(
        self,
        service_seconds: float,
        *,
        succeeded: bool,
        downstream_seconds: float = 0.0,
    ) -> None:
        """Releases the slot; a second call has no effect.

        :param service_seconds: time at the backend server, seconds.
        :param succeeded: false when the backend server failed or shed the call.
        :param downstream_seconds: part of the time in which the backend server waited
            for downstream calls, seconds.
        """


class AdmissionController(Protocol):
    """Limits and queues calls in front of the backend server of this node."""

    async def acquire(self, request: CallRequest, row: Row) -> Permit:
        """Waits for a slot.

        :param request: call for the backend server.
        :param row: row of the call.
        :returns: permit to release when the call has ended.
        :raises RefusedError: when the call must not wait or cannot complete before
            its deadline.
        """

    def get_signals(self, row: Row | None = None) -> tuple[OverloadSignal, ...]:
        """Returns the overload signals of this service.

        :param row: row of the reply that carries the signals; its own signal is
            included when it has one.
        """

    def update_slots(self, slots: int, cold_start: float) -> None:
        """Applies an announcement of the backend server.

        :param slots: requests that it processes at once; 0 when it is gone.
        :param cold_start: time that it needs to warm up, seconds; applies only when
            it has just started, that is when there were no slots before.
        """


class EntryPermit(Protocol):
    """Permit of a request that the entry gate has admitted."""

    def close(self, reply: CallReply | None) -> None:
        """Ends the request and records its reply.

        :param reply: None when the request was cancelled or got no reply.
        """


class EntryGate(Protocol):
    """Refuses calls at the sender that would exceed a limit or fail downstream."""

    def admit(self, row: Row, context: CallContext) -> EntryPermit:
        """Checks the row's limits and the signals of the services that it reaches.

        :param row: row of the call; at depth 0 also the row of the request.
        :param context: context of the call.
        :returns: permit to close when the call has ended.
        :raises RefusedError: when the call exceeds a limit of its row or would be
            refused downstream.
        """

    def get_signals(self, service: str) -> tuple[OverloadSignal, ...]:
        """Returns the known overload signals of a service and its rows.

        The reply to a call that the gate refuses carries them upstream, so that
        gates closer to the client refuse such requests earlier.

        :param service: service whose signals are returned.
        """
