"""Checks that the limit reacts to congestion and to no other cause of latency."""

import pytest

from coltsfootspar.admission.limits import create_limiter

SLOTS = 40
BASELINE_SECONDS = 0.05


def run_calls(limiter, compute_seconds, start, seconds):
    """Saturates the limit with calls whose duration may depend on the limit.

    :param compute_seconds: maps the limit to the duration of a call, seconds.
    :param start: time of the first call, seconds.
    :param seconds: duration of the load, seconds.
    :returns: the limit before each batch of calls.
    """
    limits = []
    now = start
    while now < start + seconds:
        limit = limiter.compute_limit(now)
        duration = compute_seconds(limit)
        limits.append(limit)
        for _ in range(limit):
            now += duration / limit
            limiter.record(
                duration, 0.0, BASELINE_SECONDS, succeeded=True, in_use=limit, now=now
            )
    return limits


def test_limit_falls_under_congestion_and_recovers():
    """Guards against a limit above what a congested server processes at once."""
    limiter = create_limiter(SLOTS, 0.0, now=0.0)
    # The backend server processes only 16 calls at once, fewer than it announces.
    congested_limits = run_calls(
        limiter, lambda n: BASELINE_SECONDS * max(1, n / 16), 0.0, 10.0
    )
    assert 16 <= congested_limits[-1] <= 1.5 * 16 + 1
    normal_limits = run_calls(limiter, lambda n: BASELINE_SECONDS, 10.0, 3.0)
    assert normal_limits[-1] == SLOTS


def test_limit_is_restored_when_lowering_it_does_not_reduce_latency():
    """Guards against lost capacity when latency has a cause other than congestion."""
    limiter = create_limiter(SLOTS, 0.0, now=0.0)
    limits = run_calls(limiter, lambda n: 5 * BASELINE_SECONDS, 0.0, 60.0)
    assert min(limits) >= SLOTS // 2
    assert limits[-1] == SLOTS


@pytest.mark.parametrize("ceiling", [1.0, 1.5])
def test_limit_stays_between_floor_and_ceiling(ceiling):
    limiter = create_limiter(SLOTS, 0.0, now=0.0, ceiling=ceiling, floor=0.25)
    # Latency grows faster than the limit, so each decrease reduces it.
    limits = run_calls(limiter, lambda n: BASELINE_SECONDS * n**2 / 60, 0.0, 200.0)
    limits += run_calls(limiter, lambda n: BASELINE_SECONDS / 2, 200.0, 20.0)
    assert min(limits) == SLOTS // 4
    assert max(limits) == limits[-1] == SLOTS * ceiling


def test_limit_rises_after_few_normal_calls():
    """Guards against a low limit that persists because few calls complete under it."""
    limiter = create_limiter(6, 0.0, now=0.0)
    run_calls(limiter, lambda n: BASELINE_SECONDS * max(1, n / 2), 0.0, 30.0)
    assert limiter.compute_limit(30.0) < 6
    normal_limits = run_calls(limiter, lambda n: BASELINE_SECONDS, 30.0, 1.2)
    assert normal_limits[-1] == 6
