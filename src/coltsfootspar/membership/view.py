"""What the own node believes of all members, and its own news."""

import math
from collections import deque
from collections.abc import Callable, Iterable

import attrs
import trio
from absl import logging

from coltsfootspar.membership.contacts import ContactTimes
from coltsfootspar.membership.members import HeardVersion, Member
from coltsfootspar.membership.outbox import Outbox
from coltsfootspar.membership.relays import is_relay, rank_relays
from coltsfootspar.membership.roster import Roster
from coltsfootspar.membership.settings import MembershipLimits
from coltsfootspar.wire.membership import MemberRecord, MemberStatus

__all__ = ["MemberCallback", "View"]

# Results of the own probes that show whether the own node is in the smaller part
# of a split data centre.
_PROBE_RESULTS = 8
_SPLIT_FACTOR = 3

MemberCallback = Callable[[Member], None]


@attrs.define(eq=False)
class View:
    """State of membership without any input or output.

    :param outbox: news for the own data centre.
    :param is_synced: false until the list of another member has been taken over.
    :param last_answer: time of the last answer to any probe, seconds.
    """

    roster: Roster
    limits: MembershipLimits
    contacts: ContactTimes = attrs.field(factory=ContactTimes)
    outbox: Outbox = attrs.field(factory=Outbox)
    remote_outboxes: dict[str, Outbox] = attrs.field(factory=dict)
    newest_table: HeardVersion = attrs.field(factory=HeardVersion)
    is_synced: bool = False
    last_answer: float = attrs.field(factory=trio.current_time)
    deaths: int = 0
    refutations: int = 0
    _remote_filled: trio.Event = attrs.field(factory=trio.Event)
    _callbacks: list[MemberCallback] = attrs.field(factory=list)
    _silent: frozenset[str] = frozenset()
    _probe_results: deque[bool] = attrs.field(
        factory=lambda: deque(maxlen=_PROBE_RESULTS)
    )
    _listed: tuple[int, tuple[Member, ...]] | None = None
    _held: set[str] = attrs.field(factory=set)
    _ranked: dict[str, tuple[int, list[Member]]] = attrs.field(factory=dict)

    def subscribe(self, callback: MemberCallback) -> None:
        """Calls back with each member that changed."""
        self._callbacks.append(callback)

    def list_members(self) -> tuple[Member, ...]:
        """Lists all members, marked when they cannot be reached.

        The list is computed once for each revision, since it is read with calls.
        """
        if self._listed is None or self._listed[0] != self.roster.revision:
            members = tuple(self._mark(member) for member in self.roster)
            self._listed = (self.roster.revision, members)
        return self._listed[1]

    def _mark(self, member: Member) -> Member:
        is_reachable = (
            member.is_present
            and member.data_centre not in self._silent
            and member.node_id not in self._held
        )
        return attrs.evolve(member, is_reachable=is_reachable)

    @property
    def silent_data_centres(self) -> frozenset[str]:
        """Data centres that are marked unreachable as a whole."""
        return self._silent

    def list_other_data_centres(self) -> list[str]:
        """Lists the other data centres that have present members."""
        own = self.roster.own.data_centre
        found = {member.data_centre for member in self.roster if member.is_present}
        return sorted(found - {own})

    def rank_relays(self, data_centre: str) -> list[Member]:
        """Orders the members of a data centre; its relays come first."""
        cached = self._ranked.get(data_centre)
        if cached is None or cached[0] != self.roster.revision:
            ranked = rank_relays(self.roster.list_data_centre(data_centre))
            cached = self._ranked[data_centre] = (self.roster.revision, ranked)
        return cached[1]

    @property
    def is_relay(self) -> bool:
        """True when the own node is a relay of its data centre."""
        own = self.roster.own
        return is_relay(own.node_id, self.rank_relays(own.data_centre))

    @property
    def is_isolated(self) -> bool:
        """True when nobody has answered for a while."""
        return trio.current_time() - self.last_answer > self.limits.silence

    @property
    def transmissions(self) -> int:
        """Transmissions of one news within the own data centre."""
        members = len(self.roster.list_neighbours()) + 1
        return 4 * math.ceil(math.log10(members + 1))

    def apply(self, records: Iterable[MemberRecord]) -> None:
        """Applies news and queues what is new for transmission."""
        now = trio.current_time()
        for record in records:
            if record.node_id == self.roster.own_id:
                self._defend(record)
                continue
            member = self.roster.apply(record, now)
            if member is not None:
                # A newcomer that passes on the list it has just received would
                # send to others only what they know.
                self._accept(member, is_news=self.is_synced)

    def change_own(self, **changes: object) -> None:
        """Changes the own record; the incarnation grows with each change."""
        own = self.roster.own
        self._accept(attrs.evolve(own, incarnation=own.incarnation + 1, **changes))

    def suspect(self, member: Member) -> None:
        """Suspects a member that answered no probe, unless there is later news."""
        known = self.roster.get(member.node_id)
        if known is None or known.rank != (member.incarnation, MemberStatus.ALIVE):
            return
        now = trio.current_time()
        status = MemberStatus.SUSPECT
        self._accept(attrs.evolve(known, status=status, status_since=now))

    def record_probe(self, *, is_answered: bool) -> None:
        """Records the result of a probe in the own data centre."""
        self._probe_results.append(is_answered)

    def judge(self) -> list[Member]:
        """Ends suspicions that were not refuted and marks silent data centres.

        :returns: suspects for whom more than half of the timeout has passed.
        """
        now = trio.current_time()
        overdue = self._judge_suspects(now)
        self._mark_data_centres(now)
        self.roster.expire(now)
        return overdue

    def _accept(self, member: Member, *, is_news: bool = True) -> None:
        self.roster.put(member)
        now = trio.current_time()
        if member.data_centre != self.roster.own.data_centre:
            self.contacts.add_data_centre(member.data_centre, now)
        self._held.discard(member.node_id)
        if is_news:
            self._queue(member)
        self._notify(member)

    def _queue(self, member: Member) -> None:
        own = self.roster.own
        self.outbox.add(member.node_id)
        # Other data centres hear of a member from its own relays, and with the
        # digests also from others.
        if member.data_centre == own.data_centre and self.is_relay:
            for data_centre in self.list_other_data_centres():
                box = self.remote_outboxes.setdefault(data_centre, Outbox())
                box.add(member.node_id)
                self._remote_filled.set()

    async def wait_remote_filled(self) -> None:
        """Waits until there is news for another data centre."""
        while not any(self.remote_outboxes.values()):
            self._remote_filled = trio.Event()
            await self._remote_filled.wait()

    def _notify(self, member: Member) -> None:
        marked = self._mark(member)
        for callback in self._callbacks:
            callback(marked)

    def _defend(self, record: MemberRecord) -> None:
        """Refutes news of the own node that are not its own."""
        own = self.roster.own
        if own.status is MemberStatus.LEFT:
            return
        is_later = (record.incarnation, int(record.status)) > own.rank
        # The same incarnation with other content comes from an earlier run.
        is_foreign = (
            record.incarnation == own.incarnation
            and record.is_full
            and (record.service, record.slots, record.gossip_address)
            != (own.service, own.slots, own.gossip_address)
        )
        if not (is_later or is_foreign):
            return
        self.refutations += 1
        own = attrs.evolve(own, incarnation=record.incarnation + 1)
        self._accept(own)

    def _judge_suspects(self, now: float) -> list[Member]:
        neighbours = self.roster.list_neighbours()
        scale = max(1.0, math.log10(len(neighbours) + 1))
        suspects = [m for m in neighbours if m.status is MemberStatus.SUSPECT]
        share = len(suspects) / (len(neighbours) + 1)
        # Where many are suspected, it takes longer to see on which side of a
        # split the larger part is.
        timeout = self.limits.suspicion * scale * (1 + _SPLIT_FACTOR * share)
        can_declare = self._can_declare(share)
        overdue = []
        for member in suspects:
            age = now - member.status_since
            if age > timeout / 2:
                overdue.append(member)
            if age < timeout:
                continue
            if can_declare:
                self._declare_dead(member, now)
            elif member.node_id not in self._held:
                self._held.add(member.node_id)
                self.roster.revision += 1
                self._notify(member)
        return overdue

    def _can_declare(self, share: float) -> bool:
        """Tells whether the own part of the data centre is the larger one.

        The smaller part of a data centre that is split, such as one rack, takes
        the others out of use without declaring them dead. After the repair they
        do not have to refute that.
        """
        failed = self._probe_results.count(False)
        is_failing = failed >= 3 and 2 * failed > len(self._probe_results)
        return not (self.is_isolated or is_failing) and share < 1 / 2

    def _declare_dead(self, member: Member, now: float) -> None:
        logging.info("member %s is declared dead", member.node_id)
        self.deaths += 1
        status = MemberStatus.DEAD
        self._accept(attrs.evolve(member, status=status, status_since=now))

    def _mark_data_centres(self, now: float) -> None:
        # One whose members are all gone is no longer part of the deployment.
        silent = self.contacts.find_silent(now, self.limits.unreachable)
        silent &= frozenset(self.list_other_data_centres())
        changed = silent ^ self._silent
        if not changed:
            return
        self._silent = silent
        self.roster.revision += 1
        for data_centre in sorted(changed):
            state = "unreachable" if data_centre in silent else "reachable"
            logging.warning("data centre %s is %s", data_centre, state)
        for member in self.roster:
            if member.data_centre in changed:
                self._notify(member)
