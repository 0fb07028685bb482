"""Allowances for retries, assigned by importance at the backend server.

Handles a service whose servers reject many calls of all kinds: the retries that the
shared budget allows are too few for all of them. The node of each server sees which
share of its calls each rank has and how many are rejected, and lets callers spend
the budget on the most important ranks first.
"""

import collections

import attrs
import trio

__all__ = ["NOT_RUN_SHARE", "RetryAllocator"]

# Share of the allowed ratio for retries of calls that have not run.
NOT_RUN_SHARE = 0.4
# Most retries for each call of a rank. It also bounds the retries above the budget
# while the ranks' shares of the calls change faster than the window follows.
MAX_RETRIES_PER_CALL = 0.8
_BUCKET_SECONDS = 0.5
_BUCKETS = 4


@attrs.define(eq=False)
class _Counts:
    """Calls and rejected calls of each rank.

    :param bucket: number of the time bucket that they fall into.
    """

    bucket: int
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    rejected: collections.Counter = attrs.field(factory=collections.Counter)


@attrs.define(eq=False)
class RetryAllocator:
    """Divides the retries of rejected calls among the ranks of a service.

    :param ratio: retries allowed for each call of the service, over all ranks.
    """

    ratio: float = 0.0
    _buckets: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=_BUCKETS)
    )

    def record_call(self, rank: int) -> None:
        """Counts a call that the backend server has received."""
        self._get_counts().calls[rank] += 1

    def record_rejection(self, rank: int) -> None:
        """Counts a call that the backend server has rejected without running it."""
        self._get_counts().rejected[rank] += 1

    def compute_allowance(self, rank: int) -> float:
        """Returns how many retries for each of its calls a rank may have.

        The retries that more important ranks need come off first.
        """
        oldest = self._get_counts().bucket - _BUCKETS
        recent = [counts for counts in self._buckets if counts.bucket > oldest]
        calls = sum((counts.calls for counts in recent), collections.Counter())
        rejected = sum((counts.rejected for counts in recent), collections.Counter())
        if not calls[rank]:
            return self.ratio
        needed = sum(count for other, count in rejected.items() if other < rank)
        available = max(0.0, self.ratio * calls.total() - needed)
        return min(MAX_RETRIES_PER_CALL, available / calls[rank])

    def _get_counts(self) -> _Counts:
        bucket = int(trio.current_time() / _BUCKET_SECONDS)
        if not self._buckets or self._buckets[-1].bucket != bucket:
            self._buckets.append(_Counts(bucket))
        return self._buckets[-1]
