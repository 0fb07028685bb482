"""One term as leader: proposals, replication to each peer and the quorum check."""

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import (
    FrameError,
    LinkError,
    NoQuorumError,
    NotLeaderError,
    ReplicationError,
)
from coltsfootspar.replication.commands import (
    MAX_COMMAND_BYTES,
    AdmitReplica,
    Command,
    Entry,
    Expire,
    NoOperation,
    Result,
)
from coltsfootspar.replication.core import ReplicaCore, Role
from coltsfootspar.replication.messages import (
    AppendReply,
    AppendRequest,
    InstallReply,
    InstallRequest,
    VoteRequest,
)
from coltsfootspar.timers import TimerService
from coltsfootspar.wire import FrameKind, Message, replication as codec

__all__ = ["Leadership", "create_leadership"]

_MAX_BATCH_ENTRIES = 512
_MAX_BATCH_BYTES = 256 << 10
_SNAPSHOT_CHUNK_BYTES = 256 << 10
_MAX_PENDING_PROPOSALS = 4_096
_MAX_UNAPPLIED_BYTES = 32 << 20
_REQUEST_TIMEOUT_SECONDS = 0.5
_MAX_REQUEST_TIMEOUT_SECONDS = 4.0
_MS_PER_SECOND = 1_000
_TRANSFER_POLL_SECONDS = 0.05
# Time in which the replica that takes the term over is elected.
_TRANSFER_WAIT_SECONDS = 0.3


@attrs.define(eq=False)
class _Proposal:
    done: trio.Event = attrs.field(factory=trio.Event)
    is_committed: bool = False
    result: Result = None


@attrs.define(eq=False)
class _Peer:
    """Replication progress of another replica.

    :param next_index: index of the next entry to send.
    :param last_contact: trio clock at which the last answered request was sent,
        seconds.
    :param match_index: last entry that the replica has synced and that equals the
        leader's.
    :param incarnation: incarnation in the last reply, -1 before the first.
    :param address: address in the last reply; empty when it names none.
    :param request_timeout: timeout of the next request, seconds; doubles after
        each request without a reply, so that requests also succeed over a slow
        link.
    :param new_entries: set when there are entries to send.
    """

    replica_id: str
    next_index: int
    last_contact: float
    match_index: int = 0
    incarnation: int = -1
    is_admitted: bool = False
    address: str = ""
    request_timeout: float = _REQUEST_TIMEOUT_SECONDS
    new_entries: trio.Event = attrs.field(factory=trio.Event)


@attrs.define(eq=False)
class Leadership:
    """Leads the cluster in one term.

    :param _admissions: index and incarnation of each replica's admission that is
        in the log but not yet applied.
    :param requests_sent: requests sent to the other replicas in this term.
    :param _is_transferring: true while another replica is to take the term over.
    :param _former_leader: id of the leader before this term, and trio clock of its
        last request.
    :param _unapplied_sizes: size in bytes of each entry of this term that is not yet
        applied, by index.
    :param _unapplied_bytes: sum of these sizes.
    """

    term: int
    _core: ReplicaCore
    _timers: TimerService
    _peers: dict[str, _Peer]
    _admissions: dict[str, tuple[int, int]]
    requests_sent: int = 0
    _proposals: dict[int, _Proposal] = attrs.field(factory=dict)
    _is_transferring: bool = False
    _former_leader: tuple[str | None, float] = (None, 0.0)
    _unapplied_sizes: dict[int, int] = attrs.field(factory=dict)
    _unapplied_bytes: int = 0
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        """Replicates the log until :meth:`stop` or the loss of the quorum."""
        # Entries of earlier terms must not be committed by counting replicas. They
        # are committed together with this entry of the new term.
        self._append(NoOperation())
        core = self._core
        self._record_address(core.replica_id, core.identity.incarnation, core.address)
        with self._scope:
            async with trio.open_nursery() as nursery:
                for peer in self._peers.values():
                    nursery.start_soon(self._replicate, peer)
                nursery.start_soon(self._check_quorum_and_expiry)

    def stop(self) -> None:
        """Ends the term; the outcome of pending proposals is unknown."""
        self._scope.cancel()
        for proposal in self._proposals.values():
            proposal.done.set()
        self._proposals.clear()

    @property
    def is_active(self) -> bool:
        """False once the term is over.

        A task that was ready to run when the term ended continues to its next
        checkpoint. It must check this before it changes the log.
        """
        return self._core.leader_term is self

    async def propose(self, command: Command) -> Result:
        """Replicates a command and returns its result once it is applied.

        :raises NotLeaderError: when the term is over; the command is not run.
        :raises NoQuorumError: when the term ends before the command is committed,
            or when too many proposals are pending.
        :raises ReplicationError: when the command is too large.
        """
        core = self._core
        if not self.is_active:
            raise NotLeaderError("the term as leader is over", leader_id=core.leader_id)
        if self._is_transferring:
            raise NoQuorumError("the leader hands its term over", may_have_run=False)
        if len(self._proposals) >= _MAX_PENDING_PROPOSALS:
            raise NoQuorumError("too many proposals are pending", may_have_run=False)
        if self._unapplied_bytes >= _MAX_UNAPPLIED_BYTES:
            raise NoQuorumError(
                "the pending proposals are too large", may_have_run=False
            )
        proposal = _Proposal()
        index = self._append(command, proposal)
        try:
            await proposal.done.wait()
        finally:
            self._proposals.pop(index, None)
        if not proposal.is_committed:
            raise NoQuorumError(
                "the term of the leader ended before the command was committed",
                may_have_run=True,
            )
        return proposal.result

    def get_last_contact(self, replica_id: str) -> float:
        """Returns when a replica last answered a request.

        A replica that has not answered in this term counts from the begin of the
        term; if it was the leader before, from its last request.

        :returns: trio clock at which the answered request was sent, seconds; the
            present time for a replica that is not a peer.
        """
        peer = self._peers.get(replica_id)
        if peer is None:
            return trio.current_time()
        former_id, former_contact = self._former_leader
        has_answered = peer.incarnation >= 0
        return (
            former_contact
            if replica_id == former_id and not has_answered
            else peer.last_contact
        )

    async def transfer(self) -> None:
        """Hands the term over to a replica that has all entries.

        Takes no proposals meanwhile. Returns once the term is over; does not return
        while no other replica can take it over.
        """
        self._is_transferring = True
        try:
            while self.is_active:
                peer = self._find_successor()
                is_accepted = peer is not None and await self._request_campaign(peer)
                await trio.sleep(
                    _TRANSFER_WAIT_SECONDS if is_accepted else _TRANSFER_POLL_SECONDS
                )
        finally:
            self._is_transferring = False

    def _find_successor(self) -> _Peer | None:
        last_index = self._core.log.last_index
        peers = [
            peer
            for peer in self._peers.values()
            if peer.match_index == last_index and self._counts_toward_quorum(peer)
        ]
        return max(peers, key=lambda peer: peer.last_contact, default=None)

    async def _request_campaign(self, peer: _Peer) -> bool:
        log = self._core.log
        request = VoteRequest(
            self.term, self._core.replica_id, log.last_index, log.last_term
        )
        message = codec.encode_vote(FrameKind.CAMPAIGN, request)
        try:
            reply = codec.decode_vote_reply(await self._request(peer, message))
        except (LinkError, FrameError) as error:
            logging.info("%s did not take the term over: %s", peer.replica_id, error)
            return False
        return reply.is_granted

    def complete_proposal(self, index: int, result: Result) -> None:
        """Passes the result of an applied entry to the task that proposed it."""
        self._unapplied_bytes -= self._unapplied_sizes.pop(index, 0)
        proposal = self._proposals.get(index)
        if proposal is not None:
            proposal.result = result
            proposal.is_committed = True
            proposal.done.set()

    def advance_commit_index(self) -> None:
        """Commits the entries that a majority has synced."""
        core = self._core
        if not self.is_active:
            return
        match_indexes = [core.log.synced_index]
        for peer in self._peers.values():
            match_indexes.append(
                peer.match_index if self._counts_toward_quorum(peer) else 0
            )
        index = sorted(match_indexes, reverse=True)[core.majority - 1]
        if index > core.commit_index and core.log.get_term(index) == self.term:
            core.commit(index)

    def _append(self, command: Command, proposal: _Proposal | None = None) -> int:
        core = self._core
        data = codec.encode_command(command)
        if len(data) > MAX_COMMAND_BYTES:
            raise ReplicationError(
                f"command of {len(data)} bytes exceeds the limit of "
                f"{MAX_COMMAND_BYTES} bytes",
                code="command-size",
            )
        index = core.log.last_index + 1
        time_ms = max(core.state.time_ms, int(core.clock() * _MS_PER_SECOND))
        if proposal is not None:
            self._proposals[index] = proposal
        self._unapplied_sizes[index] = len(data)
        self._unapplied_bytes += len(data)
        core.log.append([Entry(index, self.term, time_ms, data)])
        for peer in self._peers.values():
            peer.new_entries.set()
        return index

    def _counts_toward_quorum(self, peer: _Peer) -> bool:
        pending = self._admissions.get(peer.replica_id)
        if pending is not None:
            index, incarnation = pending
            if index > self._core.state.index:
                # A replica counts itself as admitted only once it has applied its
                # admission, which proves that a majority of the others has synced it.
                return peer.is_admitted and peer.incarnation == incarnation
            del self._admissions[peer.replica_id]
        admitted_incarnation = self._core.state.get_incarnation(peer.replica_id)
        return peer.is_admitted and peer.incarnation == admitted_incarnation

    async def _replicate(self, peer: _Peer) -> None:
        core = self._core
        while self.is_active:
            peer.new_entries = trio.Event()
            start = trio.current_time()
            try:
                if peer.next_index < core.log.first_index:
                    await self._send_snapshot(peer)
                else:
                    await self._send_entries(peer)
            except (LinkError, FrameError):
                peer.request_timeout = min(
                    peer.request_timeout * 2, _MAX_REQUEST_TIMEOUT_SECONDS
                )
                await trio.sleep_until(start + core.options.heartbeat_interval)
                continue
            peer.request_timeout = _REQUEST_TIMEOUT_SECONDS
            if core.log.last_index < peer.next_index:
                with trio.move_on_at(start + core.options.heartbeat_interval):
                    await peer.new_entries.wait()

    async def _send_entries(self, peer: _Peer) -> None:
        core = self._core
        previous = peer.next_index - 1
        request = AppendRequest(
            self.term,
            core.replica_id,
            previous,
            core.log.get_term(previous),
            core.commit_index,
            core.identity.cluster_id,
            core.log.list_entries(
                peer.next_index, _MAX_BATCH_ENTRIES, _MAX_BATCH_BYTES
            ),
        )
        start = trio.current_time()
        response = await self._request(peer, codec.encode_append(request))
        reply = codec.decode_append_reply(response)
        await self._check_term(reply)
        if self.is_active:
            self._record_reply(peer, reply, start)

    def _record_reply(self, peer: _Peer, reply: AppendReply, start: float) -> None:
        if reply.incarnation != peer.incarnation:
            peer.incarnation, peer.match_index = reply.incarnation, 0
        peer.is_admitted, peer.address = reply.is_admitted, reply.address
        if reply.is_accepted:
            peer.match_index = max(peer.match_index, reply.match_index)
            peer.next_index = reply.match_index + 1
        else:
            last = self._core.log.last_index
            peer.next_index = max(1, min(reply.next_index, last + 1))
        if self._counts_toward_quorum(peer):
            peer.last_contact = start
            self._record_address(peer.replica_id, peer.incarnation, peer.address)
        elif not peer.is_admitted:
            self._admit(peer)
        self.advance_commit_index()

    def _admit(self, peer: _Peer) -> None:
        core = self._core
        pending = self._admissions.get(peer.replica_id)
        admitted_incarnation = (
            pending[1] if pending else core.state.get_incarnation(peer.replica_id)
        )
        if admitted_incarnation != peer.incarnation:
            address = peer.address or core.find_address(peer.replica_id)
            self._append_admission(peer.replica_id, peer.incarnation, address)

    def _record_address(self, replica_id: str, incarnation: int, address: str) -> None:
        """Records where a replica listens, unless this is known or under way.

        The replicas of a new cluster are recorded in its first term, so that each
        host admitted later learns of all of them.

        :param incarnation: incarnation under which the replica is admitted.
        :param address: address that the replica names; empty when it names none.
        """
        index, _ = self._admissions.get(replica_id, (0, 0))
        seats = self._core.state.seats
        is_pending = index > self._core.state.index
        if address and not is_pending and seats.get(replica_id) != address:
            self._append_admission(replica_id, incarnation, address)

    def _append_admission(
        self, replica_id: str, incarnation: int, address: str
    ) -> None:
        index = self._append(AdmitReplica(replica_id, incarnation, address))
        self._admissions[replica_id] = (index, incarnation)

    async def _send_snapshot(self, peer: _Peer) -> None:
        core = self._core
        index, term, data = await core.snapshots.read_bytes()
        offset = 0
        while True:
            chunk = data[offset : offset + _SNAPSHOT_CHUNK_BYTES]
            request = InstallRequest(
                self.term,
                core.replica_id,
                index,
                term,
                offset,
                len(data),
                core.identity.cluster_id,
                chunk,
            )
            start = trio.current_time()
            response = await self._request(peer, codec.encode_install(request))
            reply = codec.decode_install_reply(response)
            await self._check_term(reply)
            if self._counts_toward_quorum(peer):
                peer.last_contact = start
            if reply.is_installed:
                peer.next_index = index + 1
                return
            offset = reply.next_offset

    async def _request(self, peer: _Peer, message: Message) -> Message:
        self.requests_sent += 1
        with trio.move_on_after(peer.request_timeout):
            return await self._core.link.request(peer.replica_id, message)
        raise LinkError(
            f"replica {peer.replica_id} did not answer in time", may_have_run=True
        )

    async def _check_term(self, reply: AppendReply | InstallReply) -> None:
        if reply.term > self.term:
            with trio.CancelScope(shield=True):
                await self._core.adopt_term(reply.term)
        await trio.lowlevel.checkpoint()

    async def _check_quorum_and_expiry(self) -> None:
        core = self._core
        ticks = self._timers.subscribe(core.options.heartbeat_interval)
        try:
            async for now in ticks:
                if not self.is_active:
                    return
                if not self._has_quorum(now):
                    core.step_down(None)
                    return
                self._propose_expiry()
        finally:
            ticks.cancel()

    def _has_quorum(self, now: float) -> bool:
        """Returns true if a majority answered within the longest election timeout."""
        oldest_contact = now - self._core.options.max_election_timeout
        reachable = sum(
            peer.last_contact >= oldest_contact for peer in self._peers.values()
        )
        return reachable + 1 >= self._core.majority

    def _propose_expiry(self) -> None:
        core = self._core
        due = core.state.claims.next_expiry_ms
        is_idle = core.log.last_index == core.state.index
        if due is not None and is_idle and due <= core.clock() * _MS_PER_SECOND:
            self._append(Expire())


def create_leadership(core: ReplicaCore, timers: TimerService) -> Leadership:
    """Makes the replica leader of the term in which it won the election."""
    now = trio.current_time()
    next_index = core.log.last_index + 1
    peers = {name: _Peer(name, next_index, now) for name in core.peer_ids}
    admissions = core.list_unapplied_admissions()
    former_leader = (core.last_leader_id, core.last_leader_contact)
    leadership = Leadership(
        core.term, core, timers, peers, admissions, former_leader=former_leader
    )
    core.role = Role.LEADER
    core.leader_id = core.replica_id
    core.leader_term = leadership
    return leadership
