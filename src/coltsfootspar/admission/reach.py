"""Which services the call tree of a row reaches."""

import attrs

from coltsfootspar.admission.signals import get_signal_service
from coltsfootspar.calls import CallReply

__all__ = ["RowReach"]

_STEP = 1 / 16
_MIN_SHARE = 0.5
_FORGET_SECONDS = 60.0


@attrs.define(eq=False)
class _Reached:
    share: float
    seen_at: float


@attrs.define(eq=False)
class RowReach:
    """Services reached by the calls of one row, with decay.

    Names are those of services, and of rows deeper in the tree that have a
    signal of their own.
    """

    _names: dict[str, _Reached] = attrs.field(factory=dict)

    def record(self, reply: CallReply, now: float) -> None:
        """Learns from a reply to a call of the row."""
        named = [s.service for s in reply.signals if s.service not in reply.reached]
        hits = {*reply.reached, *named}
        for name in hits:
            reached = self._names.get(name)
            if reached is None:
                self._names[name] = _Reached(1.0, now)
            else:
                reached.share += _STEP * (1 - reached.share)
                reached.seen_at = now
        if reply.refusal is None and reply.reached:
            self._record_misses(hits, now)

    def list_names(self) -> list[str]:
        """Lists the services and rows that most calls reach."""
        return [
            name for name, reached in self._names.items() if reached.share >= _MIN_SHARE
        ]

    def _record_misses(self, hits: set[str], now: float) -> None:
        for name, reached in list(self._names.items()):
            if name in hits:
                continue
            # A row without a signal may have been called all the same.
            if get_signal_service(name) not in hits or name in hits:
                reached.share -= _STEP * reached.share
            if now - reached.seen_at > _FORGET_SECONDS:
                del self._names[name]
