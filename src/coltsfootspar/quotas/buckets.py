"""Bucket of tokens that refills at a rate."""

import attrs

from coltsfootspar.quotas.limits import Limit

__all__ = ["TokenBucket"]

MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 5.0
# Sums of many small refills may end just below a whole token.
_ROUNDING = 1e-9


@attrs.define(eq=False)
class TokenBucket:
    """Tokens of one organisation.

    :param limit: rate and burst of the whole organisation.
    :param level: tokens in the bucket.
    :param refilled_at: when the level was computed, seconds.
    :param share: part of the limit that the bucket has, 0 to 1.
    """

    limit: Limit
    level: float
    refilled_at: float
    share: float = 1.0
    _promised_at: float = 0.0

    def refill(self, now: float) -> None:
        """Adds the tokens of the time that has passed."""
        elapsed = max(0.0, now - self.refilled_at)
        level = self.level + elapsed * self.limit.rate * self.share
        # First tokens may be more than a small share holds.
        self.level = max(self.level, min(level, self._capacity))
        self.refilled_at = max(now, self.refilled_at)

    def set_limit(self, limit: Limit, share: float, now: float) -> None:
        """Applies a changed limit or share from now on."""
        self.refill(now)
        self.limit, self.share = limit, share
        self.level = min(self.level, self._capacity)

    def take(self, count: int, now: float, keep: float = 0.0) -> int:
        """Takes up to a number of whole tokens.

        :param keep: tokens to leave in the bucket.
        :returns: tokens taken.
        """
        self.refill(now)
        taken = min(count, max(0, int(self.level - keep + _ROUNDING)))
        self.level -= taken
        return taken

    def promise(self, refused: int, now: float) -> float:
        """Estimates when the first of some refused requests will find a token.

        They get a place behind the requests that were refused before them, so callers
        far above their limit are not all told to come back at once.

        :returns: seconds from now.
        """
        rate = self.limit.rate * self.share
        if rate <= 0:
            return MAX_RETRY_SECONDS
        latest = now + MAX_RETRY_SECONDS
        due = max(self._promised_at, now + max(0.0, 1 - self.level) / rate)
        self._promised_at = min(due + refused / rate, latest)
        return max(MIN_RETRY_SECONDS, min(due, latest) - now)

    @property
    def _capacity(self) -> float:
        # A share below one token would never fill a whole one.
        return max(1.0, self.limit.burst * self.share)
