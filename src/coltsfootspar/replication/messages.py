"""Messages between replicas, and between clients and replicas."""

import enum

import attrs

from coltsfootspar.replication.commands import Change, Entry, Result

__all__ = [
    "AppendReply",
    "AppendRequest",
    "Departure",
    "DeparturesReply",
    "Group",
    "HistoryReply",
    "InstallReply",
    "InstallRequest",
    "JoinReply",
    "JoinRequest",
    "NoteDeparturesRequest",
    "ProposeReply",
    "ProposeStatus",
    "ReplicaStatus",
    "TableReply",
    "VoteReply",
    "VoteRequest",
]


@attrs.frozen
class VoteRequest:
    """Asks for a vote, or in a pre-vote whether the vote would be granted.

    :param last_index: index of the last entry in the candidate's log.
    :param last_term: term of that entry.
    """

    term: int
    candidate_id: str
    last_index: int
    last_term: int


@attrs.frozen
class VoteReply:
    """Answers a :class:`VoteRequest`.

    :param incarnation: incarnation of the voter.
    """

    term: int
    is_granted: bool
    incarnation: int


@attrs.frozen
class AppendRequest:
    """Carries entries of the leader, or none as a heartbeat.

    :param previous_index: index of the entry before the carried ones.
    :param previous_term: term of that entry.
    :param commit_index: last entry that the leader knows to be committed.
    """

    term: int
    leader_id: str
    previous_index: int
    previous_term: int
    commit_index: int
    cluster_id: str
    entries: tuple[Entry, ...] = ()


@attrs.frozen
class AppendReply:
    """Answers an :class:`AppendRequest`.

    :param match_index: last entry that equals the leader's and is synced.
    :param next_index: index at which the leader should continue after a mismatch.
    :param is_admitted: false until a replica with a new disk is admitted.
    :param address: address at which the replica listens; empty when the settings of
        all replicas name it, or from an earlier version of the program.
    """

    term: int
    is_accepted: bool
    match_index: int
    next_index: int
    incarnation: int
    is_admitted: bool
    address: str = ""


@attrs.frozen
class InstallRequest:
    """Carries a chunk of a snapshot.

    :param snapshot_index: last entry in the snapshot.
    :param snapshot_term: term of that entry.
    :param offset: position of the chunk, bytes.
    :param size: size of the whole snapshot, bytes.
    """

    term: int
    leader_id: str
    snapshot_index: int
    snapshot_term: int
    offset: int
    size: int
    cluster_id: str
    data: bytes = b""


@attrs.frozen
class InstallReply:
    """Answers an :class:`InstallRequest`.

    :param next_offset: position of the next expected chunk, bytes.
    :param is_installed: true when the replica has the whole snapshot.
    """

    term: int
    next_offset: int
    is_installed: bool


class ProposeStatus(enum.StrEnum):
    """Outcome of a proposal."""

    COMMITTED = "committed"
    NOT_LEADER = "not-leader"
    BUSY = "busy"
    UNKNOWN = "unknown"


@attrs.frozen
class ProposeReply:
    """Answers a proposal.

    :param leader_id: replica that the sender believes to be the leader, or empty.
    :param message: reason when the command is not committed.
    :param result: result of the command when it is committed.
    """

    status: ProposeStatus
    leader_id: str = ""
    message: str = ""
    result: Result = None


@attrs.frozen
class TableReply:
    """Answers a read or a watch of the table or of the routes.

    :param is_current: false when the replica may be behind or partitioned from the
        leader.
    :param table_data: encoded table or routes, empty when there is no newer
        version.
    """

    version: int
    is_current: bool
    table_data: bytes = attrs.field(default=b"", repr=False)


@attrs.frozen
class JoinRequest:
    """Asks for a seat, which is the id of a replica that the process may become.

    :param address: address at which the process listens for the other replicas.
    :param is_leaving: true when the process holds a seat and offers it to others,
        since it stops.
    """

    address: str
    process_id: str
    is_leaving: bool = False


@attrs.frozen
class JoinReply:
    """Answers a :class:`JoinRequest`.

    :param replica_id: the offered seat, empty when there is none. For a process that
        is leaving: its seat if another process takes it over, else empty.
    :param leader_address: address of the leader, empty when it is not known.
    :param seats: address of each seat after the entries up to ``index``, as far as it
        is committed.
    :param index: last entry that the sender of the reply has applied.
    :param has_left: true when the seat is offered since its holder is stopping.
    :param holders: all seats with the last known address of the holder, committed or
        not; empty for a seat that was never held, None when the holder is unknown.
        Empty from an earlier version of the program.
    :param incarnations: incarnation of the holder of each of ``seats``. Empty from an
        earlier version of the program.
    """

    replica_id: str
    leader_address: str
    seats: dict[str, str]
    index: int
    has_left: bool = False
    holders: dict[str, str | None] = attrs.field(factory=dict)
    incarnations: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class Departure:
    """A backend server that takes no new work, as its node has acknowledged.

    :param started_ms: Unix time of its start, milliseconds.
    :param sequence: sequence of the report that it leaves, 0 when it has
        deregistered.
    :param has_deregistered: true when no later report of this start counts.
    """

    instance_id: str
    started_ms: int
    sequence: int = 0
    has_deregistered: bool = False

    @property
    def order(self) -> tuple[int, bool, int]:
        """Sort key of the departures of one instance; the greatest one counts."""
        return self.started_ms, self.has_deregistered, self.sequence


@attrs.frozen
class NoteDeparturesRequest:
    """Asks a replica to keep departures, and for all that it keeps for a node.

    :param node_id: node beside the backend servers; empty to ask for copies of the
        departures of all nodes.
    """

    node_id: str
    departures: tuple[Departure, ...] = ()


@attrs.frozen
class Group:
    """The replicas of the cluster, as the log of one of them tells.

    :param term: term of the last entry in the log; empty logs have term 0.
    :param index: index of that entry.
    :param incarnation: incarnation of the replica that describes the group.
    :param incarnations: latest incarnation of each replica, by replica id.
    """

    term: int
    index: int
    incarnation: int
    incarnations: dict[str, int]

    @property
    def order(self) -> tuple[int, int]:
        """Sort key; the newest description compares greatest."""
        return self.term, self.index


@attrs.frozen
class DeparturesReply:
    """Answers a :class:`NoteDeparturesRequest`.

    :param departures: all that the replica keeps for the node, on its disk.
    :param is_partial: true when departures that others keep may be missing.
    :param copies: departures of all nodes by node id, when they were asked for; None
        from an earlier version of the program.
    :param group: None from an earlier version of the program.
    """

    departures: tuple[Departure, ...]
    is_partial: bool = False
    copies: dict[str, tuple[Departure, ...]] | None = None
    group: Group | None = None


@attrs.frozen
class HistoryReply:
    """Answers a request for the history.

    :param version: table version of the replica.
    :param is_current: false when the replica may be behind or partitioned from the
        leader.
    :param changes: changes of the table, the latest first.
    """

    version: int
    is_current: bool
    changes: tuple[Change, ...]


@attrs.frozen
class ReplicaStatus:
    """State of one replica.

    :param role: ``leader``, ``candidate`` or ``follower``.
    :param claims: number of keys with a record.
    :param is_admitted: false until a replica with a new disk is admitted.
    :param is_current: false when the replica may be behind or partitioned from the
        leader.
    """

    replica_id: str
    role: str
    term: int
    leader_id: str
    last_index: int
    commit_index: int
    snapshot_index: int
    table_version: int
    claims: int
    is_admitted: bool
    is_current: bool
    incarnation: int
