"""The table and its changes as JSON."""

from collections.abc import Iterable
from typing import Any

from coltsfootspar.exceptions import TableError
from coltsfootspar.table import COLUMNS, CellEdit, Edit, RowRemoval, Table, check_edits

__all__ = ["decode_edits", "encode_edits", "encode_table"]


def encode_table(table: Table) -> dict[str, Any]:
    """Encodes all rows with the version of each cell."""
    rows = [
        {
            "row": name,
            "cells": {
                column.name: {
                    "value": row.get_value(column.name),
                    "version": row.versions[column.name],
                }
                for column in COLUMNS
            },
        }
        for name, row in sorted(table.rows.items())
    ]
    return {"version": table.version, "rows": rows}


def decode_edits(content: Any) -> tuple[Edit, ...]:
    """Decodes and checks the edits of a change.

    :raises TableError: when the form or a value is not valid.
    """
    if not isinstance(content, list):
        raise TableError("edits must be a list", code="malformed-edit")
    return check_edits(tuple(_decode_edit(item) for item in content))


def _decode_edit(item: Any) -> Edit:
    if not isinstance(item, dict) or not isinstance(item.get("row"), str):
        raise TableError("an edit must name its row", code="malformed-edit")
    expected = item.get("expected_version")
    if expected is not None and (type(expected) is not int or expected < 0):
        raise TableError(
            "expected_version must be a whole number", code="malformed-edit"
        )
    if item.get("remove") is True:
        return RowRemoval(item["row"], expected)
    if not isinstance(item.get("column"), str) or "value" not in item:
        raise TableError("an edit must have column and value", code="malformed-edit")
    return CellEdit(item["row"], item["column"], item["value"], expected)


def encode_edits(edits: Iterable[Edit]) -> list[dict[str, Any]]:
    """Encodes the edits of a change."""
    return [_encode_edit(edit) for edit in edits]


def _encode_edit(edit: Edit) -> dict[str, Any]:
    common = {"row": edit.row_key, "expected_version": edit.expected_version}
    if isinstance(edit, RowRemoval):
        return {**common, "remove": True}
    return {**common, "column": edit.column, "value": edit.value}
