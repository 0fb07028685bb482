"""A replica of the replicated state: serves its peers and clients."""

import random
import time
from collections.abc import Awaitable, Callable, Sequence

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import (
    ColtsfootsparError,
    NoQuorumError,
    NotLeaderError,
    ReplicationError,
    StorageError,
)
from coltsfootspar.replication.commands import (
    Change,
    ClaimResult,
    ClaimStatus,
    Command,
    Result,
)
from coltsfootspar.replication.core import ReplicaCore, ReplicaOptions
from coltsfootspar.replication.departurecopies import create_departure_copier
from coltsfootspar.replication.departures import DepartureStore, load_departures
from coltsfootspar.replication.election import (
    campaign,
    handle_campaign,
    handle_pre_vote,
    handle_vote,
    wait_election_timeout,
)
from coltsfootspar.replication.following import handle_append, handle_install
from coltsfootspar.replication.identity import (
    Ballot,
    format_replica,
    load_ballot,
    load_identity,
)
from coltsfootspar.replication.interfaces import Disk, ReplicaLink
from coltsfootspar.replication.leadership import create_leadership
from coltsfootspar.replication.log import open_log
from coltsfootspar.replication.messages import (
    Departure,
    DeparturesReply,
    HistoryReply,
    ProposeReply,
    ProposeStatus,
    ReplicaStatus,
    TableReply,
)
from coltsfootspar.replication.routecache import RouteCache, load_route_cache
from coltsfootspar.replication.routestate import RouteState
from coltsfootspar.replication.snapshots import create_snapshot_store
from coltsfootspar.table import Table
from coltsfootspar.timers import TimerService
from coltsfootspar.wire import FrameKind, Message, replication as codec

__all__ = ["Replica", "create_replica", "format_replica"]

_MAX_WAIT_SECONDS = 10.0
_MAX_HISTORY_CHANGES = 1_000
_TRANSFER_TIMEOUT_SECONDS = 1.5


@attrs.define(eq=False)
class Replica:
    """One replica of the cluster; :meth:`run` must be running.

    :param _encoded_table: version and encoding of the last table that was sent.
    """

    _core: ReplicaCore
    _timers: TimerService
    _route_cache: RouteCache
    _departures: DepartureStore
    _encoded_table: tuple[int, bytes] = (-1, b"")

    @property
    def core(self) -> ReplicaCore:
        """Term, log, applied state and role of the replica."""
        return self._core

    async def run(self) -> None:
        """Runs the log writer, elections and snapshots until cancelled.

        :raises StorageError: when the disk fails.
        :raises ReplicationError: when a replica with another disk has replaced
            this one, or its log cannot be applied.
        """
        core = self._core
        core.election_timer_start = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write_log)
                nursery.start_soon(self._run_elections)
                nursery.start_soon(self._write_snapshots_when_due)
                nursery.start_soon(self._save_routes_on_change)
                nursery.start_soon(create_departure_copier(core, self._departures).run)
                await core.failed.wait()
                nursery.cancel_scope.cancel()
        finally:
            if core.failure is None:
                core.failure = StorageError("the replica has stopped", code="stopped")
            core.step_down(None)
        raise core.failure

    async def propose(self, command: Command) -> Result:
        """Replicates a command and returns its result once it is applied.

        :raises NotLeaderError: when this replica is not the leader.
        :raises NoQuorumError: when the term as leader ends before the command is
            committed, or too many proposals are pending.
        """
        core = self._core
        core.check_failure()
        if core.leader_term is None:
            raise NotLeaderError(
                "this replica is not the leader", leader_id=core.leader_id
            )
        return await core.leader_term.propose(command)

    async def retire(self) -> bool:
        """Hands the leadership over, if this replica has it, and seeks it no more.

        Waits for a limited time, after which the replica may still lead.

        :returns: true when the replica was the leader.
        """
        core = self._core
        core.is_retiring = True
        if core.leader_term is None or not core.peer_ids:
            return False
        with trio.move_on_after(_TRANSFER_TIMEOUT_SECONDS):
            await core.leader_term.transfer()
        return True

    def read_table(self) -> Table:
        """Returns the table of the applied state, which may be stale."""
        return self._core.state.table.table

    async def wait_for_version(self, after_version: int) -> Table:
        """Waits until the table has a higher version than the given one."""
        while self.read_table().version <= after_version:
            await self._core.table_changed.wait()
        return self.read_table()

    def list_history(self, limit: int, before_version: int = 0) -> list[Change]:
        """Returns changes, the latest first.

        :param limit: largest number of changes.
        :param before_version: only changes with a lower version; 0 for the latest.
        """
        return self._core.state.table.list_history(limit, before_version)

    def status(self) -> ReplicaStatus:
        """Returns a summary of this replica for operators and metrics."""
        core = self._core
        return ReplicaStatus(
            replica_id=core.replica_id,
            role=core.role.value,
            term=core.term,
            leader_id=core.leader_id or "",
            last_index=core.log.last_index,
            commit_index=core.commit_index,
            snapshot_index=core.snapshots.index,
            table_version=self.read_table().version,
            claims=len(core.state.claims.records),
            is_admitted=core.identity.is_admitted,
            is_current=core.is_current,
            incarnation=core.identity.incarnation,
        )

    async def handle(self, source: str, message: Message) -> Message:
        """Handles a request of a peer or a client.

        :param source: id of the process that sent it, for error messages.
        :returns: the reply.
        :raises FrameError: when the message is malformed.
        :raises ReplicationError: when replicas do not handle this kind of message.
        :raises StorageError: when the replica has stopped.
        """
        self._core.check_failure()
        handler = _HANDLERS.get(message.kind)
        if handler is None:
            raise ReplicationError(
                f"process {source} sent a {message.kind.name} message, which replicas "
                "do not handle",
                code="no-handler",
            )
        return await handler(self, message)

    async def _write_log(self) -> None:
        try:
            await self._core.log.run()
        except StorageError as error:
            self._core.fail(error)

    async def _run_elections(self) -> None:
        core = self._core
        try:
            while True:
                await wait_election_timeout(core)
                if await campaign(core):
                    logging.info("Replica %s leads in %d", core.replica_id, core.term)
                    await create_leadership(core, self._timers).run()
                core.election_timer_start = trio.current_time()
        except* ColtsfootsparError as group:
            core.fail(_get_first_error(group))

    async def _save_routes_on_change(self) -> None:
        core = self._core
        try:
            while True:
                table_changed = core.table_changed
                await self._route_cache.save(core.state.routes)
                await table_changed.wait()
        except StorageError as error:
            core.fail(error)

    async def _write_snapshots_when_due(self) -> None:
        core = self._core
        try:
            while True:
                await core.needs_snapshot.wait()
                state = core.state.copy()
                core.applied_bytes = 0
                if await core.snapshots.write(state):
                    await core.log.compact(state.index)
                core.needs_snapshot = trio.Event()
        except StorageError as error:
            core.fail(error)

    async def _serve_pre_vote(self, message: Message) -> Message:
        reply = await handle_pre_vote(self._core, codec.decode_vote(message))
        return codec.encode_vote_reply(reply)

    async def _serve_vote(self, message: Message) -> Message:
        reply = await handle_vote(self._core, codec.decode_vote(message))
        return codec.encode_vote_reply(reply)

    async def _serve_campaign(self, message: Message) -> Message:
        reply = await handle_campaign(self._core, codec.decode_vote(message))
        return codec.encode_vote_reply(reply)

    async def _serve_append(self, message: Message) -> Message:
        reply = await handle_append(self._core, codec.decode_append(message))
        return codec.encode_append_reply(reply)

    async def _serve_install(self, message: Message) -> Message:
        reply = await handle_install(self._core, codec.decode_install(message))
        return codec.encode_install_reply(reply)

    async def _serve_propose(self, message: Message) -> Message:
        command = codec.decode_propose(message)
        try:
            result = await self.propose(command)
            reply = ProposeReply(ProposeStatus.COMMITTED, result=result)
        except NotLeaderError as error:
            leader_id = error.leader_id or ""
            reply = ProposeReply(ProposeStatus.NOT_LEADER, leader_id, str(error))
        except NoQuorumError as error:
            status = ProposeStatus.UNKNOWN if error.may_have_run else ProposeStatus.BUSY
            reply = ProposeReply(status, message=str(error))
        return codec.encode_propose_reply(reply)

    async def _serve_read_table(self, message: Message) -> Message:
        return self._encode_table(after_version=-1)

    async def _serve_watch_table(self, message: Message) -> Message:
        after_version, wait_ms = codec.decode_table_request(message)
        core = self._core
        with trio.move_on_after(min(wait_ms / 1e3, _MAX_WAIT_SECONDS)):
            # A replica that falls behind replies soon, so that the client can watch
            # another one.
            while self.read_table().version <= after_version and core.is_current:
                await core.wait_table_change()
        return self._encode_table(after_version)

    def _encode_table(self, after_version: int) -> Message:
        table = self.read_table()
        if self._encoded_table[0] != table.version:
            self._encoded_table = (table.version, codec.encode_table(table))
        data = self._encoded_table[1] if table.version > after_version else b""
        reply = TableReply(table.version, self._core.is_current, data)
        return codec.encode_table_reply(reply)

    @property
    def _routes(self) -> RouteState:
        return self._route_cache.get_newest(self._core.state.routes)

    async def _serve_watch_routes(self, message: Message) -> Message:
        after_version, wait_ms = codec.decode_table_request(message)
        core = self._core
        with trio.move_on_after(min(wait_ms / 1e3, _MAX_WAIT_SECONDS)):
            while self._routes.table.version <= after_version and core.is_current:
                await core.wait_table_change()
        routes = self._routes
        version = routes.table.version
        data = routes.data if version > after_version else b""
        reply = TableReply(version, core.is_current, data)
        return codec.encode_table_reply(reply, FrameKind.ROUTES)

    async def _serve_history(self, message: Message) -> Message:
        limit, before_version = codec.decode_history_request(message)
        changes = self.list_history(min(limit, _MAX_HISTORY_CHANGES), before_version)
        version = self.read_table().version
        reply = HistoryReply(version, self._core.is_current, tuple(changes))
        return codec.encode_history(reply)

    async def _serve_look_up(self, message: Message) -> Message:
        key, wait_ms = codec.decode_look_up(message)
        with trio.move_on_after(min(wait_ms / 1e3, _MAX_WAIT_SECONDS)):
            while self._look_up(key).status is ClaimStatus.IN_PROGRESS:
                await self._wait_for_claim_change(key)
        return codec.encode_look_up_reply(self._look_up(key))

    def _look_up(self, key: str) -> ClaimResult:
        return self._core.state.claims.look_up(key)

    async def _wait_for_claim_change(self, key: str) -> None:
        event = self._core.get_claim_event(key)
        try:
            await event.wait()
        finally:
            self._core.release_claim_event(key, event)

    async def _serve_note_departures(self, message: Message) -> Message:
        request = codec.decode_note_departures(message)
        if not request.node_id:
            return self._encode_departures((), self._departures.list_all())
        if request.departures and not self._core.identity.is_admitted:
            raise ReplicationError(
                "this replica is not admitted and may yet lose its data folder",
                code="not-admitted",
            )
        known = await self._departures.note(request.node_id, request.departures)
        return self._encode_departures(known)

    def _encode_departures(
        self,
        known: tuple[Departure, ...],
        copies: dict[str, tuple[Departure, ...]] | None = None,
    ) -> Message:
        core = self._core
        is_partial = self._departures.is_partial or not core.identity.is_admitted
        reply = DeparturesReply(known, is_partial, copies, core.describe_group())
        return codec.encode_departures(reply)

    async def _serve_status(self, message: Message) -> Message:
        return codec.encode_status(self.status())


def _get_first_error(group: BaseExceptionGroup) -> ColtsfootsparError:
    error = group.exceptions[0]
    return _get_first_error(error) if isinstance(error, BaseExceptionGroup) else error


_HANDLERS: dict[FrameKind, Callable[[Replica, Message], Awaitable[Message]]] = {
    FrameKind.PRE_VOTE: Replica._serve_pre_vote,
    FrameKind.VOTE: Replica._serve_vote,
    FrameKind.CAMPAIGN: Replica._serve_campaign,
    FrameKind.APPEND: Replica._serve_append,
    FrameKind.INSTALL_SNAPSHOT: Replica._serve_install,
    FrameKind.PROPOSE: Replica._serve_propose,
    FrameKind.READ_TABLE: Replica._serve_read_table,
    FrameKind.WATCH_TABLE: Replica._serve_watch_table,
    FrameKind.WATCH_ROUTES: Replica._serve_watch_routes,
    FrameKind.HISTORY: Replica._serve_history,
    FrameKind.LOOK_UP_CLAIM: Replica._serve_look_up,
    FrameKind.NOTE_DEPARTURES: Replica._serve_note_departures,
    FrameKind.STATUS: Replica._serve_status,
}


async def create_replica(
    replica_id: str,
    replica_ids: Sequence[str],
    *,
    disk: Disk,
    link: ReplicaLink,
    timers: TimerService,
    source: random.Random,
    clock: Callable[[], float] = time.time,
    find_address: Callable[[str], str] = lambda replica_id: "",
    address: str = "",
    options: ReplicaOptions | None = None,
) -> Replica:
    """Creates a replica from its data folder.

    An empty folder means that the replica lost its disk and must be admitted by
    the others. :func:`format_replica` prepares the folders of a new cluster.

    :param replica_ids: ids of all replicas of the cluster, including this one.
    :param disk: the data folder.
    :param link: sends requests to the other replicas.
    :param source: random numbers for election timeouts and incarnations.
    :param clock: wall clock, seconds; the leader writes its time into each entry.
    :param find_address: returns the address of a replica, which the leader
        records with its admission; empty when the settings name the addresses.
    :param address: address of this replica, which the leader records for the others;
        empty when the settings name the addresses.
    :raises StorageError: when the folder cannot be read or belongs to another
        replica.
    :raises CorruptLogError: when a file in the folder is damaged.
    """
    identity = await load_identity(disk, replica_id, source)
    ballot = await load_ballot(disk)
    snapshots = create_snapshot_store(disk)
    state = await snapshots.load()
    log = await open_log(disk, state.index, state.term)
    if log.last_term > ballot.term:
        ballot = Ballot(log.last_term)
    core = ReplicaCore(
        options=options or ReplicaOptions(),
        replica_ids=tuple(replica_ids),
        disk=disk,
        link=link,
        random=source,
        clock=clock,
        identity=identity,
        ballot=ballot,
        log=log,
        snapshots=snapshots,
        state=state,
        commit_index=state.index,
        find_address=find_address,
        address=address,
    )
    log.on_synced = lambda: core.leader_term and core.leader_term.advance_commit_index()
    if identity.is_admitted:
        core.admitted.set()
    departures = await load_departures(disk, is_new=not identity.is_admitted)
    return Replica(core, timers, await load_route_cache(disk), departures)
