"""Members and the identity of the own node."""

import attrs

from coltsfootspar.wire import Address
from coltsfootspar.wire.membership import MemberRecord, MemberStatus

__all__ = ["HeardVersion", "Member", "NodeIdentity"]


@attrs.frozen
class NodeIdentity:
    """What a node says of itself for as long as it runs.

    :param gossip_address: UDP address of its membership datagrams.
    :param peer_address: TCP address of the internal protocol.
    :param incarnation: number that is higher than in each earlier run of the
        node, for example the time of the start in milliseconds.
    """

    node_id: str
    region: str
    data_centre: str
    gossip_address: Address
    peer_address: Address
    incarnation: int


@attrs.frozen
class Member:
    """A member as the own node sees it.

    :param status_since: time on the trio clock at which the status was first
        believed, seconds.
    :param service: service of its backend server, empty when it has none.
    :param slots: announced slots of the backend server.
    :param warm_at: time on the trio clock from which the backend server takes
        its full share, seconds.
    :param is_leaving: true when it takes no new work.
    """

    node_id: str
    region: str
    data_centre: str
    gossip_address: Address
    peer_address: Address
    incarnation: int
    status: MemberStatus = MemberStatus.ALIVE
    status_since: float = 0.0
    service: str = ""
    slots: int = 0
    warm_at: float = 0.0
    is_leaving: bool = False
    is_reachable: bool = True

    @property
    def is_present(self) -> bool:
        """True unless the member is dead or has left."""
        return self.status <= MemberStatus.SUSPECT

    @property
    def rank(self) -> tuple[int, int]:
        """Order of news: the higher one replaces the lower one."""
        return self.incarnation, int(self.status)

    def make_news(self, now: float) -> MemberRecord:
        """Returns a record for those who know the member by an earlier one."""
        return self.make_record(now, is_full=self.status is MemberStatus.ALIVE)

    def make_record(self, now: float, *, is_full: bool = True) -> MemberRecord:
        """Returns the news of this member with times relative to now."""
        short = MemberRecord(
            node_id=self.node_id,
            incarnation=self.incarnation,
            status=self.status,
            is_leaving=self.is_leaving,
            status_age=now - self.status_since,
        )
        if not is_full:
            return short
        return attrs.evolve(
            short,
            is_full=True,
            region=self.region,
            data_centre=self.data_centre,
            gossip_address=self.gossip_address,
            peer_address=self.peer_address,
            service=self.service,
            slots=self.slots,
            warm_in=max(0.0, self.warm_at - now),
        )


@attrs.frozen
class HeardVersion:
    """A version of the table and a member that has applied it.

    :param node_id: empty when no member has been heard of yet.
    """

    version: int = 0
    node_id: str = ""
