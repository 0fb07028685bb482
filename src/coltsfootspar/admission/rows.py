"""Estimates of service time and demand of each row at one backend server."""

import math
from collections.abc import Iterable

import attrs

from coltsfootspar.table import Row

__all__ = ["RowProfile", "RowProfiles"]

# Weights of a sample in the moving averages of the service time. The first samples
# are averaged equally until their weight falls to the first value; the second one
# applies to a sample that follows _STALE_SECONDS without any.
_EWMA_WEIGHT = 1 / 16
_STALE_SECONDS = 10.0
_STALE_EWMA_WEIGHT = 0.5

_BASELINE_EWMA_WEIGHT_DOWN = 0.05
_BASELINE_EWMA_WEIGHT_UP = 0.02

# The shortest calls complete first, so the baseline is set only after this many
# samples and this many mean service times.
_BASELINE_MIN_SAMPLES = 32
_BASELINE_MIN_SERVICE_TIMES = 10

_DEMAND_DECAY_SECONDS = 1.0
_CALLS_DECAY_SECONDS = 30.0
_MIN_CALLS = 1e-8

# A row becomes long when its service time exceeds the first multiple of that of
# short rows, and short again when it no longer exceeds the second one.
_LONG_ENTRY_FACTOR = 5.0
_LONG_EXIT_FACTOR = 3.0

# The service time at this quantile of all calls counts as that of short rows.
_SHORT_REFERENCE_QUANTILE = 0.02

IMPORTANCE_COUNT = 10


@attrs.define(eq=False)
class RowProfile:
    """Service time, demand and class of one row.

    :param name: name of the row.
    :param weight: weight from the table.
    :param mean: moving average of the service time, seconds; 0 when unknown.
    :param baseline: service time without downstream calls and without congestion,
        seconds; 0 when unknown.
    :param local_mean: moving average of the service time without downstream calls,
        seconds; 0 when unknown.
    :param samples: service times recorded.
    :param in_use: slots that calls of the row occupy.
    :param calls: accepted calls, with slow decay.
    :param is_long: true for rows whose calls are queued apart from short ones. A
        row counts as long until its first call has completed.
    :param demand: expected slots in use by accepted calls of each importance.
    """

    name: str
    weight: int
    mean: float = 0.0
    baseline: float = 0.0
    local_mean: float = 0.0
    samples: int = 0
    in_use: int = 0
    calls: float = 0.0
    is_long: bool = True
    demand: list[float] = attrs.field(factory=lambda: [0.0] * IMPORTANCE_COUNT)
    _last_sample_at: float = -math.inf
    _first_sample_at: float = math.inf

    def add_call(self, importance: int) -> None:
        """Counts an accepted call.

        :param importance: importance of the request.
        """
        self.calls += 1
        self.demand[importance] += self.mean / _DEMAND_DECAY_SECONDS

    def add_sample(self, seconds: float, local_seconds: float, now: float) -> None:
        """Records the service time of a completed call.

        :param seconds: time at the backend server, seconds.
        :param local_seconds: the same without the time of downstream calls, seconds.
        :param now: trio clock, seconds.
        """
        step = max(_EWMA_WEIGHT, 1 / (self.samples + 1))
        if now - self._last_sample_at > _STALE_SECONDS:
            step = max(step, _STALE_EWMA_WEIGHT)
        self.mean += step * (seconds - self.mean)
        self.local_mean += step * (local_seconds - self.local_mean)
        self._last_sample_at = now
        if self.samples == 0:
            self._first_sample_at = now
        self.samples += 1
        if self.baseline == 0 and self.samples >= _BASELINE_MIN_SAMPLES:
            elapsed = now - self._first_sample_at
            if elapsed >= _BASELINE_MIN_SERVICE_TIMES * self.mean:
                self.baseline = self.local_mean

    def update_baseline(self) -> None:
        """Moves the baseline towards the current average, once it is known."""
        if self.baseline > 0:
            step = (
                _BASELINE_EWMA_WEIGHT_DOWN
                if self.local_mean < self.baseline
                else _BASELINE_EWMA_WEIGHT_UP
            )
            self.baseline += step * (self.local_mean - self.baseline)

    def decay(self, elapsed: float) -> None:
        """Decays the counts of calls and demand.

        :param elapsed: time since the last call of this method, seconds.
        """
        self.calls *= math.exp(-elapsed / _CALLS_DECAY_SECONDS)
        factor = math.exp(-elapsed / _DEMAND_DECAY_SECONDS)
        self.demand = [value * factor for value in self.demand]


@attrs.define(eq=False)
class RowProfiles:
    """Profiles of all rows of a service."""

    _profiles: dict[str, RowProfile] = attrs.field(factory=dict)
    _decayed_at: float = -math.inf

    def __iter__(self) -> Iterable[RowProfile]:
        return iter(self._profiles.values())

    def get(self, row: Row) -> RowProfile:
        """Returns the profile of a row, which it creates if needed.

        :param row: row whose current weight the profile takes over.
        """
        profile = self._profiles.get(row.name)
        if profile is None:
            profile = RowProfile(row.name, row.weight)
            self._profiles[row.name] = profile
        profile.weight = row.weight
        return profile

    def refresh(self, now: float) -> list[RowProfile]:
        """Decays all counts, removes unused rows and classifies the others.

        :param now: trio clock, seconds.
        :returns: profiles of rows that have become long or short.
        """
        elapsed = now - self._decayed_at
        self._decayed_at = now
        if math.isfinite(elapsed):
            for profile in self._profiles.values():
                profile.decay(elapsed)
        unused_names = [
            name
            for name, profile in self._profiles.items()
            if profile.calls < _MIN_CALLS and profile.in_use == 0
        ]
        for name in unused_names:
            del self._profiles[name]
        return self._classify()

    def _classify(self) -> list[RowProfile]:
        known = [p for p in self._profiles.values() if p.samples > 0]
        if not known:
            return []
        known.sort(key=lambda profile: profile.mean)
        remaining = _SHORT_REFERENCE_QUANTILE * sum(profile.calls for profile in known)
        short_mean = known[-1].mean
        for profile in known:
            remaining -= profile.calls
            if remaining < 0:
                short_mean = profile.mean
                break
        changed = []
        for profile in known:
            factor = _LONG_EXIT_FACTOR if profile.is_long else _LONG_ENTRY_FACTOR
            is_long = profile.mean > factor * short_mean
            if is_long != profile.is_long:
                profile.is_long = is_long
                changed.append(profile)
        return changed
