"""Capacity of the local backend server: its settings and metrics."""

import math

import attrs

from coltsfootspar.fleet.metrics import FleetMetrics
from coltsfootspar.relay import (
    Capacity,
    CapacityEstimator,
    ConcurrencyLimiter,
    create_capacity_estimator,
    create_fixed_capacity,
)
from coltsfootspar.settings.fleet import CapacitySettings

__all__ = ["RateAnnouncement", "add_capacity_metrics", "create_capacity"]

# A rate is announced again when it has changed by this factor, and so much later.
_RELEVANT_CHANGE = 1.25
_MIN_ANNOUNCEMENT_SECONDS = 2.0


@attrs.define(eq=False)
class RateAnnouncement:
    """Rate of a backend server that other nodes are told, changed seldom.

    Each change is a message to all nodes.

    :param calls_per_second: announced rate; 0 while it is unknown.
    """

    calls_per_second: int = 0
    _changed_at: float = -math.inf

    def update(self, calls_per_second: float, now: float) -> int:
        """Returns the rate to announce.

        :param calls_per_second: present rate; 0 when unknown.
        :param now: trio clock, seconds.
        """
        known = self.calls_per_second
        is_near = known / _RELEVANT_CHANGE < calls_per_second < known * _RELEVANT_CHANGE
        is_early = now - self._changed_at < _MIN_ANNOUNCEMENT_SECONDS
        # A server that has been replaced must not keep the rate of the last one.
        if calls_per_second == 0 or not (is_near or is_early):
            self.calls_per_second = math.ceil(calls_per_second)
            self._changed_at = now
        return self.calls_per_second


def create_capacity(settings: CapacitySettings) -> Capacity:
    """Creates the capacity that the settings ask for."""
    if settings.mode == "fixed" or settings.limit is not None:
        return create_fixed_capacity(settings.limit)
    return create_capacity_estimator()


def add_capacity_metrics(metrics: FleetMetrics, limiter: ConcurrencyLimiter) -> None:
    """Adds gauges for the capacity of a backend server and what it is learned from."""

    def read_latency_ratio() -> float:
        capacity = limiter.capacity
        if not isinstance(capacity, CapacityEstimator):
            return 0.0
        return math.exp(capacity.recent_log_ratio)

    def read_trials() -> float:
        capacity = limiter.capacity
        return capacity.trials if isinstance(capacity, CapacityEstimator) else 0

    metrics.add_gauges(
        ("announced_slots", "Slots announced by the server.", lambda: limiter.slots),
        (
            "capacity_calls_per_second",
            "Calls that the server completes per second at its limit.",
            lambda: limiter.capacity.calls_per_second,
        ),
        (
            "capacity_latency_ratio",
            "Latency of its calls over that of their kinds without congestion.",
            read_latency_ratio,
        ),
    )
    metrics.add_counters(
        ("capacity_trials", "Trials of another limit.", read_trials),
    )
