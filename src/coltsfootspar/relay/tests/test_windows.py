"""Tests of counts in sliding time buckets."""

import pytest
import trio

from coltsfootspar.relay.windows import SlidingCounts

BUCKET_SECONDS, BUCKETS = 0.5, 4


@pytest.fixture
def counts():
    return SlidingCounts(BUCKET_SECONDS, BUCKETS)


async def test_counts_of_all_buckets_are_added(counts, autojump_clock):
    """Guards against totals that leave out a time bucket of the window."""
    for _ in range(BUCKETS):
        counts.add("a")
        counts.add("b")
        await trio.sleep(BUCKET_SECONDS)
    counts.add("a")
    assert counts.compute_totals() == {"a": BUCKETS, "b": BUCKETS - 1}


async def test_counts_expire_bucket_by_bucket(counts, autojump_clock):
    """Guards against counts that stay after their time bucket has left the window."""
    counts.add("a")
    await trio.sleep(BUCKET_SECONDS)
    counts.add("a")
    await trio.sleep((BUCKETS - 1) * BUCKET_SECONDS)
    assert counts.compute_totals() == {"a": 1}
    await trio.sleep(BUCKET_SECONDS)
    assert counts.compute_totals() == {}


async def test_counts_from_before_a_long_pause_are_dropped(counts, autojump_clock):
    """Guards against a pause longer than the window that drops only some counts."""
    for _ in range(BUCKETS):
        counts.add("a")
        await trio.sleep(BUCKET_SECONDS)
    await trio.sleep(10 * BUCKETS * BUCKET_SECONDS)
    counts.add("b")
    assert counts.compute_totals() == {"b": 1}
