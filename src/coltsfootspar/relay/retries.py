"""Retry budget shared by all nodes.

Prevents retry storms: without a bound over all nodes, retries of failed calls keep
an overloaded service overloaded. Each node spends only its own share of the budget.
The node of a backend server that rejects calls may shift the budget between ranks;
see :mod:`coltsfootspar.relay.allowances`.
"""

import collections

import attrs
import trio

from coltsfootspar.relay.allowances import NOT_RUN_SHARE

__all__ = ["RetryBudget", "create_retry_budget"]

# Share of the allowed ratio for retries of calls that may have run. Such a call
# repeats its own downstream calls, which count as retries at each service below: over
# three levels they add up.
_MAY_HAVE_RUN_SHARE = 0.1
_FIXED_SHARE = 0.4
_BUCKETS = 10
ALLOWANCE_TTL_SECONDS = 2.0


def _create_buckets() -> collections.deque:
    return collections.deque([0] * _BUCKETS, maxlen=_BUCKETS)


@attrs.define(eq=False)
class _SlidingWindow:
    """Counts of one rank of a service in the time buckets of a sliding window.

    :param requests: requests that were sent for the first time.
    :param retries: retries of requests that have not run.
    :param may_have_run_retries: retries of requests that may have run before.
    :param bucket: number of the current time bucket.
    :param allowance: retries for each request that the receivers allow.
    :param allowed_at: time at which a receiver set it, trio clock, seconds.
    """

    requests: collections.deque = attrs.field(factory=_create_buckets)
    retries: collections.deque = attrs.field(factory=_create_buckets)
    may_have_run_retries: collections.deque = attrs.field(factory=_create_buckets)
    bucket: int = 0
    allowance: float = 0.0
    allowed_at: float = -float("inf")

    def advance(self, bucket: int) -> None:
        """Advances the window to a time bucket and drops the expired counts."""
        for _ in range(min(_BUCKETS, bucket - self.bucket)):
            self.requests.append(0)
            self.retries.append(0)
            self.may_have_run_retries.append(0)
        self.bucket = bucket


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
    # By service, then by rank.
    _windows: dict[str, dict[int, _SlidingWindow]] = attrs.field(factory=dict)

    def record_request(self, service: str, rank: int = 0) -> None:
        """Counts a request that is sent for the first time; it adds to the budget."""
        self._get_window(service, rank).requests[-1] += 1

    def set_allowance(self, service: str, rank: int, allowance: float) -> None:
        """Sets how many retries of a rank its receivers allow for each request."""
        window = self._get_window(service, rank)
        window.allowance, window.allowed_at = allowance, trio.current_time()

    def try_spend(self, service: str, rank: int = 0, *, may_have_run: bool) -> bool:
        """Counts a retry if the budget allows it.

        :param may_have_run: true when the request may have run before.
        :returns: false when the retry must not be sent.
        """
        window = self._get_window(service, rank)
        windows = [self._get_window(service, other) for other in self._windows[service]]
        counts = window.may_have_run_retries if may_have_run else window.retries
        counts[-1] += 1
        fixed = self.fixed * _FIXED_SHARE / max(1, self.nodes)
        if may_have_run:
            is_allowed = self._compute_may_have_run_excess(windows) <= fixed / 2
        else:
            is_allowed = self._compute_not_run_excess(windows) <= fixed
        if not is_allowed:
            counts[-1] -= 1
        return is_allowed

    def _compute_may_have_run_excess(self, windows: list[_SlidingWindow]) -> float:
        """Returns the retries beyond the share of the requests of all ranks."""
        requests = sum(sum(window.requests) for window in windows)
        retries = sum(sum(window.may_have_run_retries) for window in windows)
        return retries - self.ratio * _MAY_HAVE_RUN_SHARE * requests

    def _compute_not_run_excess(self, windows: list[_SlidingWindow]) -> float:
        """Returns the retries beyond the allowance of each rank."""
        excess = 0.0
        for window in windows:
            allowed = self._get_allowance(window) * sum(window.requests)
            excess += max(0.0, sum(window.retries) - allowed)
        return excess

    def _get_allowance(self, window: _SlidingWindow) -> float:
        if trio.current_time() - window.allowed_at > ALLOWANCE_TTL_SECONDS:
            return self.ratio * NOT_RUN_SHARE
        return window.allowance

    def _get_window(self, service: str, rank: int) -> _SlidingWindow:
        ranks = self._windows.setdefault(service, {})
        window = ranks.get(rank)
        if window is None:
            window = ranks[rank] = _SlidingWindow()
        bucket = int(trio.current_time() / self._window_seconds * _BUCKETS)
        if bucket != window.bucket:
            window.advance(bucket)
        return window


def create_retry_budget(
    ratio: float, fixed: float, window_seconds: float
) -> RetryBudget:
    """Creates the retry budget of a node.

    :param ratio: retries allowed per request, over all nodes.
    :param fixed: retries allowed in addition, over all nodes.
    :param window_seconds: length of the sliding window to which both limits apply.
    """
    return RetryBudget(ratio, fixed, window_seconds)
