"""Limit on the share of retries among the calls to one service."""

import attrs

__all__ = ["RetryBudget", "create_retry_budget"]

RETRY_SHARE = 0.1
RETRY_BURST = 20.0
RETRY_START = 5.0


@attrs.define(eq=False)
class RetryBudget:
    """Token bucket that each call fills a little and each retry draws from.

    The bucket starts with a few retries, so that a service called at a low rate
    can retry too. It saves up more than these, since the calls stuck at a server
    that stalls are hedged all at once.

    :param share: retries that each call adds.
    :param burst: most retries that can be saved up.
    """

    share: float
    burst: float
    _tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = min(RETRY_START, self.burst)

    def record_call(self) -> None:
        """Adds the share of one call."""
        self._tokens = min(self.burst, self._tokens + self.share)

    def spend(self) -> bool:
        """Takes one retry.

        :returns: false when none is left.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def create_retry_budget(
    share: float = RETRY_SHARE, burst: float = RETRY_BURST
) -> RetryBudget:
    """Creates a budget with its first few retries.

    :param share: retries per call, 0 to 1.
    :param burst: most retries that can be saved up.

    >>> create_retry_budget(burst=1).spend()
    True
    """
    return RetryBudget(share, burst)
