"""Messages between replicas, and between replicas and their clients."""

import enum

import attrs

from coltsfootspar.replication.commands import Change, Entry, Result

__all__ = [
    "AppendReply",
    "AppendRequest",
    "HistoryReply",
    "InstallReply",
    "InstallRequest",
    "JoinReply",
    "JoinRequest",
    "ProposeReply",
    "ProposeStatus",
    "ReplicaStatus",
    "TableReply",
    "VoteReply",
    "VoteRequest",
]


@attrs.frozen
class VoteRequest:
    """Asks for a vote, or before that whether a vote would be granted."""

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
    """Carries entries, and the leader's heartbeat when there are none."""

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
    :param next_index: where the leader should continue after a mismatch.
    :param is_admitted: false while the replica has a new disk.
    """

    term: int
    is_accepted: bool
    match_index: int
    next_index: int
    incarnation: int
    is_admitted: bool


@attrs.frozen
class InstallRequest:
    """Carries a part of a snapshot.

    :param offset: position of the part, bytes.
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

    :param next_offset: position of the part that is expected next, bytes.
    """

    term: int
    next_offset: int
    is_installed: bool


class ProposeStatus(enum.StrEnum):
    """What became of a proposal."""

    COMMITTED = "committed"
    NOT_LEADER = "not-leader"
    BUSY = "busy"
    UNKNOWN = "unknown"


@attrs.frozen
class ProposeReply:
    """Answers a proposal.

    :param leader_id: replica believed to be the leader, or empty.
    """

    status: ProposeStatus
    leader_id: str = ""
    message: str = ""
    result: Result = None


@attrs.frozen
class TableReply:
    """Answers a read or a watch of the table.

    :param is_current: false when the replica may be cut off from the leader.
    :param table_data: encoded table, empty when there is no newer version.
    """

    version: int
    is_current: bool
    table_data: bytes = b""


@attrs.frozen
class JoinRequest:
    """Asks for a seat in the cluster.

    :param address: where the process listens for the other replicas.
    """

    address: str
    process_id: str


@attrs.frozen
class JoinReply:
    """Answers a :class:`JoinRequest`.

    :param replica_id: the seat that is offered, empty when none is free.
    :param leader_address: where to ask instead, empty when it is not known.
    :param seats: address of each seat after the entries up to the index.
    :param index: last entry that the answering replica has applied.
    """

    replica_id: str
    leader_address: str
    seats: dict[str, str]
    index: int


@attrs.frozen
class HistoryReply:
    """Answers a request for changes, the latest first.

    :param version: table version of the replica.
    :param is_current: false when the replica may be cut off from the leader.
    """

    version: int
    is_current: bool
    changes: tuple[Change, ...]


@attrs.frozen
class ReplicaStatus:
    """State of one replica.

    :param role: ``leader``, ``candidate`` or ``follower``.
    :param claims: keys that are kept.
    :param is_admitted: false while the replica has a new disk.
    :param is_current: false when the replica may be cut off from the leader.
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
