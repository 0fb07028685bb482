"""Table of per-request policies that operators edit, one row per kind of request."""

from coltsfootspar.table.columns import (
    COLUMNS,
    Column,
    Execution,
    get_column,
    parse_cell,
)
from coltsfootspar.table.csvfile import export_csv, import_csv
from coltsfootspar.table.edits import (
    CellEdit,
    Edit,
    RowRemoval,
    apply_edits,
    check_edits,
)
from coltsfootspar.table.matching import RowMatcher, create_matcher
from coltsfootspar.table.rows import Row, RowKey, Table, create_table, parse_row_key

__all__ = [
    "COLUMNS",
    "CellEdit",
    "Column",
    "Edit",
    "Execution",
    "Row",
    "RowKey",
    "RowMatcher",
    "RowRemoval",
    "Table",
    "apply_edits",
    "check_edits",
    "create_matcher",
    "create_table",
    "export_csv",
    "get_column",
    "import_csv",
    "parse_cell",
    "parse_row_key",
]
