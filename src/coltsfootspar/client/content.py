"""Conversion of the table from JSON to the table model."""

from typing import Any

import attrs

from coltsfootspar.table import (
    COLUMNS,
    Execution,
    Table,
    create_table,
    parse_row_key,
)
from coltsfootspar.table.rows import Row, create_row

__all__ = ["decode_table"]


def decode_table(content: dict[str, Any]) -> Table:
    """Decodes the table of the admin interface.

    Columns that this version of the client does not know are left out, those
    that an older server does not have keep their default.
    """
    rows = [_decode_row(row["row"], row["cells"]) for row in content["rows"]]
    return create_table(rows, content["version"])


def _decode_row(name: str, cells: dict[str, Any]) -> Row:
    known = {
        column.name: cells[column.name] for column in COLUMNS if column.name in cells
    }
    values = {column: cell["value"] for column, cell in known.items()}
    if "execution" in values:
        values["execution"] = Execution(values["execution"])
    row = create_row(parse_row_key(name), **values)
    versions = {column: cell["version"] for column, cell in known.items()}
    return attrs.evolve(row, versions={**row.versions, **versions})
