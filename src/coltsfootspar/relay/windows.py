"""Counts in the time buckets of a sliding window."""

import collections
from collections.abc import Hashable

import attrs
import trio

__all__ = ["SlidingCounts"]


@attrs.define(eq=False)
class SlidingCounts:
    """Counts by key over the latest time buckets, the current one included.

    :param bucket_seconds: length of a time bucket.
    :param buckets: time buckets in the window.
    """

    bucket_seconds: float
    buckets: int
    _totals: collections.Counter = attrs.field(factory=collections.Counter)
    # Number and counts of each time bucket in which something was counted.
    _parts: collections.deque[tuple[int, collections.Counter]] = attrs.field(
        factory=collections.deque
    )

    def add(self, key: Hashable) -> None:
        """Counts one of a key."""
        bucket = self._drop_expired()
        if not self._parts or self._parts[-1][0] != bucket:
            self._parts.append((bucket, collections.Counter()))
        self._parts[-1][1][key] += 1
        self._totals[key] += 1

    def compute_totals(self) -> collections.Counter:
        """Returns the counts by key over the window; not to be changed."""
        self._drop_expired()
        return self._totals

    def _drop_expired(self) -> int:
        """Drops the expired time buckets and returns the number of the current one."""
        bucket = int(trio.current_time() / self.bucket_seconds)
        while self._parts and self._parts[0][0] <= bucket - self.buckets:
            self._totals -= self._parts.popleft()[1]
        return bucket
