"""Share of a node while no lender answers at all.

Load: all hosts with a replica lose power or are restarted together, while callers go on
as usual. The nodes then spend an equal part each of what the ledger would grant. It
grants nothing at that time, so the sum over all nodes keeps to the limits.

A node that is cut off itself must not do so, since the ledger goes on without it: it
sees fewer nodes than before.
"""

import random

import attrs

from coltsfootspar.quotas.buckets import TokenBucket
from coltsfootspar.quotas.clocks import Clock
from coltsfootspar.quotas.limits import Limit

__all__ = ["OutageShare"]

# Time without any answer after which the outage begins, and after which it is over:
# the nodes that were seen may have been replaced by then.
OUTAGE_BEGIN_SECONDS = 0.4
OUTAGE_END_SECONDS = 10.0
# A request that was not answered tells nothing about the lenders after this time.
_ASK_LIFETIME_SECONDS = 1.0
# Share of the known nodes that must be present.
_PRESENT_SHARE = 0.8
# Expected first tokens of an organisation, over all nodes: a small one would get none
# of a share below one token.
_FIRST_TOKENS = 5.0


@attrs.define(eq=False)
class OutageShare:
    """Tokens that a node has of its own while no lender answers.

    :param is_active: true while it is spent.
    """

    clock: Clock
    _random: random.Random
    is_active: bool = False
    _most_nodes: int = 0
    _present_nodes: int = 0
    _asked_at: float = 0.0
    _silent_since: float | None = None
    _buckets: dict[int, TokenBucket] = attrs.field(factory=dict)

    def update_nodes(self, count: int) -> None:
        """Notes how many nodes are members; the most ever seen share the limits."""
        self._present_nodes = count
        self._most_nodes = max(self._most_nodes, count)

    def record_request(self) -> None:
        """Notes that lenders are asked."""
        self._asked_at = self.clock.read()
        if self._silent_since is None:
            self._silent_since = self._asked_at

    def record_answer(self) -> None:
        """Notes that a lender has answered, which ends the outage."""
        self._silent_since = None
        self.is_active = False
        self._buckets.clear()

    def refresh(self) -> bool:
        """Tells whether the node spends its own share now."""
        # Without a request that waits for an answer, the clock need not be read.
        self.is_active = self._silent_since is not None and self._is_outage(
            self.clock.read()
        )
        return self.is_active

    def try_take(self, organisation: int, limit: Limit) -> bool:
        """Takes a token of the node's own share.

        :returns: false without an outage, and when the share is used up.
        """
        if not self.refresh():
            return False
        now = self.clock.read()
        bucket = self._buckets.get(organisation)
        if bucket is None:
            bucket = self._buckets[organisation] = self._create_bucket(limit)
        return bucket.take(1, now) == 1

    def _is_outage(self, now: float) -> bool:
        if not self._most_nodes:
            return False
        silence = now - self._silent_since
        return (
            OUTAGE_BEGIN_SECONDS <= silence < OUTAGE_END_SECONDS
            and now - self._asked_at < _ASK_LIFETIME_SECONDS
            and self._present_nodes >= self._most_nodes * _PRESENT_SHARE
        )

    def _create_bucket(self, limit: Limit) -> TokenBucket:
        share = 1 / self._most_nodes
        first = float(self._random.random() < _FIRST_TOKENS * share)
        begin = self._silent_since + OUTAGE_BEGIN_SECONDS
        return TokenBucket(limit, first, begin, share)
