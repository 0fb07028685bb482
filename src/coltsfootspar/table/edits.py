"""Edits of the table under optimistic concurrency control with cell versions."""

import attrs

from coltsfootspar.exceptions import ConflictError, TableError
from coltsfootspar.table.columns import CellValue, Execution, get_column, parse_cell
from coltsfootspar.table.rows import Row, Table, create_row, parse_row_key

__all__ = ["CellEdit", "Edit", "RowRemoval", "apply_edits", "check_edits"]

MAX_ROWS = 10_000


@attrs.frozen
class CellEdit:
    """Sets one cell; creates the row when it does not exist.

    :param row_key: text form of the row key.
    :param column: name of the column.
    :param value: new value; text is converted to the type of the column.
    :param expected_version: version of the cell that the operator read, 0 for a
        row that does not exist, None to set the cell regardless of its version.
    """

    row_key: str
    column: str
    value: CellValue
    expected_version: int | None = None


@attrs.frozen
class RowRemoval:
    """Removes one row.

    :param row_key: text form of the row key.
    :param expected_version: highest version among the cells that the operator
        read, None to remove the row regardless of its version.
    """

    row_key: str
    expected_version: int | None = None


Edit = CellEdit | RowRemoval


def check_edits(edits: tuple[Edit, ...]) -> tuple[Edit, ...]:
    """Validates row keys, columns and values, and converts the values.

    :returns: the edits with each value converted to the type of its column.
    :raises TableError: for the first invalid edit, or when there are no edits.
    """
    if not edits:
        raise TableError("the change has no edits", code="empty-change")
    return tuple(_check_edit(edit) for edit in edits)


def _check_edit(edit: Edit) -> Edit:
    parse_row_key(edit.row_key)
    if isinstance(edit, RowRemoval):
        return edit
    column = get_column(edit.column, edit.row_key)
    value = parse_cell(column, edit.value, edit.row_key)
    return attrs.evolve(edit, value=value)


def apply_edits(table: Table, edits: tuple[Edit, ...], version: int) -> Table:
    """Applies the edits atomically: all of them or none.

    :param table: table before the change; it is not modified.
    :param edits: edits that :func:`check_edits` has returned.
    :param version: log index of the change, higher than the table's version.
    :returns: the new table.
    :raises ConflictError: when a cell is not at its expected version.
    :raises TableError: when a row to be removed does not exist, or the new table
        has more than ``MAX_ROWS`` rows.
    """
    rows = dict(table.rows)
    for edit in edits:
        if isinstance(edit, RowRemoval):
            _remove_row(rows, edit)
        else:
            _set_cell(rows, edit, version)
    if len(rows) > MAX_ROWS:
        raise TableError(f"the table may have {MAX_ROWS} rows", code="too-many-rows")
    return Table(version, rows)


def _remove_row(rows: dict[str, Row], edit: RowRemoval) -> None:
    row = rows.get(edit.row_key)
    if row is None:
        raise TableError(f"row {edit.row_key!r} does not exist", code="no-row")
    current_version = max(row.versions.values())
    if edit.expected_version not in (None, current_version):
        raise ConflictError(
            f"row {edit.row_key!r} is at version {current_version}, not "
            f"{edit.expected_version}",
            value=None,
            version=current_version,
        )
    del rows[edit.row_key]


def _set_cell(rows: dict[str, Row], edit: CellEdit, version: int) -> None:
    row = rows.get(edit.row_key)
    current_version = row.versions[edit.column] if row else 0
    # An earlier edit of the same change may have created the row or set the cell,
    # which is then at the new version; that is no conflict.
    if (
        edit.expected_version not in (None, current_version)
        and current_version != version
    ):
        value = row.get_value(edit.column) if row else None
        raise ConflictError(
            f"row {edit.row_key!r}, column {edit.column!r} has the value {value!r} "
            f"at version {current_version}, not version {edit.expected_version}",
            value=value,
            version=current_version,
        )
    if row is None:
        row = create_row(parse_row_key(edit.row_key), version)
    value = Execution(edit.value) if edit.column == "execution" else edit.value
    rows[edit.row_key] = attrs.evolve(
        row,
        versions={**row.versions, edit.column: version},
        **{edit.column: value},
    )
