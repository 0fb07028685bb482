"""Local view of the membership, and the updates that are to be gossiped."""

import math
from collections.abc import Callable, Iterable

import attrs
import trio
from absl import logging

from coltsfootspar.membership.contacts import ContactTimes
from coltsfootspar.membership.member_list import MemberList
from coltsfootspar.membership.members import KnownTableVersion, Member
from coltsfootspar.membership.outbox import Outbox
from coltsfootspar.membership.relays import is_relay, rank_relays
from coltsfootspar.membership.settings import MembershipLimits
from coltsfootspar.wire.membership import MemberRecord, MemberStatus

__all__ = ["MemberCallback", "SuspicionReport", "View"]

_PARTITION_TIMEOUT_FACTOR = 3

MemberCallback = Callable[[Member], None]


@attrs.frozen
class SuspicionReport:
    """Suspected members of the local data centre whose timeout is running out.

    When a data centre is partitioned, the minority, for example one rack, marks
    the other members unreachable without declaring them dead. They then have no
    death to refute once the partition heals.

    :param expiring: suspects for which more than half of the timeout has passed.
    :param expired: suspects that did not refute the suspicion in time.
    :param is_majority_partition: False while this node is isolated or suspects at
        least half of its data centre.
    """

    expiring: list[Member]
    expired: list[Member]
    is_majority_partition: bool


@attrs.define(eq=False)
class View:
    """State of the membership protocol; performs no I/O.

    :param outbox: updates for members of the local data centre.
    :param remote_outboxes: updates for each other data centre.
    :param is_synced: False until the member list agrees with that of another
        member, unless there is no other seed to join through.
    :param last_ack_at: trio clock time of the last probe acknowledgement, seconds.
    :param deaths: number of members that this node declared dead.
    :param refutations: number of updates about this node that it refuted.
    """

    member_list: MemberList
    limits: MembershipLimits
    contacts: ContactTimes = attrs.field(factory=ContactTimes)
    outbox: Outbox = attrs.field(factory=Outbox)
    remote_outboxes: dict[str, Outbox] = attrs.field(factory=dict)
    newest_table_version: KnownTableVersion = attrs.field(factory=KnownTableVersion)
    is_synced: bool = False
    last_ack_at: float = attrs.field(factory=trio.current_time)
    deaths: int = 0
    refutations: int = 0
    _remote_update_queued: trio.Event = attrs.field(factory=trio.Event)
    _callbacks: list[MemberCallback] = attrs.field(factory=list)
    _unreachable_data_centres: frozenset[str] = frozenset()
    _members_cache: tuple[int, tuple[Member, ...]] | None = None
    _unreachable_members: set[str] = attrs.field(factory=set)
    _relay_ranking_cache: dict[str, tuple[int, list[Member]]] = attrs.field(
        factory=dict
    )

    def subscribe(self, callback: MemberCallback) -> None:
        """Registers a callback that receives each member that changes."""
        self._callbacks.append(callback)

    def list_members(self) -> tuple[Member, ...]:
        """Lists all members with their reachability.

        The list is cached for each revision, because each call reads it.
        """
        if (
            self._members_cache is None
            or self._members_cache[0] != self.member_list.revision
        ):
            members = tuple(
                self._with_reachability(member) for member in self.member_list
            )
            self._members_cache = (self.member_list.revision, members)
        return self._members_cache[1]

    def _with_reachability(self, member: Member) -> Member:
        is_reachable = (
            member.is_present
            and member.data_centre not in self._unreachable_data_centres
            and member.node_id not in self._unreachable_members
        )
        return attrs.evolve(member, is_reachable=is_reachable)

    @property
    def unreachable_data_centres(self) -> frozenset[str]:
        """Returns the data centres that are marked unreachable as a whole."""
        return self._unreachable_data_centres

    def list_other_data_centres(self) -> list[str]:
        """Lists the other data centres that have present members."""
        own = self.member_list.own.data_centre
        found = {member.data_centre for member in self.member_list if member.is_present}
        return sorted(found - {own})

    def rank_relays(self, data_centre: str) -> list[Member]:
        """Returns the members of a data centre in relay order, its relays first."""
        cached = self._relay_ranking_cache.get(data_centre)
        if cached is None or cached[0] != self.member_list.revision:
            ranked = rank_relays(self.member_list.list_data_centre_members(data_centre))
            cached = self._relay_ranking_cache[data_centre] = (
                self.member_list.revision,
                ranked,
            )
        return cached[1]

    @property
    def is_relay(self) -> bool:
        """Returns whether this node is a relay of its data centre."""
        own = self.member_list.own
        return is_relay(own.node_id, self.rank_relays(own.data_centre))

    @property
    def is_isolated(self) -> bool:
        """Returns whether no probe was acknowledged within the isolation timeout."""
        return trio.current_time() - self.last_ack_at > self.limits.isolation_timeout

    @property
    def transmission_limit(self) -> int:
        """Returns how often one update is sent within the local data centre."""
        member_count = len(self.member_list.list_local_peers()) + 1
        return 4 * math.ceil(math.log10(member_count + 1))

    def apply(self, records: Iterable[MemberRecord]) -> None:
        """Applies received records and queues those that changed the view."""
        now = trio.current_time()
        for record in records:
            if record.node_id == self.member_list.own_id:
                self._refute(record)
                continue
            member = self.member_list.apply(record, now)
            if member is not None:
                # A joining node does not gossip the list that it receives, since
                # the other members know it already.
                self._apply_change(member, is_gossiped=self.is_synced)

    def change_own(self, **changes: object) -> None:
        """Changes attributes of this node and increments its incarnation."""
        own = self.member_list.own
        self._apply_change(
            attrs.evolve(own, incarnation=own.incarnation + 1, **changes)
        )

    def suspect(self, member: Member) -> None:
        """Suspects a member after a failed probe, unless a later update arrived."""
        known = self.member_list.get(member.node_id)
        if known is None or known.precedence != (
            member.incarnation,
            MemberStatus.ALIVE,
        ):
            return
        now = trio.current_time()
        status = MemberStatus.SUSPECT
        self._apply_change(attrs.evolve(known, status=status, status_since=now))

    def check_timeouts(self) -> SuspicionReport:
        """Checks the timeouts of suspects, data centres and tombstones.

        Data centres without contact are marked unreachable and old tombstones
        are removed.

        :returns: the suspects whose timeout is running out or has expired.
        """
        now = trio.current_time()
        report = self._check_suspicions(now)
        self._update_unreachable_data_centres(now)
        self.member_list.expire_tombstones(now)
        return report

    def declare_dead(self, member: Member) -> None:
        """Declares a suspected member dead, unless a later update arrived."""
        known = self.member_list.get(member.node_id)
        if known is None or known.precedence != member.precedence:
            return
        logging.info("member %s declared dead: suspicion not refuted", member.node_id)
        self.deaths += 1
        now = trio.current_time()
        status = MemberStatus.DEAD
        self._apply_change(attrs.evolve(known, status=status, status_since=now))

    def mark_unreachable(self, member: Member) -> None:
        """Marks a member unreachable without declaring it dead."""
        known = self.member_list.get(member.node_id)
        if known is None or known.precedence != member.precedence:
            return
        if member.node_id not in self._unreachable_members:
            self._unreachable_members.add(member.node_id)
            self.member_list.revision += 1
            self._notify(known)

    def _apply_change(self, member: Member, *, is_gossiped: bool = True) -> None:
        self.member_list.put(member)
        now = trio.current_time()
        if member.data_centre != self.member_list.own.data_centre:
            self.contacts.add_data_centre(member.data_centre, now)
        self._unreachable_members.discard(member.node_id)
        if is_gossiped:
            self._queue_update(member)
        self._notify(member)

    def _queue_update(self, member: Member) -> None:
        own = self.member_list.own
        self.outbox.add(member.node_id)
        # Only the relays of a member's own data centre gossip its updates to
        # other data centres; digest synchronization can carry them as well.
        if member.data_centre == own.data_centre and self.is_relay:
            for data_centre in self.list_other_data_centres():
                remote_outbox = self.remote_outboxes.setdefault(data_centre, Outbox())
                remote_outbox.add(member.node_id)
                self._remote_update_queued.set()

    async def wait_for_remote_updates(self) -> None:
        """Waits until an update for another data centre is queued."""
        while not any(self.remote_outboxes.values()):
            self._remote_update_queued = trio.Event()
            await self._remote_update_queued.wait()

    def _notify(self, member: Member) -> None:
        marked = self._with_reachability(member)
        for callback in self._callbacks:
            callback(marked)

    def _refute(self, record: MemberRecord) -> None:
        """Refutes an update about this node that does not come from this process."""
        own = self.member_list.own
        if own.status is MemberStatus.LEFT:
            return
        is_later = (record.incarnation, int(record.status)) > own.precedence
        # A record with the same incarnation but different attributes was sent by
        # an earlier run of the node.
        is_from_earlier_run = (
            record.incarnation == own.incarnation
            and record.is_full
            and (record.service, record.slots, record.gossip_address)
            != (own.service, own.slots, own.gossip_address)
        )
        if not (is_later or is_from_earlier_run):
            return
        self.refutations += 1
        own = attrs.evolve(own, incarnation=record.incarnation + 1)
        self._apply_change(own)

    def _check_suspicions(self, now: float) -> SuspicionReport:
        local_peers = self.member_list.list_local_peers()
        size_factor = max(1.0, math.log10(len(local_peers) + 1))
        suspects = [m for m in local_peers if m.status is MemberStatus.SUSPECT]
        suspected_share = len(suspects) / (len(local_peers) + 1)
        # A partition causes many suspicions, and takes longer to show which side
        # has the majority.
        timeout = (
            self.limits.suspicion_timeout
            * size_factor
            * (1 + _PARTITION_TIMEOUT_FACTOR * suspected_share)
        )
        ages = [(member, now - member.status_since) for member in suspects]
        return SuspicionReport(
            expiring=[member for member, age in ages if age > timeout / 2],
            expired=[member for member, age in ages if age > timeout],
            is_majority_partition=not self.is_isolated and suspected_share < 1 / 2,
        )

    def _update_unreachable_data_centres(self, now: float) -> None:
        # A data centre without present members is no longer part of the deployment.
        unreachable = self.contacts.find_unreachable(
            now, self.limits.unreachable_timeout
        )
        unreachable &= frozenset(self.list_other_data_centres())
        changed = unreachable ^ self._unreachable_data_centres
        if not changed:
            return
        self._unreachable_data_centres = unreachable
        self.member_list.revision += 1
        for data_centre in sorted(changed):
            state = "unreachable" if data_centre in unreachable else "reachable"
            logging.warning("data centre %s is %s", data_centre, state)
        for member in self.member_list:
            if member.data_centre in changed:
                self._notify(member)
