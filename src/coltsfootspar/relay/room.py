"""Room of the own backend server, expressed as an admission threshold.

Handles a service deep in the call graph that receives more calls than its servers
finish in time. Refusing single calls there wastes the work of all requests that they
belong to, so the node computes which requests the service can bear, and the first
nodes refuse the others before any work.

The threshold is the first position in the order of admission that does not fit; see
:func:`coltsfootspar.relay.calls.compute_position`.
"""

import collections
import math

import attrs

from coltsfootspar.relay.calls import BUCKETS, Call, Load, compute_level

__all__ = ["PROBE_BUCKETS", "RoomEstimator"]

# Requests of these buckets are admitted at every threshold: they show whether the
# refused demand is still there.
PROBE_BUCKETS = 3

WINDOW_SECONDS = 0.1
# Time constants with which observed demand is forgotten: as short as possible, but so
# long that about this many calls are remembered.
_MIN_MEMORY_SECONDS = 0.5
_MAX_MEMORY_SECONDS = 1.0
_REMEMBERED_CALLS = 100
# A level without calls for this time is forgotten.
LEVEL_EXPIRY_SECONDS = 10.0
# Calls of a request that was admitted under an earlier threshold arrive within this
# time.
PROPAGATION_SECONDS = 1.5
# Share of the buckets below the threshold in which demand is observed. Nodes do not
# apply exactly the threshold that was announced here.
_SAMPLED_SHARE = 0.75
# Demand is taken to be at least spread over this time, so that the first calls after
# a pause do not count as a surge.
_MIN_EXPOSURE_SECONDS = 0.3
_HOLD_EWMA_WEIGHT = 0.05

# Share of the slots that admitted requests may fill on average, so that queues stay
# short: a request may make many calls one after another.
ROOM_SHARE = 0.9
# Share of the slots from which on the position is announced though all demand fits:
# senders average it with the thresholds of other servers of the service.
ANNOUNCED_SHARE = 0.25
# Queueing delay up to which the room is not reduced, as a share of the mean time that
# a call holds a slot, and its bounds.
_TARGET_DELAY_SHARE = 0.25
_MIN_TARGET_SECONDS = 0.01
_MAX_TARGET_SECONDS = 0.1
# The difference between target and queueing delay is to be corrected within this time
# by admitting more or less.
_CORRECTION_SECONDS = 0.25
_MIN_CORRECTION = 0.7
_MAX_CORRECTION = 1.05


@attrs.define(eq=False)
class _Level:
    """Demand of requests of equal importance.

    :param hold_seconds: moving average of the time for which a call holds a slot.
    :param limit: calls of smaller buckets are counted.
    :param arrivals: counted calls in this window.
    :param calls: counted calls in memory, with decay.
    :param exposure: time over which they were counted, weighted with the share of
        the buckets, with decay; seconds.
    :param seen_at: latest call, trio clock, seconds.
    """

    hold_seconds: float
    limit: int = BUCKETS
    arrivals: int = 0
    calls: float = 0.0
    exposure: float = 0.0
    seen_at: float = 0.0

    def end_window(self, elapsed: float) -> None:
        """Adds the calls of a window to the memory.

        :param elapsed: length of the window, seconds.
        """
        decay = math.exp(-elapsed / self._compute_memory_seconds())
        self.calls = self.calls * decay + self.arrivals
        self.exposure = self.exposure * decay + elapsed * self.limit / BUCKETS
        self.arrivals = 0

    def _compute_memory_seconds(self) -> float:
        exposure = max(self.exposure, _MIN_EXPOSURE_SECONDS * self.limit / BUCKETS)
        rate = self.calls / exposure * self.limit / BUCKETS
        if rate * _MAX_MEMORY_SECONDS <= _REMEMBERED_CALLS:
            return _MAX_MEMORY_SECONDS
        return max(_MIN_MEMORY_SECONDS, _REMEMBERED_CALLS / rate)

    def compute_demand(self) -> float:
        """Returns the slots that all calls of the level would hold."""
        share = self.limit / BUCKETS
        exposure = max(self.exposure, _MIN_EXPOSURE_SECONDS * share)
        return self.calls / exposure * self.hold_seconds


@attrs.define(eq=False)
class RoomEstimator:
    """Computes the threshold from the demand of each level and the slots.

    Demand is observed in buckets that have been admitted for some time, and
    extrapolated to all: it does not depend on what is refused at the moment, so
    refusals do not make it seem smaller.

    :param threshold: first position that does not fit; None while all do.
    """

    threshold: int | None = None
    _levels: dict[int, _Level] = attrs.field(factory=dict)
    _window_start: float = -math.inf
    _min_delay: float = math.inf
    _updated_at: float = -math.inf
    _announced: int | None = None
    # Time and threshold of the latest windows.
    _history: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )

    def record_arrival(
        self, call: Call, now: float, load: Load, mean_seconds: float
    ) -> None:
        """Counts a call and computes the threshold at the end of each window.

        :param now: trio clock, seconds.
        :param load: load of the backend server.
        :param mean_seconds: mean time for which a call holds a slot.
        """
        if now - self._window_start > LEVEL_EXPIRY_SECONDS:
            self._restart(now)
        number = compute_level(call)
        level = self._levels.get(number)
        if level is None:
            level = self._levels[number] = _Level(mean_seconds)
        level.seen_at = now
        if call.bucket < level.limit:
            level.arrivals += 1
        delay = load.waiting * mean_seconds / max(1, load.limit)
        self._min_delay = min(self._min_delay, delay)
        if now - self._window_start >= WINDOW_SECONDS:
            self._end_window(now, load, mean_seconds)

    def record_hold(self, call: Call, seconds: float) -> None:
        """Records for how long a call held its slot."""
        level = self._levels.get(compute_level(call))
        if level is not None:
            level.hold_seconds += (seconds - level.hold_seconds) * _HOLD_EWMA_WEIGHT

    def get_announced(self, now: float) -> int | None:
        """Returns the position to announce on replies.

        :param now: trio clock, seconds.
        :returns: the threshold, or the end of the known levels while all fit; None
            while there is much room.
        """
        is_recent = now - self._updated_at < 3 * WINDOW_SECONDS
        return self._announced if is_recent else None

    def _restart(self, now: float) -> None:
        """Forgets what was observed before a long pause."""
        self._levels.clear()
        self._history.clear()
        self.threshold = self._announced = None
        self._window_start, self._min_delay = now, math.inf

    def _end_window(self, now: float, load: Load, mean_seconds: float) -> None:
        elapsed = now - self._window_start
        self._window_start = self._updated_at = now
        min_delay, self._min_delay = self._min_delay, math.inf
        for level in self._levels.values():
            level.end_window(elapsed)
        target = min(
            _MAX_TARGET_SECONDS,
            max(_MIN_TARGET_SECONDS, mean_seconds * _TARGET_DELAY_SHARE),
        )
        self._update_threshold(load, min_delay - target)
        self._update_limits(now)

    def _update_threshold(self, load: Load, excess_delay: float) -> None:
        """Computes the threshold.

        :param excess_delay: queueing delay minus the target, seconds.
        """
        demands = {
            number: level.compute_demand()
            for number, level in sorted(self._levels.items())
        }
        total = sum(demands.values())
        is_full = excess_delay > 0 or total > load.limit
        if self.threshold is None and not is_full:
            self._announced = (
                self.get_end() if total > ANNOUNCED_SHARE * load.limit else None
            )
            return
        correction = 1 - excess_delay / _CORRECTION_SECONDS
        correction = min(_MAX_CORRECTION, max(_MIN_CORRECTION, correction))
        room = ROOM_SHARE * load.limit * correction
        self.threshold = _find_threshold(demands, room)
        self._announced = self.get_end() if self.threshold is None else self.threshold

    def _update_limits(self, now: float) -> None:
        """Sets the buckets of each level in which demand is observed."""
        end = self.get_end()
        threshold = end if self.threshold is None else self.threshold
        self._history.append((now, threshold))
        while now - self._history[0][0] > PROPAGATION_SECONDS:
            self._history.popleft()
        lowest = min(position for _, position in self._history)
        for number, level in list(self._levels.items()):
            if now - level.seen_at > LEVEL_EXPIRY_SECONDS:
                del self._levels[number]
                continue
            admitted = lowest - number * BUCKETS
            if admitted >= BUCKETS:
                level.limit = BUCKETS
            else:
                level.limit = max(PROBE_BUCKETS, int(admitted * _SAMPLED_SHARE))

    def get_end(self) -> int:
        """Returns a position beyond all requests of the known levels."""
        return (max(self._levels, default=0) + 2) * BUCKETS


def _find_threshold(demands: dict[int, float], room: float) -> int | None:
    """Finds the first position at which the summed demand exceeds the room.

    :param demands: slots needed by each level, the most important first.
    :returns: None when all fits.
    """
    for number, demand in demands.items():
        if demand > room:
            share = max(0.0, room / demand)
            return number * BUCKETS + int(share * BUCKETS)
        room -= demand
    return None
