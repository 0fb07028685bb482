"""Capacity of the local backend server: its settings and metrics."""

import math

from coltsfootspar.fleet.metrics import FleetMetrics
from coltsfootspar.relay import (
    Capacity,
    CapacityEstimator,
    ConcurrencyLimiter,
    create_capacity_estimator,
    create_fixed_capacity,
)
from coltsfootspar.settings.fleet import CapacitySettings

__all__ = ["add_capacity_metrics", "create_capacity"]


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
