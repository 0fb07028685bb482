"""Retry budget shared by all nodes.

Prevents retry storms: without a bound over all nodes, retries of failed calls keep
an overloaded service overloaded. Each node spends only its own share of the budget.
The node of a backend server that rejects calls may shift the budget between ranks;
see :mod:`coltsfootspar.relay.allowances`.
"""

import collections

import attrs
import trio

from coltsfootspar.relay.allowances import NOT_RUN_SHARE, Rank
from coltsfootspar.relay.windows import SlidingCounts

__all__ = ["RetryBudget", "create_retry_budget"]

# Share of the allowed ratio for retries of calls that may have run. Such a call
# repeats its own downstream calls, which count as retries at each service below: over
# three levels they add up.
_MAY_HAVE_RUN_SHARE = 0.1
_FIXED_SHARE = 0.4
_BUCKETS = 10
ALLOWANCE_TTL_SECONDS = 2.0
_NO_ALLOWANCE = (0.0, -float("inf"))


@attrs.define(eq=False)
class _ServiceCounts:
    """Counts of a service by rank.

    :param requests: requests that were sent for the first time.
    :param retries: retries of requests that have not run.
    :param may_have_run_retries: retries of requests that may have run before.
    :param allowances: retries for each request that the receivers of a rank allow,
        and the time at which one set it, trio clock, seconds.
    """

    requests: SlidingCounts
    retries: SlidingCounts
    may_have_run_retries: SlidingCounts
    allowances: dict[Rank, tuple[float, float]] = attrs.field(factory=dict)


@attrs.define(eq=False)
class RetryBudget:
    """Limits the retries that this node sends to each service.

    :param ratio: retries allowed per request, over all nodes.
    :param fixed: retries allowed in addition, over all nodes.
    :param nodes: number of nodes that share the fixed retries.
    """

    ratio: float
    fixed: float
    _window_seconds: float
    nodes: int = 1
    _counts: dict[str, _ServiceCounts] = attrs.field(factory=dict)

    def record_request(self, service: str, rank: Rank = 0) -> None:
        """Counts a request that is sent for the first time; it adds to the budget."""
        self._get_counts(service).requests.add(rank)

    def set_allowance(self, service: str, rank: Rank, allowance: float) -> None:
        """Sets how many retries of a rank its receivers allow for each request."""
        allowances = self._get_counts(service).allowances
        allowances[rank] = allowance, trio.current_time()

    def try_spend(self, service: str, rank: Rank = 0, *, may_have_run: bool) -> bool:
        """Counts a retry if the budget allows it.

        :param may_have_run: true when the request may have run before.
        :returns: false when the retry must not be sent.
        """
        counts = self._get_counts(service)
        fixed = self.fixed * _FIXED_SHARE / max(1, self.nodes)
        if may_have_run:
            retries = counts.may_have_run_retries
            is_allowed = self._compute_may_have_run_excess(counts) <= fixed / 2
        else:
            retries = counts.retries
            is_allowed = self._compute_not_run_excess(counts, rank) <= fixed
        if is_allowed:
            retries.add(rank)
        return is_allowed

    def _compute_may_have_run_excess(self, counts: _ServiceCounts) -> float:
        """Returns the retries, with one more, beyond the share of all requests."""
        requests = counts.requests.compute_totals().total()
        retries = counts.may_have_run_retries.compute_totals().total() + 1
        return retries - self.ratio * _MAY_HAVE_RUN_SHARE * requests

    def _compute_not_run_excess(self, counts: _ServiceCounts, rank: Rank) -> float:
        """Returns the retries, with one more of a rank, beyond each allowance."""
        requests = counts.requests.compute_totals()
        retries = counts.retries.compute_totals() + collections.Counter([rank])
        return sum(
            max(0.0, count - self._get_allowance(counts, other) * requests[other])
            for other, count in retries.items()
        )

    def _get_allowance(self, counts: _ServiceCounts, rank: Rank) -> float:
        allowance, allowed_at = counts.allowances.get(rank, _NO_ALLOWANCE)
        if trio.current_time() - allowed_at > ALLOWANCE_TTL_SECONDS:
            return self.ratio * NOT_RUN_SHARE
        return allowance

    def _get_counts(self, service: str) -> _ServiceCounts:
        counts = self._counts.get(service)
        if counts is None:
            bucket_seconds = self._window_seconds / _BUCKETS
            counts = self._counts[service] = _ServiceCounts(
                *(SlidingCounts(bucket_seconds, _BUCKETS) for _ in range(3))
            )
        return counts


def create_retry_budget(
    ratio: float, fixed: float, window_seconds: float
) -> RetryBudget:
    """Creates the retry budget of a node.

    :param ratio: retries allowed per request, over all nodes.
    :param fixed: retries allowed in addition, over all nodes.
    :param window_seconds: length of the sliding window to which both limits apply.
    """
    return RetryBudget(ratio, fixed, window_seconds)
