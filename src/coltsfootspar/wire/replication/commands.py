"""Encoding of commands, log entries and the results of commands."""

import struct
from collections.abc import Callable
from typing import Any

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
from coltsfootspar.table import (
    CellEdit,
    Edit,
    RowRemoval,
)
from coltsfootspar.table.columns import CellValue
from coltsfootspar.wire.schemas import decode_struct, fill_list, load_schema

__all__ = [
    "SCHEMA",
    "decode_payload",
    "decode_command",
    "decode_entries",
    "encode_command",
    "encode_entries",
    "fill_change",
    "fill_change_result",
    "fill_value",
    "read_change",
    "read_change_result",
    "read_claim_result",
    "read_value",
]

SCHEMA = load_schema("replication")
_ENTRY = struct.Struct(">QQQI")


def decode_payload(kind: Any, payload: bytes, read: Callable[[Any], Any]) -> Any:
    """Decodes a payload; malformed fields become a FrameError."""
    reader = decode_struct(kind, payload)
    try:
        return read(reader)
    except (capnp.KjException, UnicodeDecodeError, ValueError, KeyError) as error:
        name = kind.schema.node.displayName
        raise FrameError(f"{name} has a malformed field") from error


# Values and edits


def fill_value(builder: Any, value: CellValue | None) -> None:
    """Writes the value of a cell; None leaves it empty."""
    if value is None:
        builder.none = None
    elif isinstance(value, str):
        builder.text = str(value)
    elif isinstance(value, int):
        builder.integer = value
    else:
        builder.number = float(value)


def read_value(value: Any) -> CellValue | None:
    """Reads the value of a cell; None when it is empty."""
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
        fill_value(builder.init("value"), edit.value)


def _read_edit(edit: Any) -> Edit:
    expected = edit.expectedVersion if edit.hasExpectedVersion else None
    if edit.isRemoval:
        return RowRemoval(edit.rowKey, expected)
    return CellEdit(edit.rowKey, edit.column, read_value(edit.value), expected)


# Commands and entries


def encode_command(command: Command) -> bytes:
    """Encodes a command."""
    message = SCHEMA.Command.new_message()
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
            fill_list(body, "edits", command.edits, _fill_edit)
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
    return decode_payload(SCHEMA.Command, data, _read_command)


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


# Results and history


def fill_change_result(builder: Any, result: ChangeResult) -> None:
    """Writes the result of a change."""
    builder.status = result.status.value
    builder.version = result.version
    builder.code = result.code
    builder.message = result.message
    fill_value(builder.init("value"), result.value)


def read_change_result(reader: Any) -> ChangeResult:
    """Reads the result of a change."""
    return ChangeResult(
        ChangeStatus(reader.status),
        reader.version,
        reader.code,
        reader.message,
        read_value(reader.value),
    )


def read_claim_result(reader: Any) -> ClaimResult:
    """Reads the result of a claim."""
    return ClaimResult(ClaimStatus(reader.status), bytes(reader.answer), reader.nodeId)


def fill_change(builder: Any, change: Change) -> None:
    """Writes a change of the history."""
    builder.version = change.version
    builder.timeMs = change.time_ms
    builder.changeId = change.change_id
    builder.operator = change.operator
    fill_list(builder, "edits", change.edits, _fill_edit)


def read_change(reader: Any) -> Change:
    """Reads a change of the history."""
    return Change(
        reader.version,
        reader.timeMs,
        reader.changeId,
        reader.operator,
        tuple(_read_edit(edit) for edit in reader.edits),
    )
