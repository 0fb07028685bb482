"""CSV import and export of the table, for editing in spreadsheets."""

import csv
import io

from coltsfootspar.exceptions import TableError
from coltsfootspar.table.columns import COLUMNS
from coltsfootspar.table.edits import CellEdit, check_edits
from coltsfootspar.table.rows import Table

__all__ = ["export_csv", "import_csv"]

_KEY_FIELD = "row"


def export_csv(table: Table) -> str:
    """Writes all rows as CSV with a header line."""
    stream = io.StringIO()
    writer = csv.writer(stream, lineterminator="\n")
    writer.writerow([_KEY_FIELD, *(column.name for column in COLUMNS)])
    for name, row in sorted(table.rows.items()):
        writer.writerow([name, *(row.get_value(column.name) for column in COLUMNS)])
    return stream.getvalue()


def import_csv(text: str, table: Table) -> tuple[CellEdit, ...]:
    """Computes the edits that set the cells of the table to the values of a CSV file.

    Empty cells and cells that already have their value yield no edit. Rows that
    are missing in the file remain unchanged.

    :param text: CSV with a header line; ``row`` is the only required field.
    :param table: current table, from which the expected versions are taken.
    :returns: the edits with expected versions, in the order of the file.
    :raises TableError: when the file has no ``row`` field or a key, column or value
        is invalid.
    """
    reader = csv.DictReader(io.StringIO(text))
    if _KEY_FIELD not in (reader.fieldnames or ()):
        raise TableError("the CSV file has no field 'row'", code="csv")
    edits = [
        CellEdit(record[_KEY_FIELD], name, value)
        for record in reader
        for name, value in record.items()
        if name != _KEY_FIELD and value not in (None, "")
    ]
    if not edits:
        return ()
    return tuple(
        edit
        for edit in (
            _add_expected_version(edit, table) for edit in check_edits(tuple(edits))
        )
        if edit is not None
    )


def _add_expected_version(edit: CellEdit, table: Table) -> CellEdit | None:
    row = table.rows.get(edit.row_key)
    if row is None:
        return CellEdit(edit.row_key, edit.column, edit.value, 0)
    if row.get_value(edit.column) == edit.value:
        return None
    version = row.versions[edit.column]
    return CellEdit(edit.row_key, edit.column, edit.value, version)
