"""Number of calls in progress that a backend server takes well.

Handles servers that slow down before their slots are full: there, fewer calls in
progress are answered sooner and no fewer of them per second. High latency alone never
lowers the limit, since a lower one refuses work. It only starts a trial, and the trial
decides: the lower limit stays if the calls get faster in about the proportion in which
they get fewer.
"""

import math
from collections.abc import Hashable
from typing import Protocol

import attrs
import trio

from coltsfootspar.logs import log_decision

__all__ = [
    "Capacity",
    "CapacityEstimator",
    "FixedCapacity",
    "Measurement",
    "create_capacity_estimator",
    "create_fixed_capacity",
]

# Calls that start in a window, and the time that it lasts at least.
_WINDOW_CALLS = 100
_MIN_WINDOW_SECONDS = 0.2
# A window ends by then, and counts with this number of calls.
_MAX_WINDOW_SECONDS = 3.0
_MIN_WINDOW_CALLS = 32
# Share of the calls of a window that have to end. The others count with their time so
# far: without them a window would measure its shortest calls only.
_COMPLETE_SHARE = 0.9
# A window is saturated when this share of its calls started with so much of the limit
# in use.
_SATURATED_CALLS_SHARE = 0.6
_SATURATED_USE = 0.9
# The latency of calls that start below this use of the slots is that without
# congestion.
_UNCONGESTED_USE = 0.7
_UNCONGESTED_TTL_SECONDS = 30.0
# Log ratio to the latency without congestion that starts a trial, and log ratio to the
# latency of a failed trial that starts another one before its time.
_SUSPICIOUS_LOG_RATIO = 0.2
_CHANGED_LOG_RATIO = 0.4
# Bounds of the share of its limit by which a trial lowers it.
_MIN_DECREASE = 0.2
_MAX_DECREASE = 0.5
# Share of the latency above that without congestion that a trial would have to remove.
_REMOVABLE_SHARE = 0.9
# Share of the slots by which a trial raises the limit.
_INCREASE_STEP = 0.1
# Change of the limit, as a log ratio, that a window of all its calls can judge. A
# larger one shows in fewer calls.
_REFERENCE_CHANGE = 0.22
# Change of the log latency, as a share of that of the limit, from which on fewer calls
# in progress complete no fewer calls per second.
_EFFECTIVE_SHARE = 0.75
_MIN_SHARE = 0.1
# Time between trials; doubles with each one that fails, up to the maximum.
_HOLD_SECONDS = 2.0
_MAX_HOLD_SECONDS = 32.0
# Without saturation a lowered limit returns to the slots in about this time.
_FORGET_SECONDS = 60.0
# Time constants of the moving averages.
_UNCONGESTED_SECONDS = 30.0
_CONGESTED_SECONDS = 120.0
_MEAN_SECONDS = 30.0
_MIN_KIND_CALLS = 8
_MAX_KINDS = 128
_MAX_LOG_RATIO = 2.0
_RECENT_SECONDS = 1.0
_MIN_RECENT_WEIGHT = 0.02
_MAX_RECENT_WEIGHT = 0.1
_MIN_SECONDS = 1e-4


@attrs.define(eq=False)
class Measurement:
    """One call at the backend server.

    :param started_at: trio clock, seconds.
    :param in_use: calls in progress at its start, with itself.
    :param window: window that it counts for; None when it counts for none.
    """

    kind: Hashable
    started_at: float
    in_use: int
    window: "_Window | None" = None


class Capacity(Protocol):
    """Decides how many calls a backend server may have in progress."""

    @property
    def calls_per_second(self) -> float:
        """Calls that the server completes per second at its limit; 0 if unknown."""

    def compute_limit(self, slots: int) -> int:
        """Computes the most calls in progress.

        :param slots: announced slots that are available.
        :returns: 1 to ``slots``.
        """

    def start(self, kind: Hashable, in_use: int) -> Measurement:
        """Starts the measurement of a call.

        :param kind: calls of equal kind take a similar time.
        :param in_use: calls in progress, with this one.
        """

    def finish(
        self, measurement: Measurement, *, is_served: bool, nested_seconds: float = 0.0
    ) -> None:
        """Ends the measurement of a call.

        :param is_served: false for a call that failed, was rejected or cancelled.
        :param nested_seconds: part of its time that it spent waiting for nested calls;
            0 if unknown.
        """

    def reset(self) -> None:
        """Forgets all that was learned about a server that has been replaced."""


@attrs.define(eq=False)
class _KindProfile:
    """Latency of the calls of one kind without congestion.

    :param log_mean: moving average of the logarithm of the seconds, so that rare long
        calls have little weight.
    """

    log_mean: float
    updated_at: float
    calls: int = 1

    def update(self, log_seconds: float, now: float, *, is_congested: bool) -> None:
        """Records a call; one under congestion has a small weight."""
        self.calls += 1
        seconds = _CONGESTED_SECONDS if is_congested else _UNCONGESTED_SECONDS
        weight = _compute_weight(now - self.updated_at, seconds)
        if self.calls <= _MIN_KIND_CALLS or not is_congested:
            weight = max(weight, 1 / self.calls)
        self.log_mean += weight * (log_seconds - self.log_mean)
        self.updated_at = now


@attrs.define(eq=False)
class _Window:
    """Calls that started one after the other under the same limit.

    :param required_calls: calls after which it closes.
    :param open: its calls that have not ended.
    :param log_ratio_sum: sum of the log ratios of those that have.
    """

    started_at: float
    required_calls: int = _WINDOW_CALLS
    calls: int = 0
    saturated_calls: int = 0
    served: int = 0
    log_ratio_sum: float = 0.0
    is_closed: bool = False
    open: set[Measurement] = attrs.field(factory=set)

    @property
    def is_saturated(self) -> bool:
        return self.saturated_calls >= _SATURATED_CALLS_SHARE * self.calls


@attrs.frozen
class _Trial:
    """Share of the slots and log ratio of the latency before a trial."""

    share: float
    log_ratio: float


@attrs.define(eq=False)
class _Hold:
    """Time until the next trial in one direction."""

    until: float = -math.inf
    seconds: float = _HOLD_SECONDS

    def extend(self, now: float) -> None:
        self.until = now + self.seconds
        self.seconds = min(_MAX_HOLD_SECONDS, 2 * self.seconds)

    def reset(self, now: float) -> None:
        self.until, self.seconds = now, _HOLD_SECONDS


@attrs.define(eq=False)
class CapacityEstimator:
    """Learns the limit from the latencies of calls, each compared with its kind.

    :param share: limit as a share of the announced slots.
    :param recent_log_ratio: moving average of the log ratio of the latency of a call to
        that of its kind without congestion, over about a second.
    :param mean_log_ratio: the same over the time of ``mean_seconds``.
    :param mean_seconds: moving average of the time for which a call holds its slot;
        None before the first.
    :param trials: trials begun.
    """

    share: float = 1.0
    recent_log_ratio: float = 0.0
    mean_log_ratio: float = 0.0
    mean_seconds: float | None = None
    trials: int = 0
    _slots: int = 0
    _limit: int = 0
    _calls: int = 0
    _finished_at: float = -math.inf
    _uncongested_at: float = -math.inf
    _kinds: dict[Hashable, _KindProfile] = attrs.field(factory=dict)
    _window: _Window | None = None
    _trial: _Trial | None = None
    # True after a window of high latency. The next one is the reference of a trial:
    # the first was chosen for its latency, which is partly chance.
    _is_suspected: bool = False
    # Latest log ratio at which a lower limit was of no use.
    _tolerated_log_ratio: float = 0.0
    _decrease_hold: _Hold = attrs.field(factory=_Hold)
    _increase_hold: _Hold = attrs.field(factory=_Hold)

    @property
    def calls_per_second(self) -> float:
        """Calls that the server completes per second at its limit; 0 if unknown."""
        if self.mean_seconds is None or self._calls < _WINDOW_CALLS:
            return 0.0
        change = math.exp(self.recent_log_ratio - self.mean_log_ratio)
        limit = self._limit
        if self._trial is not None:
            limit *= self._trial.share / self.share
        return limit / (self.mean_seconds * change)

    def compute_limit(self, slots: int) -> int:
        """Computes the most calls in progress."""
        if slots != self._slots:
            self._slots = slots
            self._window = None
        self._limit = max(1, min(slots, round(slots * self.share)))
        return self._limit

    def start(self, kind: Hashable, in_use: int) -> Measurement:
        """Starts the measurement of a call."""
        now = trio.current_time()
        measurement = Measurement(kind, now, in_use)
        # Calls that started under a higher limit may still be in progress.
        if in_use > self._limit or not self._is_known(kind):
            return measurement
        if self._window is not None and (
            now - self._window.started_at > _MAX_WINDOW_SECONDS
        ):
            self._evaluate(self._window, now)
        window = self._window
        if window is None:
            window = self._window = _Window(now, self._count_required_calls())
        if not window.is_closed:
            measurement.window = window
            window.open.add(measurement)
            window.calls += 1
            window.saturated_calls += in_use >= _SATURATED_USE * self._limit
            elapsed = now - window.started_at
            window.is_closed = (
                window.calls >= window.required_calls and elapsed >= _MIN_WINDOW_SECONDS
            )
        return measurement

    def finish(
        self, measurement: Measurement, *, is_served: bool, nested_seconds: float = 0.0
    ) -> None:
        """Ends the measurement of a call."""
        now = trio.current_time()
        seconds = now - measurement.started_at
        window = measurement.window
        if window is not None:
            window.open.discard(measurement)
        if is_served:
            own_seconds = max(_MIN_SECONDS, seconds - nested_seconds)
            self._record_seconds(measurement, math.log(own_seconds), now)
            self._update_mean(seconds, now)
        if window is not None and window is self._window and window.is_closed:
            is_complete = len(window.open) <= (1 - _COMPLETE_SHARE) * window.calls
            if is_complete:
                self._evaluate(window, now)

    def reset(self) -> None:
        """Forgets all that was learned about a server that has been replaced."""
        self.share = 1.0
        self.recent_log_ratio = self.mean_log_ratio = 0.0
        self.mean_seconds = None
        self._uncongested_at = -math.inf
        self._calls = 0
        self._kinds.clear()
        self._window = self._trial = None
        self._is_suspected = False
        self._decrease_hold, self._increase_hold = _Hold(), _Hold()

    def _count_required_calls(self) -> int:
        if self._trial is None:
            return _WINDOW_CALLS
        change = math.log(self.share / self._trial.share)
        calls = _WINDOW_CALLS * (_REFERENCE_CHANGE / change) ** 2
        return int(max(_MIN_WINDOW_CALLS, min(_WINDOW_CALLS, calls)))

    def _is_known(self, kind: Hashable) -> bool:
        profile = self._kinds.get(kind)
        return profile is not None and profile.calls >= _MIN_KIND_CALLS

    def _compute_log_ratio(self, kind: Hashable, log_seconds: float) -> float:
        log_ratio = log_seconds - self._kinds[kind].log_mean
        return max(-_MAX_LOG_RATIO, min(_MAX_LOG_RATIO, log_ratio))

    def _record_seconds(
        self, measurement: Measurement, log_seconds: float, now: float
    ) -> None:
        kind = measurement.kind
        if self._is_known(kind):
            log_ratio = self._compute_log_ratio(kind, log_seconds)
            if measurement.window is not None:
                measurement.window.served += 1
                measurement.window.log_ratio_sum += log_ratio
            self._update_log_ratios(log_ratio, now)
        is_congested = measurement.in_use > _UNCONGESTED_USE * self._slots
        if not is_congested:
            self._uncongested_at = now
        profile = self._kinds.get(kind)
        if profile is not None:
            profile.update(log_seconds, now, is_congested=is_congested)
            return
        self._kinds[kind] = _KindProfile(log_seconds, now)
        if len(self._kinds) > _MAX_KINDS:
            del self._kinds[next(iter(self._kinds))]

    def _update_log_ratios(self, log_ratio: float, now: float) -> None:
        elapsed = now - self._finished_at
        weight = _compute_weight(elapsed, _RECENT_SECONDS)
        weight = max(_MIN_RECENT_WEIGHT, min(weight, _MAX_RECENT_WEIGHT))
        self.recent_log_ratio += weight * (log_ratio - self.recent_log_ratio)
        weight = max(1 / (self._calls + 1), _compute_weight(elapsed, _MEAN_SECONDS))
        self.mean_log_ratio += weight * (log_ratio - self.mean_log_ratio)

    def _update_mean(self, seconds: float, now: float) -> None:
        self._calls += 1
        known = seconds if self.mean_seconds is None else self.mean_seconds
        weight = _compute_weight(now - self._finished_at, _MEAN_SECONDS)
        weight = max(1 / self._calls, weight)
        self.mean_seconds = known + weight * (seconds - known)
        self._finished_at = now

    def _evaluate(self, window: _Window, now: float) -> None:
        """Ends or begins a trial at the end of a window."""
        self._window = None
        unfinished = [
            self._compute_log_ratio(
                call.kind, math.log(max(_MIN_SECONDS, now - call.started_at))
            )
            for call in window.open
            if call.kind in self._kinds
        ]
        calls = window.served + len(unfinished)
        if calls < _MIN_WINDOW_CALLS:
            self._abandon_trial()
            return
        log_ratio = (window.log_ratio_sum + sum(unfinished)) / calls
        if not window.is_saturated:
            self._abandon_trial()
            elapsed = now - window.started_at
            self._set_share(self.share + elapsed / _FORGET_SECONDS)
        elif self._trial is not None:
            self._finish_trial(self._trial, log_ratio, now)
        else:
            self._begin_trial(log_ratio, now)

    def _begin_trial(self, log_ratio: float, now: float) -> None:
        was_suspected = self._is_suspected
        self._is_suspected = self._is_suspicious(log_ratio, now) and not was_suspected
        if self._is_suspected:
            return
        if was_suspected and log_ratio > _SUSPICIOUS_LOG_RATIO:
            share = self.share * (1 - _compute_decrease(log_ratio))
        elif self.share < 1 and now >= self._increase_hold.until:
            share = self.share + _INCREASE_STEP
        else:
            return
        previous = self.share
        self._set_share(share)
        if round(previous * self._slots) != round(self.share * self._slots):
            self._trial = _Trial(previous, log_ratio)
            self.trials += 1

    def _is_suspicious(self, log_ratio: float, now: float) -> bool:
        if now < self._decrease_hold.until:
            return log_ratio > self._tolerated_log_ratio + _CHANGED_LOG_RATIO
        if now - self._uncongested_at > _UNCONGESTED_TTL_SECONDS:
            return True
        return log_ratio > _SUSPICIOUS_LOG_RATIO

    def _finish_trial(self, trial: _Trial, log_ratio: float, now: float) -> None:
        """Keeps the limit of the trial if the server completes no fewer calls."""
        self._trial = None
        change = math.log(self.share / trial.share)
        is_decrease = change < 0
        is_effective = (log_ratio - trial.log_ratio) / change > _EFFECTIVE_SHARE
        hold = self._decrease_hold if is_decrease else self._increase_hold
        if is_decrease != is_effective:
            hold.extend(now)
            if is_decrease:
                self._tolerated_log_ratio = trial.log_ratio
            self._set_share(trial.share)
            return
        hold.reset(now)
        if is_decrease:
            self._increase_hold.until = now + _HOLD_SECONDS
        log_decision(
            "capacity-changed",
            limit=round(self.share * self._slots),
            previous=round(trial.share * self._slots),
            slots=self._slots,
            latency_ratio=round(math.exp(log_ratio), 3),
            previous_ratio=round(math.exp(trial.log_ratio), 3),
        )

    def _abandon_trial(self) -> None:
        if self._trial is not None:
            self._set_share(max(self.share, self._trial.share))
            self._trial = None

    def _set_share(self, share: float) -> None:
        self.share = max(_MIN_SHARE, min(1.0, share))


@attrs.frozen
class FixedCapacity:
    """Uses the announced slots, or a limit that the operators have set.

    :param limit: most calls in progress; None for the slots.
    """

    limit: int | None = None

    @property
    def calls_per_second(self) -> float:
        """Unknown."""
        return 0.0

    def compute_limit(self, slots: int) -> int:
        """Returns the fixed limit, at most the slots."""
        return slots if self.limit is None else max(1, min(slots, self.limit))

    def start(self, kind: Hashable, in_use: int) -> Measurement:
        """Starts a measurement that is not evaluated."""
        return Measurement(kind, trio.current_time(), in_use)

    def finish(
        self, measurement: Measurement, *, is_served: bool, nested_seconds: float = 0.0
    ) -> None:
        """Ignores a measurement."""

    def reset(self) -> None:
        """Forgets nothing."""


def _compute_decrease(log_ratio: float) -> float:
    """Returns the share by which a trial lowers the limit.

    A knee below that would not be worth it: fewer calls per second were answered there
    than with all slots.

    :param log_ratio: that of the latency to the one without congestion.
    """
    removable = 1 - math.exp(-_REMOVABLE_SHARE * log_ratio)
    return max(_MIN_DECREASE, min(_MAX_DECREASE, removable))


def _compute_weight(elapsed: float, seconds: float) -> float:
    """Returns the weight of a sample in a moving average with a time constant."""
    return 1 - math.exp(-elapsed / seconds)


def create_capacity_estimator() -> CapacityEstimator:
    """Creates an estimator that admits as many calls as there are slots at first."""
    return CapacityEstimator()


def create_fixed_capacity(limit: int | None = None) -> FixedCapacity:
    """Creates a capacity that learns nothing.

    :param limit: most calls in progress; None for the announced slots.
    """
    return FixedCapacity(limit)
