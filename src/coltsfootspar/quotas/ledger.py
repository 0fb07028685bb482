"""Ledger of the leader: grants tokens to the lenders of all data centres.

Load: organisations that send many times their usual through a few nodes or through
all of them, beside many small ones, while lenders come, go and are cut off.

A lender that gets no reply for :data:`FALLBACK_SECONDS` may spend its fallback share of
each limit on its own. So the ledger gives out that much less, from that time after the
latest stamp that the lender has echoed: the lender has received that stamp, and waits
for as long from then on. Neither side has to know which direction of a link has failed.

The echoes also confirm the term. A lender echoes a stamp only while its replica is in
the term of the ledger. With echoes of a majority, any later leader was elected after
the oldest of these stamps, and it waits for :data:`CONFIRMATION_SECONDS` before its
ledger opens. After that time without new echoes, a ledger grants nothing.
"""

from collections.abc import Callable, Collection, Mapping

import attrs

from coltsfootspar.quotas.buckets import TokenBucket
from coltsfootspar.quotas.clocks import Clock
from coltsfootspar.quotas.limits import Limit, QuotaRules
from coltsfootspar.quotas.messages import Grant, RefillReply, RefillRequest, TokenAsk

__all__ = ["CONFIRMATION_SECONDS", "FALLBACK_SECONDS", "Ledger"]

CONFIRMATION_SECONDS = 0.4
FALLBACK_SECONDS = 0.5
# Tokens for expected requests leave this share of a bucket to requests that wait at
# other lenders.
_KEPT_SHARE = 0.5


@attrs.define(eq=False)
class Ledger:
    """Tokens of all organisations during one term of a leader.

    :param term: term in which the replica leads.
    :param replica_id: the leader's replica, which is a lender, too.
    :param seats: number of lenders that there may be; each has an equal fallback
        share.
    :param list_lenders: lists the lenders that may exist, by replica id.
    :param opens_at: when the ledger may begin to grant, seconds.
    :param _echoes: latest stamp that each lender has echoed.
    :param _attached: the same for lenders that have a fallback share.
    :param granted: tokens granted.
    :param refused: waiting requests that got no token.
    """

    term: int
    replica_id: str
    seats: int
    list_lenders: Callable[[], Collection[str]]
    rules: QuotaRules
    clock: Clock
    opens_at: float
    granted: int = 0
    refused: int = 0
    _limits: Mapping[int, Limit] = attrs.field(factory=dict)
    _buckets: dict[int, TokenBucket] = attrs.field(factory=dict)
    _echoes: dict[str, float] = attrs.field(factory=dict)
    _attached: dict[str, float] = attrs.field(factory=dict)
    _share: float = 0.0
    _shared_at: float = -float("inf")

    def set_limits(self, limits: Mapping[int, Limit]) -> None:
        """Applies the limits of new routes.

        Buckets of organisations that are no longer there are kept, so that one that
        comes back has no second burst.
        """
        if limits is self._limits:
            return
        self._limits = limits
        now = self.clock.read()
        self._update_share(now)
        for organisation, limit in limits.items():
            bucket = self._buckets.get(organisation)
            if bucket is not None:
                bucket.set_limit(limit, self._share, now)
                continue
            self._buckets[organisation] = TokenBucket(
                limit,
                min(self.rules.initial_tokens, limit.burst),
                max(now, self.opens_at),
                self._share,
            )

    def handle(self, lender_id: str, request: RefillRequest) -> RefillReply:
        """Grants tokens to a lender."""
        now = self.clock.read()
        if request.term != self.term or now < self.opens_at:
            return RefillReply()
        self._record_echo(lender_id, request, now)
        if not self._is_confirmed(now):
            # The leader's own lender falls back like one that is cut off.
            is_own = lender_id == self.replica_id
            return RefillReply() if is_own else RefillReply(now)
        self._update_share(now)
        grants = tuple(self._grant(ask, now) for ask in request.asks)
        return RefillReply(now, grants)

    @property
    def share(self) -> float:
        """Part of each limit that is not left to lenders that may be cut off."""
        return self._share

    def _grant(self, ask: TokenAsk, now: float) -> Grant:
        limit = self._limits.get(ask.organisation)
        bucket = self._buckets.get(ask.organisation)
        if limit is None or bucket is None:
            # Removed by newer routes than those of the node.
            return Grant(ask.organisation, 0, ask.count, self.rules.window)
        if limit.is_unlimited:
            return Grant(ask.organisation, ask.count)
        count = bucket.take(ask.count, now)
        refused = ask.count - count
        self.refused += refused
        retry_after = bucket.promise(refused, now) if refused else 0.0
        if not refused:
            count += bucket.take(ask.spare, now, keep=bucket.level * _KEPT_SHARE)
        self.granted += count
        return Grant(ask.organisation, count, refused, retry_after)

    def _record_echo(self, lender_id: str, request: RefillRequest, now: float) -> None:
        # A stamp from the future is one of another clock.
        if not self.opens_at <= request.echo <= now:
            return
        self._update_share(now)
        echo = max(request.echo, self._echoes.get(lender_id, 0.0))
        self._echoes[lender_id] = echo
        if request.has_share:
            self._attached[lender_id] = echo

    def _is_confirmed(self, now: float) -> bool:
        """Tells whether no later leader can have begun to grant tokens."""
        oldest = now - CONFIRMATION_SECONDS
        confirming = sum(
            echo >= oldest
            for lender_id, echo in self._echoes.items()
            if lender_id != self.replica_id
        )
        return confirming + 1 > self.seats // 2

    def _update_share(self, now: float) -> None:
        """Applies all changes of the share since the last update, in their order."""
        ends = (echo + FALLBACK_SECONDS for echo in self._attached.values())
        for at in sorted(end for end in ends if self._shared_at < end <= now):
            self._set_share(at)
        self._set_share(now)

    def _set_share(self, at: float) -> None:
        lenders = self.list_lenders()
        reserved = sum(not self._is_attached(name, at) for name in lenders)
        share = max(0.0, 1 - reserved / self.seats)
        self._shared_at = at
        if share == self._share:
            return
        self._share = share
        for bucket in self._buckets.values():
            bucket.set_limit(bucket.limit, share, at)

    def _is_attached(self, lender_id: str, at: float) -> bool:
        """Tells whether a lender surely does not spend its fallback share."""
        echo = self._attached.get(lender_id)
        return echo is not None and at < echo + FALLBACK_SECONDS
