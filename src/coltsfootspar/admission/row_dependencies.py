"""Downstream services and rows that the call tree of a row reaches."""

import attrs

from coltsfootspar.admission.signals import get_signal_service
from coltsfootspar.calls import CallReply

__all__ = ["RowDependencies"]

_FREQUENCY_EWMA_WEIGHT = 1 / 16
_MIN_FREQUENCY = 0.5
_EXPIRY_SECONDS = 60.0


@attrs.define(eq=False)
class _Dependency:
    """A service or row that calls of the row reach.

    :param frequency: moving average of the fraction of calls that reach it.
    :param last_seen_at: trio clock, seconds.
    """

    frequency: float
    last_seen_at: float


@attrs.define(eq=False)
class RowDependencies:
    """Tracks how often the calls of one row reach each service, with decay.

    Names are those of services, and of rows further downstream that have a signal
    of their own.
    """

    _dependencies: dict[str, _Dependency] = attrs.field(factory=dict)

    def record(self, reply: CallReply, now: float) -> None:
        """Updates the frequencies from a reply to a call of the row.

        A refused call may have missed services that it would have reached, so its
        reply lowers no frequency.

        :param reply: reply that names the services that the call reached.
        :param now: trio clock, seconds.
        """
        signal_names = [
            s.service for s in reply.signals if s.service not in reply.reached
        ]
        seen_names = {*reply.reached, *signal_names}
        for name in seen_names:
            dependency = self._dependencies.get(name)
            if dependency is None:
                self._dependencies[name] = _Dependency(1.0, now)
            else:
                dependency.frequency += _FREQUENCY_EWMA_WEIGHT * (
                    1 - dependency.frequency
                )
                dependency.last_seen_at = now
        if reply.refusal is None and reply.reached:
            self._record_unseen(seen_names, now)

    def list_names(self) -> list[str]:
        """Returns the services and rows that most calls reach."""
        return [
            name
            for name, dependency in self._dependencies.items()
            if dependency.frequency >= _MIN_FREQUENCY
        ]

    def _record_unseen(self, seen_names: set[str], now: float) -> None:
        for name, dependency in list(self._dependencies.items()):
            if name in seen_names:
                continue
            # A row without a signal may still have been called when its service
            # was reached.
            if get_signal_service(name) not in seen_names or name in seen_names:
                dependency.frequency -= _FREQUENCY_EWMA_WEIGHT * dependency.frequency
            if now - dependency.last_seen_at > _EXPIRY_SECONDS:
                del self._dependencies[name]
