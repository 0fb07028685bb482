"""Encoding of the table and of the other parts of the replicated state."""

from typing import Any

import attrs

from coltsfootspar.replication.commands import (
    ChangeResult,
    ClaimRecord,
    ClaimStatus,
)
from coltsfootspar.table import (
    Row,
    Table,
    create_table,
    parse_row_key,
)
from coltsfootspar.table.columns import COLUMNS
from coltsfootspar.table.rows import create_row
from coltsfootspar.wire.replication.commands import (
    SCHEMA,
    decode_payload,
    fill_change,
    fill_change_result,
    fill_value,
    read_change,
    read_change_result,
    read_value,
)
from coltsfootspar.wire.schemas import fill_list

__all__ = [
    "Incarnation",
    "KeptResult",
    "decode_snapshot_item",
    "decode_table",
    "encode_snapshot_item",
    "encode_table",
    "fill_incarnation",
    "fill_seat",
    "read_incarnation",
    "read_seat",
]

KeptResult = tuple[str, ChangeResult]
Incarnation = tuple[str, int]


def _fill_table(builder: Any, table: Table) -> None:
    builder.version = table.version
    fill_list(builder, "rows", tuple(table.rows.values()), _fill_row)


def _fill_row(builder: Any, row: Row) -> None:
    builder.key = row.name
    cells = builder.init("cells", len(COLUMNS))
    for index, column in enumerate(COLUMNS):
        cell = cells[index]
        cell.column = column.name
        cell.version = row.versions[column.name]
        fill_value(cell.init("value"), row.get_value(column.name))


def _read_table(reader: Any) -> Table:
    return create_table([_read_row(row) for row in reader.rows], reader.version)


def _read_row(reader: Any) -> Row:
    values = {cell.column: read_value(cell.value) for cell in reader.cells}
    versions = {cell.column: cell.version for cell in reader.cells}
    # A newer version of the program may know columns that this one does not.
    known = {c.name: values[c.name] for c in COLUMNS if c.name in values}
    row = create_row(parse_row_key(reader.key), **known)
    known_versions = {name: versions[name] for name in known}
    return attrs.evolve(row, versions={**row.versions, **known_versions})


def encode_table(table: Table) -> bytes:
    """Encodes a table."""
    message = SCHEMA.Table.new_message()
    _fill_table(message, table)
    return message.to_bytes()


def decode_table(data: bytes) -> Table:
    """Decodes a table.

    :raises FrameError: when the data is not a table.
    """
    return decode_payload(SCHEMA.Table, data, _read_table)


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
    fill_change_result(builder.init("result"), kept[1])


def fill_incarnation(builder: Any, pair: Incarnation) -> None:
    """Writes the incarnation of a process."""
    builder.processId, builder.incarnation = pair


def read_incarnation(reader: Any) -> Incarnation:
    """Reads the incarnation of a process."""
    return reader.processId, reader.incarnation


def _fill_accepted_routes(builder: Any, pair: tuple[int, bytes]) -> None:
    builder.version, builder.digest = pair


def fill_seat(builder: Any, pair: tuple[str, str]) -> None:
    """Writes a seat and the address of its holder."""
    builder.replicaId, builder.address = pair


def read_seat(reader: Any) -> tuple[str, str]:
    """Reads a seat and the address of its holder."""
    return reader.replicaId, reader.address


_ITEM_WRITERS = {
    "table": _fill_table,
    "change": fill_change,
    "result": _fill_kept_result,
    "claim": _fill_record,
    "replica": fill_incarnation,
    "node": fill_incarnation,
    "acceptedRoutes": _fill_accepted_routes,
    "seat": fill_seat,
}
_ITEM_READERS = {
    "timeMs": lambda value: value,
    "table": _read_table,
    "change": read_change,
    "result": lambda reader: (reader.changeId, read_change_result(reader.result)),
    "claim": _read_record,
    "abandonedClaim": lambda value: value,
    "replica": read_incarnation,
    "node": read_incarnation,
    "routes": bytes,
    "acceptedRoutes": lambda reader: (reader.version, bytes(reader.digest)),
    "seat": read_seat,
}


def encode_snapshot_item(kind: str, value: Any) -> bytes:
    """Encodes one item of a snapshot.

    :param kind: name of the union member in ``replication.capnp``.
    """
    message = SCHEMA.SnapshotItem.new_message()
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

    return decode_payload(SCHEMA.SnapshotItem, data, read)
