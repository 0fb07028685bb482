"""One number for the place of a request in the order of refusals.

A rank combines importance, progress and the priority bucket. Within an
importance the ranks of client retries lie below those of first attempts, and
the ranks of new work below those of work already begun. Each of the four classes
has its own range of ranks, so that a threshold can refuse any share of it.

The threshold of an overload signal is a rank in the form of a ``Priority``. Its
bucket runs from 0 to ``RANKS_PER_IMPORTANCE - 1``.
"""

from coltsfootspar.calls import CallContext, Priority
from coltsfootspar.calls.context import PRIORITY_BUCKETS

__all__ = [
    "HIGHEST_RANK",
    "RANKS_PER_IMPORTANCE",
    "compute_level",
    "compute_rank",
    "compute_rank_below",
    "create_threshold",
    "parse_threshold",
]

_LEVELS_PER_IMPORTANCE = 4
_BEGUN_LEVELS = 2
RANKS_PER_IMPORTANCE = _LEVELS_PER_IMPORTANCE * PRIORITY_BUCKETS
HIGHEST_RANK = 10 * RANKS_PER_IMPORTANCE - 1


def compute_level(context: CallContext) -> int:
    """Computes the level: importance, then begun work, then first attempts.

    :returns: a larger number for requests that are served earlier.
    """
    level = context.priority.importance * _LEVELS_PER_IMPORTANCE
    if context.depth > 0:
        level += _BEGUN_LEVELS
    if not context.is_client_retry:
        level += 1
    return level


def compute_rank(context: CallContext) -> int:
    """Computes the rank: the level, then the priority bucket.

    :returns: a larger number for requests that are refused later.
    """
    return compute_level(context) * PRIORITY_BUCKETS + context.priority.bucket


def compute_rank_below(context: CallContext) -> int:
    """Computes the rank that calls of a request have below its entry."""
    rank = compute_rank(context)
    if context.depth == 0:
        rank += _BEGUN_LEVELS * PRIORITY_BUCKETS
    return rank


def create_threshold(rank: int) -> Priority:
    """Converts the lowest admitted rank to the form used in signals."""
    return Priority(*divmod(rank, RANKS_PER_IMPORTANCE))


def parse_threshold(threshold: Priority) -> int:
    """Converts the threshold of a signal to a rank."""
    return threshold.importance * RANKS_PER_IMPORTANCE + threshold.bucket
