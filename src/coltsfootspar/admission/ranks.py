"""Ranks that order requests for load shedding.

A rank combines importance, progress and the priority bucket; lower ranks are
refused first. Within an importance the ranks of client retries are below those of
first attempts, and the ranks of new requests below those of started requests, whose
calls come from another service rather than from the client. Each of these four
levels has its own range of ranks, so that a threshold can refuse any fraction of
it.

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
    "compute_rank_downstream",
    "create_threshold",
    "parse_threshold",
]

_LEVELS_PER_IMPORTANCE = 4
_STARTED_LEVEL_OFFSET = 2
RANKS_PER_IMPORTANCE = _LEVELS_PER_IMPORTANCE * PRIORITY_BUCKETS
HIGHEST_RANK = 10 * RANKS_PER_IMPORTANCE - 1


def compute_level(context: CallContext) -> int:
    """Computes the level of a request, which determines the order of service.

    Higher importance comes first, then started requests before new ones, then
    first attempts before client retries.

    :returns: a larger number for requests that are served earlier.
    """
    level = context.priority.importance * _LEVELS_PER_IMPORTANCE
    if context.depth > 0:
        level += _STARTED_LEVEL_OFFSET
    if not context.is_client_retry:
        level += 1
    return level


def compute_rank(context: CallContext) -> int:
    """Computes the rank of a request from its level and its priority bucket.

    :returns: a larger number for requests that are refused later.
    """
    return compute_level(context) * PRIORITY_BUCKETS + context.priority.bucket


def compute_rank_downstream(context: CallContext) -> int:
    """Computes the rank that the downstream calls of a request have."""
    rank = compute_rank(context)
    if context.depth == 0:
        rank += _STARTED_LEVEL_OFFSET * PRIORITY_BUCKETS
    return rank


def create_threshold(rank: int) -> Priority:
    """Converts the lowest admitted rank to the threshold of a signal."""
    return Priority(*divmod(rank, RANKS_PER_IMPORTANCE))


def parse_threshold(threshold: Priority) -> int:
    """Converts the threshold of a signal to the lowest admitted rank."""
    return threshold.importance * RANKS_PER_IMPORTANCE + threshold.bucket
