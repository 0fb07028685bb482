"""Client of the replicated state, used by nodes and operators."""

import random
import uuid
from collections.abc import AsyncIterator, Callable, Sequence
from typing import TypeVar

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import (
    FrameError,
    LinkError,
    NoQuorumError,
    ReplicationError,
)
from coltsfootspar.replication.commands import (
    MAX_COMMAND_BYTES,
    Abandon,
    Change,
    ChangeResult,
    CheckRoutes,
    Claim,
    ClaimResult,
    Command,
    EditCells,
    Finish,
    ReplaceRoutes,
    Result,
)
from coltsfootspar.replication.departurerounds import (
    DepartureRound,
    KnownDepartures,
)
from coltsfootspar.replication.interfaces import ReplicaLink
from coltsfootspar.replication.messages import (
    Departure,
    DeparturesReply,
    HistoryReply,
    NoteDeparturesRequest,
    ProposeReply,
    ProposeStatus,
    ReplicaStatus,
    TableReply,
)
from coltsfootspar.routes import RouteTable, decode_routes
from coltsfootspar.table import Edit, Table, check_edits
from coltsfootspar.wire import FrameKind, Message, replication as codec

__all__ = [
    "ReplicationClient",
    "create_id",
    "create_replication_client",
]

_DEFAULT_TIMEOUT_SECONDS = 8.0
_REQUEST_TIMEOUT_SECONDS = 2.0
_WATCH_SECONDS = 5.0
_WATCH_MARGIN_SECONDS = 1.5
# Short, so that a change reaches a node in time although the replica that it watches
# is cut off or frozen.
_WATCH_ROUTES_SECONDS = 1.0
_MIN_ROUTES_MARGIN_SECONDS = 0.5
# A large table takes long on a slow link.
_MAX_ROUTES_MARGIN_SECONDS = 8.0
_READ_ROUTES_WAIT_MS = 1_000
_MIN_RETRY_DELAY_SECONDS = 0.05
_MAX_RETRY_DELAY_SECONDS = 0.25
_DEPARTURES_RETRY_SECONDS = 0.1
_MS_PER_SECOND = 1_000
_T = TypeVar("_T", TableReply, HistoryReply)


@attrs.define(eq=False)
class ReplicationClient:
    """Sends commands to the leader and reads from any replica.

    Finds the leader and resends commands without a reply. Commands that change
    the state are idempotent, so that a resent one takes effect once.

    :param _leader_id: replica that committed the last proposal or was named as
        leader since, or None.
    :param _seen_version: highest table version that this client has seen.
    """

    _replica_ids: tuple[str, ...]
    _link: ReplicaLink
    _random: random.Random
    _timeout: float
    _leader_id: str | None = None
    _seen_version: int = 0

    async def edit_cells(
        self,
        edits: Sequence[Edit],
        operator: str,
        *,
        change_id: str | None = None,
        timeout: float | None = None,
    ) -> ChangeResult:
        """Changes cells of the table.

        :param operator: name of the operator who makes the change, for the history.
        :param change_id: id of an earlier call that raised :exc:`NoQuorumError`;
            the repeated change then takes effect once and gets its first result.
        :param timeout: timeout for all attempts together, seconds.
        :raises TableError: when an edit is invalid.
        :raises ReplicationError: when the change is too large.
        :raises NoQuorumError: when no majority answered in time.
        """
        change_id = change_id or create_id(self._random)
        command = EditCells(change_id, operator, check_edits(tuple(edits)))
        result = await self._propose(command, timeout)
        self._seen_version = max(self._seen_version, result.version)
        return result

    async def claim(self, command: Claim, timeout: float | None = None) -> ClaimResult:
        """Asks for the right to execute a request.

        :raises NoQuorumError: when no majority answered in time.
        """
        return await self._propose(command, timeout)

    async def finish(
        self, command: Finish, timeout: float | None = None
    ) -> ClaimResult:
        """Records the answer of a claimed request.

        :raises NoQuorumError: when no majority answered in time.
        """
        return await self._propose(command, timeout)

    async def abandon(
        self, command: Abandon, timeout: float | None = None
    ) -> ClaimResult:
        """Ends a claim without an answer.

        :raises NoQuorumError: when no majority answered in time.
        """
        return await self._propose(command, timeout)

    async def look_up(
        self, key: str, *, wait: float = 0.0, timeout: float | None = None
    ) -> ClaimResult:
        """Reads the status of a key from one replica.

        The reply may be stale: a key that is reported as absent may have been
        claimed already.

        :param wait: longest time to wait while the key is in progress, seconds.
        :raises NoQuorumError: when no replica answered in time.
        """
        message = codec.encode_look_up(key, int(wait * _MS_PER_SECOND))
        reply = await self._read_any(message, timeout, wait + _WATCH_MARGIN_SECONDS)
        return codec.decode_look_up_reply(reply)

    async def read_table(self, timeout: float | None = None) -> Table:
        """Reads the table from any replica.

        The version is never lower than one that this client has seen. Prefers a
        replica that is in contact with the leader.

        :raises NoQuorumError: when no replica with such a version answered in time.
        """
        message = Message(FrameKind.READ_TABLE)
        reply = await self._read_newest(message, codec.decode_table_reply, timeout)
        return codec.decode_table(reply.table_data)

    async def watch_table(self, after_version: int = -1) -> AsyncIterator[Table]:
        """Yields the present table and then each newer one, without end.

        Versions only increase. Moves on to the next replica when one does not
        answer or is partitioned from the leader.

        :param after_version: version that the caller already has; tables up to this
            version are not yielded.
        """
        position = 0
        while True:
            replica_id = self._get_replica_at(position)
            reply = await self._watch(replica_id, after_version)
            if reply is not None and reply.table_data and reply.version > after_version:
                after_version = reply.version
                self._seen_version = max(self._seen_version, after_version)
                yield codec.decode_table(reply.table_data)
            if reply is None or not reply.is_current:
                position += 1
                await self._back_off()
            elif not reply.table_data:
                # Tries the first replica again. If it is still partitioned, the
                # next iterations come back to this one.
                position = 0

    async def _watch(self, replica_id: str, after_version: int) -> TableReply | None:
        decode = codec.decode_table_reply
        if after_version < 0:
            message = Message(FrameKind.READ_TABLE)
            return await self._try_read(replica_id, message, decode)
        message = codec.encode_table_request(
            after_version, int(_WATCH_SECONDS * _MS_PER_SECOND)
        )
        seconds = _WATCH_SECONDS + _WATCH_MARGIN_SECONDS
        return await self._try_read(replica_id, message, decode, seconds)

    async def replace_routes(
        self, command: ReplaceRoutes, timeout: float | None = None
    ) -> ChangeResult:
        """Replaces the whole route table.

        :raises NoQuorumError: when no majority answered in time.
        """
        return await self._propose(command, timeout)

    async def read_routes(self, timeout: float | None = None) -> RouteTable:
        """Reads the latest committed routes, as a linearizable read.

        :raises NoQuorumError: when no majority confirmed the active version in time,
            or no replica sent that version.
        """
        active = await self._propose(CheckRoutes(), timeout)
        if active.version == 0:
            return RouteTable()
        message = codec.encode_table_request(
            active.version - 1, _READ_ROUTES_WAIT_MS, FrameKind.WATCH_ROUTES
        )
        with trio.move_on_after(self._get_timeout(timeout)):
            for replica_id in self._list_leader_first():
                reply = await self._try_read(
                    replica_id, message, codec.decode_table_reply
                )
                if reply is not None and reply.table_data:
                    return decode_routes(reply.table_data)
        raise NoQuorumError(
            "no replica sent the active version of the routes", may_have_run=False
        )

    async def watch_routes(
        self, on_confirmed: Callable[[float], None] = lambda asked_at: None
    ) -> AsyncIterator[RouteTable]:
        """Yields the present route table and then each newer one, without end.

        Versions only increase; version 0, without routes, is not yielded. Moves on
        to the next replica when one does not answer or is partitioned from the
        leader.

        :param on_confirmed: called once a replica in touch with the leader has no newer
            version than those yielded, with the time at which it was asked, trio
            clock, seconds.
        """
        version, position = 0, 0
        margin = _MIN_ROUTES_MARGIN_SECONDS
        while True:
            message = codec.encode_table_request(
                version,
                int(_WATCH_ROUTES_SECONDS * _MS_PER_SECOND),
                FrameKind.WATCH_ROUTES,
            )
            asked_at = trio.current_time()
            ends_at = asked_at + _WATCH_ROUTES_SECONDS + margin
            reply = await self._try_read(
                self._get_replica_at(position),
                message,
                codec.decode_table_reply,
                _WATCH_ROUTES_SECONDS + margin,
            )
            if reply is not None:
                margin = _MIN_ROUTES_MARGIN_SECONDS
            elif trio.current_time() >= ends_at:
                margin = min(2 * margin, _MAX_ROUTES_MARGIN_SECONDS)
            table = _read_newer_routes(reply, version)
            if table is not None:
                version = reply.version
                yield table
            is_unreadable = reply is not None and reply.table_data and table is None
            if reply is None or not reply.is_current or is_unreadable:
                position += 1
                await self._back_off()
            elif reply.version >= version:
                on_confirmed(asked_at)

    async def note_departures(
        self, node_id: str, departures: Sequence[Departure], timeout: float
    ) -> KnownDepartures:
        """Asks all replicas to keep departures, and for those that they keep.

        Needs no leader. Repeats the question to those that do not reply, until a
        majority has replied or the timeout has passed. The replies tell which replicas
        there are.

        :param node_id: node beside the backend servers.
        :param departures: may be empty, to read only.
        :param timeout: seconds.
        """
        request = NoteDeparturesRequest(node_id, tuple(departures))
        message = codec.encode_note_departures(request)
        replies = DepartureRound(self._replica_ids, is_read=not departures)
        asked: set[str] = set()

        async def ask(replica_id: str) -> None:
            reply = await self._request_departures(replica_id, message, timeout)
            replies.add(replica_id, reply)
            self.update_replicas(replies.replica_ids)
            if replies.is_majority:
                scope.cancel()
            else:
                ask_all()

        def ask_all() -> None:
            for replica_id in replies.replica_ids:
                if replica_id not in asked:
                    asked.add(replica_id)
                    nursery.start_soon(ask, replica_id)

        with trio.move_on_after(timeout) as scope:
            async with trio.open_nursery() as nursery:
                ask_all()
        return replies.summarise()

    async def _request_departures(
        self, replica_id: str, message: Message, timeout: float
    ) -> DeparturesReply:
        """Repeats a request until the replica replies."""
        while True:
            try:
                reply = await self._request(replica_id, message, timeout)
                return codec.decode_departures(reply)
            except (LinkError, FrameError) as error:
                logging.debug("No departures from %s: %s", replica_id, error)
            await trio.sleep(_DEPARTURES_RETRY_SECONDS)

    @property
    def replica_ids(self) -> tuple[str, ...]:
        """Ids of the replicas, those to ask first at the front."""
        return self._replica_ids

    def update_replicas(self, replica_ids: Sequence[str]) -> None:
        """Takes over which replicas there are, and keeps their order if possible."""
        if set(replica_ids) == set(self._replica_ids):
            return
        kept = [name for name in self._replica_ids if name in replica_ids]
        added = [name for name in replica_ids if name not in kept]
        self._random.shuffle(added)
        self._replica_ids = (*kept, *added)

    def _list_leader_first(self) -> list[str]:
        return sorted(self._replica_ids, key=lambda name: name != self._leader_id)

    async def history(
        self, limit: int = 100, before_version: int = 0, timeout: float | None = None
    ) -> tuple[Change, ...]:
        """Reads changes of the table, the latest first.

        :param limit: largest number of changes.
        :param before_version: only changes with a lower version; 0 for the latest.
        :raises NoQuorumError: when no replica answered in time whose table is as
            new as the last one that this client has seen.
        """
        message = codec.encode_history_request(limit, before_version)
        reply = await self._read_newest(message, codec.decode_history, timeout)
        return reply.changes

    async def status(self) -> dict[str, ReplicaStatus | None]:
        """Requests the status of all replicas.

        :returns: status by replica id, None for a replica that did not answer.
        """
        statuses: dict[str, ReplicaStatus | None] = dict.fromkeys(self._replica_ids)

        async def request_status(replica_id: str) -> None:
            reply = await self._request(
                replica_id, Message(FrameKind.STATUS), _REQUEST_TIMEOUT_SECONDS
            )
            statuses[replica_id] = codec.decode_status(reply)

        async def try_request_status(replica_id: str) -> None:
            try:
                await request_status(replica_id)
            except (LinkError, FrameError):
                return

        async with trio.open_nursery() as nursery:
            for replica_id in self._replica_ids:
                nursery.start_soon(try_request_status, replica_id)
        return statuses

    def _get_timeout(self, timeout: float | None) -> float:
        return self._timeout if timeout is None else timeout

    async def _back_off(self) -> None:
        await trio.sleep(
            self._random.uniform(_MIN_RETRY_DELAY_SECONDS, _MAX_RETRY_DELAY_SECONDS)
        )

    async def _request(
        self, replica_id: str, message: Message, seconds: float
    ) -> Message:
        with trio.move_on_after(seconds):
            return await self._link.request(replica_id, message)
        raise LinkError(
            f"replica {replica_id} did not answer in time", may_have_run=True
        )

    async def _read_newest(
        self, message: Message, decode: Callable[[Message], _T], timeout: float | None
    ) -> _T:
        """Asks the replicas in turn until one is in contact with the leader.

        :param decode: decodes a reply with a version.
        :returns: the reply with the highest version, which is not lower than one
            that this client has seen.
        """
        newest_reply = None
        with trio.move_on_after(self._get_timeout(timeout)):
            while newest_reply is None:
                for replica_id in self._replica_ids:
                    reply = await self._try_read(replica_id, message, decode)
                    if reply is None or reply.version < self._seen_version:
                        continue
                    if newest_reply is None or reply.version > newest_reply.version:
                        newest_reply = reply
                    if reply.is_current:
                        break
                if newest_reply is None:
                    await self._back_off()
        if newest_reply is None:
            raise NoQuorumError("no replica answered", may_have_run=False)
        self._seen_version = newest_reply.version
        return newest_reply

    async def _try_read(
        self,
        replica_id: str,
        message: Message,
        decode: Callable[[Message], _T],
        seconds: float = _REQUEST_TIMEOUT_SECONDS,
    ) -> _T | None:
        try:
            return decode(await self._request(replica_id, message, seconds))
        except (LinkError, FrameError):
            return None

    async def _read_any(
        self, message: Message, timeout: float | None, seconds: float
    ) -> Message:
        with trio.move_on_after(self._get_timeout(timeout)):
            while True:
                for replica_id in self._replica_ids:
                    try:
                        return await self._request(replica_id, message, seconds)
                    except LinkError:
                        continue
                await self._back_off()
        raise NoQuorumError("no replica answered", may_have_run=False)

    async def _propose(self, command: Command, timeout: float | None) -> Result:
        proposal = _Proposal(_encode_proposal(command))
        with trio.move_on_after(self._get_timeout(timeout)):
            return await self._send_until_committed(proposal)
        raise NoQuorumError(
            f"no majority of the replicas answered: {proposal.last_error}",
            may_have_run=proposal.may_have_run,
        )

    async def _send_until_committed(self, proposal: "_Proposal") -> Result:
        position = 0
        while True:
            target = self._leader_id or self._get_replica_at(position)
            position += 1
            reply = await self._send_proposal(target, proposal)
            if reply is not None and reply.status is ProposeStatus.COMMITTED:
                self._leader_id = target
                return reply.result
            leader_hint = reply.leader_id if reply is not None else ""
            is_new_leader = leader_hint in self._replica_ids and leader_hint != target
            self._leader_id = leader_hint if is_new_leader else None
            if not is_new_leader or position % len(self._replica_ids) == 0:
                await self._back_off()

    def _get_replica_at(self, position: int) -> str:
        return self._replica_ids[position % len(self._replica_ids)]

    async def _send_proposal(
        self, replica_id: str, proposal: "_Proposal"
    ) -> ProposeReply | None:
        # If this is cancelled while the request is in flight, the command may be
        # committed.
        may_have_run_before, proposal.may_have_run = proposal.may_have_run, True
        try:
            message = await self._request(
                replica_id, proposal.message, _REQUEST_TIMEOUT_SECONDS
            )
            reply = codec.decode_propose_reply(message)
        except LinkError as error:
            proposal.last_error = str(error)
            proposal.may_have_run = may_have_run_before or error.may_have_run
            return None
        except FrameError as error:
            proposal.last_error = str(error)
            return None
        proposal.last_error = reply.message
        if reply.status in (ProposeStatus.NOT_LEADER, ProposeStatus.BUSY):
            proposal.may_have_run = may_have_run_before
        return reply


def _read_newer_routes(reply: TableReply | None, version: int) -> RouteTable | None:
    """Returns the routes in a reply if they are newer and can be read."""
    if reply is None or not reply.table_data or reply.version <= version:
        return None
    try:
        return decode_routes(reply.table_data)
    except FrameError as error:
        logging.error("Routes of version %d cannot be read: %s", reply.version, error)
        return None


@attrs.define(eq=False)
class _Proposal:
    message: Message
    may_have_run: bool = False
    last_error: str = "no replica was reachable"


def _encode_proposal(command: Command) -> Message:
    message = codec.encode_propose(command)
    size = len(message.body)
    if size > MAX_COMMAND_BYTES:
        raise ReplicationError(
            f"command of {size} bytes exceeds the limit of {MAX_COMMAND_BYTES} bytes; "
            "split the change",
            code="command-size",
        )
    return message


def create_id(source: random.Random) -> str:
    """Creates a random UUID for a change or a claim."""
    return str(uuid.UUID(int=source.getrandbits(128), version=4))


def create_replication_client(
    replica_ids: Sequence[str],
    link: ReplicaLink,
    source: random.Random,
    *,
    timeout: float = _DEFAULT_TIMEOUT_SECONDS,
) -> ReplicationClient:
    """Creates a client of the replicated state.

    :param replica_ids: ids of all replicas. Reads prefer the first ones, so the
        replicas in the caller's data centre should come first.
    :param link: sends requests to the replicas.
    :param source: random numbers for retry delays and ids; must be seeded
        differently in each process.
    :param timeout: default timeout for all attempts of an operation together,
        seconds.
    """
    return ReplicationClient(tuple(replica_ids), link, source, timeout)
