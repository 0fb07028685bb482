"""Concurrency limit that starts at the announced slots and adapts to latency."""

import math

import attrs

__all__ = ["ConcurrencyLimiter", "create_limiter"]

DEFAULT_CEILING = 1.0
DEFAULT_FLOOR = 0.25

# Fraction of the slots available at the start of the warm-up ramp.
_COLD_START_FRACTION = 0.2

_MIN_WINDOW_SECONDS = 0.1
_MIN_WINDOW_SAMPLES = 40
_MIN_INCREASE_SAMPLES = 8
_MAX_WINDOW_SECONDS = 5.0

# Ratios of measured to expected latency above which the limit falls and up to
# which it rises. It falls only after consecutive high windows, because a single
# window of 40 calls with exponentially distributed times may be high by chance.
_HIGH_LATENCY_RATIO = 1.5
_NORMAL_LATENCY_RATIO = 1.2
_HIGH_WINDOWS_BEFORE_DECREASE = 2
_MAX_FAILURE_RATIO = 0.5

_DECREASE_FACTOR = 0.85
_INCREASE_FRACTION = 0.1

# When a series of decreases has brought the limit down to the first ratio of its
# initial value, latency must be down to the second ratio of its own. Otherwise
# concurrency is not the cause of the latency.
_TRIAL_LIMIT_RATIO = 0.75
_EFFECTIVE_LATENCY_RATIO = 0.9
_BASELINE_GROWTH_AT_FLOOR = 1.02

# Calls that spent a larger part of their time waiting for downstream services say
# nothing about the latency of this backend server.
_MAX_DOWNSTREAM_RATIO = 0.5

_BUSY_UTILIZATION = 0.8


@attrs.define
class _Window:
    """Measurements of one window, after which the limit is adapted.

    :param start: trio clock, seconds.
    :param local_seconds: summed time of the compared calls less their downstream
        time, seconds.
    :param expected_seconds: summed baselines of the compared calls, seconds.
    :param compared_samples: successful calls that have a baseline and spent most of
        their time at this backend server.
    :param samples: all calls that have ended.
    :param failures: calls that the backend server failed or shed.
    :param in_use: calls in progress at the latest end of a call.
    """

    start: float
    local_seconds: float = 0.0
    expected_seconds: float = 0.0
    compared_samples: int = 0
    samples: int = 0
    failures: int = 0
    in_use: int = 0


@attrs.frozen
class _DecreaseTrial:
    """Limit and latency ratio before a series of decreases."""

    limit: float
    latency_ratio: float


@attrs.define(eq=False)
class ConcurrencyLimiter:
    """Adapts the number of calls that the backend server may process at once.

    The limit falls when latency exceeds its baseline while most slots are in use.
    When a series of decreases does not reduce latency, the cause is one that the
    limit cannot influence (a slow disk, a slow downstream service): the previous
    limit is restored and the current latency becomes the baseline.

    :param slots: announced slots.
    """

    slots: int
    _ceiling: float
    _floor: float
    _limit: float = 0.0
    _baseline_scale: float = 1.0
    _ramp_start: float = 0.0
    _ramp_end: float = 0.0
    _window: _Window = attrs.field(factory=lambda: _Window(-math.inf))
    _trial: _DecreaseTrial | None = None
    _high_windows: int = 0

    def update_slots(self, slots: int, cold_start: float, now: float) -> None:
        """Applies an announcement of the backend server.

        The warm-up ramp starts when there were no slots before.

        :param slots: announced slots; 0 when the backend server is gone.
        :param cold_start: duration of the ramp, seconds.
        :param now: trio clock, seconds.
        """
        if slots == self.slots:
            return
        if self.slots == 0:
            self._ramp_start, self._ramp_end = now, now + cold_start
            self._limit = slots
            self._baseline_scale = 1.0
        else:
            self._limit *= slots / self.slots
        self.slots = slots
        self._trial = None
        self._window = _Window(now)

    def compute_limit(self, now: float) -> int:
        """Computes the current limit, reduced during warm-up.

        :param now: trio clock, seconds.
        :returns: maximum number of calls in progress; 0 without slots.
        """
        if self.slots == 0:
            return 0
        limit = self._limit
        if now < self._ramp_end:
            progress = (now - self._ramp_start) / (self._ramp_end - self._ramp_start)
            limit *= _COLD_START_FRACTION + (1 - _COLD_START_FRACTION) * progress
        return max(1, int(limit + 1e-9))

    def record(
        self,
        service_seconds: float,
        downstream_seconds: float,
        expected_seconds: float,
        *,
        succeeded: bool,
        in_use: int,
        now: float,
    ) -> bool:
        """Records a completed call and adapts the limit at the end of a window.

        :param service_seconds: time at the backend server, seconds.
        :param downstream_seconds: part of it spent waiting for downstream calls,
            seconds.
        :param expected_seconds: baseline time of such calls without downstream
            calls, seconds; 0 when unknown.
        :param succeeded: false when the backend server failed or shed the call.
        :param in_use: calls in progress, including this one.
        :param now: trio clock, seconds.
        :returns: true when this call ended a window with acceptable latency, so
            that the baselines may be updated.
        """
        window = self._window
        window.in_use = in_use
        window.samples += 1
        if not succeeded:
            window.failures += 1
        elif expected_seconds > 0 and (
            downstream_seconds <= _MAX_DOWNSTREAM_RATIO * service_seconds
        ):
            window.local_seconds += service_seconds - downstream_seconds
            window.expected_seconds += expected_seconds
            window.compared_samples += 1
        if not self._is_window_complete(now):
            return False
        self._window = _Window(now)
        if now < self._ramp_end:
            return False
        return self._adapt(window)

    def _is_window_complete(self, now: float) -> bool:
        window = self._window
        elapsed = now - window.start
        if elapsed >= _MAX_WINDOW_SECONDS:
            return True
        if max(window.compared_samples, window.failures) < self._count_required_samples(
            window
        ):
            return False
        # Calls that started under the previous limit must not affect the current
        # one.
        mean = window.local_seconds / max(1, window.compared_samples)
        return elapsed >= max(_MIN_WINDOW_SECONDS, 2 * mean)

    def _count_required_samples(self, window: _Window) -> int:
        """Returns the samples that a window needs; fewer suffice for an increase."""
        expected = window.expected_seconds * self._baseline_scale
        is_lowered = self._limit < self.slots * self._ceiling
        is_normal = 0 < window.local_seconds <= _NORMAL_LATENCY_RATIO * expected
        if is_lowered and is_normal and window.failures == 0:
            return _MIN_INCREASE_SAMPLES
        return _MIN_WINDOW_SAMPLES

    def _adapt(self, window: _Window) -> bool:
        if window.failures > _MAX_FAILURE_RATIO * window.samples:
            self._decrease()
            return False
        if window.compared_samples < _MIN_WINDOW_SAMPLES:
            self._increase()
            return False
        latency_ratio = window.local_seconds / (
            window.expected_seconds * self._baseline_scale
        )
        if latency_ratio < 1 and self._baseline_scale > 1:
            self._baseline_scale = max(1.0, self._baseline_scale * latency_ratio)
        is_busy = window.in_use >= _BUSY_UTILIZATION * min(self._limit, self.slots)
        if latency_ratio > _HIGH_LATENCY_RATIO and is_busy:
            self._high_windows += 1
            if self._high_windows >= _HIGH_WINDOWS_BEFORE_DECREASE:
                self._try_decrease(latency_ratio)
            return False
        self._high_windows = 0
        if latency_ratio <= _NORMAL_LATENCY_RATIO:
            self._increase()
        return True

    def _try_decrease(self, latency_ratio: float) -> None:
        if self._trial is None:
            self._trial = _DecreaseTrial(self._limit, latency_ratio)
        elif self._limit <= _TRIAL_LIMIT_RATIO * self._trial.limit:
            if latency_ratio > _EFFECTIVE_LATENCY_RATIO * self._trial.latency_ratio:
                self._baseline_scale *= latency_ratio
                self._limit = self._trial.limit
                self._trial = None
                return
            self._trial = _DecreaseTrial(self._limit, latency_ratio)
        if self._limit <= self._min_limit:
            # The limit cannot fall further, so no trial can find the cause; let
            # the baseline approach the latency instead.
            self._baseline_scale *= _BASELINE_GROWTH_AT_FLOOR
        self._decrease()

    @property
    def _min_limit(self) -> float:
        return max(1.0, self.slots * self._floor)

    def _decrease(self) -> None:
        self._limit = max(self._min_limit, self._limit * _DECREASE_FACTOR)

    def _increase(self) -> None:
        self._trial = None
        step = max(1.0, self.slots * _INCREASE_FRACTION)
        self._limit = min(self.slots * self._ceiling, self._limit + step)


def create_limiter(
    slots: int,
    cold_start: float,
    now: float,
    *,
    ceiling: float = DEFAULT_CEILING,
    floor: float = DEFAULT_FLOOR,
) -> ConcurrencyLimiter:
    """Creates a limiter.

    :param slots: announced slots, 0 before the first announcement.
    :param cold_start: duration of the warm-up ramp, seconds.
    :param now: trio clock, seconds.
    :param ceiling: highest limit as a multiple of the slots.
    :param floor: lowest limit as a fraction of the slots.
    """
    limiter = ConcurrencyLimiter(0, ceiling, floor)
    limiter.update_slots(slots, cold_start, now)
    return limiter
