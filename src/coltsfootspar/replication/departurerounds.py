"""Rounds in which all replicas are asked to keep departures, or what they keep."""

from collections.abc import Sequence

import attrs

from coltsfootspar.replication.messages import Departure, DeparturesReply, Group

__all__ = ["DepartureRound", "KnownDepartures"]


@attrs.frozen
class KnownDepartures:
    """Departures that replicas keep for a node.

    :param is_majority: true when a majority of the replicas keeps the departures that
        were sent; for a read, when a majority that misses no acknowledged departure has
        replied.
    """

    departures: frozenset[Departure]
    is_majority: bool


@attrs.define(eq=False)
class DepartureRound:
    """Replies of one round, and whether they are those of a majority.

    The replicas are those that the newest reply names: what the asking process expects
    may be fewer, and a host that has lost its seat may answer for it.

    :param _expected_ids: replicas that the asking process knows.
    :param is_read: true when no departures are sent.
    """

    _expected_ids: Sequence[str]
    is_read: bool
    _replies: dict[str, DeparturesReply] = attrs.field(factory=dict)

    def add(self, replica_id: str, reply: DeparturesReply) -> None:
        """Adds the reply of a replica."""
        self._replies[replica_id] = reply

    @property
    def group(self) -> Group | None:
        """Newest description of the group, None when no reply has one."""
        groups = [reply.group for reply in self._replies.values() if reply.group]
        return max(groups, key=lambda group: group.order, default=None)

    @property
    def replica_ids(self) -> tuple[str, ...]:
        """Ids of all replicas, as far as they are known."""
        group = self.group
        return tuple(group.incarnations if group else self._expected_ids)

    @property
    def is_majority(self) -> bool:
        """True when the round needs no further reply."""
        counted = sum(self._counts(name) for name in self._replies)
        return counted >= len(self.replica_ids) // 2 + 1

    def summarise(self) -> KnownDepartures:
        """Returns the outcome of the round."""
        known = frozenset(
            departure
            for reply in self._replies.values()
            for departure in reply.departures
        )
        return KnownDepartures(known, self.is_majority)

    def _counts(self, replica_id: str) -> bool:
        reply = self._replies[replica_id]
        if self.is_read and reply.is_partial:
            return False
        group = self.group
        if group is None or reply.group is None:
            return replica_id in self.replica_ids
        return reply.group.incarnation == group.incarnations.get(replica_id)
