"""Member, node identity and table version as the membership layer holds them."""

import attrs

from coltsfootspar.wire import Address
from coltsfootspar.wire.membership import MemberRecord, MemberStatus

__all__ = ["KnownTableVersion", "Member", "NodeIdentity"]


@attrs.frozen
class NodeIdentity:
    """Attributes of a node that stay constant while its process runs.

    :param gossip_address: UDP address of its membership datagrams.
    :param peer_address: TCP address of the internal protocol.
    :param incarnation: initial incarnation number, higher than in every earlier
        run of the node, for example the start time in milliseconds.
    """

    node_id: str
    region: str
    data_centre: str
    gossip_address: Address
    peer_address: Address
    incarnation: int


@attrs.frozen
class Member:
    """State of one member in the local view of this node.

    :param status_since: trio clock time at which the status was first assumed,
        seconds.
    :param service: service of its backend server, or empty without one.
    :param slots: concurrency slots that the backend server announced.
    :param calls_per_second: calls that it completes per second at most; 0 when unknown.
    :param warm_at: trio clock time from which the backend server takes its full
        share of the load, seconds.
    :param is_leaving: whether the member accepts no new work.
    :param is_reachable: False, in lists of members and in callbacks, while the
        member is dead or has left, or it or its data centre is marked unreachable.
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
    calls_per_second: int = 0

    @property
    def is_present(self) -> bool:
        """Returns True unless the member is dead or has left."""
        return self.status <= MemberStatus.SUSPECT

    @property
    def precedence(self) -> tuple[int, int]:
        """Returns the sort key by which a later update replaces an earlier one."""
        return self.incarnation, int(self.status)

    def make_update(self, now: float) -> MemberRecord:
        """Returns the record to gossip to nodes that already know this member.

        Only the record of an alive member is full.

        :param now: trio clock, seconds.
        """
        return self.make_record(now, is_full=self.status is MemberStatus.ALIVE)

    def make_record(self, now: float, *, is_full: bool = True) -> MemberRecord:
        """Returns the wire record of this member, with times relative to ``now``.

        :param now: trio clock, seconds.
        :param is_full: whether to include the attributes beside the status.
        """
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
            calls_per_second=self.calls_per_second,
        )


@attrs.frozen
class KnownTableVersion:
    """Table version, and a member that has applied it.

    :param node_id: empty while no member is known to have applied a table.
    """

    version: int = 0
    node_id: str = ""
