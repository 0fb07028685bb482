"""Tests of the settings and the announcement of a learned capacity."""

import random

from coltsfootspar.fleet.capacity import (
    RateAnnouncement,
    add_capacity_metrics,
    create_capacity,
)
from coltsfootspar.fleet.metrics import create_fleet_metrics
from coltsfootspar.relay import (
    CapacityEstimator,
    create_concurrency_limiter,
    create_placement,
)
from coltsfootspar.routing import Candidate
from coltsfootspar.settings.fleet import CapacitySettings


def test_few_announcements():
    """Guards against a message to all nodes for each small or brief change."""
    announcement = RateAnnouncement()
    assert announcement.update(100, 10.0) == 100
    assert announcement.update(120, 20.0) == 100
    assert announcement.update(50, 30.0) == 50
    assert announcement.update(100, 31.0) == 50
    assert announcement.update(100, 32.0) == 100
    assert announcement.update(0, 32.1) == 0


def test_settings_choose_the_capacity():
    """Guards against a limit that changes although the operators fixed it."""
    assert isinstance(create_capacity(CapacitySettings()), CapacityEstimator)
    assert create_capacity(CapacitySettings(mode="fixed")).compute_limit(40) == 40
    assert create_capacity(CapacitySettings(limit=8)).compute_limit(40) == 8


def test_metrics_of_each_kind_of_capacity():
    """Guards against a metrics page that fails once the settings change."""
    limiter = create_concurrency_limiter()
    metrics = create_fleet_metrics()
    add_capacity_metrics(metrics, limiter)
    assert b"coltsfootspar_capacity_latency_ratio 0" in metrics.render()
    limiter.capacity = create_capacity(CapacitySettings())
    assert b"coltsfootspar_capacity_latency_ratio 1" in metrics.render()


async def test_work_is_shared_by_rate(autojump_clock):
    """Guards against equal shares for servers of which a caller knows nothing yet."""
    placement = create_placement("a", random.Random(1))
    rates = [300, 100] * 4 + [0]
    candidates = [
        Candidate(f"n{i}", "wallet", "r", "a", 10, calls_per_second=rate)
        for i, rate in enumerate(rates)
    ]
    counts = dict.fromkeys(rates, 0)
    for _ in range(4000):
        counts[placement.choose(candidates, set()).calls_per_second] += 1
    assert 2.5 < counts[300] / counts[100] < 3.5
    # A server of unknown rate gets work, but less than the mean.
    assert 0.03 < counts[0] / 4000 < 0.09
