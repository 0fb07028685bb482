"""Rate and concurrency limits of a row at one entry node."""

import attrs

from coltsfootspar.exceptions import RefusedError
from coltsfootspar.table import Row

__all__ = ["RowQuota"]

# Largest burst, as the calls of this time at the row's rate.
_BURST_SECONDS = 0.1


@attrs.define(eq=False)
class RowQuota:
    """This node's share of the limits of one row.

    The rate limit is a token bucket. A changed limit takes effect at the next
    call.

    :param in_progress: calls of the row that have entered here.
    """

    in_progress: int = 0
    _tokens: float = 1.0
    _filled_at: float | None = None

    def check(self, row: Row, nodes: int, now: float) -> None:
        """Takes a token.

        :param nodes: nodes that share the limits.
        :raises RefusedError: when a limit is reached; nothing is taken then.
        """
        if row.concurrency_limit > 0:
            share = max(1, row.concurrency_limit // nodes)
            if self.in_progress >= share:
                raise RefusedError(
                    f"{row.name} is at its concurrency limit", code="concurrency-limit"
                )
        if row.rate_limit > 0:
            self._take_token(row, row.rate_limit / nodes, now)

    def _take_token(self, row: Row, rate: float, now: float) -> None:
        size = max(1.0, rate * _BURST_SECONDS)
        if self._filled_at is None:
            self._tokens = size
        else:
            earned = (now - self._filled_at) * rate
            self._tokens = min(size, self._tokens + earned)
        self._filled_at = now
        # Sums of floating point numbers may stay just below a whole token.
        if self._tokens < 1 - 1e-9:
            raise RefusedError(
                f"{row.name} is at its rate limit",
                code="rate-limit",
                retry_after=(1 - self._tokens) / rate,
            )
        self._tokens -= 1
