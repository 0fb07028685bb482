"""The member list and the rules by which news change it."""

from collections.abc import Iterable, Iterator

import attrs

from coltsfootspar.membership.digests import (
    compute_bucket,
    compute_digest,
    find_differences,
)
from coltsfootspar.membership.members import Member, NodeIdentity
from coltsfootspar.wire.membership import MemberRecord, MemberStatus

__all__ = ["Roster", "TOMBSTONE_SECONDS", "create_roster"]

# Longer than any partition after which old news of a dead member can come back.
TOMBSTONE_SECONDS = 86_400.0


@attrs.define(eq=False)
class Roster:
    """All members by id, the own node and tombstones of dead members included.

    :param own_id: id of the own node.
    :param revision: grows with each change.
    """

    own_id: str
    _members: dict[str, Member]
    revision: int = 0
    _digest: tuple[int, bytes] | None = None
    _neighbours: tuple[int, list[Member]] | None = None

    @property
    def own(self) -> Member:
        """The own node."""
        return self._members[self.own_id]

    def get(self, node_id: str) -> Member | None:
        """Returns a member, or None when it is not known."""
        return self._members.get(node_id)

    def __iter__(self) -> Iterator[Member]:
        return iter(tuple(self._members.values()))

    def __len__(self) -> int:
        return len(self._members)

    def list_neighbours(self) -> list[Member]:
        """Lists the other present members of the own data centre.

        The list is computed once for each revision.
        """
        if self._neighbours is None or self._neighbours[0] != self.revision:
            neighbours = self.list_data_centre(self.own.data_centre)
            found = [other for other in neighbours if other.node_id != self.own_id]
            self._neighbours = (self.revision, found)
        return self._neighbours[1]

    def list_data_centre(self, data_centre: str) -> list[Member]:
        """Lists the present members of a data centre."""
        return [
            member
            for member in self._members.values()
            if member.is_present and member.data_centre == data_centre
        ]

    def put(self, member: Member) -> None:
        """Stores a member in place of what was known of it."""
        self._members[member.node_id] = member
        self.revision += 1

    def apply(self, record: MemberRecord, now: float) -> Member | None:
        """Applies news of another member unless the same or later is known.

        :returns: the changed member, or None when nothing changed.
        """
        known = self._members.get(record.node_id)
        if known is None:
            member = _create_member(record, now)
        elif (record.incarnation, int(record.status)) <= known.rank:
            return None
        else:
            member = _update_member(known, record, now)
        if member is not None:
            self.put(member)
        return member

    def expire(self, now: float) -> None:
        """Removes the tombstones after their time."""
        for member in self:
            age = now - member.status_since
            if not member.is_present and age > TOMBSTONE_SECONDS:
                del self._members[member.node_id]
                self.revision += 1

    def compute_digest(self) -> bytes:
        """Returns the digest of the list, computed once for each revision."""
        if self._digest is None or self._digest[0] != self.revision:
            digest = compute_digest(self._members.values())
            self._digest = (self.revision, digest)
        return self._digest[1]

    def list_differing(self, digest: bytes) -> tuple[list[int], list[Member]]:
        """Finds the members that may differ from another list.

        :returns: the differing buckets, and the members in them.
        :raises FrameError: when the digest is malformed.
        """
        buckets = find_differences(self.compute_digest(), digest)
        wanted = set(buckets)
        members = self._members.values()
        return buckets, _select_buckets(members, wanted) if wanted else []


def _select_buckets(members: Iterable[Member], wanted: set[int]) -> list[Member]:
    return [member for member in members if compute_bucket(member.node_id) in wanted]


def _create_member(record: MemberRecord, now: float) -> Member | None:
    is_dead = record.status >= MemberStatus.DEAD
    if not record.is_full or (is_dead and record.status_age > TOMBSTONE_SECONDS):
        return None
    return Member(
        node_id=record.node_id,
        region=record.region,
        data_centre=record.data_centre,
        gossip_address=record.gossip_address,
        peer_address=record.peer_address,
        incarnation=record.incarnation,
        status=record.status,
        status_since=_compute_since(record, now),
        service=record.service,
        slots=record.slots,
        warm_at=now + record.warm_in,
        is_leaving=record.is_leaving,
    )


def _update_member(known: Member, record: MemberRecord, now: float) -> Member | None:
    if record.is_full and record.incarnation > known.incarnation:
        return _create_member(record, now)
    is_same_run = record.incarnation == known.incarnation
    return attrs.evolve(
        known,
        incarnation=record.incarnation,
        status=record.status,
        status_since=_compute_since(record, now),
        is_leaving=record.is_leaving or (is_same_run and known.is_leaving),
    )


def _compute_since(record: MemberRecord, now: float) -> float:
    # A suspicion is timed from its arrival, so that the member has the whole
    # timeout to refute it also where the news came late.
    is_suspect = record.status is MemberStatus.SUSPECT
    return now if is_suspect else now - record.status_age


def create_roster(identity: NodeIdentity, now: float) -> Roster:
    """Creates a list with only the own node.

    :param now: trio clock, seconds.
    """
    own = Member(
        node_id=identity.node_id,
        region=identity.region,
        data_centre=identity.data_centre,
        gossip_address=identity.gossip_address,
        peer_address=identity.peer_address,
        incarnation=identity.incarnation,
        status_since=now,
    )
    return Roster(identity.node_id, {identity.node_id: own})
