"""State of a replica that its election, leader and follower parts share."""

import enum
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
from coltsfootspar.replication.snapshots import SnapshotStore
from coltsfootspar.replication.state import ReplicatedState
from coltsfootspar.wire import replication as codec

__all__ = ["LeaderTerm", "ReplicaCore", "ReplicaOptions", "Role"]


@attrs.frozen
class ReplicaOptions:
    """Times and sizes of a replica.

    A snapshot waits until the log behind the last one has the given share of its
    size, so that a large state is not written again for every thousand small
    entries.

    :param heartbeat: time between two messages of the leader, seconds.
    :param election_minimum: shortest election timeout, seconds.
    :param election_maximum: longest election timeout, seconds.
    :param snapshot_entries: entries after which a snapshot is taken.
    :param snapshot_share: least size of these entries, as a share of the size of
        the last snapshot.
    """

    heartbeat: float = 0.25
    election_minimum: float = 1.0
    election_maximum: float = 2.0
    snapshot_entries: int = 1_000
    snapshot_share: float = 0.5


class Role(enum.StrEnum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class LeaderTerm(Protocol):
    """One term as leader, as the core sees it."""

    def stop(self) -> None:
        """Ends the term; proposals in progress have an unknown outcome."""

    async def propose(self, command: Command) -> Result:
        """Replicates a command and applies it."""

    def advance(self) -> None:
        """Commits what a majority has synced."""

    def resolve(self, index: int, result: Result) -> None:
        """Hands the result of an applied entry to whoever proposed it."""


@attrs.define(eq=False)
class ReplicaCore:
    """Term, log, state and role of one replica.

    :param find_address: address of a replica, recorded when it is admitted; empty
        when the settings name the addresses.
    :param applied_bytes: size of the entries applied since the last snapshot.
    :param leader_contact: trio clock at the last message of a leader, seconds.
    :param caught_up: trio clock when the replica had last applied all that the
        leader had committed, seconds.
    :param timer_start: trio clock from which the election timeout counts.
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
    applied_bytes: int = 0
    role: Role = Role.FOLLOWER
    leader_id: str | None = None
    leader_contact: float = -float("inf")
    caught_up: float = -float("inf")
    timer_start: float = attrs.field(factory=trio.current_time)
    leader_term: LeaderTerm | None = None
    failure: ColtsfootsparError | None = None
    failed: trio.Event = attrs.field(factory=trio.Event)
    admitted: trio.Event = attrs.field(factory=trio.Event)
    table_changed: trio.Event = attrs.field(factory=trio.Event)
    needs_snapshot: trio.Event = attrs.field(factory=trio.Event)
    _claim_events: dict[str, trio.Event] = attrs.field(factory=dict)
    _ballot_lock: trio.Lock = attrs.field(factory=trio.Lock)

    @property
    def replica_id(self) -> str:
        """Id of this replica."""
        return self.identity.replica_id

    @property
    def peer_ids(self) -> tuple[str, ...]:
        """Ids of the other replicas."""
        return tuple(name for name in self.replica_ids if name != self.replica_id)

    @property
    def majority(self) -> int:
        """Replicas that have to agree."""
        return len(self.replica_ids) // 2 + 1

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self.ballot.term

    @property
    def is_current(self) -> bool:
        """False when the replica may be cut off from the leader, or behind."""
        if self.role is Role.LEADER:
            # Until an entry of its own term is committed, a new leader may not
            # know which of the earlier ones are.
            return self.state.term == self.term
        age = trio.current_time() - self.caught_up
        return age < self.options.election_maximum

    def fail(self, error: ColtsfootsparError) -> None:
        """Stops the replica with an error; it answers nothing from now on."""
        if self.failure is None:
            logging.error("Replica %s stops: %s", self.replica_id, error)
            self.failure = error
            self.step_down(None)
            self.failed.set()

    def check_failure(self) -> None:
        """Raises the error that has stopped the replica."""
        if self.failure is not None:
            raise self.failure

    def step_down(self, leader_id: str | None) -> None:
        """Becomes a follower."""
        leader_term, self.leader_term = self.leader_term, None
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        if leader_term is not None:
            self.timer_start = trio.current_time()
            leader_term.stop()
            self.wake_watchers()

    async def adopt_term(self, term: int) -> None:
        """Moves to a higher term and makes it durable."""
        async with self._ballot_lock:
            if term > self.term:
                self.step_down(None)
                await self._save_ballot(Ballot(term))

    async def vote(self, term: int, candidate_id: str, last: tuple[int, int]) -> bool:
        """Votes for a candidate if that is allowed, durably.

        :param last: term and index of the candidate's last entry.
        """
        async with self._ballot_lock:
            if term != self.term or not self.is_log_covered(last):
                return False
            if self.ballot.voted_for is None:
                await self._save_ballot(Ballot(term, candidate_id))
                self.timer_start = trio.current_time()
            return self.ballot.voted_for == candidate_id

    async def start_candidacy(self, term: int) -> bool:
        """Moves to a new term with the own vote.

        :param term: the term that the other replicas have agreed to.
        :returns: false when a term has begun in the meantime.
        """
        async with self._ballot_lock:
            if self.term != term - 1 or self.role is Role.LEADER:
                return False
            self.step_down(None)
            self.role = Role.CANDIDATE
            await self._save_ballot(Ballot(term, self.replica_id))
            return True

    async def complete_admission(self, term: int, leader_id: str, cluster: str) -> None:
        """Begins to vote, once the own admission is in the synced log.

        The vote in the leader's term goes to the leader: the lost disk may have
        held a vote in that term.
        """
        async with self._ballot_lock:
            counted = self.state.replicas.get(self.replica_id)
            if self.identity.is_admitted or counted != self.identity.incarnation:
                return
            if term != self.term:
                return
            await self._save_ballot(Ballot(term, leader_id))
            identity = attrs.evolve(
                self.identity,
                cluster_id=cluster,
                is_admitted=True,
                admitted_index=self.state.index,
            )
            with trio.CancelScope(shield=True):
                await save_identity(self.disk, identity)
            self.identity = identity
        logging.info("Replica %s is admitted", self.replica_id)
        self.timer_start = trio.current_time()
        self.admitted.set()

    def is_log_covered(self, last: tuple[int, int]) -> bool:
        """Tells whether a candidate's log has all that the own log may need.

        :param last: term and index of the candidate's last entry.
        """
        return last >= (self.log.last_term, self.log.last_index)

    def list_unapplied_admissions(self) -> dict[str, tuple[int, int]]:
        """Finds the latest admission of each replica behind the applied entries.

        :returns: index and incarnation by replica id.
        """
        found = {}
        for index in range(self.state.index + 1, self.log.last_index + 1):
            command = codec.decode_command(self.log.get_entry(index).data)
            if isinstance(command, AdmitReplica):
                found[command.replica_id] = (index, command.incarnation)
        return found

    def commit(self, index: int) -> None:
        """Applies the entries up to an index that is known to be committed."""
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

    async def install(self, state: ReplicatedState) -> None:
        """Replaces the state by that of a durable snapshot of the leader."""
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
        """Wakes those who wait for a table version or for the loss of contact."""
        self.table_changed.set()
        self.table_changed = trio.Event()

    def get_claim_event(self, key: str) -> trio.Event:
        """Returns the event that is set when the state of a key changes."""
        return self._claim_events.setdefault(key, trio.Event())

    def drop_claim_event(self, key: str, event: trio.Event) -> None:
        """Forgets an event that nobody else waits for."""
        waits = event.statistics().tasks_waiting
        if not waits and self._claim_events.get(key) is event:
            del self._claim_events[key]

    @property
    def _table_versions(self) -> tuple[int, int]:
        return self.state.table.table.version, self.state.routes.table.version

    def _is_snapshot_due(self) -> bool:
        options = self.options
        behind = self.state.index - self.snapshots.index
        least_bytes = options.snapshot_share * self.snapshots.size
        return behind >= options.snapshot_entries and self.applied_bytes >= least_bytes

    def _apply(self, entry: Entry) -> None:
        command, result = self.state.apply(entry)
        self.applied_bytes += len(entry.data)
        if isinstance(command, Claim | Finish | Abandon):
            self._wake_claim(command.key)
        elif isinstance(command, AdmitReplica):
            self._check_replaced(command, entry.index)
        if self.leader_term is not None:
            self.leader_term.resolve(entry.index, result)

    def _check_replaced(self, command: Command, index: int) -> None:
        own = self.identity
        if (
            own.is_admitted
            and command.replica_id == own.replica_id
            and command.incarnation != own.incarnation
            and index > own.admitted_index
        ):
            raise ReplicationError(
                f"replica {own.replica_id!r} was replaced by one with another disk; "
                "move this data folder away",
                code="replaced",
            )

    def _wake_claim(self, key: str) -> None:
        event = self._claim_events.pop(key, None)
        if event is not None:
            event.set()

    async def _save_ballot(self, ballot: Ballot) -> None:
        # A cancelled handler must not leave a vote in memory that is not on disk.
        self.ballot = ballot
        with trio.CancelScope(shield=True):
            try:
                await save_ballot(self.disk, ballot)
            except ColtsfootsparError as error:
                self.fail(error)
                raise
