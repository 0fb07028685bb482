"""Follower side of replication: handles the append and install requests of a leader."""

import trio

from coltsfootspar.exceptions import (
    ColtsfootsparError,
    ReplicationError,
    StorageError,
)
from coltsfootspar.replication.commands import Entry
from coltsfootspar.replication.core import ReplicaCore, Role
from coltsfootspar.replication.messages import (
    AppendReply,
    AppendRequest,
    InstallReply,
    InstallRequest,
)

__all__ = ["handle_append", "handle_install"]


async def handle_append(core: ReplicaCore, request: AppendRequest) -> AppendReply:
    """Appends entries of the leader, waits until they are synced and commits.

    :raises ReplicationError: when the leader belongs to another cluster, or its
        log differs from this one in a committed entry.
    :raises StorageError: when the log cannot be written.
    """
    if not await _accept_leader(core, request):
        return _create_reply(core, next_index=core.log.last_index + 1)
    conflict = _find_conflict(core, request)
    if conflict is not None:
        return _create_reply(core, next_index=conflict)
    _store_entries(core, request.entries)
    await core.log.wait_synced()
    if core.term != request.term:
        # A leader of a later term may have replaced the entries during the sync.
        return _create_reply(core, next_index=core.log.last_index + 1)
    match = request.previous_index + len(request.entries)
    core.commit(min(request.commit_index, match))
    core.check_failure()
    if request.commit_index <= match:
        core.last_caught_up = trio.current_time()
    await _complete_admission(core, request)
    return _create_reply(core, match_index=match)


async def handle_install(core: ReplicaCore, request: InstallRequest) -> InstallReply:
    """Stores a chunk of the leader's snapshot and installs a complete snapshot.

    :raises FrameError: when the snapshot is damaged; the state is not changed.
    :raises ReplicationError: when the leader belongs to another cluster.
    :raises StorageError: when the disk fails; the replica then stops.
    """
    if not await _accept_leader(core, request):
        return InstallReply(core.term, 0, False)
    key = (request.leader_id, request.snapshot_index, request.snapshot_term)
    with trio.CancelScope(shield=True):
        try:
            next_offset, state = await core.snapshots.receive(
                key, request.offset, request.size, request.data
            )
            if state is not None:
                await core.install_snapshot(state)
        except StorageError as error:
            core.fail(error)
            raise
    return InstallReply(core.term, next_offset, next_offset >= request.size)


async def _accept_leader(
    core: ReplicaCore, request: AppendRequest | InstallRequest
) -> bool:
    """Follows the sender of a request unless its term is over.

    :returns: false when this replica has seen a higher term.
    """
    own_cluster = core.identity.cluster_id
    if own_cluster and request.cluster_id != own_cluster:
        raise ReplicationError(
            f"replica {request.leader_id!r} belongs to cluster "
            f"{request.cluster_id!r}, not {own_cluster!r}",
            code="other-cluster",
        )
    await core.adopt_term(request.term)
    if request.term != core.term:
        return False
    if core.role is not Role.FOLLOWER:
        core.step_down(request.leader_id)
    core.leader_id = request.leader_id
    core.last_leader_id = request.leader_id
    core.last_leader_contact = trio.current_time()
    return True


def _find_conflict(core: ReplicaCore, request: AppendRequest) -> int | None:
    """Returns the index at which the leader should retry, or None if the logs match.

    The logs match when both have the same entry just before the sent entries.
    """
    log = core.log
    index = request.previous_index
    if index > log.last_index:
        return log.last_index + 1
    term = log.get_term(index)
    # Entries that are no longer in memory are committed, so they match.
    if term is None or term == request.previous_term:
        return None
    while index > core.commit_index + 1 and log.get_term(index - 1) == term:
        index -= 1
    return index


def _store_entries(core: ReplicaCore, entries: tuple[Entry, ...]) -> None:
    log = core.log
    for position, entry in enumerate(entries):
        if entry.index < log.first_index or log.get_term(entry.index) == entry.term:
            continue
        if entry.index <= core.commit_index:
            error = ReplicationError(
                f"entry {entry.index} of the leader differs from the entry that "
                "was committed at this index",
                code="diverged",
            )
            core.fail(error)
            raise error
        if entry.index <= log.last_index:
            log.truncate(entry.index)
        log.append(entries[position:])
        return


async def _complete_admission(core: ReplicaCore, request: AppendRequest) -> None:
    if core.identity.is_admitted:
        return
    try:
        await core.complete_admission(
            request.term, request.leader_id, request.cluster_id
        )
    except ColtsfootsparError as error:
        core.fail(error)
        raise


def _create_reply(
    core: ReplicaCore, *, match_index: int | None = None, next_index: int = 0
) -> AppendReply:
    return AppendReply(
        term=core.term,
        is_accepted=match_index is not None,
        match_index=match_index or 0,
        next_index=next_index,
        incarnation=core.identity.incarnation,
        is_admitted=core.identity.is_admitted,
        address=core.address,
    )
