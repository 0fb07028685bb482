"""Admission for a backend server that announces itself after the start."""

import attrs

from coltsfootspar.admission import (
    AdmissionController,
    Permit,
    create_admission_controller,
)
from coltsfootspar.calls import CallRequest, OverloadSignal
from coltsfootspar.exceptions import RefusedError
from coltsfootspar.node.backend import Announcement
from coltsfootspar.table import Row

__all__ = ["AnnouncedAdmission", "create_announced_admission"]


@attrs.define(eq=False)
class AnnouncedAdmission:
    """Admission of the backend server that was announced last."""

    _service: str = ""
    _controller: AdmissionController | None = None

    def take_announcement(self, announcement: Announcement) -> None:
        """Takes the slots of an announcement; a new service starts afresh."""
        slots, cold_start = announcement.slots, announcement.cold_start_seconds
        if self._controller is None or announcement.service != self._service:
            self._service = announcement.service
            self._controller = create_admission_controller(
                service=announcement.service, slots=slots, cold_start=cold_start
            )
        else:
            self._controller.update_slots(slots, cold_start)

    async def acquire(self, request: CallRequest, row: Row) -> Permit:
        """Waits for a slot.

        :raises RefusedError: also when no backend server of the service has
            been announced here.
        """
        if self._controller is None or request.service != self._service:
            raise RefusedError(
                f"no backend server of {request.service} here", code="draining"
            )
        return await self._controller.acquire(request, row)

    def get_signals(self, row: Row | None = None) -> tuple[OverloadSignal, ...]:
        """Returns what the service refuses at present."""
        if self._controller is None:
            return ()
        return self._controller.get_signals(row)

    def update_slots(self, slots: int, cold_start: float) -> None:
        """Takes new slots for the present service."""
        if self._controller is not None:
            self._controller.update_slots(slots, cold_start)


def create_announced_admission() -> AnnouncedAdmission:
    """Creates the admission of a node without a backend server yet."""
    return AnnouncedAdmission()
