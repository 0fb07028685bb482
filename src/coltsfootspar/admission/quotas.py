"""Enforces the rate and concurrency limits of a row at one entry node."""

import attrs

from coltsfootspar.exceptions import RefusedError
from coltsfootspar.table import Row

__all__ = ["RowQuota"]

# The largest burst is as many calls as the row's rate permits in this time.
_BURST_SECONDS = 0.1


@attrs.define(eq=False)
class RowQuota:
    """Enforces this node's share of the limits of one row.

    The rate limit is a token bucket. A changed limit takes effect at the next
    call.

    :param in_progress: requests of the row in progress that entered at this node;
        the caller counts them.
    """

    in_progress: int = 0
    _tokens: float = 1.0
    _refilled_at: float | None = None

    def acquire(self, row: Row, node_count: int, now: float) -> None:
        """Checks the concurrency limit, then takes a token of the rate limit.

        :param row: row with its current limits.
        :param node_count: nodes that share the limits equally.
        :param now: trio clock, seconds.
        :raises RefusedError: when a limit is reached; no token is taken then.
        """
        if row.concurrency_limit > 0:
            node_limit = max(1, row.concurrency_limit // node_count)
            if self.in_progress >= node_limit:
                raise RefusedError(
                    f"{row.name} has reached its concurrency limit",
                    code="concurrency-limit",
                )
        if row.rate_limit > 0:
            self._take_token(row, row.rate_limit / node_count, now)

    def _take_token(self, row: Row, rate: float, now: float) -> None:
        burst = max(1.0, rate * _BURST_SECONDS)
        if self._refilled_at is None:
            self._tokens = burst
        else:
            refilled = (now - self._refilled_at) * rate
            self._tokens = min(burst, self._tokens + refilled)
        self._refilled_at = now
        # Rounding errors may leave the sum just below a whole token.
        if self._tokens < 1 - 1e-9:
            raise RefusedError(
                f"{row.name} has exceeded its rate limit",
                code="rate-limit",
                retry_after=(1 - self._tokens) / rate,
            )
        self._tokens -= 1
