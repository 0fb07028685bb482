"""Concurrency limit that starts from announced slots and follows latency."""

import math

import attrs

__all__ = ["ConcurrencyLimiter", "create_limiter"]

DEFAULT_CEILING = 1.0
DEFAULT_FLOOR = 0.25

# Share of the slots that a backend server gets when it has just started.
_COLD_SHARE = 0.2

_MIN_WINDOW_SECONDS = 0.1
_MIN_WINDOW_SAMPLES = 40
_MIN_RISE_SAMPLES = 8
_MAX_WINDOW_SECONDS = 5.0

# Latency over its expected value at which the limit falls or rises. It falls at
# the second high window in a row: a single one of 40 calls with exponentially
# distributed times may be high by chance.
_HIGH_RATIO = 1.5
_NORMAL_RATIO = 1.2
_HIGH_WINDOWS = 2
_FAILING_SHARE = 0.5

_DECREASE = 0.85
_RECOVERY_SHARE = 0.1

# A lower limit must lower the latency, or the cause lies elsewhere.
_TRIAL_SHARE = 0.75
_HELPFUL_RATIO = 0.9
_FLOOR_DRIFT = 1.02

# Work that waited below for more than this share of its time says nothing about
# the own backend server.
_MAX_BELOW_SHARE = 0.5

_BUSY_SHARE = 0.8


@attrs.define
class _Window:
    start: float
    own_seconds: float = 0.0
    expected_seconds: float = 0.0
    compared: int = 0
    samples: int = 0
    failures: int = 0
    in_use: int = 0


@attrs.frozen
class _Trial:
    """The state before a series of decreases."""

    limit: float
    ratio: float


@attrs.define(eq=False)
class ConcurrencyLimiter:
    """Number of calls that the backend server may work on at once.

    The limit falls when calls take longer than usual while most slots are in
    use. When a series of decreases does not shorten the calls, the cause is
    outside the reach of the limit (a slow disk, a slow service below): the old
    limit returns and the present latency becomes the usual one.

    :param slots: announced slots.
    """

    slots: int
    _ceiling: float
    _floor: float
    _limit: float = 0.0
    _scale: float = 1.0
    _warm_start: float = 0.0
    _warm_at: float = 0.0
    _window: _Window = attrs.field(factory=lambda: _Window(-math.inf))
    _trial: _Trial | None = None
    _high_windows: int = 0

    def update_slots(self, slots: int, cold_start: float, now: float) -> None:
        """Takes an announcement; the ramp starts when there were no slots."""
        if slots == self.slots:
            return
        if self.slots == 0:
            self._warm_start, self._warm_at = now, now + cold_start
            self._limit = slots
            self._scale = 1.0
        else:
            self._limit *= slots / self.slots
        self.slots = slots
        self._trial = None
        self._window = _Window(now)

    def compute_limit(self, now: float) -> int:
        """Computes the present limit.

        :param now: trio clock, seconds.
        :returns: calls in progress at once, 0 without slots.
        """
        if self.slots == 0:
            return 0
        limit = self._limit
        if now < self._warm_at:
            progress = (now - self._warm_start) / (self._warm_at - self._warm_start)
            limit *= _COLD_SHARE + (1 - _COLD_SHARE) * progress
        return max(1, int(limit + 1e-9))

    def record(
        self,
        service_seconds: float,
        below_seconds: float,
        expected_seconds: float,
        *,
        succeeded: bool,
        in_use: int,
        now: float,
    ) -> bool:
        """Takes the time of a call.

        :param service_seconds: time at the backend server, seconds.
        :param below_seconds: part of it spent waiting for calls below, seconds.
        :param expected_seconds: usual own time of such calls, seconds; 0 when
            unknown.
        :param in_use: calls in progress, this one included.
        :returns: true when the window ended with this call and the latency was
            normal, so that usual times may be learned.
        """
        window = self._window
        window.in_use = in_use
        window.samples += 1
        if not succeeded:
            window.failures += 1
        elif expected_seconds > 0 and (
            below_seconds <= _MAX_BELOW_SHARE * service_seconds
        ):
            window.own_seconds += service_seconds - below_seconds
            window.expected_seconds += expected_seconds
            window.compared += 1
        if not self._is_window_complete(now):
            return False
        self._window = _Window(now)
        if now < self._warm_at:
            return False
        return self._adapt(window)

    def _is_window_complete(self, now: float) -> bool:
        window = self._window
        elapsed = now - window.start
        if elapsed >= _MAX_WINDOW_SECONDS:
            return True
        if max(window.compared, window.failures) < self._count_needed(window):
            return False
        # Calls that began under the previous limit must not decide about the
        # present one.
        mean = window.own_seconds / max(1, window.compared)
        return elapsed >= max(_MIN_WINDOW_SECONDS, 2 * mean)

    def _count_needed(self, window: _Window) -> int:
        """Counts the calls that a window needs; few suffice to raise the limit."""
        usual = window.expected_seconds * self._scale
        is_lowered = self._limit < self.slots * self._ceiling
        is_normal = 0 < window.own_seconds <= _NORMAL_RATIO * usual
        if is_lowered and is_normal and window.failures == 0:
            return _MIN_RISE_SAMPLES
        return _MIN_WINDOW_SAMPLES

    def _adapt(self, window: _Window) -> bool:
        if window.failures > _FAILING_SHARE * window.samples:
            self._decrease()
            return False
        if window.compared < _MIN_WINDOW_SAMPLES:
            self._increase()
            return False
        ratio = window.own_seconds / (window.expected_seconds * self._scale)
        if ratio < 1 and self._scale > 1:
            self._scale = max(1.0, self._scale * ratio)
        is_busy = window.in_use >= _BUSY_SHARE * min(self._limit, self.slots)
        if ratio > _HIGH_RATIO and is_busy:
            self._high_windows += 1
            if self._high_windows >= _HIGH_WINDOWS:
                self._try_lower(ratio)
            return False
        self._high_windows = 0
        if ratio <= _NORMAL_RATIO:
            self._increase()
        return True

    def _try_lower(self, ratio: float) -> None:
        if self._trial is None:
            self._trial = _Trial(self._limit, ratio)
        elif self._limit <= _TRIAL_SHARE * self._trial.limit:
            if ratio > _HELPFUL_RATIO * self._trial.ratio:
                self._scale *= ratio
                self._limit = self._trial.limit
                self._trial = None
                return
            self._trial = _Trial(self._limit, ratio)
        if self._limit <= self._lowest:
            # No further decrease can tell what the cause is.
            self._scale *= _FLOOR_DRIFT
        self._decrease()

    @property
    def _lowest(self) -> float:
        return max(1.0, self.slots * self._floor)

    def _decrease(self) -> None:
        self._limit = max(self._lowest, self._limit * _DECREASE)

    def _increase(self) -> None:
        self._trial = None
        step = max(1.0, self.slots * _RECOVERY_SHARE)
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
    :param cold_start: time over which the limit ramps up, seconds.
    :param now: trio clock, seconds.
    :param ceiling: highest limit as a multiple of the slots.
    :param floor: lowest limit as a share of the slots.
    """
    limiter = ConcurrencyLimiter(0, ceiling, floor)
    limiter.update_slots(slots, cold_start, now)
    return limiter
