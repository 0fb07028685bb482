"""Columns of the table, their types and ranges."""

import enum

import attrs

from coltsfootspar.exceptions import CellError

__all__ = ["COLUMNS", "CellValue", "Column", "Execution", "get_column", "parse_cell"]

CellValue = int | float | str


class Execution(enum.StrEnum):
    """Whether a request may run again or at most once per idempotency key."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@attrs.frozen
class Column:
    """Type, range and default of one column.

    :param name: name in the client and in CSV files.
    :param kind: type of the values: ``int``, ``float`` or ``str``.
    :param default: value of a new row.
    :param minimum: smallest value of a number.
    :param maximum: largest value of a number.
    :param choices: allowed values of a string.
    :param unit: unit of a number.
    :param help: one sentence for operators.
    """

    name: str
    kind: type
    default: CellValue
    minimum: float = 0
    maximum: float = 0
    choices: tuple[str, ...] = ()
    unit: str = ""
    help: str = ""

    def describe_range(self) -> str:
        """Returns the allowed values as text."""
        if self.choices:
            return "one of " + ", ".join(self.choices)
        type_name = "whole number" if self.kind is int else "number"
        unit = f" {self.unit}" if self.unit else ""
        return f"a {type_name} from {self.minimum:g} to {self.maximum:g}{unit}"


COLUMNS = (
    Column(
        "weight",
        int,
        10,
        1,
        1000,
        help="Relative share of the slots among rows of the same importance.",
    ),
    Column(
        "importance",
        int,
        5,
        0,
        9,
        help="Under overload, rows of lower importance are refused first.",
    ),
    Column(
        "execution",
        str,
        Execution.IDEMPOTENT.value,
        choices=tuple(Execution),
        help="Whether a request may run again, or at most once per idempotency key.",
    ),
    Column(
        "deadline_ms",
        int,
        5_000,
        10,
        600_000,
        unit="ms",
        help="Time limit of the whole request, measured from the entry.",
    ),
    Column(
        "retries",
        int,
        3,
        0,
        20,
        help="Maximum number of retries of the whole request, over all hops.",
    ),
    Column(
        "rate_limit",
        float,
        0.0,
        0,
        1_000_000,
        unit="calls/s",
        help="Maximum rate over all nodes; 0 sets no limit.",
    ),
    Column(
        "concurrency_limit",
        int,
        0,
        0,
        1_000_000,
        unit="calls",
        help="Maximum number of calls in progress over all nodes; 0 sets no limit.",
    ),
)
_COLUMNS_BY_NAME = {column.name: column for column in COLUMNS}


def get_column(name: str, row_key: str = "") -> Column:
    """Looks up a column.

    :param name: name of the column.
    :param row_key: text form of the row key, for the error message.
    :raises CellError: when there is no such column.
    """
    try:
        return _COLUMNS_BY_NAME[name]
    except KeyError:
        names = ", ".join(_COLUMNS_BY_NAME)
        raise CellError(
            f"row {row_key!r}: no column {name!r}; the columns are {names}",
            code="no-column",
        ) from None


def parse_cell(column: Column, value: object, row_key: str) -> CellValue:
    """Converts a value to the type of its column and validates it.

    :param column: column of the cell.
    :param value: text entered by an operator, or an already typed value.
    :param row_key: text form of the row key, for the error message.
    :returns: the converted value.
    :raises CellError: when the value is invalid; the message names row, column,
        value and allowed range.

    >>> parse_cell(get_column("retries"), "2", "specs GET /specs/{id}")
    2
    """
    parsed = _convert(column, value)
    if parsed is None or not _is_in_range(column, parsed):
        raise CellError(
            f"row {row_key!r}, column {column.name!r}: {value!r} is not "
            f"{column.describe_range()}"
        )
    return parsed


def _convert(column: Column, value: object) -> CellValue | None:
    if isinstance(value, bool):
        return None
    if column.kind is int and isinstance(value, float) and not value.is_integer():
        return None
    try:
        return column.kind(value)
    except (TypeError, ValueError, OverflowError):
        return None


def _is_in_range(column: Column, value: CellValue) -> bool:
    if column.choices:
        return value in column.choices
    return column.minimum <= value <= column.maximum
