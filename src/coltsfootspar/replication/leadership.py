"""One term as leader: proposals, one task for each peer, check of the quorum."""

import attrs
import trio

from coltsfootspar.exceptions import (
    FrameError,
    LinkError,
    NoQuorumError,
    NotLeaderError,
    ReplicationError,
)
from coltsfootspar.replication.commands import (
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
)
from coltsfootspar.timers import TimerService
from coltsfootspar.wire import Message, replication as codec

__all__ = ["MAX_COMMAND_BYTES", "Leadership", "create_leadership"]

MAX_COMMAND_BYTES = 8 << 20
_MAX_BATCH_ENTRIES = 512
_MAX_BATCH_BYTES = 256 << 10
_CHUNK_BYTES = 256 << 10
_MAX_BACKLOG = 4_096
_REQUEST_SECONDS = 0.5
_MAX_REQUEST_SECONDS = 4.0
_MS = 1_000


@attrs.define(eq=False)
class _Proposal:
    done: trio.Event = attrs.field(factory=trio.Event)
    is_committed: bool = False
    result: Result = None


@attrs.define(eq=False)
class _Peer:
    """What the leader knows of another replica.

    :param contact: trio clock when the last answered request was sent, seconds.
    :param timeout: time limit of the next request; doubles after each one that
        got no answer, so that a slow link gets through.
    """

    replica_id: str
    next_index: int
    contact: float
    match_index: int = 0
    incarnation: int = -1
    is_admitted: bool = False
    timeout: float = _REQUEST_SECONDS
    wake: trio.Event = attrs.field(factory=trio.Event)


@attrs.define(eq=False)
class Leadership:
    """Leads the replicas in one term.

    :param messages: requests sent to other replicas.
    """

    term: int
    _core: ReplicaCore
    _timers: TimerService
    _peers: dict[str, _Peer]
    _admissions: dict[str, tuple[int, int]]
    messages: int = 0
    _proposals: dict[int, _Proposal] = attrs.field(factory=dict)
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        """Leads until :meth:`stop`."""
        # Commits the entries of earlier terms, which alone must not be counted.
        self._append(NoOperation())
        with self._scope:
            async with trio.open_nursery() as nursery:
                for peer in self._peers.values():
                    nursery.start_soon(self._replicate, peer)
                nursery.start_soon(self._check_periodically)

    def stop(self) -> None:
        """Ends the term; proposals in progress have an unknown outcome."""
        self._scope.cancel()
        for proposal in self._proposals.values():
            proposal.done.set()
        self._proposals.clear()

    @property
    def is_active(self) -> bool:
        """False once the term is over.

        A task that was about to run when the term ended runs on to its next
        checkpoint, and must not touch the log.
        """
        return self._core.leader_term is self

    async def propose(self, command: Command) -> Result:
        """Replicates a command and applies it.

        :raises NotLeaderError: when the term is over; the command is not run.
        :raises NoQuorumError: when the term ends before it is committed, or too
            many proposals wait.
        """
        core = self._core
        if not self.is_active:
            raise NotLeaderError("the term is over", leader_id=core.leader_id)
        if len(self._proposals) >= _MAX_BACKLOG:
            raise NoQuorumError("too many proposals wait", may_have_run=False)
        proposal = _Proposal()
        index = self._append(command, proposal)
        try:
            await proposal.done.wait()
        finally:
            self._proposals.pop(index, None)
        if not proposal.is_committed:
            raise NoQuorumError(
                "the leader lost its majority before the command was committed",
                may_have_run=True,
            )
        return proposal.result

    def get_contact(self, replica_id: str) -> float:
        """Returns when a replica last answered.

        :returns: trio clock at which the answered request was sent, seconds.
        """
        peer = self._peers.get(replica_id)
        return peer.contact if peer is not None else trio.current_time()

    def resolve(self, index: int, result: Result) -> None:
        """Hands the result of an applied entry to whoever proposed it."""
        proposal = self._proposals.get(index)
        if proposal is not None:
            proposal.result = result
            proposal.is_committed = True
            proposal.done.set()

    def advance(self) -> None:
        """Commits what a majority has synced."""
        core = self._core
        if not self.is_active:
            return
        matches = [core.log.synced_index]
        for peer in self._peers.values():
            matches.append(peer.match_index if self._is_counted(peer) else 0)
        index = sorted(matches, reverse=True)[core.majority - 1]
        if index > core.commit_index and core.log.get_term(index) == self.term:
            core.commit(index)

    def _append(self, command: Command, proposal: _Proposal | None = None) -> int:
        core = self._core
        data = codec.encode_command(command)
        if len(data) > MAX_COMMAND_BYTES:
            raise ReplicationError(
                f"command of {len(data)} bytes exceeds {MAX_COMMAND_BYTES}",
                code="command-size",
            )
        index = core.log.last_index + 1
        time_ms = max(core.state.time_ms, int(core.clock() * _MS))
        if proposal is not None:
            self._proposals[index] = proposal
        core.log.append([Entry(index, self.term, time_ms, data)])
        for peer in self._peers.values():
            peer.wake.set()
        return index

    def _is_counted(self, peer: _Peer) -> bool:
        pending = self._admissions.get(peer.replica_id)
        if pending is not None:
            if pending[0] > self._core.state.index:
                return False
            del self._admissions[peer.replica_id]
        counted = self._core.state.get_incarnation(peer.replica_id)
        return peer.is_admitted and peer.incarnation == counted

    async def _replicate(self, peer: _Peer) -> None:
        core = self._core
        while self.is_active:
            peer.wake = trio.Event()
            start = trio.current_time()
            try:
                if peer.next_index < core.log.first_index:
                    await self._send_snapshot(peer)
                else:
                    await self._send_entries(peer)
            except (LinkError, FrameError):
                peer.timeout = min(peer.timeout * 2, _MAX_REQUEST_SECONDS)
                await trio.sleep_until(start + core.options.heartbeat)
                continue
            peer.timeout = _REQUEST_SECONDS
            if core.log.last_index < peer.next_index:
                with trio.move_on_at(start + core.options.heartbeat):
                    await peer.wake.wait()

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
        answer = await self._request(peer, codec.encode_append(request))
        reply = codec.decode_append_reply(answer)
        await self._check_term(reply)
        if self.is_active:
            self._record_reply(peer, reply, start)

    def _record_reply(self, peer: _Peer, reply: AppendReply, start: float) -> None:
        if reply.incarnation != peer.incarnation:
            peer.incarnation, peer.match_index = reply.incarnation, 0
        peer.is_admitted = reply.is_admitted
        if reply.is_accepted:
            peer.match_index = max(peer.match_index, reply.match_index)
            peer.next_index = reply.match_index + 1
        else:
            last = self._core.log.last_index
            peer.next_index = max(1, min(reply.next_index, last + 1))
        if self._is_counted(peer):
            peer.contact = start
        elif not peer.is_admitted:
            self._admit(peer)
        self.advance()

    def _admit(self, peer: _Peer) -> None:
        core = self._core
        pending = self._admissions.get(peer.replica_id)
        known = pending[1] if pending else core.state.get_incarnation(peer.replica_id)
        if known != peer.incarnation:
            address = core.find_address(peer.replica_id)
            command = AdmitReplica(peer.replica_id, peer.incarnation, address)
            index = self._append(command)
            self._admissions[peer.replica_id] = (index, peer.incarnation)

    async def _send_snapshot(self, peer: _Peer) -> None:
        core = self._core
        index, term, data = await core.snapshots.read_bytes()
        offset = 0
        while True:
            part = data[offset : offset + _CHUNK_BYTES]
            request = InstallRequest(
                self.term,
                core.replica_id,
                index,
                term,
                offset,
                len(data),
                core.identity.cluster_id,
                part,
            )
            start = trio.current_time()
            answer = await self._request(peer, codec.encode_install(request))
            reply = codec.decode_install_reply(answer)
            await self._check_term(reply)
            if self._is_counted(peer):
                peer.contact = start
            if reply.is_installed:
                peer.next_index = index + 1
                return
            offset = reply.next_offset

    async def _request(self, peer: _Peer, message: Message) -> Message:
        self.messages += 1
        with trio.move_on_after(peer.timeout):
            return await self._core.link.request(peer.replica_id, message)
        raise LinkError(f"{peer.replica_id} did not answer", may_have_run=True)

    async def _check_term(self, reply: AppendReply | InstallReply) -> None:
        if reply.term > self.term:
            with trio.CancelScope(shield=True):
                await self._core.adopt_term(reply.term)
        await trio.lowlevel.checkpoint()

    async def _check_periodically(self) -> None:
        core = self._core
        ticks = self._timers.subscribe(core.options.heartbeat)
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
        """Tells whether a majority has answered within an election timeout."""
        oldest = now - self._core.options.election_maximum
        reached = sum(peer.contact >= oldest for peer in self._peers.values())
        return reached + 1 >= self._core.majority

    def _propose_expiry(self) -> None:
        core = self._core
        due = core.state.claims.next_expiry_ms
        is_idle = core.log.last_index == core.state.index
        if due is not None and is_idle and due <= core.clock() * _MS:
            self._append(Expire())


def create_leadership(core: ReplicaCore, timers: TimerService) -> Leadership:
    """Begins the term that an election has won."""
    now = trio.current_time()
    next_index = core.log.last_index + 1
    peers = {name: _Peer(name, next_index, now) for name in core.peer_ids}
    admissions = core.list_unapplied_admissions()
    leadership = Leadership(core.term, core, timers, peers, admissions)
    core.role = Role.LEADER
    core.leader_id = core.replica_id
    core.leader_term = leadership
    return leadership
