"""Lender of a data centre: passes tokens of the ledger on to nodes.

Load: as for the ledger, with the round trip to another data centre between them. A
request of an organisation with little traffic waits for that round trip; for the
others, the lender holds tokens for the requests that it expects meanwhile.
"""

import collections
from collections.abc import Callable, Iterable, Mapping

import attrs

from coltsfootspar.quotas.buckets import TokenBucket
from coltsfootspar.quotas.clocks import Clock
from coltsfootspar.quotas.ledger import FALLBACK_SECONDS
from coltsfootspar.quotas.limits import TOKEN_LIFETIME_SECONDS, Limit
from coltsfootspar.quotas.messages import (
    Grant,
    RefillReply,
    RefillRequest,
    TokenAsk,
    TokenReply,
)

__all__ = ["FALLBACK_END_SECONDS", "Lender", "TokenLoan"]

# Longest time without contact for which a lender spends its fallback share; a host that
# takes over the seat of one that is cut off gets no share of its own before.
FALLBACK_END_SECONDS = 300.0
# Time in which demand is counted, and for which tokens are held.
_DEMAND_WINDOW_SECONDS = 0.2
_SPARE_SECONDS = 0.1


@attrs.define(eq=False)
class TokenLoan:
    """What one request of a node asks for and has got so far.

    :param on_settled: called when all of it is granted or refused.
    :param expires_at: when the first of the granted tokens lapses, seconds.
    """

    on_settled: Callable[[], None]
    grants: dict[int, Grant] = attrs.field(factory=dict)
    expires_at: float = float("inf")
    open_count: int = 0

    @property
    def is_settled(self) -> bool:
        """True when nothing is asked for any more."""
        return self.open_count == 0

    def record(self, grant: Grant, expires_at: float = float("inf")) -> None:
        """Adds granted tokens, or requests that are refused."""
        previous = self.grants.get(grant.organisation)
        if previous is not None:
            grant = attrs.evolve(
                grant,
                count=previous.count + grant.count,
                refused=previous.refused + grant.refused,
                retry_after=previous.retry_after or grant.retry_after,
            )
        self.grants[grant.organisation] = grant
        self.expires_at = min(self.expires_at, expires_at)

    def close(self, count: int) -> None:
        """Counts requests as answered."""
        self.open_count -= count
        if self.is_settled:
            self.on_settled()


@attrs.define(eq=False)
class _Entry:
    """Requests of one node for one organisation that wait for tokens.

    :param is_sent: true once a request to the ledger asks for their tokens.
    """

    loan: TokenLoan
    organisation: int
    count: int
    is_sent: bool = False


@attrs.define(eq=False)
class _Demand:
    """Requests of one organisation in the present and the previous time window."""

    _window: int = -1
    _count: int = 0
    _previous: int = 0

    def add(self, count: int, now: float) -> None:
        """Counts requests."""
        self._advance(now)
        self._count += count

    def estimate(self, seconds: float, now: float) -> int:
        """Returns how many requests to expect in some time."""
        self._advance(now)
        return int(self._previous * seconds / _DEMAND_WINDOW_SECONDS)

    def is_over(self, now: float) -> bool:
        """Tells whether there was no request in either window."""
        self._advance(now)
        return not self._count and not self._previous

    def _advance(self, now: float) -> None:
        window = int(now / _DEMAND_WINDOW_SECONDS)
        if window != self._window:
            self._previous = self._count if window == self._window + 1 else 0
            self._window, self._count = window, 0


@attrs.define(eq=False)
class Lender:
    """Tokens of the ledger in one data centre, and the requests that wait for some.

    :param seats: number of lenders, which have equal fallback shares.
    :param share_from: when the lender gets its fallback share, seconds; until then a
        host that held its seat before may still spend it.
    :param lent: tokens passed on to nodes.
    :param refused: waiting requests that got no token.
    :param lapsed: tokens that were not used in time.
    """

    seats: int
    clock: Clock
    limits: Mapping[int, Limit] = attrs.field(factory=dict)
    share_from: float = -float("inf")
    lent: int = 0
    refused: int = 0
    lapsed: int = 0
    _stock: dict[int, collections.deque] = attrs.field(factory=dict)
    _queues: dict[int, collections.deque] = attrs.field(factory=dict)
    _demand: dict[int, _Demand] = attrs.field(factory=dict)
    _fallback: dict[int, TokenBucket] = attrs.field(factory=dict)
    _contact_at: float | None = None
    _term: int = 0
    _stamp: float = 0.0
    _sent_at: float = 0.0
    _request: RefillRequest | None = None
    _is_share_waived: bool = False

    def waive_share(self) -> None:
        """Gives the fallback share up for good: another host may take the seat over.

        From then on, only that host may spend it.
        """
        self._is_share_waived = True
        self._fallback.clear()

    @property
    def is_cut_off(self) -> bool:
        """True while the lender spends its fallback share."""
        now = self.clock.read()
        if self._contact_at is None or self._is_share_waived:
            return False
        if now < self.share_from:
            return False
        elapsed = now - self._contact_at
        return FALLBACK_SECONDS <= elapsed < FALLBACK_END_SECONDS

    @property
    def is_waiting(self) -> bool:
        """True while a request waits whose tokens the ledger was not asked for."""
        return any(
            not entry.is_sent for queue in self._queues.values() for entry in queue
        )

    def request(
        self, asks: Iterable[TokenAsk], on_settled: Callable[[], None]
    ) -> TokenLoan:
        """Takes the request of a node and answers as much of it as possible now.

        :param on_settled: called when all of it is answered, maybe at once.
        """
        now = self.clock.read()
        loan = TokenLoan(on_settled)
        entries = [
            _Entry(loan, ask.organisation, ask.count) for ask in asks if ask.count
        ]
        loan.open_count = sum(entry.count for entry in entries)
        for entry in entries:
            organisation = entry.organisation
            self._demand.setdefault(organisation, _Demand()).add(entry.count, now)
            self._queues.setdefault(organisation, collections.deque()).append(entry)
            self._serve_from_stock(organisation, now)
        if self.is_cut_off:
            self.serve_fallback()
        return loan

    def abandon(self, loan: TokenLoan) -> None:
        """Drops what a request still waits for."""
        for organisation in list(self._queues):
            queue = self._queues[organisation]
            kept = collections.deque(e for e in queue if e.loan is not loan)
            self._set_queue(organisation, kept)

    def create_reply(self, loan: TokenLoan, number: int = 0) -> TokenReply:
        """Creates the reply to a node with what it has got so far.

        :param number: number of the node's request.
        :returns: the tokens' lifetime counts from now; the node counts it from the
            sending of its request, which is earlier.
        """
        lifetime = min(loan.expires_at - self.clock.read(), TOKEN_LIFETIME_SECONDS)
        return TokenReply(
            loan.is_settled, max(0.0, lifetime), tuple(loan.grants.values()), number
        )

    def create_refill(self, term: int, *, is_local: bool = False) -> RefillRequest:
        """Creates the next request to the ledger.

        :param term: present term of the lender's replica.
        :param is_local: true when the ledger is in the same process, so that no tokens
            have to be held.
        """
        now = self._sent_at = self.clock.read()
        echo = self._stamp if term == self._term else 0.0
        self._drop_lapsed(now)
        asks = []
        organisations = set(self._queues)
        if not is_local:
            organisations.update(self._demand)
        for organisation in sorted(organisations):
            ask = self._create_ask(organisation, now, is_local)
            if ask.count or ask.spare:
                asks.append(ask)
        has_share = now >= self.share_from
        self._request = RefillRequest(term, echo, has_share, tuple(asks))
        return self._request

    def apply_refill(self, request: RefillRequest, reply: RefillReply) -> None:
        """Passes the tokens in a reply on to the requests that wait.

        Their lifetime counts from the sending of the request, which is known for the
        last one only. Replies to earlier ones are ignored: a replica that has just
        become the leader may still get one of the former leader.
        """
        if request is not self._request:
            return
        if not reply.stamp:
            self.fail_refill()
            return
        now = self.clock.read()
        # The fallback share ends with any reply: the next request confirms its stamp.
        self._contact_at = now
        self._term, self._stamp = request.term, reply.stamp
        self._fallback.clear()
        expires_at = self._sent_at + TOKEN_LIFETIME_SECONDS
        for grant in reply.grants:
            if grant.count:
                stock = self._stock.setdefault(grant.organisation, collections.deque())
                stock.append((expires_at, grant.count))
            self._serve_from_stock(grant.organisation, now)
            self._refuse_sent(grant)
        self.fail_refill()

    def fail_refill(self) -> None:
        """Notes that the last request to the ledger was not answered in full."""
        for queue in self._queues.values():
            for entry in queue:
                entry.is_sent = False

    def serve_fallback(self) -> None:
        """Answers all requests that wait, from the fallback share."""
        now = self.clock.read()
        for organisation in list(self._queues):
            bucket = self._get_fallback_bucket(organisation)
            if bucket is not None:
                queue = self._queues.pop(organisation)
                self._serve_from_bucket(queue, bucket, now)

    def _get_fallback_bucket(self, organisation: int) -> TokenBucket | None:
        """Returns the bucket of the fallback share, which has begun empty.

        :returns: None when the organisation is not known here.
        """
        limit = self.limits.get(organisation)
        if limit is None:
            return None
        bucket = self._fallback.get(organisation)
        if bucket is None:
            start = self._contact_at + FALLBACK_SECONDS
            bucket = TokenBucket(limit, 0.0, start, share=1 / self.seats)
            self._fallback[organisation] = bucket
        elif bucket.limit != limit:
            bucket.set_limit(limit, 1 / self.seats, self.clock.read())
        return bucket

    def _serve_from_bucket(
        self, queue: collections.deque, bucket: TokenBucket, now: float
    ) -> None:
        for entry in queue:
            is_unlimited = bucket.limit.is_unlimited
            count = entry.count if is_unlimited else bucket.take(entry.count, now)
            self._lend(entry, count, now + TOKEN_LIFETIME_SECONDS)
            if entry.count:
                self._refuse(entry, bucket.promise(entry.count, now))

    def _create_ask(self, organisation: int, now: float, is_local: bool) -> TokenAsk:
        count = 0
        for entry in self._queues.get(organisation, ()):
            entry.is_sent = True
            count += entry.count
        spare = 0
        demand = self._demand.get(organisation)
        if demand is not None and demand.is_over(now):
            del self._demand[organisation]
        elif demand is not None and not is_local:
            held = sum(tokens for _, tokens in self._stock.get(organisation, ()))
            spare = max(0, demand.estimate(_SPARE_SECONDS, now) - held)
        return TokenAsk(organisation, count, spare)

    def _serve_from_stock(self, organisation: int, now: float) -> None:
        queue = self._queues.get(organisation, collections.deque())
        stock = self._stock.get(organisation, collections.deque())
        while queue and stock:
            expires_at, available = stock.popleft()
            if expires_at <= now:
                self.lapsed += available
                continue
            entry = queue[0]
            count = min(entry.count, available)
            self._lend(entry, count, expires_at)
            if count < available:
                stock.appendleft((expires_at, available - count))
            if not entry.count:
                queue.popleft()
        self._set_queue(organisation, queue)

    def _lend(self, entry: _Entry, count: int, expires_at: float) -> None:
        if not count:
            return
        self.lent += count
        entry.count -= count
        entry.loan.record(Grant(entry.organisation, count), expires_at)
        entry.loan.close(count)

    def _refuse(self, entry: _Entry, retry_after: float) -> None:
        count, entry.count = entry.count, 0
        self.refused += count
        entry.loan.record(Grant(entry.organisation, 0, count, retry_after))
        entry.loan.close(count)

    def _refuse_sent(self, grant: Grant) -> None:
        """Refuses the requests for which the ledger had no token."""
        limit = self.limits.get(grant.organisation)
        interval = 1 / limit.rate if limit is not None and limit.rate else 0.0
        retry_after = grant.retry_after
        refused = grant.refused
        queue = self._queues.get(grant.organisation, collections.deque())
        while refused > 0 and queue and queue[0].is_sent:
            entry = queue.popleft()
            refused -= entry.count
            count = entry.count
            self._refuse(entry, retry_after)
            retry_after += count * interval
        self._set_queue(grant.organisation, queue)

    def _set_queue(self, organisation: int, queue: collections.deque) -> None:
        if queue:
            self._queues[organisation] = queue
        else:
            self._queues.pop(organisation, None)

    def _drop_lapsed(self, now: float) -> None:
        for organisation in list(self._stock):
            stock = self._stock[organisation]
            while stock and stock[0][0] <= now:
                self.lapsed += stock.popleft()[1]
            if not stock:
                del self._stock[organisation]
