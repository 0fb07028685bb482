"""Election of a leader: pre-vote, vote and the answers to them."""

import attrs
import trio

from coltsfootspar.exceptions import FrameError, LinkError
from coltsfootspar.replication.core import ReplicaCore, Role
from coltsfootspar.replication.messages import VoteReply, VoteRequest
from coltsfootspar.wire import FrameKind, replication as codec

__all__ = ["answer_pre_vote", "answer_vote", "campaign", "wait_election_timeout"]

_BALLOT_SECONDS = 1.0


async def wait_election_timeout(core: ReplicaCore) -> None:
    """Waits until no leader has been heard for a random election timeout."""
    await core.admitted.wait()
    if not core.peer_ids:
        return
    options = core.options
    timeout = core.random.uniform(options.election_minimum, options.election_maximum)
    while True:
        deadline = max(core.timer_start, core.leader_contact) + timeout
        if trio.current_time() >= deadline:
            return
        await trio.sleep_until(deadline)


async def campaign(core: ReplicaCore) -> bool:
    """Tries to become leader.

    :returns: true when a majority has voted for this replica.
    """
    core.wake_watchers()
    term = core.term + 1
    # Without a majority in the pre-vote the term stays as it is, so that a
    # replica that comes back from a partition disturbs nobody.
    if not await _ask_all(core, FrameKind.PRE_VOTE, term):
        return False
    if not await core.start_candidacy(term):
        return False
    won = await _ask_all(core, FrameKind.VOTE, term)
    if core.role is Role.CANDIDATE and core.term == term:
        core.role = Role.FOLLOWER
        return won
    return False


async def answer_pre_vote(core: ReplicaCore, request: VoteRequest) -> VoteReply:
    """Tells whether a vote would be granted; changes nothing."""
    silence = trio.current_time() - core.leader_contact
    is_granted = (
        core.identity.is_admitted
        and core.role is not Role.LEADER
        and silence >= core.options.election_minimum
        and request.term > core.term
        and core.is_log_covered((request.last_term, request.last_index))
    )
    return VoteReply(core.term, is_granted, core.identity.incarnation)


async def answer_vote(core: ReplicaCore, request: VoteRequest) -> VoteReply:
    """Votes, if the replica is admitted and the candidate's log suffices."""
    is_granted = False
    if core.identity.is_admitted:
        await core.adopt_term(request.term)
        last = (request.last_term, request.last_index)
        is_granted = await core.vote(request.term, request.candidate_id, last)
    return VoteReply(core.term, is_granted, core.identity.incarnation)


@attrs.define(eq=False)
class _Poll:
    """Replies to one round of votes."""

    core: ReplicaCore
    request: VoteRequest
    kind: FrameKind
    incarnations: dict[str, int]
    votes: set[str] = attrs.field(factory=set)

    @property
    def is_won(self) -> bool:
        return len(self.votes) >= self.core.majority

    async def ask(self, peer_id: str, scope: trio.CancelScope) -> None:
        message = codec.encode_vote(self.kind, self.request)
        try:
            reply = await self.core.link.request(peer_id, message)
            vote = codec.decode_vote_reply(reply)
        except (LinkError, FrameError):
            return
        if vote.term > self.core.term:
            await self.core.adopt_term(vote.term)
            scope.cancel()
        elif vote.is_granted and vote.incarnation == self.incarnations[peer_id]:
            self.votes.add(peer_id)
            if self.is_won:
                scope.cancel()


async def _ask_all(core: ReplicaCore, kind: FrameKind, term: int) -> bool:
    log = core.log
    request = VoteRequest(term, core.replica_id, log.last_index, log.last_term)
    # The last admission in the log counts, committed or not: a vote under an
    # older incarnation may come from a disk that was replaced.
    pending = core.list_unapplied_admissions()
    incarnations = {
        name: pending[name][1] if name in pending else core.state.get_incarnation(name)
        for name in core.replica_ids
    }
    if incarnations[core.replica_id] != core.identity.incarnation:
        return False
    poll = _Poll(core, request, kind, incarnations, {core.replica_id})
    with trio.move_on_after(_BALLOT_SECONDS) as scope:
        async with trio.open_nursery() as nursery:
            for peer_id in core.peer_ids:
                nursery.start_soon(poll.ask, peer_id, scope)
    return poll.is_won
