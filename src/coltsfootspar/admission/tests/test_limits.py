"""The limit must follow congestion, but no other cause of long calls."""

import pytest

from coltsfootspar.admission.limits import create_limiter

SLOTS = 40
USUAL = 0.05


def run_calls(limiter, compute_seconds, start, seconds):
    """Keeps all slots in use with calls of a length that may depend on the limit.

    :returns: the limits over the time.
    """
    limits = []
    now = start
    while now < start + seconds:
        limit = limiter.compute_limit(now)
        length = compute_seconds(limit)
        limits.append(limit)
        for _ in range(limit):
            now += length / limit
            limiter.record(length, 0.0, USUAL, succeeded=True, in_use=limit, now=now)
    return limits


def test_falls_under_congestion_and_returns():
    limiter = create_limiter(SLOTS, 0.0, now=0.0)
    # The backend server serves only 16 calls at once, whatever it announces.
    congested = run_calls(limiter, lambda n: USUAL * max(1, n / 16), 0.0, 10.0)
    assert 16 <= congested[-1] <= 1.5 * 16 + 1
    normal = run_calls(limiter, lambda n: USUAL, 10.0, 3.0)
    assert normal[-1] == SLOTS


def test_returns_when_a_lower_limit_does_not_help():
    """Guards against losing capacity to a cause that the limit cannot change."""
    limiter = create_limiter(SLOTS, 0.0, now=0.0)
    limits = run_calls(limiter, lambda n: 5 * USUAL, 0.0, 60.0)
    assert min(limits) >= SLOTS // 2
    assert limits[-1] == SLOTS


@pytest.mark.parametrize("ceiling", [1.0, 1.5])
def test_stays_between_floor_and_ceiling(ceiling):
    limiter = create_limiter(SLOTS, 0.0, now=0.0, ceiling=ceiling, floor=0.25)
    # Faster than linear: each lower limit seems to help.
    limits = run_calls(limiter, lambda n: USUAL * n**2 / 60, 0.0, 200.0)
    limits += run_calls(limiter, lambda n: USUAL / 2, 200.0, 20.0)
    assert min(limits) == SLOTS // 4
    assert max(limits) == limits[-1] == SLOTS * ceiling


def test_rises_after_few_normal_calls():
    """Guards against a low limit that lasts because few calls end under it."""
    limiter = create_limiter(6, 0.0, now=0.0)
    run_calls(limiter, lambda n: USUAL * max(1, n / 2), 0.0, 30.0)
    assert limiter.compute_limit(30.0) < 6
    normal = run_calls(limiter, lambda n: USUAL, 30.0, 1.2)
    assert normal[-1] == 6
