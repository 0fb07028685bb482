"""Replica side of the rates of organisations: lender, and ledger while it leads."""

import math
from collections.abc import Callable, Collection

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import FrameError, LinkError
from coltsfootspar.fleet.seats import SeatMap
from coltsfootspar.logs import log_decision
from coltsfootspar.membership.ports import UdpPort
from coltsfootspar.quotas import (
    Clock,
    Ledger,
    Lender,
    QuotaRules,
    RefillReply,
    RefillRequest,
    TokenLoan,
    TokenRequest,
    create_boot_clock,
    create_limits,
    create_quota_rules,
)
from coltsfootspar.quotas.ledger import CONFIRMATION_SECONDS
from coltsfootspar.quotas.lending import FALLBACK_END_SECONDS
from coltsfootspar.replication.core import ReplicaCore, Role
from coltsfootspar.replication.interfaces import ReplicaLink
from coltsfootspar.routes import RouteTable
from coltsfootspar.settings.fleet import FleetReplicaSettings
from coltsfootspar.wire import (
    Address,
    FrameKind,
    Message,
    open_datagram,
    quotas as codec,
    seal_datagram,
)

__all__ = ["LenderService", "create_seat_lender_service"]

# Shortest time between two requests to the ledger, and longest one: its confirmation
# of the term lasts for CONFIRMATION_SECONDS.
_REFILL_PERIOD_SECONDS = 0.02
_KEEPALIVE_SECONDS = 0.15
_REFILL_TIMEOUT_SECONDS = 0.3
# A node that gets no answer in this time asks another lender.
_LOAN_TIMEOUT_SECONDS = 0.12


@attrs.define(eq=False)
class LenderService:
    """Serves nodes and, while its replica leads, the lenders of all replicas.

    :param list_lenders: lists the seats that are held.
    :param _key: secret of the deployment.
    """

    _core: ReplicaCore
    _link: ReplicaLink
    _rules: QuotaRules
    _clock: Clock
    _list_lenders: Callable[[], Collection[str]]
    _key: bytes = attrs.field(repr=False)
    lender: Lender
    ledger: Ledger | None = None
    _table: RouteTable | None = None
    _has_waiting: trio.Event = attrs.field(factory=trio.Event)
    _was_cut_off: bool = False

    async def run(self, port: UdpPort) -> None:
        """Serves nodes, and asks the ledger for tokens, until cancelled.

        :param port: where the requests of nodes arrive.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._serve_nodes, port, nursery)
            nursery.start_soon(self._run_refills)

    def handles(self, message: Message) -> bool:
        """Tells whether :meth:`handle` serves a message."""
        return message.kind is FrameKind.REFILL_TOKENS

    async def handle(self, lender_id: str, message: Message) -> Message:
        """Serves a message of another lender.

        :param lender_id: seat of the sender.
        :raises FrameError: when the message is malformed.
        """
        request = codec.decode_refill_request(message)
        return codec.encode_refill_reply(self._grant(lender_id, request))

    async def _serve_nodes(self, port: UdpPort, nursery: trio.Nursery) -> None:
        while True:
            data, source = await port.receive()
            try:
                message = open_datagram(data, self._key)
                request = codec.decode_token_request(message)
            except FrameError as error:
                logging.debug("Malformed request from %s: %s", source, error)
                continue
            settled = trio.Event()
            loan = self.lender.request(request.asks, settled.set)
            if not loan.is_settled and self._is_leader:
                self._refill_locally()
            if loan.is_settled:
                await self._reply(port, source, loan, request)
            else:
                self._has_waiting.set()
                nursery.start_soon(
                    self._reply_when_settled, port, source, loan, request, settled
                )

    async def _reply_when_settled(
        self,
        port: UdpPort,
        source: Address,
        loan: TokenLoan,
        request: TokenRequest,
        settled: trio.Event,
    ) -> None:
        with trio.move_on_after(_LOAN_TIMEOUT_SECONDS):
            await settled.wait()
        if not loan.is_settled:
            self.lender.abandon(loan)
        await self._reply(port, source, loan, request)

    async def _reply(
        self, port: UdpPort, source: Address, loan: TokenLoan, request: TokenRequest
    ) -> None:
        reply = self.lender.create_reply(loan, request.number)
        message = codec.encode_token_reply(reply)
        await port.send(source, seal_datagram(message, self._key))

    async def _run_refills(self) -> None:
        """Asks the ledger for tokens while any organisation has a limit."""
        while True:
            table_changed = self._core.table_changed
            self._apply_limits()
            if not self._table.has_limits:
                await table_changed.wait()
                continue
            started_at = trio.current_time()
            await self._refill()
            self._log_contact()
            await self._pause(started_at)

    @property
    def _is_leader(self) -> bool:
        core = self._core
        # A new leader may lack the latest limits until its own entry is committed.
        return core.role is Role.LEADER and core.state.term == core.term

    def _apply_limits(self) -> None:
        table = self._core.state.routes.table
        if table is not self._table:
            self._table = table
            self.lender.limits = create_limits(table.organisations, self._rules)

    def _grant(self, lender_id: str, request: RefillRequest) -> RefillReply:
        core = self._core
        if not self._is_leader:
            return RefillReply()
        if self.ledger is None or self.ledger.term != core.term:
            self.ledger = Ledger(
                core.term,
                core.replica_id,
                len(core.replica_ids),
                self._list_lenders,
                self._rules,
                self._clock,
                self._clock.read() + CONFIRMATION_SECONDS,
            )
            log_decision("quota-ledger-opened", term=core.term)
        self._apply_limits()
        self.ledger.set_limits(self.lender.limits)
        return self.ledger.handle(lender_id, request)

    def _refill_locally(self) -> None:
        request = self.lender.create_refill(self._core.term, is_local=True)
        reply = self._grant(self._core.replica_id, request)
        self.lender.apply_refill(request, reply)

    async def _refill(self) -> None:
        """Asks the ledger once; passes what it grants on to the nodes that wait."""
        lender, core = self.lender, self._core
        if self._is_leader:
            self._refill_locally()
        elif core.leader_id is not None and core.identity.is_admitted:
            await self._refill_remotely(core.leader_id)
        if lender.is_cut_off:
            lender.serve_fallback()

    async def _refill_remotely(self, leader_id: str) -> None:
        request = self.lender.create_refill(self._core.term)
        message = codec.encode_refill_request(request)
        with trio.move_on_after(_REFILL_TIMEOUT_SECONDS):
            try:
                message = await self._link.request(leader_id, message)
                reply = codec.decode_refill_reply(message)
            except (LinkError, FrameError) as error:
                logging.debug("No tokens from leader %s: %s", leader_id, error)
            else:
                self.lender.apply_refill(request, reply)
                return
        self.lender.fail_refill()

    async def _pause(self, started_at: float) -> None:
        await trio.sleep_until(started_at + _REFILL_PERIOD_SECONDS)
        self._has_waiting = trio.Event()
        if self.lender.is_waiting:
            return
        with trio.move_on_at(started_at + _KEEPALIVE_SECONDS):
            await self._has_waiting.wait()

    def _log_contact(self) -> None:
        is_cut_off = self.lender.is_cut_off
        if is_cut_off != self._was_cut_off:
            self._was_cut_off = is_cut_off
            event = "quota-fallback-began" if is_cut_off else "quota-fallback-ended"
            log_decision(event, leader=self._core.leader_id, term=self._core.term)


def create_seat_lender_service(
    core: ReplicaCore,
    link: ReplicaLink,
    settings: FleetReplicaSettings,
    seats: SeatMap,
    *,
    has_former_holder: bool,
) -> LenderService:
    """Creates the service of the holder of a seat.

    :param has_former_holder: true when the seat was held by another host before, which
        may be cut off and spend the fallback share of the seat.
    """
    clock = create_boot_clock()
    bounds = settings.bounds
    rules = create_quota_rules(
        bounds.quota_window_seconds, bounds.quota_overage, bounds.quota_slack
    )
    share_from = clock.read() + FALLBACK_END_SECONDS if has_former_holder else -math.inf
    lender = Lender(len(core.replica_ids), clock, share_from=share_from)
    key = bytes.fromhex(settings.shared_key)
    return LenderService(core, link, rules, clock, seats.list_held, key, lender)
