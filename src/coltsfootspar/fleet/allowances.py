"""Node side of the rates of organisations: asks lenders for tokens."""

import contextvars
import random
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import FrameError, RefusedError
from coltsfootspar.fleet.common import open_free_udp_port
from coltsfootspar.fleet.seats import SEAT_SERVICE_PREFIX
from coltsfootspar.logs import log_decision
from coltsfootspar.membership import Membership
from coltsfootspar.membership.ports import UdpPort
from coltsfootspar.quotas import (
    Clock,
    OutageShare,
    QuotaRules,
    Spender,
    Ticket,
    TokenReply,
    TokenRequest,
    compute_organisation_id,
    create_boot_clock,
    create_quota_rules,
)
from coltsfootspar.routes import Organisation
from coltsfootspar.settings.fleet import FleetNodeSettings
from coltsfootspar.wire import (
    Address,
    open_datagram,
    quotas as codec,
    seal_datagram,
)

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

    def list_lenders(self) -> Sequence[Address]:
        """Lists the addresses of the lenders, those of the own data centre first."""


@attrs.define(eq=False)
class SeatLenderDirectory:
    """Lists the hosts that hold the seats of the replicas."""

    _list_seats: Callable[[], Sequence[str]]
    _settings: FleetNodeSettings
    _membership: Membership
    _find_replica: Callable[[str], Address | None]

    def list_lenders(self) -> Sequence[Address]:
        """Lists the lenders; those that are not known to be present come last."""
        seats = sorted(self._list_seats(), key=self._rank)
        replicas = (self._find_replica(seat) for seat in seats)
        port = self._settings.quota_port
        return [Address(replica.host, port) for replica in replicas if replica]

    def _rank(self, seat: str) -> int:
        candidates = self._membership.list_candidates(SEAT_SERVICE_PREFIX + seat)
        if not candidates:
            return 2
        own = self._settings.data_centre
        return int(all(candidate.data_centre != own for candidate in candidates))


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

    :param outage: what the node may spend while no lender answers.
    :param _address: where replies arrive.
    :param _key: secret of the deployment.
    """

    _address: Address
    _key: bytes = attrs.field(repr=False)
    _directory: LenderDirectory
    _clock: Clock
    _spender: Spender
    outage: OutageShare
    _rules: QuotaRules
    counters: AllowanceCounters = attrs.field(factory=AllowanceCounters)
    _events: dict[Ticket, trio.Event] = attrs.field(factory=dict)
    _has_waiting: trio.Event = attrs.field(factory=trio.Event)
    _avoided_until: dict[Address, float] = attrs.field(factory=dict)

    async def acquire(self, organisation: Organisation) -> float | None:
        """Takes a token for one request.

        :returns: seconds after which the client may try again; None admits it.
        :raises RefusedError: when no lender answers in time.
        """
        if organisation.rate <= 0:
            return None
        if self._try_take_in_outage(organisation):
            return None
        with trio.move_on_after(_WAIT_SECONDS):
            ticket = await self._wait_for_token(organisation)
            if ticket.retry_after is not None:
                self.counters.refused += 1
                return ticket.retry_after
            self.counters.granted += 1
            _spent_until.set(ticket.expires_at)
            return None
        if self._try_take_in_outage(organisation):
            return None
        self.counters.unavailable += 1
        raise RefusedError(
            "no lender grants tokens", code="no-allowance", retry_after=_RETRY_SECONDS
        )

    def _try_take_in_outage(self, organisation: Organisation) -> bool:
        was_active = self.outage.is_active
        if not self.outage.refresh():
            return False
        if not was_active:
            log_decision("quota-outage-began")
        number = compute_organisation_id(organisation.name)
        limit = self._rules.create_limit(organisation)
        is_taken = self.outage.try_take(number, limit)
        self.counters.granted += is_taken
        return is_taken

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
        async with open_free_udp_port(self._address) as port:
            while True:
                await self._has_waiting.wait()
                started_at = trio.current_time()
                await self._request_tokens(port)
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

    async def _request_tokens(self, port: UdpPort) -> None:
        lender = self._choose_lender()
        if lender is None or not self._spender.is_waiting:
            return
        self.outage.record_request()
        reply = await self._exchange(port, lender, self._spender.create_request())
        if reply is not None:
            for ticket in self._spender.apply_reply(reply):
                self._events[ticket].set()
        if reply is not None and reply.is_available:
            if self.outage.is_active:
                log_decision("quota-outage-ended", lender=str(lender))
            self.outage.record_answer()
            self._avoided_until.pop(lender, None)
        else:
            self._avoid(lender)

    def _avoid(self, lender: Address) -> None:
        now = trio.current_time()
        if self._avoided_until.get(lender, 0.0) <= now:
            log_decision("quota-lender-unavailable", lender=str(lender))
        self._avoided_until[lender] = now + _AVOID_SECONDS

    async def _exchange(
        self, port: UdpPort, lender: Address, request: TokenRequest
    ) -> TokenReply | None:
        """Sends a request to a lender.

        :returns: None when no reply arrives in time.
        """
        message = codec.encode_token_request(request)
        with trio.move_on_after(_REPLY_TIMEOUT_SECONDS):
            await port.send(lender, seal_datagram(message, self._key))
            while True:
                reply = self._read_reply(await port.receive())
                # Replies to earlier requests come too late.
                if reply is not None and reply.number == request.number:
                    return reply
        return None

    def _read_reply(self, datagram: tuple[bytes, Address]) -> TokenReply | None:
        data, source = datagram
        try:
            return codec.decode_token_reply(open_datagram(data, self._key))
        except FrameError as error:
            logging.debug("Malformed reply from %s: %s", source, error)
            return None

    def _choose_lender(self) -> Address | None:
        """Returns the first lender that has not failed, else the first that did."""
        now = trio.current_time()

        def rank(lender: Address) -> float:
            return max(now, self._avoided_until.get(lender, 0.0))

        return min(self._directory.list_lenders(), key=rank, default=None)


def create_seat_allowance_service(
    settings: FleetNodeSettings,
    membership: Membership,
    find_replica: Callable[[str], Address | None],
    list_seats: Callable[[], Sequence[str]],
) -> AllowanceService:
    """Creates the service of a node whose lenders are the holders of seats.

    :param find_replica: returns the address of the replica that holds a seat.
    :param list_seats: returns the names of the seats, as far as they are known.
    """
    directory = SeatLenderDirectory(list_seats, settings, membership, find_replica)
    address = Address(settings.host, settings.quota_port)
    key = bytes.fromhex(settings.shared_key)
    bounds = settings.bounds
    rules = create_quota_rules(
        bounds.quota_window_seconds, bounds.quota_overage, bounds.quota_slack
    )
    return create_allowance_service(address, key, directory, create_boot_clock(), rules)


def create_allowance_service(
    address: Address,
    key: bytes,
    directory: LenderDirectory,
    clock: Clock,
    rules: QuotaRules | None = None,
) -> AllowanceService:
    """Creates the service of a node.

    :param address: where replies arrive; port 0 selects a free port.
    :param key: secret of the deployment.
    :param rules: rules of the deployment; None selects the defaults.
    """
    outage = OutageShare(clock, random.SystemRandom())
    return AllowanceService(
        address, key, directory, clock, Spender(clock), outage, rules or QuotaRules()
    )
