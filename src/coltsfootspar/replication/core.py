"""State of one replica, shared by its election, leader and follower code."""

import enum
import math
import random
from collections.abc import Callable
from typing import Protocol

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import ColtsfootsparError, ReplicationError
from coltsfootspar.replication.commands import (
    Abandon,
    AdmitReplica,
    Claim,
    Command,
    Entry,
    Finish,
    Result,
)
from coltsfootspar.replication.identity import (
    Ballot,
    ReplicaIdentity,
    save_ballot,
    save_identity,
)
from coltsfootspar.replication.interfaces import Disk, ReplicaLink
from coltsfootspar.replication.log import ReplicaLog
from coltsfootspar.replication.messages import Group
from coltsfootspar.replication.snapshots import SnapshotStore
from coltsfootspar.replication.state import ReplicatedState
from coltsfootspar.wire import replication as codec

__all__ = ["LeaderTerm", "ReplicaCore", "ReplicaOptions", "Role"]


@attrs.frozen
class ReplicaOptions:
    """Timeouts of a replica and the thresholds for its snapshots.

    A snapshot is due after many entries or after many bytes of entries, whichever
    comes first, so that the log stays short however large its entries are. In
    either case the entries must also have a size in proportion to the last
    snapshot, which keeps a large state from being rewritten for every few of them.

    :param heartbeat_interval: time between two requests of the leader to a
        follower when there are no new entries, seconds.
    :param min_election_timeout: shortest election timeout, seconds.
    :param max_election_timeout: longest election timeout, seconds.
    :param snapshot_entries: number of entries applied since the last snapshot
        after which one is due.
    :param snapshot_log_bytes: size of these entries after which one is due.
    :param snapshot_log_ratio: least size of these entries relative to the size
        of the last snapshot.
    """

    heartbeat_interval: float = 0.25
    min_election_timeout: float = 1.0
    max_election_timeout: float = 2.0
    snapshot_entries: int = 1_000
    snapshot_log_bytes: int = 2 << 20
    snapshot_log_ratio: float = 0.5


class Role(enum.StrEnum):
    """Raft role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class LeaderTerm(Protocol):
    """Interface of the leader code that the core calls during a term as leader."""

    def stop(self) -> None:
        """Ends the term; the outcome of pending proposals is unknown."""

    async def propose(self, command: Command) -> Result:
        """Replicates a command and returns its result once it is applied."""

    async def transfer(self) -> None:
        """Hands the term over to a replica that has all entries."""

    def get_last_contact(self, replica_id: str) -> float:
        """Returns when a replica last answered a request."""

    def advance_commit_index(self) -> None:
        """Commits the entries that a majority has synced."""

    def complete_proposal(self, index: int, result: Result) -> None:
        """Passes the result of an applied entry to the task that proposed it."""


@attrs.define(eq=False)
class ReplicaCore:
    """Term, vote, log, applied state and role of one replica.

    :param find_address: returns the address of a replica, which the leader
        records with its admission; empty when the settings name the addresses.
    :param address: address of this replica, which the leader records; empty when the
        settings name the addresses.
    :param applied_bytes: size of the entries applied since the last snapshot.
    :param last_leader_contact: trio clock at the last request of a leader,
        seconds.
    :param last_leader_id: replica that sent this request, or None.
    :param last_caught_up: trio clock at which the replica last had applied every
        entry that the leader had committed, seconds.
    :param election_timer_start: trio clock at which the election timeout began,
        seconds.
    :param leader_term: the leader code while this replica is the leader, or None.
    :param failure: error that stopped the replica, or None.
    :param failed: set when ``failure`` is.
    :param admitted: set once the replica may vote.
    :param table_changed: set, then replaced, when the table or the routes have a
        new version, and when the replica loses contact with the leader.
    :param needs_snapshot: set when a snapshot is due.
    :param is_retiring: true when this replica must not become leader any more.
    :param campaign_requested: set when the leader hands its term over to this replica.
    """

    options: ReplicaOptions
    replica_ids: tuple[str, ...]
    disk: Disk
    link: ReplicaLink
    random: random.Random
    clock: Callable[[], float]
    identity: ReplicaIdentity
    ballot: Ballot
    log: ReplicaLog
    snapshots: SnapshotStore
    state: ReplicatedState
    commit_index: int
    find_address: Callable[[str], str] = lambda replica_id: ""
    address: str = ""
    applied_bytes: int = 0
    role: Role = Role.FOLLOWER
    leader_id: str | None = None
    last_leader_contact: float = -float("inf")
    last_leader_id: str | None = None
    last_caught_up: float = -float("inf")
    election_timer_start: float = attrs.field(factory=trio.current_time)
    leader_term: LeaderTerm | None = None
    failure: ColtsfootsparError | None = None
    failed: trio.Event = attrs.field(factory=trio.Event)
    admitted: trio.Event = attrs.field(factory=trio.Event)
    table_changed: trio.Event = attrs.field(factory=trio.Event)
    needs_snapshot: trio.Event = attrs.field(factory=trio.Event)
    is_retiring: bool = False
    campaign_requested: trio.Event = attrs.field(factory=trio.Event)
    _claim_events: dict[str, trio.Event] = attrs.field(factory=dict)
    _ballot_lock: trio.Lock = attrs.field(factory=trio.Lock)

    @property
    def replica_id(self) -> str:
        """Id of this replica in the cluster."""
        return self.identity.replica_id

    @property
    def peer_ids(self) -> tuple[str, ...]:
        """Ids of the other replicas."""
        return tuple(name for name in self.replica_ids if name != self.replica_id)

    @property
    def majority(self) -> int:
        """Number of replicas that form a majority."""
        return len(self.replica_ids) // 2 + 1

    @property
    def term(self) -> int:
        """Highest term that this replica has seen."""
        return self.ballot.term

    @property
    def is_current(self) -> bool:
        """False when the applied state may be stale.

        A follower may be behind or partitioned from the leader.
        """
        return trio.current_time() < self.current_until

    @property
    def current_until(self) -> float:
        """Trio clock until which the applied state counts as current, seconds.

        It moves on with each request of the leader.
        """
        if self.role is Role.LEADER:
            # Until an entry of its own term is committed, a new leader may not
            # know which entries of earlier terms are committed.
            return math.inf if self.state.term == self.term else -math.inf
        return self.last_caught_up + self.options.max_election_timeout

    async def wait_table_change(self) -> None:
        """Waits until the table or the routes change, or may have become stale."""
        with trio.move_on_at(self.current_until):
            await self.table_changed.wait()

    def fail(self, error: ColtsfootsparError) -> None:
        """Stops the replica; from then on it fails every request with the error."""
        if self.failure is None:
            logging.error("Replica %s stops: %s", self.replica_id, error)
            self.failure = error
            self.step_down(None)
            self.failed.set()

    def check_failure(self) -> None:
        """Raises the error that stopped the replica, if there is one."""
        if self.failure is not None:
            raise self.failure

    def step_down(self, leader_id: str | None) -> None:
        """Becomes a follower and ends this replica's term as leader, if any.

        :param leader_id: leader to follow, or None when it is not known.
        """
        leader_term, self.leader_term = self.leader_term, None
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        if leader_term is not None:
            self.election_timer_start = trio.current_time()
            leader_term.stop()
            self.wake_watchers()

    async def adopt_term(self, term: int) -> None:
        """Persists a higher term and becomes a follower in it."""
        async with self._ballot_lock:
            if term > self.term:
                self.step_down(None)
                await self._save_ballot(Ballot(term))

    async def vote(self, term: int, candidate_id: str, last: tuple[int, int]) -> bool:
        """Votes for a candidate and persists the vote, at most once in a term.

        :param last: term and index of the candidate's last entry.
        :returns: true when the vote in this term is for the candidate.
        """
        async with self._ballot_lock:
            if term != self.term or not self.is_candidate_up_to_date(last):
                return False
            if self.ballot.voted_for is None:
                await self._save_ballot(Ballot(term, candidate_id))
                self.election_timer_start = trio.current_time()
            return self.ballot.voted_for == candidate_id

    async def start_candidacy(self, term: int) -> bool:
        """Becomes a candidate in a new term and persists the vote for itself.

        :param term: term for which the pre-vote was won.
        :returns: false when the term has changed since the pre-vote.
        """
        async with self._ballot_lock:
            if self.term != term - 1 or self.role is Role.LEADER:
                return False
            self.step_down(None)
            self.role = Role.CANDIDATE
            await self._save_ballot(Ballot(term, self.replica_id))
            return True

    async def complete_admission(
        self, term: int, leader_id: str, cluster_id: str
    ) -> None:
        """Lets this replica vote, once its admission is synced and applied.

        Records a vote for the leader in the leader's term, because the lost disk
        may have held a vote in that term.

        :param cluster_id: id of the cluster that admitted the replica.
        """
        async with self._ballot_lock:
            admitted_incarnation = self.state.replica_incarnations.get(self.replica_id)
            if (
                self.identity.is_admitted
                or admitted_incarnation != self.identity.incarnation
            ):
                return
            if term != self.term:
                return
            await self._save_ballot(Ballot(term, leader_id))
            identity = attrs.evolve(
                self.identity,
                cluster_id=cluster_id,
                is_admitted=True,
                admitted_index=self.state.index,
            )
            with trio.CancelScope(shield=True):
                await save_identity(self.disk, identity)
            self.identity = identity
        logging.info("Replica %s is admitted and may vote", self.replica_id)
        self.election_timer_start = trio.current_time()
        self.admitted.set()

    def is_candidate_up_to_date(self, last: tuple[int, int]) -> bool:
        """Returns true when a candidate's log is at least as up to date as this one.

        :param last: term and index of the candidate's last entry.
        """
        return last >= (self.log.last_term, self.log.last_index)

    def list_unapplied_admissions(self) -> dict[str, tuple[int, int]]:
        """Returns the latest admission of each replica that is not applied yet.

        :returns: index and incarnation by replica id.
        """
        admissions = {}
        for index in range(self.state.index + 1, self.log.last_index + 1):
            command = codec.decode_command(self.log.get_entry(index).data)
            if isinstance(command, AdmitReplica):
                admissions[command.replica_id] = (index, command.incarnation)
        return admissions

    def list_incarnations(self) -> dict[str, int]:
        """Returns the incarnation under which each replica was last admitted.

        The last admission in the log counts, committed or not, because an earlier
        incarnation may be that of a disk that was replaced.
        """
        pending = self.list_unapplied_admissions()
        return {
            name: pending[name][1]
            if name in pending
            else self.state.get_incarnation(name)
            for name in self.replica_ids
        }

    def describe_group(self) -> Group:
        """Describes the replicas of the cluster."""
        return Group(
            self.log.last_term,
            self.log.last_index,
            self.identity.incarnation,
            self.list_incarnations(),
        )

    def commit(self, index: int) -> None:
        """Applies all entries up to a committed index."""
        self.commit_index = max(self.commit_index, index)
        version = self._table_versions
        try:
            while self.state.index < self.commit_index:
                self._apply(self.log.get_entry(self.state.index + 1))
        except ReplicationError as error:
            self.fail(error)
        if self._table_versions != version:
            self.wake_watchers()
        if self._is_snapshot_due():
            self.needs_snapshot.set()

    async def install_snapshot(self, state: ReplicatedState) -> None:
        """Replaces the state by that of a snapshot which the leader sent.

        Does nothing when the present state is as new.

        :param state: content of the snapshot, which must be durable already.
        """
        if state.index <= self.state.index:
            return
        self.state = state
        self.applied_bytes = 0
        self.commit_index = max(self.commit_index, state.index)
        self.wake_watchers()
        for key in list(self._claim_events):
            self._wake_claim(key)
        if self.log.get_term(state.index) == state.term:
            await self.log.compact(state.index)
        else:
            await self.log.reset(state.index, state.term)

    def wake_watchers(self) -> None:
        """Wakes the tasks that watch the table or the routes."""
        self.table_changed.set()
        self.table_changed = trio.Event()

    def get_claim_event(self, key: str) -> trio.Event:
        """Returns the event that is set when the state of a key changes."""
        return self._claim_events.setdefault(key, trio.Event())

    def release_claim_event(self, key: str, event: trio.Event) -> None:
        """Removes an event of a key unless other tasks wait for it."""
        waiting_tasks = event.statistics().tasks_waiting
        if not waiting_tasks and self._claim_events.get(key) is event:
            del self._claim_events[key]

    @property
    def _table_versions(self) -> tuple[int, int]:
        return self.state.table.table.version, self.state.routes.table.version

    def _is_snapshot_due(self) -> bool:
        options = self.options
        entry_count = self.state.index - self.snapshots.index
        min_bytes = options.snapshot_log_ratio * self.snapshots.size
        is_long = (
            entry_count >= options.snapshot_entries
            or self.applied_bytes >= options.snapshot_log_bytes
        )
        return is_long and self.applied_bytes >= min_bytes

    def _apply(self, entry: Entry) -> None:
        command, result = self.state.apply(entry)
        self.applied_bytes += len(entry.data)
        if isinstance(command, Claim | Finish | Abandon):
            self._wake_claim(command.key)
        elif isinstance(command, AdmitReplica):
            self._check_replaced(command, entry.index)
        if self.leader_term is not None:
            self.leader_term.complete_proposal(entry.index, result)

    def _check_replaced(self, command: Command, index: int) -> None:
        identity = self.identity
        if (
            identity.is_admitted
            and command.replica_id == identity.replica_id
            and command.incarnation != identity.incarnation
            and index > identity.admitted_index
        ):
            raise ReplicationError(
                f"replica {identity.replica_id!r} was replaced by one with another "
                "disk; move this data folder away",
                code="replaced",
            )

    def _wake_claim(self, key: str) -> None:
        event = self._claim_events.pop(key, None)
        if event is not None:
            event.set()

    async def _save_ballot(self, ballot: Ballot) -> None:
        # Shielded, since a cancelled handler must not leave a vote in memory that
        # is not on disk.
        self.ballot = ballot
        with trio.CancelScope(shield=True):
            try:
                await save_ballot(self.disk, ballot)
            except ColtsfootsparError as error:
                self.fail(error)
                raise
