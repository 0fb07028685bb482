"""Tokens of one node: which of its requests may go on."""

import collections
import itertools

import attrs

from coltsfootspar.quotas.clocks import Clock
from coltsfootspar.quotas.messages import Grant, TokenAsk, TokenReply, TokenRequest

__all__ = ["Spender", "Ticket"]

# Organisations in one request; the reply has to fit into a datagram.
_MAX_ASKS = 48
_NUMBERS = 1 << 32


@attrs.define(eq=False)
class Ticket:
    """One request that waits for a token.

    :param interval: time between two tokens of the organisation, seconds.
    :param is_settled: true when the request has a token or is refused.
    :param expires_at: when its token lapses, seconds.
    :param retry_after: when to try again, seconds; None with a token.
    """

    organisation: int
    interval: float
    is_settled: bool = False
    expires_at: float = 0.0
    retry_after: float | None = None


@attrs.define(eq=False)
class Spender:
    """Requests of a node that wait for tokens, and tokens that were given back."""

    clock: Clock
    _waiting: dict[int, collections.deque[Ticket]] = attrs.field(factory=dict)
    _spare: dict[int, list[float]] = attrs.field(factory=dict)
    _sent_at: float = 0.0
    _number: int = 0

    @property
    def is_waiting(self) -> bool:
        """True while requests wait for tokens."""
        return bool(self._waiting)

    def add(self, organisation: int, interval: float) -> Ticket:
        """Adds a request; it has a token at once if one was given back.

        :param interval: time between two tokens of the organisation, seconds.
        """
        ticket = Ticket(organisation, interval)
        expires_at = self._take_spare(organisation)
        if expires_at is not None:
            ticket.is_settled, ticket.expires_at = True, expires_at
        else:
            waiting = self._waiting.setdefault(organisation, collections.deque())
            waiting.append(ticket)
        return ticket

    def cancel(self, ticket: Ticket) -> None:
        """Removes a request that waits no longer and keeps its token for another."""
        waiting = self._waiting.get(ticket.organisation, collections.deque())
        if ticket in waiting:
            waiting.remove(ticket)
        if not waiting:
            self._waiting.pop(ticket.organisation, None)
        if ticket.is_settled and ticket.retry_after is None:
            self.give_back(ticket.organisation, ticket.expires_at)

    def is_valid(self, ticket: Ticket) -> bool:
        """Tells whether the token of a request has not lapsed."""
        return self.clock.read() < ticket.expires_at

    def give_back(self, organisation: int, expires_at: float) -> None:
        """Keeps a token that was not spent, until it lapses."""
        now = self.clock.read()
        spare = [*self._spare.pop(organisation, []), expires_at]
        valid = [lapses_at for lapses_at in spare if lapses_at > now]
        if valid:
            self._spare[organisation] = valid

    def create_request(self) -> TokenRequest:
        """Creates the request for the tokens that requests wait for."""
        self._sent_at = self.clock.read()
        self._number = (self._number + 1) % _NUMBERS
        chosen = itertools.islice(self._waiting.items(), _MAX_ASKS)
        asks = (TokenAsk(number, len(waiting)) for number, waiting in chosen)
        return TokenRequest(tuple(asks), self._number)

    def apply_reply(self, reply: TokenReply) -> list[Ticket]:
        """Passes the tokens in the reply to the last request on to those that wait.

        The lifetime of the tokens counts from the sending of the request, so those in
        a reply that was read late have lapsed.

        :returns: requests that wait no longer.
        """
        expires_at = self._sent_at + reply.lifetime
        settled = []
        for grant in reply.grants:
            if grant.count:
                settled += self._distribute(grant, expires_at)
            settled += self._refuse(grant)
        return settled

    def _distribute(self, grant: Grant, expires_at: float) -> list[Ticket]:
        if self.clock.read() >= expires_at:
            return []
        tickets = self._pop_waiting(grant.organisation, grant.count)
        for ticket in tickets:
            ticket.is_settled, ticket.expires_at = True, expires_at
        for _ in range(grant.count - len(tickets)):
            self.give_back(grant.organisation, expires_at)
        return tickets

    def _refuse(self, grant: Grant) -> list[Ticket]:
        tickets = self._pop_waiting(grant.organisation, grant.refused)
        for position, ticket in enumerate(tickets):
            ticket.is_settled = True
            ticket.retry_after = grant.retry_after + position * ticket.interval
        return tickets

    def _pop_waiting(self, organisation: int, count: int) -> list[Ticket]:
        waiting = self._waiting.get(organisation, collections.deque())
        tickets = [waiting.popleft() for _ in range(min(count, len(waiting)))]
        if not waiting:
            self._waiting.pop(organisation, None)
        return tickets

    def _take_spare(self, organisation: int) -> float | None:
        """Takes a token that was given back.

        :returns: when it lapses, seconds; None when there is none.
        """
        spare = self._spare.pop(organisation, [])
        now = self.clock.read()
        valid = sorted(lapses_at for lapses_at in spare if lapses_at > now)
        if not valid:
            return None
        if valid[1:]:
            self._spare[organisation] = valid[1:]
        return valid[0]
