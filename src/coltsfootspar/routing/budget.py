"""Limit on the ratio of retries to calls to one service."""

import attrs

__all__ = ["RetryBudget", "create_retry_budget"]

RETRY_SHARE = 0.1
RETRY_BURST = 20.0
INITIAL_RETRIES = 5.0


@attrs.define(eq=False)
class RetryBudget:
    """Token bucket: each call adds a fraction of a token, each retry takes one.

    The bucket starts with a few tokens, so that calls to a service with a low
    request rate can be retried too. Its capacity is larger, since the calls stuck
    at a stalled server are all hedged at the same time.

    :param share: tokens that each call adds.
    :param burst: capacity, tokens.
    """

    share: float
    burst: float
    _tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = min(INITIAL_RETRIES, self.burst)

    def record_call(self) -> None:
        """Adds the tokens of one call."""
        self._tokens = min(self.burst, self._tokens + self.share)

    def spend(self) -> bool:
        """Takes the token of one retry or hedge.

        :returns: false when there is no token.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def create_retry_budget(
    share: float = RETRY_SHARE, burst: float = RETRY_BURST
) -> RetryBudget:
    """Creates a budget that permits a few retries at once.

    :param share: retries per call, 0 to 1.
    :param burst: largest number of retries that can accumulate.

    >>> create_retry_budget(burst=1).spend()
    True
    """
    return RetryBudget(share, burst)
