"""Service time and demand of each row at one backend server."""

import math
from collections.abc import Iterable

import attrs

from coltsfootspar.table import Row

__all__ = ["RowProfile", "RowProfiles"]

# Weight of one sample in the mean service time, and in its first samples.
_MEAN_STEP = 1 / 16
_STALE_SECONDS = 10.0
_STALE_STEP = 0.5

_USUAL_STEP_DOWN = 0.05
_USUAL_STEP_UP = 0.02

# The first calls that end are the shortest ones, so the usual time is taken only
# after this many samples and this many service times.
_USUAL_MIN_SAMPLES = 32
_USUAL_MIN_SERVICE_TIMES = 10

_DEMAND_SECONDS = 1.0
_CALLS_SECONDS = 30.0
_FORGOTTEN_CALLS = 1e-8

# A row is long when its service time is this many times that of the short rows,
# and short again below the second factor.
_LONG_FACTOR = 5.0
_SHORT_AGAIN_FACTOR = 3.0

# The service time at this quantile of the calls is that of short work.
_SHORT_QUANTILE = 0.02

IMPORTANCE_VALUES = 10


@attrs.define(eq=False)
class RowProfile:
    """What the node has learned about a row.

    :param weight: weight from the table.
    :param mean: service time with decay, seconds; 0 when unknown.
    :param usual: own service time without congestion, seconds; 0 when unknown.
    :param in_use: slots that calls of the row occupy.
    :param calls: accepted calls with slow decay.
    :param is_long: true for rows that are kept apart from short work. A row
        counts as long until its first call has ended.
    """

    name: str
    weight: int
    mean: float = 0.0
    usual: float = 0.0
    own: float = 0.0
    samples: int = 0
    in_use: int = 0
    calls: float = 0.0
    is_long: bool = True
    demand: list[float] = attrs.field(factory=lambda: [0.0] * IMPORTANCE_VALUES)
    _sampled_at: float = -math.inf
    _first_sample_at: float = math.inf

    def add_call(self, importance: int) -> None:
        """Counts a call that was accepted."""
        self.calls += 1
        self.demand[importance] += self.mean / _DEMAND_SECONDS

    def add_sample(self, seconds: float, own_seconds: float, now: float) -> None:
        """Learns from a call that has ended.

        :param seconds: time at the backend server.
        :param own_seconds: the same without the time of calls below.
        """
        step = max(_MEAN_STEP, 1 / (self.samples + 1))
        if now - self._sampled_at > _STALE_SECONDS:
            step = max(step, _STALE_STEP)
        self.mean += step * (seconds - self.mean)
        self.own += step * (own_seconds - self.own)
        self._sampled_at = now
        if self.samples == 0:
            self._first_sample_at = now
        self.samples += 1
        if self.usual == 0 and self.samples >= _USUAL_MIN_SAMPLES:
            elapsed = now - self._first_sample_at
            if elapsed >= _USUAL_MIN_SERVICE_TIMES * self.mean:
                self.usual = self.own

    def learn_usual(self) -> None:
        """Moves the usual time towards the present one."""
        if self.usual > 0:
            step = _USUAL_STEP_DOWN if self.own < self.usual else _USUAL_STEP_UP
            self.usual += step * (self.own - self.usual)

    def decay(self, elapsed: float) -> None:
        """Ages the counters.

        :param elapsed: seconds since the last call of this method.
        """
        self.calls *= math.exp(-elapsed / _CALLS_SECONDS)
        factor = math.exp(-elapsed / _DEMAND_SECONDS)
        self.demand = [value * factor for value in self.demand]


@attrs.define(eq=False)
class RowProfiles:
    """Profiles of all rows of a service."""

    _profiles: dict[str, RowProfile] = attrs.field(factory=dict)
    _aged_at: float = -math.inf

    def __iter__(self) -> Iterable[RowProfile]:
        return iter(self._profiles.values())

    def get(self, row: Row) -> RowProfile:
        """Finds or creates the profile of a row."""
        profile = self._profiles.get(row.name)
        if profile is None:
            profile = RowProfile(row.name, row.weight)
            self._profiles[row.name] = profile
        profile.weight = row.weight
        return profile

    def refresh(self, now: float) -> list[RowProfile]:
        """Ages all counters, forgets unused rows and finds the long ones.

        :returns: rows that have become long or short.
        """
        elapsed = now - self._aged_at
        self._aged_at = now
        if math.isfinite(elapsed):
            for profile in self._profiles.values():
                profile.decay(elapsed)
        unused = [
            name
            for name, profile in self._profiles.items()
            if profile.calls < _FORGOTTEN_CALLS and profile.in_use == 0
        ]
        for name in unused:
            del self._profiles[name]
        return self._classify()

    def _classify(self) -> list[RowProfile]:
        known = [p for p in self._profiles.values() if p.samples > 0]
        if not known:
            return []
        known.sort(key=lambda profile: profile.mean)
        remaining = _SHORT_QUANTILE * sum(profile.calls for profile in known)
        short = known[-1].mean
        for profile in known:
            remaining -= profile.calls
            if remaining < 0:
                short = profile.mean
                break
        changed = []
        for profile in known:
            factor = _SHORT_AGAIN_FACTOR if profile.is_long else _LONG_FACTOR
            is_long = profile.mean > factor * short
            if is_long != profile.is_long:
                profile.is_long = is_long
                changed.append(profile)
        return changed
