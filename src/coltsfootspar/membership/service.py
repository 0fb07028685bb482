"""Membership service: the member list of a node, maintained by gossip."""

import random
from collections.abc import Callable, Sequence

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import FrameError, MembershipError
from coltsfootspar.membership.budget import RateBudget
from coltsfootspar.membership.data_centre_probing import DataCentreProber
from coltsfootspar.membership.gossip import Gossiper
from coltsfootspar.membership.interfaces import DatagramPort
from coltsfootspar.membership.member_list import create_member_list
from coltsfootspar.membership.members import KnownTableVersion, Member, NodeIdentity
from coltsfootspar.membership.probing import Prober
from coltsfootspar.membership.settings import MembershipLimits
from coltsfootspar.membership.syncing import Synchronizer
from coltsfootspar.membership.transport import Transport, TransportCounters
from coltsfootspar.membership.view import SuspicionReport, View
from coltsfootspar.routing.interfaces import Candidate
from coltsfootspar.timers import TimerService
from coltsfootspar.wire import Address, FrameKind
from coltsfootspar.wire.membership import MemberStatus, Packet

__all__ = ["Membership", "create_membership"]

_TIMEOUT_CHECK_PERIOD_SECONDS = 0.5
# Indirect probes in flight on behalf of other members; requests above the limit are
# ignored.
_MAX_INDIRECT_PROBES = 64
_MAX_NAME_BYTES = 63
# A smaller change of the end of the warm-up is not gossiped: reports may be late.
_WARM_UP_TOLERANCE_SECONDS = 2.0


@attrs.define(eq=False)
class Membership:
    """Members of the deployment, and the routing directory of their services.

    ::

        membership = create_membership(identity, seeds, port, key, timers, rng)
        nursery.start_soon(membership.run)
        membership.announce("wallet", slots=75, cold_start=0.0)
        membership.list_candidates("wallet")
    """

    _view: View
    _transport: Transport
    _prober: Prober
    _gossiper: Gossiper
    _synchronizer: Synchronizer
    _data_centre_prober: DataCentreProber
    _timers: TimerService
    _nursery: trio.Nursery | None = None
    _active_indirect_probes: int = 0
    _candidates: dict[str, tuple[Candidate, ...]] = attrs.field(factory=dict)
    _candidates_revision: int = -1

    async def run(self) -> None:
        """Runs the membership protocol until cancelled.

        :raises MembershipError: when the datagram port fails.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._view.last_ack_at = trio.current_time()
            nursery.start_soon(self._receive)
            nursery.start_soon(self._run_timeout_checks)
            nursery.start_soon(self._prober.run, nursery)
            nursery.start_soon(self._data_centre_prober.run, nursery)
            nursery.start_soon(self._gossiper.run_local)
            nursery.start_soon(self._gossiper.run_remote)
            nursery.start_soon(self._synchronizer.run)
            nursery.start_soon(self._synchronizer.run_transfers)

    def replace_seeds(self, seeds: Sequence[Address]) -> None:
        """Replaces the seeds used to join, and to rejoin after a partition.

        :param seeds: gossip addresses.
        """
        self._synchronizer.seeds = tuple(seeds)

    @property
    def own(self) -> Member:
        """Returns the member entry of this node."""
        return self._view.member_list.own

    @property
    def is_synced(self) -> bool:
        """Returns whether the member list is synchronized with the deployment."""
        return self._view.is_synced

    @property
    def counters(self) -> TransportCounters:
        """Returns the datagram counts."""
        return self._transport.counters

    @property
    def deaths(self) -> int:
        """Returns the number of members that this node declared dead."""
        return self._view.deaths

    @property
    def refutations(self) -> int:
        """Returns the number of updates about this node that it refuted."""
        return self._view.refutations

    def announce(
        self, service: str, slots: int, cold_start: float, calls_per_second: int = 0
    ) -> None:
        """Announces the backend server of this node; idempotent.

        :param slots: concurrent requests that the backend server can process.
        :param cold_start: time until the backend server takes its full share of the
            load, seconds.
        :param calls_per_second: calls that it completes per second at most; 0 when
            unknown.
        :raises MembershipError: when the name of the service is too long.
        """
        _check_name("service", service)
        own = self.own
        now = trio.current_time()
        warm_at = now + cold_start
        if own.service == service and (
            abs(warm_at - max(now, own.warm_at)) <= _WARM_UP_TOLERANCE_SECONDS
        ):
            warm_at = own.warm_at
        announced = (own.service, own.slots, own.warm_at, own.calls_per_second)
        if announced != (service, slots, warm_at, calls_per_second):
            self._view.change_own(
                service=service,
                slots=slots,
                warm_at=warm_at,
                calls_per_second=calls_per_second,
            )

    def withdraw(self) -> None:
        """Withdraws the announcement; the node itself remains a member."""
        if self.own.service:
            self._view.change_own(service="", slots=0, calls_per_second=0)
            self._broadcast_own_record()

    def leave(self) -> None:
        """Announces, irrevocably, that this node accepts no new work.

        The node remains a member until its work in progress is finished.
        """
        if not self.own.is_leaving:
            self._view.change_own(is_leaving=True)
            self._broadcast_own_record()

    async def depart(self) -> None:
        """Announces that this node stops now, so that others need not detect it."""
        self._view.change_own(status=MemberStatus.LEFT, is_leaving=True)
        await self._gossiper.broadcast_own_record()

    def list_members(self) -> tuple[Member, ...]:
        """Lists all members, including this node and dead members.

        ``status`` and ``is_reachable`` show which members are dead or cannot be
        reached.
        """
        return self._view.list_members()

    def get_member(self, node_id: str) -> Member | None:
        """Returns a member, or None for an unknown id."""
        return self._view.member_list.get(node_id)

    def list_unreachable_data_centres(self) -> frozenset[str]:
        """Lists the data centres that are marked unreachable as a whole."""
        return self._view.unreachable_data_centres

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Registers a callback for changed members, called from within :meth:`run`."""
        self._view.subscribe(callback)

    def list_candidates(self, service: str) -> Sequence[Candidate]:
        """Lists the reachable candidates of a service, including leaving members."""
        revision = self._view.member_list.revision
        if self._candidates_revision != revision:
            self._candidates = _group_candidates(self.list_members())
            self._candidates_revision = revision
        return self._candidates.get(service, ())

    @property
    def table_version(self) -> int:
        """Returns the table version that this node has applied."""
        return self._transport.table_version

    def set_table_version(self, version: int) -> None:
        """Sets the applied table version, which each datagram announces.

        A version below the current one is ignored.
        """
        self._transport.table_version = max(version, self._transport.table_version)

    def get_newest_table_version(self) -> KnownTableVersion:
        """Returns the highest known table version and a member that has applied it."""
        own = KnownTableVersion(self.table_version, self.own.node_id)
        received = self._view.newest_table_version
        return received if received.version > own.version else own

    def _broadcast_own_record(self) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._gossiper.broadcast_own_record)

    async def _run_timeout_checks(self) -> None:
        async for _ in self._timers.subscribe(_TIMEOUT_CHECK_PERIOD_SECONDS):
            report = self._view.check_timeouts()
            await self._prober.probe_suspects(report.expiring)
            if report.expired:
                await self._resolve_suspicions(report)

    async def _resolve_suspicions(self, report: SuspicionReport) -> None:
        is_majority = (
            report.is_majority_partition and await self._prober.reaches_majority()
        )
        for member in report.expired:
            if is_majority:
                self._view.declare_dead(member)
            else:
                self._view.mark_unreachable(member)

    async def _receive(self) -> None:
        while True:
            packet, address = await self._transport.receive()
            try:
                await self._handle(packet, address)
            except FrameError:
                self._transport.counters.rejected += 1
            except Exception:
                # One odd datagram must not end the process and its requests.
                logging.exception("A datagram from %s is ignored", address)
                self._transport.counters.rejected += 1

    async def _handle(self, packet: Packet, address: Address) -> None:
        self._apply_common_fields(packet)
        if packet.kind is FrameKind.PROBE:
            await self._prober.reply(packet, address)
        elif packet.kind is FrameKind.PROBE_ACK:
            self._prober.handle_ack(packet)
        elif packet.kind is FrameKind.INDIRECT_PROBE:
            self._start_indirect_probe(packet, address)
        elif packet.kind is FrameKind.DIGEST:
            await self._synchronizer.reply(packet, address)

    def _apply_common_fields(self, packet: Packet) -> None:
        view = self._view
        # The member that announced the highest version last is the most likely one
        # to be reachable.
        if packet.table_version >= view.newest_table_version.version:
            view.newest_table_version = KnownTableVersion(
                packet.table_version, packet.sender
            )
        view.apply(packet.records)
        sender = view.member_list.get(packet.sender)
        if sender is None:
            return
        if sender.data_centre == view.member_list.own.data_centre:
            # Contact times of another data centre do not show what the local data
            # centre can reach.
            view.contacts.merge(packet.contacts, trio.current_time())
        elif sender.data_centre in view.unreachable_data_centres:
            self._nursery.start_soon(
                self._data_centre_prober.probe_sender, sender.node_id
            )

    def _start_indirect_probe(self, packet: Packet, address: Address) -> None:
        if self._active_indirect_probes < _MAX_INDIRECT_PROBES:
            self._active_indirect_probes += 1
            self._nursery.start_soon(self._run_indirect_probe, packet, address)

    async def _run_indirect_probe(self, packet: Packet, address: Address) -> None:
        try:
            await self._prober.handle_indirect_probe(packet, address)
        finally:
            self._active_indirect_probes -= 1


def _group_candidates(members: Sequence[Member]) -> dict[str, tuple[Candidate, ...]]:
    groups: dict[str, list[Candidate]] = {}
    for member in members:
        if member.service and member.is_reachable:
            candidate = Candidate(
                node_id=member.node_id,
                service=member.service,
                region=member.region,
                data_centre=member.data_centre,
                slots=member.slots,
                is_leaving=member.is_leaving,
                warm_at=member.warm_at,
                calls_per_second=member.calls_per_second,
            )
            groups.setdefault(member.service, []).append(candidate)
    return {service: tuple(found) for service, found in groups.items()}


def _check_name(field: str, name: str) -> None:
    if not 0 < len(name.encode()) <= _MAX_NAME_BYTES:
        raise MembershipError(
            f"{field} {name!r} must be 1 to {_MAX_NAME_BYTES} bytes long", code="name"
        )


def create_membership(
    identity: NodeIdentity,
    seeds: Sequence[Address],
    port: DatagramPort,
    shared_key: bytes,
    timers: TimerService,
    rng: random.Random,
    limits: MembershipLimits | None = None,
) -> Membership:
    """Creates the membership service of a node; must run within a trio task.

    :param identity: identity of this node.
    :param seeds: gossip addresses of a few members through which the node joins.
    :param shared_key: key of the deployment that authenticates datagrams.
    :param rng: random numbers for the selection of members.
    :param limits: protocol parameters; the defaults apply when omitted.
    :raises MembershipError: when a name of the identity is too long.
    """
    for field in ("node_id", "region", "data_centre"):
        _check_name(field, getattr(identity, field))
    limits = limits or MembershipLimits()
    view = View(create_member_list(identity, trio.current_time()), limits)
    view.outbox.add(identity.node_id)
    budget = RateBudget(limits.rate, limits.burst)
    transport = Transport(view, port, shared_key, budget, rng)
    prober = Prober(view, transport, timers)
    synchronizer = Synchronizer(view, transport, tuple(seeds))
    data_centre_prober = DataCentreProber(view, transport, prober, synchronizer, timers)
    gossiper = Gossiper(view, transport)
    return Membership(
        view, transport, prober, gossiper, synchronizer, data_centre_prober, timers
    )
