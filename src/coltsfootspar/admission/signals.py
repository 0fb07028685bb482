"""What a node has learned from the overload signals on replies."""

import attrs

from coltsfootspar.admission.ranks import create_threshold, parse_threshold
from coltsfootspar.calls import CallReply, OverloadSignal

__all__ = ["SignalBoard", "get_signal_service"]

# Weight of one reply. Several backend servers of a service send their own
# thresholds; the mean of them tells the share that the service admits.
_STEP = 0.25

_LOWEST_RANK = 1.0
_MIN_EXPIRY = 1e-3

# Time without news on a signal after which one refused call passes.
_PROBE_SECONDS = 0.5


def get_signal_service(name: str) -> str:
    """Returns the service of a signal that names a service or a row.

    >>> get_signal_service("uploads POST /photos")
    'uploads'
    """
    return name.partition(" ")[0]


@attrs.define(eq=False)
class _Learned:
    rank: float
    expires_at: float
    updated_at: float


@attrs.define(eq=False)
class SignalBoard:
    """Thresholds of services and rows, each until it expires."""

    _by_service: dict[str, dict[str, _Learned]] = attrs.field(factory=dict)

    def record(self, reply: CallReply, now: float) -> None:
        """Learns from a reply.

        A service that the reply reached and that sent no signal admits all.
        """
        for signal in reply.signals:
            self._learn(signal, now)
        if not self._by_service:
            return
        named = {signal.service for signal in reply.signals}
        for service in reply.reached:
            if service in self._by_service:
                self._relax(service, named, now)

    def is_refused(self, name: str, rank: int, now: float) -> bool:
        """Tells whether a call would be refused, and lets a few calls probe.

        :param name: service or row.
        :param rank: rank of the call.
        """
        learned = self._find(name, now)
        if learned is None or rank >= learned.rank:
            return False
        if now - learned.updated_at >= _PROBE_SECONDS:
            learned.updated_at = now
            return False
        return True

    def list_signals(self, service: str, now: float) -> tuple[OverloadSignal, ...]:
        """Lists the valid signals of a service and its rows."""
        return tuple(
            OverloadSignal(
                name, create_threshold(int(learned.rank)), learned.expires_at - now
            )
            for name, learned in self._by_service.get(service, {}).items()
            if learned.expires_at - now > _MIN_EXPIRY
        )

    def _find(self, name: str, now: float) -> _Learned | None:
        service = get_signal_service(name)
        known = self._by_service.get(service)
        if known is None:
            return None
        learned = known.get(name)
        if learned is None or learned.expires_at > now:
            return learned
        self._drop(service, name)
        return None

    def _learn(self, signal: OverloadSignal, now: float) -> None:
        if signal.expires_after <= _MIN_EXPIRY:
            return
        rank = parse_threshold(signal.threshold)
        expires_at = now + signal.expires_after
        learned = self._find(signal.service, now)
        if learned is None:
            known = self._by_service.setdefault(get_signal_service(signal.service), {})
            known[signal.service] = _Learned(rank, expires_at, now)
            return
        learned.rank += _STEP * (rank - learned.rank)
        learned.expires_at = max(learned.expires_at, expires_at)
        learned.updated_at = now

    def _relax(self, service: str, named: set[str], now: float) -> None:
        for name, learned in list(self._by_service[service].items()):
            if name in named:
                continue
            # A reply of one row says nothing about the signals of other rows.
            if name != service and learned.expires_at > now:
                continue
            learned.rank -= _STEP * learned.rank
            learned.updated_at = now
            if learned.rank < _LOWEST_RANK or learned.expires_at <= now:
                self._drop(service, name)

    def _drop(self, service: str, name: str) -> None:
        known = self._by_service[service]
        known.pop(name, None)
        if not known:
            del self._by_service[service]
