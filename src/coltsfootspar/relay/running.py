"""Calls in progress at the own backend server.

A backend server makes calls of its own while it serves a request. Their ids extend
the id of that request by a separator and a part of their own.
"""

from collections.abc import Mapping

import attrs

from coltsfootspar.relay.calls import Call

__all__ = ["RunningCall", "RunningCalls"]

# Most services that are counted below one call.
MAX_REACHED_SERVICES = 16


@attrs.define(eq=False)
class RunningCall:
    """A call that the backend server works on.

    :param reached: calls made for it so far, by service, at all depths.
    """

    call: Call
    reached: dict[str, int] = attrs.field(factory=dict)

    def record_nested(self, service: str, reached: Mapping[str, int]) -> None:
        """Counts a nested call and the calls that were made for it in turn."""
        self._add(service, 1)
        for name, count in reached.items():
            self._add(name, count)

    def _add(self, service: str, count: int) -> None:
        known = self.reached.get(service)
        if known is not None:
            self.reached[service] = known + count
        elif len(self.reached) < MAX_REACHED_SERVICES:
            self.reached[service] = count


@attrs.define(eq=False)
class RunningCalls:
    """Finds the call that a request belongs to, by its id and in constant time.

    :param separator: stands between the id of a call and what a nested call adds.
    """

    _separator: bytes
    _calls: dict[bytes, RunningCall] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._calls)

    def start(self, request_id: bytes | None, call: Call) -> RunningCall:
        """Records that a call is sent to the backend server.

        :param request_id: None for a call without one, whose nested calls cannot be
            recognised.
        """
        running = RunningCall(call)
        if request_id is not None:
            self._calls[request_id] = running
        return running

    def finish(self, request_id: bytes | None, running: RunningCall) -> None:
        """Records the end of a call, unless a later one has the same id."""
        if request_id is not None and self._calls.get(request_id) is running:
            del self._calls[request_id]

    def find_parent(self, request_id: bytes | None) -> RunningCall | None:
        """Returns the call in progress for which a request is made.

        :returns: None when its id extends that of no call in progress.
        """
        if request_id is None:
            return None
        parent_id, separator, _ = request_id.rpartition(self._separator)
        return self._calls.get(parent_id) if separator else None
