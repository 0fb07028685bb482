"""Encoding of commands, of the replicated state and of the replicas' messages."""

import struct
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import capnp

from coltsfootspar.exceptions import FrameError
from coltsfootspar.replication.commands import (
    Abandon,
    AdmitReplica,
    Change,
    ChangeResult,
    ChangeStatus,
    CheckRoutes,
    Claim,
    ClaimRecord,
    ClaimResult,
    ClaimStatus,
    Command,
    EditCells,
    Entry,
    Expire,
    Finish,
    NoOperation,
    ReplaceRoutes,
)
from coltsfootspar.replication.messages import (
    AppendReply,
    AppendRequest,
    HistoryReply,
    InstallReply,
    InstallRequest,
    JoinReply,
    JoinRequest,
    ProposeReply,
    ProposeStatus,
    ReplicaStatus,
    TableReply,
    VoteReply,
    VoteRequest,
)
from coltsfootspar.table import (
    CellEdit,
    Edit,
    Row,
    RowRemoval,
    Table,
    create_table,
    parse_row_key,
)
from coltsfootspar.table.columns import COLUMNS, CellValue
from coltsfootspar.table.rows import create_row
from coltsfootspar.wire.frames import FrameKind, Message
from coltsfootspar.wire.schemas import decode_struct, load_schema

__all__ = [
    "Incarnation",
    "KeptResult",
    "decode_append",
    "decode_append_reply",
    "decode_command",
    "decode_entries",
    "decode_history",
    "decode_history_request",
    "decode_install",
    "decode_install_reply",
    "decode_join",
    "decode_join_reply",
    "decode_look_up",
    "decode_look_up_reply",
    "decode_propose",
    "decode_propose_reply",
    "decode_snapshot_item",
    "decode_status",
    "decode_table",
    "decode_table_reply",
    "decode_table_request",
    "decode_vote",
    "decode_vote_reply",
    "encode_append",
    "encode_append_reply",
    "encode_command",
    "encode_entries",
    "encode_history",
    "encode_history_request",
    "encode_install",
    "encode_install_reply",
    "encode_join",
    "encode_join_reply",
    "encode_look_up",
    "encode_look_up_reply",
    "encode_propose",
    "encode_propose_reply",
    "encode_snapshot_item",
    "encode_status",
    "encode_table",
    "encode_table_reply",
    "encode_table_request",
    "encode_vote",
    "encode_vote_reply",
]

_schema = load_schema("replication")
_ENTRY = struct.Struct(">QQQI")

KeptResult = tuple[str, ChangeResult]
Incarnation = tuple[str, int]


def _decode(kind: Any, payload: bytes, read: Callable[[Any], Any]) -> Any:
    """Decodes a payload; malformed fields become a FrameError."""
    reader = decode_struct(kind, payload)
    try:
        return read(reader)
    except (capnp.KjException, UnicodeDecodeError, ValueError, KeyError) as error:
        name = kind.schema.node.displayName
        raise FrameError(f"{name} has a malformed field") from error


# Values and edits


def _fill_value(builder: Any, value: CellValue | None) -> None:
    if value is None:
        builder.none = None
    elif isinstance(value, str):
        builder.text = str(value)
    elif isinstance(value, int):
        builder.integer = value
    else:
        builder.number = float(value)


def _read_value(value: Any) -> CellValue | None:
    kind = value.which()
    return None if kind == "none" else getattr(value, kind)


def _fill_edit(builder: Any, edit: Edit) -> None:
    builder.rowKey = edit.row_key
    builder.hasExpectedVersion = edit.expected_version is not None
    builder.expectedVersion = edit.expected_version or 0
    if isinstance(edit, RowRemoval):
        builder.isRemoval = True
    else:
        builder.column = edit.column
        _fill_value(builder.init("value"), edit.value)


def _fill_list(
    builder: Any, field: str, values: Sequence[Any], fill: Callable[[Any, Any], None]
) -> None:
    items = builder.init(field, len(values))
    for index, value in enumerate(values):
        fill(items[index], value)


def _read_edit(edit: Any) -> Edit:
    expected = edit.expectedVersion if edit.hasExpectedVersion else None
    if edit.isRemoval:
        return RowRemoval(edit.rowKey, expected)
    return CellEdit(edit.rowKey, edit.column, _read_value(edit.value), expected)


# Commands and entries


def encode_command(command: Command) -> bytes:
    """Encodes a command."""
    message = _schema.Command.new_message()
    _fill_command(message, command)
    return message.to_bytes()


def _fill_command(message: Any, command: Command) -> None:
    # Fields are set one by one: new_message with nested dicts takes ten times as
    # long.
    match command:
        case EditCells():
            body = message.init("editCells")
            body.changeId = command.change_id
            body.operator = command.operator
            _fill_list(body, "edits", command.edits, _fill_edit)
        case Claim():
            _fill_claim(message.init("claim"), command)
        case Finish():
            body = message.init("finish")
            body.key = command.key
            body.claimId = command.claim_id
            body.answer = command.answer
            body.isKept = command.is_kept
        case Abandon():
            body = message.init("abandon")
            body.key = command.key
            body.claimId = command.claim_id
            body.mayHaveRun = command.may_have_run
        case AdmitReplica():
            body = message.init("admitReplica")
            body.replicaId = command.replica_id
            body.incarnation = command.incarnation
            body.address = command.address
        case ReplaceRoutes():
            body = message.init("replaceRoutes")
            body.version = command.version
            body.basis = command.base_version
            body.digest = command.digest
            body.data = command.data
        case CheckRoutes():
            message.checkRoutes = None
        case Expire():
            message.expire = None
        case NoOperation():
            message.noOperation = None


def _fill_claim(body: Any, command: Claim) -> None:
    body.key = command.key
    body.fingerprint = command.fingerprint
    body.claimId = command.claim_id
    body.nodeId = command.node_id
    body.nodeIncarnation = command.node_incarnation
    body.lifetimeMs = command.lifetime_ms
    body.retentionMs = command.retention_ms


def decode_command(data: bytes) -> Command:
    """Decodes a command.

    :raises FrameError: when the data is not a command.
    """
    return _decode(_schema.Command, data, _read_command)


def _read_command(reader: Any) -> Command:
    match reader.which():
        case "editCells":
            body = reader.editCells
            edits = tuple(_read_edit(edit) for edit in body.edits)
            return EditCells(body.changeId, body.operator, edits)
        case "claim":
            body = reader.claim
            return Claim(
                body.key,
                bytes(body.fingerprint),
                body.claimId,
                body.nodeId,
                body.nodeIncarnation,
                body.lifetimeMs,
                body.retentionMs,
            )
        case "finish":
            body = reader.finish
            return Finish(body.key, body.claimId, bytes(body.answer), body.isKept)
        case "abandon":
            body = reader.abandon
            return Abandon(body.key, body.claimId, body.mayHaveRun)
        case "admitReplica":
            body = reader.admitReplica
            return AdmitReplica(body.replicaId, body.incarnation, body.address)
        case "replaceRoutes":
            body = reader.replaceRoutes
            return ReplaceRoutes(
                body.version, body.basis, bytes(body.digest), bytes(body.data)
            )
        case "checkRoutes":
            return CheckRoutes()
        case "expire":
            return Expire()
    return NoOperation()


def encode_entries(entries: tuple[Entry, ...] | list[Entry]) -> bytes:
    """Encodes entries one after the other, for the log and for messages."""
    parts = []
    for entry in entries:
        header = (entry.index, entry.term, entry.time_ms, len(entry.data))
        parts.append(_ENTRY.pack(*header))
        parts.append(entry.data)
    return b"".join(parts)


def decode_entries(data: bytes) -> tuple[Entry, ...]:
    """Decodes entries.

    :raises FrameError: when the data ends inside an entry.
    """
    entries = []
    position = 0
    while position < len(data):
        start = position + _ENTRY.size
        if start > len(data):
            raise FrameError("entry header is cut short")
        index, term, time_ms, size = _ENTRY.unpack_from(data, position)
        position = start + size
        if position > len(data):
            raise FrameError("entry is cut short")
        entries.append(Entry(index, term, time_ms, data[start:position]))
    return tuple(entries)


# Results, history, table, claims


def _fill_change_result(builder: Any, result: ChangeResult) -> None:
    builder.status = result.status.value
    builder.version = result.version
    builder.code = result.code
    builder.message = result.message
    _fill_value(builder.init("value"), result.value)


def _read_change_result(reader: Any) -> ChangeResult:
    return ChangeResult(
        ChangeStatus(reader.status),
        reader.version,
        reader.code,
        reader.message,
        _read_value(reader.value),
    )


def _read_claim_result(reader: Any) -> ClaimResult:
    return ClaimResult(ClaimStatus(reader.status), bytes(reader.answer), reader.nodeId)


def _fill_change(builder: Any, change: Change) -> None:
    builder.version = change.version
    builder.timeMs = change.time_ms
    builder.changeId = change.change_id
    builder.operator = change.operator
    _fill_list(builder, "edits", change.edits, _fill_edit)


def _read_change(reader: Any) -> Change:
    return Change(
        reader.version,
        reader.timeMs,
        reader.changeId,
        reader.operator,
        tuple(_read_edit(edit) for edit in reader.edits),
    )


def _fill_table(builder: Any, table: Table) -> None:
    builder.version = table.version
    _fill_list(builder, "rows", tuple(table.rows.values()), _fill_row)


def _fill_row(builder: Any, row: Row) -> None:
    builder.key = row.name
    cells = builder.init("cells", len(COLUMNS))
    for index, column in enumerate(COLUMNS):
        cell = cells[index]
        cell.column = column.name
        cell.version = row.versions[column.name]
        _fill_value(cell.init("value"), row.get_value(column.name))


def _read_table(reader: Any) -> Table:
    return create_table([_read_row(row) for row in reader.rows], reader.version)


def _read_row(reader: Any) -> Row:
    values = {cell.column: _read_value(cell.value) for cell in reader.cells}
    versions = {cell.column: cell.version for cell in reader.cells}
    # A newer version of the program may know columns that this one does not.
    known = {c.name: values[c.name] for c in COLUMNS if c.name in values}
    row = create_row(parse_row_key(reader.key), **known)
    known_versions = {name: versions[name] for name in known}
    return attrs.evolve(row, versions={**row.versions, **known_versions})


def encode_table(table: Table) -> bytes:
    """Encodes a table."""
    message = _schema.Table.new_message()
    _fill_table(message, table)
    return message.to_bytes()


def decode_table(data: bytes) -> Table:
    """Decodes a table.

    :raises FrameError: when the data is not a table.
    """
    return _decode(_schema.Table, data, _read_table)


def _fill_record(builder: Any, record: ClaimRecord) -> None:
    builder.key = record.key
    builder.status = record.status.value
    builder.fingerprint = record.fingerprint
    builder.claimId = record.claim_id
    builder.nodeId = record.node_id
    builder.nodeIncarnation = record.node_incarnation
    builder.expiresMs = record.expires_ms
    builder.answer = record.answer
    builder.retentionMs = record.retention_ms


def _read_record(reader: Any) -> ClaimRecord:
    return ClaimRecord(
        reader.key,
        ClaimStatus(reader.status),
        bytes(reader.fingerprint),
        reader.claimId,
        reader.nodeId,
        reader.nodeIncarnation,
        reader.expiresMs,
        reader.retentionMs,
        bytes(reader.answer),
    )


def _fill_kept_result(builder: Any, kept: KeptResult) -> None:
    builder.changeId = kept[0]
    _fill_change_result(builder.init("result"), kept[1])


def _fill_incarnation(builder: Any, pair: Incarnation) -> None:
    builder.processId, builder.incarnation = pair


def _fill_accepted_routes(builder: Any, pair: tuple[int, bytes]) -> None:
    builder.version, builder.digest = pair


def _fill_seat(builder: Any, pair: tuple[str, str]) -> None:
    builder.replicaId, builder.address = pair


def _read_seat(reader: Any) -> tuple[str, str]:
    return reader.replicaId, reader.address


_ITEM_WRITERS = {
    "table": _fill_table,
    "change": _fill_change,
    "result": _fill_kept_result,
    "claim": _fill_record,
    "replica": _fill_incarnation,
    "node": _fill_incarnation,
    "acceptedRoutes": _fill_accepted_routes,
    "seat": _fill_seat,
}
_ITEM_READERS = {
    "timeMs": lambda value: value,
    "table": _read_table,
    "change": _read_change,
    "result": lambda reader: (reader.changeId, _read_change_result(reader.result)),
    "claim": _read_record,
    "abandonedClaim": lambda value: value,
    "replica": lambda reader: (reader.processId, reader.incarnation),
    "node": lambda reader: (reader.processId, reader.incarnation),
    "routes": bytes,
    "acceptedRoutes": lambda reader: (reader.version, bytes(reader.digest)),
    "seat": _read_seat,
}


def encode_snapshot_item(kind: str, value: Any) -> bytes:
    """Encodes one item of a snapshot.

    :param kind: name of the union member in ``replication.capnp``.
    """
    message = _schema.SnapshotItem.new_message()
    fill = _ITEM_WRITERS.get(kind)
    if fill is None:
        setattr(message, kind, value)
    else:
        fill(message.init(kind), value)
    return message.to_bytes()


def decode_snapshot_item(data: bytes) -> tuple[str, Any]:
    """Decodes one item of a snapshot.

    :returns: its kind and value.
    :raises FrameError: when the data is not an item.
    """

    def read(reader: Any) -> tuple[str, Any]:
        kind = reader.which()
        name = str(kind)
        return name, _ITEM_READERS[name](getattr(reader, name))

    return _decode(_schema.SnapshotItem, data, read)


# Messages between replicas


def encode_vote(kind: FrameKind, request: VoteRequest) -> Message:
    """Encodes a vote request as a message of ``VOTE`` or ``PRE_VOTE``."""
    payload = _schema.VoteRequest.new_message(
        term=request.term,
        candidateId=request.candidate_id,
        lastIndex=request.last_index,
        lastTerm=request.last_term,
    )
    return Message(kind, payload.to_bytes())


def decode_vote(message: Message) -> VoteRequest:
    """Decodes a vote request."""
    return _decode(
        _schema.VoteRequest,
        message.payload,
        lambda r: VoteRequest(r.term, r.candidateId, r.lastIndex, r.lastTerm),
    )


def encode_vote_reply(reply: VoteReply) -> Message:
    """Encodes the reply to a vote request."""
    payload = _schema.VoteReply.new_message(
        term=reply.term, isGranted=reply.is_granted, incarnation=reply.incarnation
    )
    return Message(FrameKind.VOTE_REPLY, payload.to_bytes())


def decode_vote_reply(message: Message) -> VoteReply:
    """Decodes the reply to a vote request."""
    return _decode(
        _schema.VoteReply,
        message.payload,
        lambda r: VoteReply(r.term, r.isGranted, r.incarnation),
    )


def encode_append(request: AppendRequest) -> Message:
    """Encodes an append request; the entries are the body."""
    payload = _schema.AppendRequest.new_message(
        term=request.term,
        leaderId=request.leader_id,
        previousIndex=request.previous_index,
        previousTerm=request.previous_term,
        commitIndex=request.commit_index,
        clusterId=request.cluster_id,
    )
    body = encode_entries(request.entries)
    return Message(FrameKind.APPEND, payload.to_bytes(), body)


def decode_append(message: Message) -> AppendRequest:
    """Decodes an append request."""
    entries = decode_entries(message.body)
    return _decode(
        _schema.AppendRequest,
        message.payload,
        lambda r: AppendRequest(
            r.term,
            r.leaderId,
            r.previousIndex,
            r.previousTerm,
            r.commitIndex,
            r.clusterId,
            entries,
        ),
    )


def encode_append_reply(reply: AppendReply) -> Message:
    """Encodes the reply to an append request."""
    payload = _schema.AppendReply.new_message(
        term=reply.term,
        isAccepted=reply.is_accepted,
        matchIndex=reply.match_index,
        nextIndex=reply.next_index,
        incarnation=reply.incarnation,
        isAdmitted=reply.is_admitted,
    )
    return Message(FrameKind.APPEND_REPLY, payload.to_bytes())


def decode_append_reply(message: Message) -> AppendReply:
    """Decodes the reply to an append request."""
    return _decode(
        _schema.AppendReply,
        message.payload,
        lambda r: AppendReply(
            r.term,
            r.isAccepted,
            r.matchIndex,
            r.nextIndex,
            r.incarnation,
            r.isAdmitted,
        ),
    )


def encode_install(request: InstallRequest) -> Message:
    """Encodes a part of a snapshot; its bytes are the body."""
    payload = _schema.InstallRequest.new_message(
        term=request.term,
        leaderId=request.leader_id,
        snapshotIndex=request.snapshot_index,
        snapshotTerm=request.snapshot_term,
        offset=request.offset,
        size=request.size,
        clusterId=request.cluster_id,
    )
    return Message(FrameKind.INSTALL_SNAPSHOT, payload.to_bytes(), request.data)


def decode_install(message: Message) -> InstallRequest:
    """Decodes a part of a snapshot."""
    return _decode(
        _schema.InstallRequest,
        message.payload,
        lambda r: InstallRequest(
            r.term,
            r.leaderId,
            r.snapshotIndex,
            r.snapshotTerm,
            r.offset,
            r.size,
            r.clusterId,
            message.body,
        ),
    )


def encode_install_reply(reply: InstallReply) -> Message:
    """Encodes the reply to a part of a snapshot."""
    payload = _schema.InstallReply.new_message(
        term=reply.term,
        nextOffset=reply.next_offset,
        isInstalled=reply.is_installed,
    )
    return Message(FrameKind.INSTALL_SNAPSHOT_REPLY, payload.to_bytes())


def decode_install_reply(message: Message) -> InstallReply:
    """Decodes the reply to a part of a snapshot."""
    return _decode(
        _schema.InstallReply,
        message.payload,
        lambda r: InstallReply(r.term, r.nextOffset, r.isInstalled),
    )


# Messages of clients


def encode_propose(command: Command) -> Message:
    """Encodes a proposal; the command is the body."""
    return Message(FrameKind.PROPOSE, body=encode_command(command))


def decode_propose(message: Message) -> Command:
    """Decodes a proposal."""
    return decode_command(message.body)


def encode_propose_reply(reply: ProposeReply) -> Message:
    """Encodes the reply to a proposal; a kept answer is the body."""
    payload = _schema.ProposeReply.new_message()
    payload.status = reply.status.value
    payload.leaderId = reply.leader_id
    payload.message = reply.message
    body = b""
    if isinstance(reply.result, ChangeResult):
        _fill_change_result(payload.init("change"), reply.result)
    elif isinstance(reply.result, ClaimResult):
        body = reply.result.answer
        claim = payload.init("claim")
        claim.status = reply.result.status.value
        claim.nodeId = reply.result.node_id
    return Message(FrameKind.PROPOSE_REPLY, payload.to_bytes(), body)


def decode_propose_reply(message: Message) -> ProposeReply:
    """Decodes the reply to a proposal."""

    def read(reader: Any) -> ProposeReply:
        result = None
        if reader.which() == "change":
            result = _read_change_result(reader.change)
        elif reader.which() == "claim":
            claim = _read_claim_result(reader.claim)
            result = ClaimResult(claim.status, message.body, claim.node_id)
        status = ProposeStatus(reader.status)
        return ProposeReply(status, reader.leaderId, reader.message, result)

    return _decode(_schema.ProposeReply, message.payload, read)


def encode_table_request(
    after_version: int, wait_ms: int, kind: FrameKind = FrameKind.WATCH_TABLE
) -> Message:
    """Encodes a watch of the table or of the routes."""
    payload = _schema.TableRequest.new_message(
        afterVersion=after_version, waitMs=wait_ms
    )
    return Message(kind, payload.to_bytes())


def decode_table_request(message: Message) -> tuple[int, int]:
    """Decodes a watch of the table.

    :returns: the version that the client has and the longest wait, ms.
    """
    return _decode(
        _schema.TableRequest, message.payload, lambda r: (r.afterVersion, r.waitMs)
    )


def encode_table_reply(reply: TableReply, kind: FrameKind = FrameKind.TABLE) -> Message:
    """Encodes the table or the routes; the data is the body."""
    payload = _schema.TableReply.new_message(
        version=reply.version,
        hasTable=bool(reply.table_data),
        isCurrent=reply.is_current,
    )
    return Message(kind, payload.to_bytes(), reply.table_data)


def decode_table_reply(message: Message) -> TableReply:
    """Decodes the reply to a read or a watch of the table."""
    return _decode(
        _schema.TableReply,
        message.payload,
        lambda r: TableReply(
            r.version, r.isCurrent, message.body if r.hasTable else b""
        ),
    )


def encode_history_request(limit: int, before_version: int) -> Message:
    """Encodes a request for changes.

    :param before_version: only older changes, 0 for the latest.
    """
    payload = _schema.HistoryRequest.new_message(
        limit=limit, beforeVersion=before_version
    )
    return Message(FrameKind.HISTORY, payload.to_bytes())


def decode_history_request(message: Message) -> tuple[int, int]:
    """Decodes a request for changes.

    :returns: limit and version.
    """
    return _decode(
        _schema.HistoryRequest, message.payload, lambda r: (r.limit, r.beforeVersion)
    )


def encode_history(reply: HistoryReply) -> Message:
    """Encodes changes; they are the body, which may be large."""
    payload = _schema.HistoryReply.new_message(
        version=reply.version, isCurrent=reply.is_current
    )
    _fill_list(payload, "changes", reply.changes, _fill_change)
    return Message(FrameKind.HISTORY_REPLY, body=payload.to_bytes())


def decode_history(message: Message) -> HistoryReply:
    """Decodes changes."""
    return _decode(
        _schema.HistoryReply,
        message.body,
        lambda r: HistoryReply(
            r.version, r.isCurrent, tuple(_read_change(c) for c in r.changes)
        ),
    )


def encode_look_up(key: str, wait_ms: int) -> Message:
    """Encodes a question for the state of a key."""
    payload = _schema.LookUpRequest.new_message(key=key, waitMs=wait_ms)
    return Message(FrameKind.LOOK_UP_CLAIM, payload.to_bytes())


def decode_look_up(message: Message) -> tuple[str, int]:
    """Decodes a question for the state of a key.

    :returns: the key and the longest wait while it is in progress, ms.
    """
    return _decode(_schema.LookUpRequest, message.payload, lambda r: (r.key, r.waitMs))


def encode_look_up_reply(result: ClaimResult) -> Message:
    """Encodes the state of a key; a kept answer is the body."""
    payload = _schema.ClaimResult.new_message(
        status=result.status.value, nodeId=result.node_id
    )
    return Message(FrameKind.LOOK_UP_CLAIM_REPLY, payload.to_bytes(), result.answer)


def decode_look_up_reply(message: Message) -> ClaimResult:
    """Decodes the state of a key."""
    return _decode(
        _schema.ClaimResult,
        message.payload,
        lambda r: ClaimResult(ClaimStatus(r.status), message.body, r.nodeId),
    )


def encode_status(status: ReplicaStatus) -> Message:
    """Encodes the state of a replica."""
    payload = _schema.StatusReply.new_message(
        replicaId=status.replica_id,
        role=status.role,
        term=status.term,
        leaderId=status.leader_id,
        lastIndex=status.last_index,
        commitIndex=status.commit_index,
        snapshotIndex=status.snapshot_index,
        tableVersion=status.table_version,
        claims=status.claims,
        isAdmitted=status.is_admitted,
        isCurrent=status.is_current,
        incarnation=status.incarnation,
    )
    return Message(FrameKind.STATUS_REPLY, payload.to_bytes())


def decode_status(message: Message) -> ReplicaStatus:
    """Decodes the state of a replica."""
    return _decode(
        _schema.StatusReply,
        message.payload,
        lambda r: ReplicaStatus(
            replica_id=r.replicaId,
            role=r.role,
            term=r.term,
            leader_id=r.leaderId,
            last_index=r.lastIndex,
            commit_index=r.commitIndex,
            snapshot_index=r.snapshotIndex,
            table_version=r.tableVersion,
            claims=r.claims,
            is_admitted=r.isAdmitted,
            is_current=r.isCurrent,
            incarnation=r.incarnation,
        ),
    )


def encode_join(request: JoinRequest) -> Message:
    """Encodes the request of a process that has no seat."""
    payload = _schema.JoinRequest.new_message()
    payload.address = request.address
    payload.processId = request.process_id
    return Message(FrameKind.JOIN, payload.to_bytes())


def decode_join(message: Message) -> JoinRequest:
    """Decodes the request of a process that has no seat."""
    return _decode(
        _schema.JoinRequest,
        message.payload,
        lambda r: JoinRequest(r.address, r.processId),
    )


def encode_join_reply(reply: JoinReply) -> Message:
    """Encodes the reply to a process that has no seat."""
    payload = _schema.JoinReply.new_message()
    payload.replicaId = reply.replica_id
    payload.leaderAddress = reply.leader_address
    payload.index = reply.index
    _fill_list(payload, "seats", tuple(reply.seats.items()), _fill_seat)
    return Message(FrameKind.JOIN_REPLY, payload.to_bytes())


def decode_join_reply(message: Message) -> JoinReply:
    """Decodes the reply to a process that has no seat."""
    return _decode(
        _schema.JoinReply,
        message.payload,
        lambda r: JoinReply(
            r.replicaId,
            r.leaderAddress,
            dict(_read_seat(seat) for seat in r.seats),
            r.index,
        ),
    )
