"""Node side of the rates of organisations: asks lenders for tokens."""

import contextvars
from collections.abc import Sequence
from typing import Protocol

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import FrameError, LinkError, RefusedError
from coltsfootspar.fleet.seats import SEAT_SERVICE_PREFIX, list_seats
from coltsfootspar.logs import log_decision
from coltsfootspar.membership import Membership
from coltsfootspar.quotas import (
    Clock,
    Spender,
    Ticket,
    TokenReply,
    compute_organisation_id,
    create_boot_clock,
)
from coltsfootspar.replication.interfaces import ReplicaLink
from coltsfootspar.routes import Organisation
from coltsfootspar.settings.fleet import FleetNodeSettings
from coltsfootspar.wire import Message, quotas as codec

__all__ = [
    "AllowanceCounters",
    "AllowanceService",
    "LenderDirectory",
    "SeatLenderDirectory",
    "create_allowance_service",
    "create_seat_allowance_service",
]

# Shortest time between two requests; a request of a caller waits for it at most once.
_REQUEST_PERIOD_SECONDS = 0.01
_REPLY_TIMEOUT_SECONDS = 0.18
# How long a request waits for a token; covers one lender that does not reply.
_WAIT_SECONDS = 0.4
# For this time, a lender that has not answered is asked last.
_AVOID_SECONDS = 1.0
_RETRY_SECONDS = 0.5

# When the token lapses that the request of the present task has spent, seconds.
_spent_until = contextvars.ContextVar("spent_until", default=-float("inf"))


class LenderDirectory(Protocol):
    """Lists the lenders that a node may ask."""

    def list_lenders(self) -> Sequence[str]:
        """Lists the ids of the replicas, those of the own data centre first."""


@attrs.define(eq=False)
class SeatLenderDirectory:
    """Lists the holders of seats that the membership shows."""

    _seats: Sequence[str]
    _data_centre: str
    _membership: Membership

    def list_lenders(self) -> Sequence[str]:
        """Lists the seats with a present holder, then those without a known one."""
        return sorted(self._seats, key=self._rank)

    def _rank(self, seat: str) -> int:
        candidates = self._membership.list_candidates(SEAT_SERVICE_PREFIX + seat)
        if not candidates:
            return 2
        return int(all(c.data_centre != self._data_centre for c in candidates))


@attrs.define(eq=False)
class AllowanceCounters:
    """Counters for the metrics page.

    :param granted: requests that got a token.
    :param refused: requests above the limit of their organisation.
    :param unavailable: requests refused since no lender answered.
    """

    granted: int = 0
    refused: int = 0
    unavailable: int = 0


@attrs.define(eq=False)
class AllowanceService:
    """Gets a token for each request of an organisation with a limit.

    Implements :class:`~coltsfootspar.relay.gates.QuotaGate`. :meth:`run` has to be
    running; without such requests it sends nothing and does not wake up.
    """

    _link: ReplicaLink
    _directory: LenderDirectory
    _clock: Clock
    _spender: Spender
    counters: AllowanceCounters = attrs.field(factory=AllowanceCounters)
    _events: dict[Ticket, trio.Event] = attrs.field(factory=dict)
    _has_waiting: trio.Event = attrs.field(factory=trio.Event)
    _avoided_until: dict[str, float] = attrs.field(factory=dict)

    async def acquire(self, organisation: Organisation) -> float | None:
        """Takes a token for one request.

        :returns: seconds after which the client may try again; None admits it.
        :raises RefusedError: when no lender answers in time.
        """
        if organisation.rate <= 0:
            return None
        with trio.move_on_after(_WAIT_SECONDS):
            ticket = await self._wait_for_token(organisation)
            if ticket.retry_after is not None:
                self.counters.refused += 1
                return ticket.retry_after
            self.counters.granted += 1
            _spent_until.set(ticket.expires_at)
            return None
        self.counters.unavailable += 1
        raise RefusedError(
            "no lender grants tokens", code="no-allowance", retry_after=_RETRY_SECONDS
        )

    def refund(self, organisation: Organisation) -> None:
        """Keeps the token of a request that has reached no backend server.

        To be called in the task that has acquired it.
        """
        if organisation.rate > 0:
            number = compute_organisation_id(organisation.name)
            self._spender.give_back(number, _spent_until.get())
            _spent_until.set(-float("inf"))

    async def run(self) -> None:
        """Sends requests to lenders while callers wait, until cancelled."""
        while True:
            await self._has_waiting.wait()
            started_at = trio.current_time()
            await self._request_tokens()
            if self._spender.is_waiting:
                await trio.sleep_until(started_at + _REQUEST_PERIOD_SECONDS)
            if not self._spender.is_waiting:
                self._has_waiting = trio.Event()

    async def _wait_for_token(self, organisation: Organisation) -> Ticket:
        """Waits until a request is refused or has a token that has not lapsed."""
        number = compute_organisation_id(organisation.name)
        while True:
            ticket = self._spender.add(number, 1 / organisation.rate)
            if not ticket.is_settled:
                await self._wait_until_settled(ticket)
            # The process may have been suspended since the token was granted.
            if ticket.retry_after is not None or self._spender.is_valid(ticket):
                return ticket

    async def _wait_until_settled(self, ticket: Ticket) -> None:
        event = self._events[ticket] = trio.Event()
        self._has_waiting.set()
        try:
            await event.wait()
        except trio.Cancelled:
            self._spender.cancel(ticket)
            raise
        finally:
            del self._events[ticket]

    async def _request_tokens(self) -> None:
        lender_id = self._choose_lender()
        if lender_id is None or not self._spender.is_waiting:
            return
        request = self._spender.create_request()
        reply = await self._exchange(lender_id, codec.encode_token_request(request))
        if reply is not None:
            for ticket in self._spender.apply_reply(reply):
                self._events[ticket].set()
        if reply is not None and reply.is_available:
            self._avoided_until.pop(lender_id, None)
        else:
            self._avoid(lender_id)

    def _avoid(self, lender_id: str) -> None:
        now = trio.current_time()
        if self._avoided_until.get(lender_id, 0.0) <= now:
            log_decision("quota-lender-unavailable", lender=lender_id)
        self._avoided_until[lender_id] = now + _AVOID_SECONDS

    async def _exchange(self, lender_id: str, message: Message) -> TokenReply | None:
        """Sends a request to a lender.

        :returns: None when no reply arrives in time.
        """
        with trio.move_on_after(_REPLY_TIMEOUT_SECONDS):
            try:
                reply = await self._link.request(lender_id, message)
                return codec.decode_token_reply(reply)
            except (LinkError, FrameError) as error:
                logging.debug("No tokens from %s: %s", lender_id, error)
        return None

    def _choose_lender(self) -> str | None:
        """Returns the first lender that has not failed, else the first that did."""
        now = trio.current_time()

        def rank(name: str) -> float:
            return max(now, self._avoided_until.get(name, 0.0))

        return min(self._directory.list_lenders(), key=rank, default=None)


def create_seat_allowance_service(
    settings: FleetNodeSettings, membership: Membership, link: ReplicaLink
) -> AllowanceService:
    """Creates the service of a node that finds lenders through the membership."""
    directory = SeatLenderDirectory(
        list_seats(settings), settings.data_centre, membership
    )
    return create_allowance_service(link, directory, create_boot_clock())


def create_allowance_service(
    link: ReplicaLink, directory: LenderDirectory, clock: Clock
) -> AllowanceService:
    """Creates the service of a node.

    :param link: sends requests to the replicas.
    """
    return AllowanceService(link, directory, clock, Spender(clock))
