"""What the node needs from admission."""

from typing import Protocol

from coltsfootspar.calls import CallContext, CallReply, CallRequest, OverloadSignal
from coltsfootspar.table import Row

__all__ = ["AdmissionController", "EntryGate", "EntryPermit", "Permit"]


class Permit(Protocol):
    """The right to occupy one slot of the backend server."""

    def release(
        self, service_seconds: float, *, succeeded: bool, below_seconds: float = 0.0
    ) -> None:
        """Gives the slot back; a second call has no effect.

        :param service_seconds: time at the backend server, seconds.
        :param succeeded: false when the backend server failed or shed the call.
        :param below_seconds: part of the time in which the backend server waited
            for calls of its own, seconds.
        """


class AdmissionController(Protocol):
    """Limits and queue in front of the own backend server."""

    async def acquire(self, request: CallRequest, row: Row) -> Permit:
        """Waits for a slot.

        :raises RefusedError: when the request must not wait or cannot finish in
            time.
        """

    def get_signals(self, row: Row | None = None) -> tuple[OverloadSignal, ...]:
        """Returns what this service refuses at present.

        :param row: row of the reply that carries the signals; adds the signal of
            this row when it has one of its own.
        """

    def update_slots(self, slots: int, cold_start: float) -> None:
        """Takes an announcement of the backend server.

        :param slots: requests that it works on at once; 0 when it is gone.
        :param cold_start: time that it needs to warm up, seconds; applies when
            it has just started, that is when there were no slots before.
        """


class EntryPermit(Protocol):
    """A request that has passed the entry gate."""

    def close(self, reply: CallReply | None) -> None:
        """Ends the request and learns from its reply.

        :param reply: None when it was cancelled or got no reply.
        """


class EntryGate(Protocol):
    """Decides at the sender whether a call is worth starting."""

    def admit(self, row: Row, context: CallContext) -> EntryPermit:
        """Checks the row's limits and the signals of the services it reaches.

        :param row: row of the call; at depth 0 also the row of the request.
        :raises RefusedError: when the call would be refused further down.
        """

    def get_signals(self, service: str) -> tuple[OverloadSignal, ...]:
        """Returns what is known to be refused by a service and its rows.

        The reply to a call that the gate refuses carries them upwards, so that
        gates closer to the client refuse such requests earlier.
        """
