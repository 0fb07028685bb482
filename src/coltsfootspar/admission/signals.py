"""Thresholds of downstream services, estimated from overload signals on replies."""

import attrs

from coltsfootspar.admission.ranks import create_threshold, parse_threshold
from coltsfootspar.calls import CallReply, OverloadSignal

__all__ = ["SignalStore", "get_signal_service"]

# Several backend servers of a service send their own thresholds. Their moving
# average tells what fraction of requests the service as a whole admits.
_EWMA_WEIGHT = 0.25

_MIN_RANK = 1.0
_MIN_EXPIRY_SECONDS = 1e-3

# Time without an update of a signal after which one call passes as a probe.
_PROBE_INTERVAL_SECONDS = 0.5


def get_signal_service(name: str) -> str:
    """Returns the service of a signal that names a service or a row.

    >>> get_signal_service("uploads POST /photos")
    'uploads'
    """
    return name.partition(" ")[0]


@attrs.define(eq=False)
class _ThresholdEstimate:
    """Estimated threshold of one service or row; times are of the trio clock."""

    rank: float
    expires_at: float
    updated_at: float


@attrs.define(eq=False)
class SignalStore:
    """Stores the estimated thresholds of services and rows until they expire."""

    _by_service: dict[str, dict[str, _ThresholdEstimate]] = attrs.field(factory=dict)

    def record(self, reply: CallReply, now: float) -> None:
        """Updates the thresholds from the signals of a reply.

        A service that the call reached and that sent no signal admits every rank,
        so its threshold decays.

        :param reply: reply to any call.
        :param now: trio clock, seconds.
        """
        for signal in reply.signals:
            self._update_estimate(signal, now)
        if not self._by_service:
            return
        signal_names = {signal.service for signal in reply.signals}
        for service in reply.reached:
            if service in self._by_service:
                self._decay_unreported(service, signal_names, now)

    def is_refused(self, name: str, rank: int, now: float) -> bool:
        """Returns whether a service or row would refuse a call.

        After a time without updates it lets one call pass as a probe.

        :param name: service or row.
        :param rank: rank of the call.
        :param now: trio clock, seconds.
        """
        estimate = self._find(name, now)
        if estimate is None or rank >= estimate.rank:
            return False
        if now - estimate.updated_at >= _PROBE_INTERVAL_SECONDS:
            estimate.updated_at = now
            return False
        return True

    def list_signals(self, service: str, now: float) -> tuple[OverloadSignal, ...]:
        """Returns the unexpired signals of a service and its rows."""
        return tuple(
            OverloadSignal(
                name, create_threshold(int(estimate.rank)), estimate.expires_at - now
            )
            for name, estimate in self._by_service.get(service, {}).items()
            if estimate.expires_at - now > _MIN_EXPIRY_SECONDS
        )

    def _find(self, name: str, now: float) -> _ThresholdEstimate | None:
        service = get_signal_service(name)
        estimates = self._by_service.get(service)
        if estimates is None:
            return None
        estimate = estimates.get(name)
        if estimate is None or estimate.expires_at > now:
            return estimate
        self._remove(service, name)
        return None

    def _update_estimate(self, signal: OverloadSignal, now: float) -> None:
        if signal.expires_after <= _MIN_EXPIRY_SECONDS:
            return
        rank = parse_threshold(signal.threshold)
        expires_at = now + signal.expires_after
        estimate = self._find(signal.service, now)
        if estimate is None:
            estimates = self._by_service.setdefault(
                get_signal_service(signal.service), {}
            )
            estimates[signal.service] = _ThresholdEstimate(rank, expires_at, now)
            return
        estimate.rank += _EWMA_WEIGHT * (rank - estimate.rank)
        estimate.expires_at = max(estimate.expires_at, expires_at)
        estimate.updated_at = now

    def _decay_unreported(
        self, service: str, signal_names: set[str], now: float
    ) -> None:
        for name, estimate in list(self._by_service[service].items()):
            if name in signal_names:
                continue
            # A reply for one row says nothing about the signals of other rows.
            if name != service and estimate.expires_at > now:
                continue
            estimate.rank -= _EWMA_WEIGHT * estimate.rank
            estimate.updated_at = now
            if estimate.rank < _MIN_RANK or estimate.expires_at <= now:
                self._remove(service, name)

    def _remove(self, service: str, name: str) -> None:
        estimates = self._by_service[service]
        estimates.pop(name, None)
        if not estimates:
            del self._by_service[service]
