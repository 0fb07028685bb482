"""The member list of a node, kept by gossip."""

import random
from collections.abc import Callable, Sequence

import attrs
import trio

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

_TIMEOUT_CHECK_PERIOD_S = 0.5
# Datagrams handled at once; more are answered late, never dropped here.
_MAX_INDIRECT = 64
_MAX_NAME_BYTES = 63


@attrs.define(eq=False)
class Membership:
    """Members of the deployment, and a routing directory of their services.

    ::

        membership = create_membership(identity, seeds, port, key, timers, source)
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
    _indirect: int = 0
    _candidates: dict[str, tuple[Candidate, ...]] = attrs.field(factory=dict)
    _candidates_revision: int = -1

    async def run(self) -> None:
        """Takes part in the gossip until cancelled.

        :raises MembershipError: when the port fails.
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
        """Sets the members through which it joins and comes back after a partition.

        :param seeds: gossip addresses.
        """
        self._synchronizer.seeds = tuple(seeds)

    @property
    def own(self) -> Member:
        """The own node."""
        return self._view.member_list.own

    @property
    def is_synced(self) -> bool:
        """True once the member list of another node has been taken over."""
        return self._view.is_synced

    @property
    def counters(self) -> TransportCounters:
        """Counts of datagrams."""
        return self._transport.counters

    @property
    def deaths(self) -> int:
        """Members that this node declared dead."""
        return self._view.deaths

    @property
    def refutations(self) -> int:
        """Doubts about this node that it refuted."""
        return self._view.refutations

    def announce(self, service: str, slots: int, cold_start: float) -> None:
        """Announces the own backend server; a repetition changes nothing.

        :param slots: requests that it works on at once.
        :param cold_start: time until it takes its full share, seconds.
        :raises MembershipError: when the name of the service is too long.
        """
        _check_name("service", service)
        own = self.own
        if (own.service, own.slots) == (service, slots):
            return
        warm_at = own.warm_at
        if own.service != service:
            warm_at = trio.current_time() + cold_start
        self._view.change_own(service=service, slots=slots, warm_at=warm_at)

    def withdraw(self) -> None:
        """Takes back the announcement; the node itself stays a member."""
        if self.own.service:
            self._view.change_own(service="", slots=0)
            self._broadcast_own_record()

    def leave(self) -> None:
        """Spreads that the node takes no new work; this is final.

        The node stays a member, so that it can finish its work.
        """
        if not self.own.is_leaving:
            self._view.change_own(is_leaving=True)
            self._broadcast_own_record()

    async def depart(self) -> None:
        """Tells others that the node stops now, so that no probe is needed."""
        self._view.change_own(status=MemberStatus.LEFT, is_leaving=True)
        await self._gossiper.broadcast_own_record()

    def list_members(self) -> tuple[Member, ...]:
        """Lists all members, the own node and dead members included.

        Members that are dead or in an unreachable data centre are marked by
        their ``status`` and ``is_reachable``.
        """
        return self._view.list_members()

    def get_member(self, node_id: str) -> Member | None:
        """Returns a member, or None when it is not known."""
        return self._view.member_list.get(node_id)

    def list_unreachable_data_centres(self) -> frozenset[str]:
        """Lists the data centres that are marked unreachable as a whole."""
        return self._view.unreachable_data_centres

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Calls back with each member that changed, from within :meth:`run`."""
        self._view.subscribe(callback)

    def list_candidates(self, service: str) -> Sequence[Candidate]:
        """Lists the reachable candidates of a service, leaving ones included."""
        revision = self._view.member_list.revision
        if self._candidates_revision != revision:
            self._candidates = _group_candidates(self.list_members())
            self._candidates_revision = revision
        return self._candidates.get(service, ())

    @property
    def table_version(self) -> int:
        """Version of the table that this node has applied."""
        return self._transport.table_version

    def set_table_version(self, version: int) -> None:
        """Sets the version that this node has applied and tells others."""
        self._transport.table_version = max(version, self._transport.table_version)

    def get_newest_table_version(self) -> KnownTableVersion:
        """Returns the highest version heard of and a member that has it."""
        own = KnownTableVersion(self.table_version, self.own.node_id)
        heard = self._view.newest_table_version
        return heard if heard.version > own.version else own

    def _broadcast_own_record(self) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._gossiper.broadcast_own_record)

    async def _run_timeout_checks(self) -> None:
        async for _ in self._timers.subscribe(_TIMEOUT_CHECK_PERIOD_S):
            report = self._view.check_timeouts()
            await self._prober.probe_suspects(report.expiring)
            if report.expired:
                await self._end_suspicions(report)

    async def _end_suspicions(self, report: SuspicionReport) -> None:
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

    async def _handle(self, packet: Packet, address: Address) -> None:
        self._take_common(packet)
        if packet.kind is FrameKind.PROBE:
            await self._prober.reply(packet, address)
        elif packet.kind is FrameKind.PROBE_ACK:
            self._prober.handle_ack(packet)
        elif packet.kind is FrameKind.INDIRECT_PROBE:
            self._start_indirect(packet, address)
        elif packet.kind is FrameKind.DIGEST:
            await self._synchronizer.reply(packet, address)

    def _take_common(self, packet: Packet) -> None:
        view = self._view
        # The latest holder of the highest version is the likeliest to answer.
        if packet.table_version >= view.newest_table_version.version:
            view.newest_table_version = KnownTableVersion(
                packet.table_version, packet.sender
            )
        view.apply(packet.records)
        sender = view.member_list.get(packet.sender)
        if sender is None:
            return
        if sender.data_centre == view.member_list.own.data_centre:
            # What another data centre reaches says nothing of the own one.
            view.contacts.merge(packet.contacts, trio.current_time())
        elif sender.data_centre in view.unreachable_data_centres:
            self._nursery.start_soon(
                self._data_centre_prober.probe_sender, sender.node_id
            )

    def _start_indirect(self, packet: Packet, address: Address) -> None:
        if self._indirect < _MAX_INDIRECT:
            self._indirect += 1
            self._nursery.start_soon(self._run_indirect, packet, address)

    async def _run_indirect(self, packet: Packet, address: Address) -> None:
        try:
            await self._prober.handle_indirect_probe(packet, address)
        finally:
            self._indirect -= 1


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
            )
            groups.setdefault(member.service, []).append(candidate)
    return {service: tuple(found) for service, found in groups.items()}


def _check_name(noun: str, name: str) -> None:
    if not 0 < len(name.encode()) <= _MAX_NAME_BYTES:
        raise MembershipError(
            f"{noun} {name!r} is not 1 to {_MAX_NAME_BYTES} bytes long", code="name"
        )


def create_membership(
    identity: NodeIdentity,
    seeds: Sequence[Address],
    port: DatagramPort,
    shared_key: bytes,
    timers: TimerService,
    source: random.Random,
    limits: MembershipLimits | None = None,
) -> Membership:
    """Creates the membership of a node; call it within a trio task.

    :param identity: the own node.
    :param seeds: gossip addresses of a few members, through which it joins.
    :param shared_key: secret of the deployment.
    :param source: random numbers for the choice of members.
    :raises MembershipError: when a name of the identity is too long.
    """
    for noun in ("node_id", "region", "data_centre"):
        _check_name(noun, getattr(identity, noun))
    limits = limits or MembershipLimits()
    view = View(create_member_list(identity, trio.current_time()), limits)
    view.outbox.add(identity.node_id)
    budget = RateBudget(limits.rate, limits.burst)
    transport = Transport(view, port, shared_key, budget, source)
    prober = Prober(view, transport, timers)
    synchronizer = Synchronizer(view, transport, tuple(seeds))
    data_centre_prober = DataCentreProber(view, transport, prober, synchronizer, timers)
    gossiper = Gossiper(view, transport)
    return Membership(
        view, transport, prober, gossiper, synchronizer, data_centre_prober, timers
    )
