"""Client of the replicated state, for nodes and operators."""

import random
import uuid
from collections.abc import AsyncIterator, Callable, Sequence
from typing import TypeVar

import attrs
import trio

from coltsfootspar.exceptions import (
    ColtsfootsparError,
    FrameError,
    LinkError,
    NoQuorumError,
    ReplicationError,
)
from coltsfootspar.replication.commands import (
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
from coltsfootspar.replication.interfaces import ReplicaLink
from coltsfootspar.replication.leadership import MAX_COMMAND_BYTES
from coltsfootspar.replication.messages import (
    HistoryReply,
    ProposeReply,
    ProposeStatus,
    ReplicaStatus,
    TableReply,
)
from coltsfootspar.replication.replica import Replica
from coltsfootspar.routes import RouteTable, decode_routes
from coltsfootspar.table import Edit, Table, check_edits
from coltsfootspar.wire import FrameKind, Message, replication as codec

__all__ = [
    "LocalReplicaLink",
    "ReplicationClient",
    "create_id",
    "create_local_link",
    "create_replication_client",
]

_DEFAULT_TIMEOUT = 8.0
_REQUEST_SECONDS = 2.0
_WATCH_SECONDS = 5.0
_WATCH_MARGIN = 1.5
_READ_WAIT_MS = 1_000
_MIN_PAUSE = 0.05
_MAX_PAUSE = 0.25
_MS = 1_000
_T = TypeVar("_T", TableReply, HistoryReply)


@attrs.define(eq=False)
class ReplicationClient:
    """Finds the leader, resends after lost replies and reads the table.

    Every command carries an id and is applied once however often it is sent.
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
        """Changes the table.

        :param operator: who makes the change, for the history.
        :param change_id: to be given when a change is sent again after
            :exc:`NoQuorumError`; it then gets the result of the first.
        :param timeout: time for all tries, seconds.
        :raises TableError: when an edit is not valid.
        :raises ReplicationError: when the change is too large.
        :raises NoQuorumError: when no majority answered.
        """
        change_id = change_id or create_id(self._random)
        command = EditCells(change_id, operator, check_edits(tuple(edits)))
        result = await self._propose(command, timeout)
        self._seen_version = max(self._seen_version, result.version)
        return result

    async def claim(self, command: Claim, timeout: float | None = None) -> ClaimResult:
        """Asks for the right to execute a request.

        :raises NoQuorumError: when no majority answered.
        """
        return await self._propose(command, timeout)

    async def finish(
        self, command: Finish, timeout: float | None = None
    ) -> ClaimResult:
        """Records the answer of a claimed request.

        :raises NoQuorumError: when no majority answered.
        """
        return await self._propose(command, timeout)

    async def abandon(
        self, command: Abandon, timeout: float | None = None
    ) -> ClaimResult:
        """Ends a claim without an answer.

        :raises NoQuorumError: when no majority answered.
        """
        return await self._propose(command, timeout)

    async def look_up(
        self, key: str, *, wait: float = 0.0, timeout: float | None = None
    ) -> ClaimResult:
        """Asks one replica for the state of a key.

        The replica may be behind: an absent key may have been claimed.

        :param wait: longest wait while the key is in progress, seconds.
        :raises NoQuorumError: when no replica answered.
        """
        message = codec.encode_look_up(key, int(wait * _MS))
        reply = await self._read(message, timeout, wait + _WATCH_MARGIN)
        return codec.decode_look_up_reply(reply)

    async def read_table(self, timeout: float | None = None) -> Table:
        """Reads the table.

        The version is never lower than one that this client has seen. A replica
        that is in contact with the leader is preferred.

        :raises NoQuorumError: when no replica with that version answered.
        """
        message = Message(FrameKind.READ_TABLE)
        reply = await self._read_best(message, codec.decode_table_reply, timeout)
        return codec.decode_table(reply.table_data)

    async def watch_table(self, after_version: int = -1) -> AsyncIterator[Table]:
        """Yields each newer table, starting with the present one.

        Versions only grow. The iterator never ends; it goes on to the next
        replica when one is gone or cut off from the leader.

        :param after_version: version that the caller has already.
        """
        position = 0
        while True:
            replica_id = self._pick(position)
            reply = await self._watch(replica_id, after_version)
            if reply is not None and reply.table_data and reply.version > after_version:
                after_version = reply.version
                self._seen_version = max(self._seen_version, after_version)
                yield codec.decode_table(reply.table_data)
            if reply is None or not reply.is_current:
                position += 1
                await self._pause()
            elif not reply.table_data:
                # Back to the preferred replica; if it is still cut off, the next
                # round is here again.
                position = 0

    async def _watch(self, replica_id: str, after_version: int) -> TableReply | None:
        decode = codec.decode_table_reply
        if after_version < 0:
            message = Message(FrameKind.READ_TABLE)
            return await self._try_read(replica_id, message, decode)
        message = codec.encode_table_request(after_version, int(_WATCH_SECONDS * _MS))
        seconds = _WATCH_SECONDS + _WATCH_MARGIN
        return await self._try_read(replica_id, message, decode, seconds)

    async def replace_routes(
        self, command: ReplaceRoutes, timeout: float | None = None
    ) -> ChangeResult:
        """Puts a whole route table in place of the present one.

        :raises NoQuorumError: when no majority answered.
        """
        return await self._propose(command, timeout)

    async def read_routes(self, timeout: float | None = None) -> RouteTable:
        """Reads the routes that are certainly the newest.

        :raises NoQuorumError: when no majority of the replicas confirms it.
        """
        newest = await self._propose(CheckRoutes(), timeout)
        if newest.version == 0:
            return RouteTable()
        message = codec.encode_table_request(
            newest.version - 1, _READ_WAIT_MS, FrameKind.WATCH_ROUTES
        )
        with trio.move_on_after(self._get_timeout(timeout)):
            for replica_id in self._list_leader_first():
                reply = await self._try_read(
                    replica_id, message, codec.decode_table_reply
                )
                if reply is not None and reply.table_data:
                    return decode_routes(reply.table_data)
        raise NoQuorumError("no replica sent the routes", may_have_run=False)

    async def watch_routes(self) -> AsyncIterator[RouteTable]:
        """Yields each newer route table; versions only grow.

        The iterator never ends; it goes on to the next replica when one is gone
        or cut off from the leader.
        """
        version, position = 0, 0
        while True:
            message = codec.encode_table_request(
                version, int(_WATCH_SECONDS * _MS), FrameKind.WATCH_ROUTES
            )
            reply = await self._try_read(
                self._pick(position),
                message,
                codec.decode_table_reply,
                _WATCH_SECONDS + _WATCH_MARGIN,
            )
            if reply is not None and reply.table_data and reply.version > version:
                version = reply.version
                yield decode_routes(reply.table_data)
            if reply is None or not reply.is_current:
                position += 1
                await self._pause()

    def _list_leader_first(self) -> list[str]:
        return sorted(self._replica_ids, key=lambda name: name != self._leader_id)

    async def history(
        self, limit: int = 100, before_version: int = 0, timeout: float | None = None
    ) -> tuple[Change, ...]:
        """Reads the last changes, the latest first.

        :param before_version: only older changes; 0 for the latest.
        :raises NoQuorumError: when no replica with a table version that this
            client has seen answered.
        """
        message = codec.encode_history_request(limit, before_version)
        reply = await self._read_best(message, codec.decode_history, timeout)
        return reply.changes

    async def status(self) -> dict[str, ReplicaStatus | None]:
        """Asks all replicas for their state; None for those without answer."""
        found: dict[str, ReplicaStatus | None] = dict.fromkeys(self._replica_ids)

        async def ask(replica_id: str) -> None:
            reply = await self._request(
                replica_id, Message(FrameKind.STATUS), _REQUEST_SECONDS
            )
            found[replica_id] = codec.decode_status(reply)

        async def try_ask(replica_id: str) -> None:
            try:
                await ask(replica_id)
            except (LinkError, FrameError):
                return

        async with trio.open_nursery() as nursery:
            for replica_id in self._replica_ids:
                nursery.start_soon(try_ask, replica_id)
        return found

    def _get_timeout(self, timeout: float | None) -> float:
        return self._timeout if timeout is None else timeout

    async def _pause(self) -> None:
        await trio.sleep(self._random.uniform(_MIN_PAUSE, _MAX_PAUSE))

    async def _request(
        self, replica_id: str, message: Message, seconds: float
    ) -> Message:
        with trio.move_on_after(seconds):
            return await self._link.request(replica_id, message)
        raise LinkError(f"{replica_id} did not answer", may_have_run=True)

    async def _read_best(
        self, message: Message, decode: Callable[[Message], _T], timeout: float | None
    ) -> _T:
        """Reads from all replicas until one is in contact with the leader.

        :param decode: decodes a reply with a version.
        """
        best = None
        with trio.move_on_after(self._get_timeout(timeout)):
            while best is None:
                for replica_id in self._replica_ids:
                    reply = await self._try_read(replica_id, message, decode)
                    if reply is None or reply.version < self._seen_version:
                        continue
                    if best is None or reply.version > best.version:
                        best = reply
                    if reply.is_current:
                        break
                if best is None:
                    await self._pause()
        if best is None:
            raise NoQuorumError("no replica answered", may_have_run=False)
        self._seen_version = best.version
        return best

    async def _try_read(
        self,
        replica_id: str,
        message: Message,
        decode: Callable[[Message], _T],
        seconds: float = _REQUEST_SECONDS,
    ) -> _T | None:
        try:
            return decode(await self._request(replica_id, message, seconds))
        except (LinkError, FrameError):
            return None

    async def _read(
        self, message: Message, timeout: float | None, seconds: float
    ) -> Message:
        with trio.move_on_after(self._get_timeout(timeout)):
            while True:
                for replica_id in self._replica_ids:
                    try:
                        return await self._request(replica_id, message, seconds)
                    except LinkError:
                        continue
                await self._pause()
        raise NoQuorumError("no replica answered", may_have_run=False)

    async def _propose(self, command: Command, timeout: float | None) -> Result:
        proposal = _Proposal(_encode_proposal(command))
        with trio.move_on_after(self._get_timeout(timeout)):
            return await self._send_until_committed(proposal)
        raise NoQuorumError(
            f"no majority of the replicas answered: {proposal.problem}",
            may_have_run=proposal.may_have_run,
        )

    async def _send_until_committed(self, proposal: "_Proposal") -> Result:
        position = 0
        while True:
            target = self._leader_id or self._pick(position)
            position += 1
            reply = await self._send_proposal(target, proposal)
            if reply is not None and reply.status is ProposeStatus.COMMITTED:
                self._leader_id = target
                return reply.result
            hint = reply.leader_id if reply is not None else ""
            is_new_hint = hint in self._replica_ids and hint != target
            self._leader_id = hint if is_new_hint else None
            if not is_new_hint or position % len(self._replica_ids) == 0:
                await self._pause()

    def _pick(self, position: int) -> str:
        return self._replica_ids[position % len(self._replica_ids)]

    async def _send_proposal(
        self, replica_id: str, proposal: "_Proposal"
    ) -> ProposeReply | None:
        # Cancelled while the request is on its way, it may be committed.
        earlier, proposal.may_have_run = proposal.may_have_run, True
        try:
            message = await self._request(
                replica_id, proposal.message, _REQUEST_SECONDS
            )
            reply = codec.decode_propose_reply(message)
        except LinkError as error:
            proposal.problem = str(error)
            proposal.may_have_run = earlier or error.may_have_run
            return None
        except FrameError as error:
            proposal.problem = str(error)
            return None
        proposal.problem = reply.message
        if reply.status in (ProposeStatus.NOT_LEADER, ProposeStatus.BUSY):
            proposal.may_have_run = earlier
        return reply


@attrs.define(eq=False)
class _Proposal:
    message: Message
    may_have_run: bool = False
    problem: str = "no replica was reached"


@attrs.define(eq=False)
class LocalReplicaLink:
    """Requests to a replica in the same process, and to others over a link."""

    _replica: Replica
    _replica_id: str
    _others: ReplicaLink | None

    async def request(self, replica_id: str, message: Message) -> Message:
        """Sends a request and waits for the reply.

        :raises LinkError: when there is no reply.
        """
        if replica_id == self._replica_id:
            return await self._request_local(message)
        if self._others is None:
            raise LinkError(f"no link to {replica_id}", may_have_run=False)
        return await self._others.request(replica_id, message)

    async def _request_local(self, message: Message) -> Message:
        try:
            return await self._replica.handle(self._replica_id, message)
        except ColtsfootsparError as error:
            raise LinkError(str(error), may_have_run=True, code=error.code) from error


def _encode_proposal(command: Command) -> Message:
    message = codec.encode_propose(command)
    size = len(message.body)
    if size > MAX_COMMAND_BYTES:
        raise ReplicationError(
            f"command of {size} bytes exceeds {MAX_COMMAND_BYTES}; split the change",
            code="command-size",
        )
    return message


def create_id(source: random.Random) -> str:
    """Creates a random id for a change or a claim."""
    return str(uuid.UUID(int=source.getrandbits(128), version=4))


def create_local_link(
    replica: Replica, others: ReplicaLink | None = None
) -> LocalReplicaLink:
    """Creates a link that serves one replica without a connection.

    :param others: link to the other replicas of the cluster.
    """
    return LocalReplicaLink(replica, replica.core.replica_id, others)


def create_replication_client(
    replica_ids: Sequence[str],
    link: ReplicaLink,
    source: random.Random,
    *,
    timeout: float = _DEFAULT_TIMEOUT,
) -> ReplicationClient:
    """Creates a client.

    :param replica_ids: all replicas; reads go to the first ones, so those of the
        own data centre come first.
    :param source: random numbers for pauses and ids; seeded differently in each
        process.
    :param timeout: default time for all tries of an operation, seconds.
    """
    return ReplicationClient(tuple(replica_ids), link, source, timeout)
