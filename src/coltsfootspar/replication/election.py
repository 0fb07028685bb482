"""Leader election: election timeout, pre-vote and vote."""

import attrs
import trio

from coltsfootspar.exceptions import FrameError, LinkError
from coltsfootspar.replication.core import ReplicaCore, Role
from coltsfootspar.replication.messages import VoteReply, VoteRequest
from coltsfootspar.wire import FrameKind, replication as codec

__all__ = [
    "campaign",
    "handle_campaign",
    "handle_pre_vote",
    "handle_vote",
    "wait_election_timeout",
]

_VOTE_TIMEOUT_SECONDS = 1.0


async def wait_election_timeout(core: ReplicaCore) -> None:
    """Waits until no leader has sent a request for a random election timeout.

    Waits first until the replica is admitted, and for ever while it retires. Returns
    at once in a cluster of one replica, and when the leader hands its term over.
    """
    await core.admitted.wait()
    if not core.peer_ids:
        return
    options = core.options
    timeout = core.random.uniform(
        options.min_election_timeout, options.max_election_timeout
    )
    while True:
        deadline = max(core.election_timer_start, core.last_leader_contact) + timeout
        if core.is_retiring:
            await trio.sleep_forever()
        if trio.current_time() >= deadline or core.campaign_requested.is_set():
            return
        with trio.move_on_at(deadline):
            await core.campaign_requested.wait()


async def campaign(core: ReplicaCore) -> bool:
    """Runs a pre-vote and, if a majority agrees, an election.

    :returns: true when a majority has voted for this replica.
    """
    is_requested = core.campaign_requested.is_set()
    core.campaign_requested = trio.Event()
    # The replica has lost contact with the leader, so clients that watch it should
    # move on to another one.
    core.wake_watchers()
    term = core.term + 1
    # The term is raised only after a won pre-vote, so that a replica which returns
    # from a partition does not depose a working leader.
    if not (is_requested or await _request_votes(core, FrameKind.PRE_VOTE, term)):
        return False
    if not await core.start_candidacy(term):
        return False
    is_elected = await _request_votes(core, FrameKind.VOTE, term)
    if core.role is Role.CANDIDATE and core.term == term:
        core.role = Role.FOLLOWER
        return is_elected
    return False


async def handle_pre_vote(core: ReplicaCore, request: VoteRequest) -> VoteReply:
    """Answers whether this replica would grant a vote, without changing its state.

    Refuses while a leader has been in contact within the shortest election
    timeout.
    """
    seconds_without_leader = trio.current_time() - core.last_leader_contact
    is_granted = (
        core.identity.is_admitted
        and core.role is not Role.LEADER
        and seconds_without_leader >= core.options.min_election_timeout
        and request.term > core.term
        and core.is_candidate_up_to_date((request.last_term, request.last_index))
    )
    return VoteReply(core.term, is_granted, core.identity.incarnation)


async def handle_vote(core: ReplicaCore, request: VoteRequest) -> VoteReply:
    """Grants or refuses a vote.

    A replica that is not admitted neither votes nor adopts the term.
    """
    is_granted = False
    if core.identity.is_admitted:
        await core.adopt_term(request.term)
        last = (request.last_term, request.last_index)
        is_granted = await core.vote(request.term, request.candidate_id, last)
    return VoteReply(core.term, is_granted, core.identity.incarnation)


async def handle_campaign(core: ReplicaCore, request: VoteRequest) -> VoteReply:
    """Begins an election at once, since the leader hands its term over.

    Refuses unless the log is as long as that of the leader.
    """
    last = (core.log.last_term, core.log.last_index)
    is_accepted = (
        core.identity.is_admitted
        and not core.is_retiring
        and core.role is Role.FOLLOWER
        and (core.term, core.leader_id) == (request.term, request.candidate_id)
        and last == (request.last_term, request.last_index)
    )
    if is_accepted:
        core.campaign_requested.set()
    return VoteReply(core.term, is_accepted, core.identity.incarnation)


@attrs.define(eq=False)
class _VoteRound:
    """Replies to one round of vote or pre-vote requests.

    :param incarnations: incarnation under which each replica may vote.
    :param granted_by: ids of the replicas that granted their vote.
    """

    core: ReplicaCore
    request: VoteRequest
    kind: FrameKind
    incarnations: dict[str, int]
    granted_by: set[str] = attrs.field(factory=set)

    @property
    def has_majority(self) -> bool:
        return len(self.granted_by) >= self.core.majority

    async def request_vote(self, peer_id: str, scope: trio.CancelScope) -> None:
        message = codec.encode_vote(self.kind, self.request)
        try:
            reply = await self.core.link.request(peer_id, message)
            vote_reply = codec.decode_vote_reply(reply)
        except (LinkError, FrameError):
            return
        if vote_reply.term > self.core.term:
            await self.core.adopt_term(vote_reply.term)
            scope.cancel()
        elif (
            vote_reply.is_granted
            and vote_reply.incarnation == self.incarnations[peer_id]
        ):
            self.granted_by.add(peer_id)
            if self.has_majority:
                scope.cancel()


async def _request_votes(core: ReplicaCore, kind: FrameKind, term: int) -> bool:
    log = core.log
    request = VoteRequest(term, core.replica_id, log.last_index, log.last_term)
    incarnations = core.list_incarnations()
    if incarnations[core.replica_id] != core.identity.incarnation:
        return False
    vote_round = _VoteRound(core, request, kind, incarnations, {core.replica_id})
    with trio.move_on_after(_VOTE_TIMEOUT_SECONDS) as scope:
        async with trio.open_nursery() as nursery:
            for peer_id in core.peer_ids:
                nursery.start_soon(vote_round.request_vote, peer_id, scope)
    return vote_round.has_majority
