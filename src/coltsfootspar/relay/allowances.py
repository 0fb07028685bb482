"""Allowances for retries, assigned by importance at the backend server.

Handles a service whose servers reject many calls of all kinds: the retries that the
shared budget allows are too few for all of them. The node of each server sees which
share of its calls each rank has and how many are rejected, and lets callers spend
the budget on the most important ranks first.
"""

import attrs

from coltsfootspar.relay.windows import SlidingCounts

__all__ = ["NOT_RUN_SHARE", "Rank", "RetryAllocator"]

# Importance of a call, smaller values first: the rank of its route, or those of its
# organisation and of its route.
Rank = int | tuple[int, int]


# Share of the allowed ratio for retries of calls that have not run.
NOT_RUN_SHARE = 0.4
# Most retries for each call of a rank. It also bounds the retries above the budget
# while the ranks' shares of the calls change faster than the window follows.
MAX_RETRIES_PER_CALL = 0.8
_BUCKET_SECONDS = 0.5
_BUCKETS = 4


def _create_counts() -> SlidingCounts:
    return SlidingCounts(_BUCKET_SECONDS, _BUCKETS)


@attrs.define(eq=False)
class RetryAllocator:
    """Divides the retries of rejected calls among the ranks of a service.

    :param ratio: retries allowed for each call of the service, over all ranks.
    """

    ratio: float = 0.0
    _calls: SlidingCounts = attrs.field(factory=_create_counts)
    _rejected: SlidingCounts = attrs.field(factory=_create_counts)

    def record_call(self, rank: Rank) -> None:
        """Counts a call that the backend server has received."""
        self._calls.add(rank)

    def record_rejection(self, rank: Rank) -> None:
        """Counts a call that the backend server has rejected without running it."""
        self._rejected.add(rank)

    def compute_allowance(self, rank: Rank) -> float:
        """Returns how many retries for each of its calls a rank may have.

        The retries that more important ranks need come off first.
        """
        calls = self._calls.compute_totals()
        if not calls[rank]:
            return self.ratio
        rejected = self._rejected.compute_totals()
        needed = sum(count for other, count in rejected.items() if other < rank)
        available = max(0.0, self.ratio * calls.total() - needed)
        return min(MAX_RETRIES_PER_CALL, available / calls[rank])
