"""Member list, and the precedence rules by which updates change it."""

from collections.abc import Iterable, Iterator

import attrs

from coltsfootspar.membership.digests import (
    compute_bucket,
    compute_digest,
    find_differences,
)
from coltsfootspar.membership.members import Member, NodeIdentity
from coltsfootspar.wire.membership import MemberRecord, MemberStatus

__all__ = ["MemberList", "TOMBSTONE_SECONDS", "create_member_list"]

# Exceeds the longest partition after which a stale update could revive a dead
# member.
TOMBSTONE_SECONDS = 86_400.0


@attrs.define(eq=False)
class MemberList:
    """All members by id, including this node and tombstones of dead members.

    :param own_id: id of this node.
    :param revision: number that increases with each change; caches depend on it.
    """

    own_id: str
    _members: dict[str, Member]
    revision: int = 0
    _digest: tuple[int, bytes] | None = None
    _local_peers: tuple[int, list[Member]] | None = None

    @property
    def own(self) -> Member:
        """Returns the member entry of this node."""
        return self._members[self.own_id]

    def get(self, node_id: str) -> Member | None:
        """Returns a member, or None for an unknown id."""
        return self._members.get(node_id)

    def __iter__(self) -> Iterator[Member]:
        return iter(tuple(self._members.values()))

    def __len__(self) -> int:
        return len(self._members)

    def list_local_peers(self) -> list[Member]:
        """Lists the other present members of the same data centre.

        The list is cached for each revision.
        """
        if self._local_peers is None or self._local_peers[0] != self.revision:
            local_members = self.list_data_centre_members(self.own.data_centre)
            found = [other for other in local_members if other.node_id != self.own_id]
            self._local_peers = (self.revision, found)
        return self._local_peers[1]

    def list_data_centre_members(self, data_centre: str) -> list[Member]:
        """Lists the present members of a data centre."""
        return [
            member
            for member in self._members.values()
            if member.is_present and member.data_centre == data_centre
        ]

    def put(self, member: Member) -> None:
        """Stores a member, replacing its previous state."""
        self._members[member.node_id] = member
        self.revision += 1

    def apply(self, record: MemberRecord, now: float) -> Member | None:
        """Applies an update of another member unless it is stale.

        :param now: trio clock, seconds.
        :returns: the changed member, or None if nothing changed.
        """
        known = self._members.get(record.node_id)
        if known is None:
            member = _create_member(record, now)
        elif (record.incarnation, int(record.status)) <= known.precedence:
            return None
        else:
            member = _update_member(known, record, now)
        if member is not None:
            self.put(member)
        return member

    def expire_tombstones(self, now: float) -> None:
        """Removes tombstones older than ``TOMBSTONE_SECONDS``."""
        for member in self:
            age = now - member.status_since
            if not member.is_present and age > TOMBSTONE_SECONDS:
                del self._members[member.node_id]
                self.revision += 1

    def compute_digest(self) -> bytes:
        """Returns the digest of the list, cached for each revision."""
        if self._digest is None or self._digest[0] != self.revision:
            digest = compute_digest(self._members.values())
            self._digest = (self.revision, digest)
        return self._digest[1]

    def find_differing_members(self, digest: bytes) -> tuple[list[int], list[Member]]:
        """Finds the members that may differ from those of another list.

        :param digest: digest of the other list.
        :returns: indices of the differing buckets, and the local members in them.
        :raises FrameError: when the digest is malformed.
        """
        buckets = find_differences(self.compute_digest(), digest)
        bucket_set = set(buckets)
        members = self._members.values()
        return buckets, _filter_by_bucket(members, bucket_set) if bucket_set else []


def _filter_by_bucket(members: Iterable[Member], buckets: set[int]) -> list[Member]:
    return [member for member in members if compute_bucket(member.node_id) in buckets]


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
        status_since=_compute_status_since(record, now),
        service=record.service,
        slots=record.slots,
        warm_at=now + record.warm_in,
        is_leaving=record.is_leaving,
        calls_per_second=record.calls_per_second,
    )


def _update_member(known: Member, record: MemberRecord, now: float) -> Member | None:
    if record.is_full and record.incarnation > known.incarnation:
        return _create_member(record, now)
    is_same_incarnation = record.incarnation == known.incarnation
    return attrs.evolve(
        known,
        incarnation=record.incarnation,
        status=record.status,
        status_since=_compute_status_since(record, now),
        is_leaving=record.is_leaving or (is_same_incarnation and known.is_leaving),
    )


def _compute_status_since(record: MemberRecord, now: float) -> float:
    # The suspicion timeout starts when the update arrives, so that a late update
    # does not shorten the time in which the member can refute it.
    is_suspect = record.status is MemberStatus.SUSPECT
    return now if is_suspect else now - record.status_age


def create_member_list(identity: NodeIdentity, now: float) -> MemberList:
    """Creates a member list with only this node.

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
    return MemberList(identity.node_id, {identity.node_id: own})
