"""Admission thresholds of services, as known from replies.

Each node keeps the thresholds that it has heard of and attaches them to its own
replies, so that they travel from a service to the first nodes of the requests that
need it. A threshold lapses soon after it was announced, however often it is passed
on.
"""

import functools
import math

import attrs
import trio

from coltsfootspar.relay.ranks import BUCKETS

__all__ = ["RoomSignal", "RoomSignals", "decode_signals", "encode_signals"]

# Age at which a threshold lapses.
SIGNAL_TTL_SECONDS = 0.6
# Time constant with which the estimate follows the thresholds of several servers.
_AVERAGING_SECONDS = 0.1
_MIN_WEIGHT = 0.1
# A threshold of more weight replaces the average.
_REPLACING_WEIGHT = 0.9
# Distance from the edge of a level at which the average passes it.
_EDGE_BUCKETS = 3
# Most services whose thresholds are kept and passed on.
MAX_SIGNALS = 16
_MAX_POSITION = 1 << 24
# Headers of nodes repeat for some milliseconds.
_MAX_CACHED_HEADERS = 256


@attrs.frozen
class RoomSignal:
    """Threshold of a service.

    :param position: first position that is refused.
    :param age: time since it was announced, seconds.
    """

    service: str
    position: int
    age: float


@attrs.define(eq=False)
class _Estimate:
    """Moving average of the thresholds of a service's servers.

    :param announced_at: when the latest of them was announced, trio clock, seconds.
    """

    position: float
    announced_at: float


@attrs.define(eq=False)
class RoomSignals:
    """Keeps the thresholds of services until they lapse."""

    _estimates: dict[str, _Estimate] = attrs.field(factory=dict)

    def record(self, signals: tuple[RoomSignal, ...]) -> None:
        """Updates the thresholds with those of a reply.

        Those announced before the latest known one are ignored: they may have come
        back from nodes that heard of them here.
        """
        now = trio.current_time()
        for signal in signals:
            self._update(signal, now)

    def find_threshold(self, service: str) -> tuple[int, float] | None:
        """Returns the first refused position of a service and its age, seconds.

        :returns: None when none is in force.
        """
        estimate = self._estimates.get(service)
        if estimate is None:
            return None
        age = trio.current_time() - estimate.announced_at
        return (int(estimate.position), age) if age < SIGNAL_TTL_SECONDS else None

    def list_signals(self) -> list[RoomSignal]:
        """Returns the thresholds in force, without those that have lapsed."""
        now = trio.current_time()
        signals = []
        for service, estimate in list(self._estimates.items()):
            age = now - estimate.announced_at
            if age < SIGNAL_TTL_SECONDS:
                signals.append(RoomSignal(service, int(estimate.position), age))
            else:
                del self._estimates[service]
        return signals

    def _update(self, signal: RoomSignal, now: float) -> None:
        announced_at = now - signal.age
        estimate = self._estimates.get(signal.service)
        is_known = (
            estimate is not None and now - estimate.announced_at < SIGNAL_TTL_SECONDS
        )
        if not is_known:
            if signal.age < SIGNAL_TTL_SECONDS and (
                estimate is not None or len(self._estimates) < MAX_SIGNALS
            ):
                self._estimates[signal.service] = _Estimate(
                    signal.position, announced_at
                )
            return
        elapsed = announced_at - estimate.announced_at
        if elapsed < 0:
            return
        weight = max(_MIN_WEIGHT, 1 - math.exp(-elapsed / _AVERAGING_SECONDS))
        estimate.position = _approach(estimate.position, signal.position, weight)
        estimate.announced_at = announced_at


def _approach(position: float, target: int, weight: float) -> float:
    """Moves an average towards the threshold of one server.

    Within one level of importance the share of requests is averaged. A threshold in
    another level counts as all or nothing of this one, until the average has reached
    its edge: one server without room for it must not outweigh those with room.
    """
    if weight > _REPLACING_WEIGHT:
        return target
    start = position // BUCKETS * BUCKETS
    end = start + BUCKETS
    if target < start and position - start < _EDGE_BUCKETS:
        position = (target // BUCKETS + 1) * BUCKETS
    elif target > end and end - position < _EDGE_BUCKETS:
        position = target // BUCKETS * BUCKETS
    else:
        target = min(max(target, start), end)
    return position + weight * (target - position)


def encode_signals(signals: list[RoomSignal], extra_age: float = 0.0) -> bytes:
    """Encodes thresholds for the header of a reply; ages in milliseconds.

    :param extra_age: time for which the result is used, seconds; added to the ages, so
        that no node takes a threshold for newer than it is.
    """
    return b",".join(
        b"%s=%d/%d"
        % (
            signal.service.encode(),
            signal.position,
            math.ceil((signal.age + extra_age) * 1e3),
        )
        for signal in signals
    )


@functools.lru_cache(_MAX_CACHED_HEADERS)
def decode_signals(value: bytes | None) -> tuple[RoomSignal, ...]:
    """Decodes thresholds; malformed ones are left out."""
    if not value:
        return ()
    signals = []
    for part in value.split(b",")[:MAX_SIGNALS]:
        service, _, rest = part.partition(b"=")
        position, _, age = rest.partition(b"/")
        if service and position.isdigit() and age.isdigit():
            signals.append(
                RoomSignal(
                    service.decode("latin-1"),
                    min(int(position), _MAX_POSITION),
                    int(age) / 1e3,
                )
            )
    return tuple(signals)
