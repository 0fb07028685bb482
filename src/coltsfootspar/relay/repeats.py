"""Retry budget shared by all nodes.

Prevents retry storms: without a bound over all nodes, retries of failed calls keep
an overloaded service overloaded. Each node spends only its own share of the budget.
"""

import collections

import attrs
import trio

__all__ = ["RetryBudget", "create_retry_budget"]

# Share of the allowed ratio for retries of calls that have not run.
_NOT_RUN_SHARE = 0.35
# Share for retries of calls that may have run. Such a call repeats its own downstream
# calls, which count as retries at each service below: over three levels they add up.
_MAY_HAVE_RUN_SHARE = 0.1
_FIXED_SHARE = 0.4
_BUCKETS = 10


@attrs.define(eq=False)
class _SlidingWindow:
    """Counts of one service in the time buckets of a sliding window.

    :param requests: requests that were sent for the first time.
    :param retries: requests that were sent again.
    :param may_have_run_retries: retries of requests that may have run before.
    :param bucket: number of the current time bucket.
    """

    requests: collections.deque = attrs.field(
        factory=lambda: collections.deque([0] * _BUCKETS, maxlen=_BUCKETS)
    )
    retries: collections.deque = attrs.field(
        factory=lambda: collections.deque([0] * _BUCKETS, maxlen=_BUCKETS)
    )
    may_have_run_retries: collections.deque = attrs.field(
        factory=lambda: collections.deque([0] * _BUCKETS, maxlen=_BUCKETS)
    )
    bucket: int = 0

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
    _windows: dict[str, _SlidingWindow] = attrs.field(factory=dict)

    def record_request(self, service: str) -> None:
        """Counts a request that is sent for the first time; it adds to the budget."""
        self._get_window(service).requests[-1] += 1

    def try_spend(self, service: str, *, may_have_run: bool) -> bool:
        """Counts a retry if the budget allows it.

        :param may_have_run: true when the request may have run before.
        :returns: false when the retry must not be sent.
        """
        window = self._get_window(service)
        requests = sum(window.requests)
        fixed = self.fixed * _FIXED_SHARE / max(1, self.nodes)
        max_retries = (
            self.ratio * (_NOT_RUN_SHARE + _MAY_HAVE_RUN_SHARE) * requests + fixed
        )
        if sum(window.retries) + 1 > max_retries:
            return False
        if may_have_run:
            if (
                sum(window.may_have_run_retries) + 1
                > self.ratio * _MAY_HAVE_RUN_SHARE * requests + fixed / 2
            ):
                return False
            window.may_have_run_retries[-1] += 1
        window.retries[-1] += 1
        return True

    def _get_window(self, service: str) -> _SlidingWindow:
        window = self._windows.setdefault(service, _SlidingWindow())
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
