"""Immutable rows and tables."""

import re
from collections.abc import Mapping
from types import MappingProxyType

import attrs

from coltsfootspar.exceptions import TableError
from coltsfootspar.table.columns import COLUMNS, CellValue, Execution

__all__ = ["Row", "RowKey", "Table", "create_row", "create_table", "parse_row_key"]

_SERVICE_REGEX = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_METHOD_REGEX = re.compile(r"[A-Z]{1,16}|\*")
_PATTERN_REGEX = re.compile(r"/\S{0,511}")


@attrs.frozen
class RowKey:
    """Service, method and path pattern of the requests that a row applies to.

    :param service: name of the service.
    :param method: HTTP method, or ``*`` for any.
    :param pattern: path pattern; ``{name}`` matches one segment, a trailing ``*``
        all remaining segments.
    """

    service: str
    method: str
    pattern: str

    def __str__(self) -> str:
        return f"{self.service} {self.method} {self.pattern}"


def parse_row_key(text: str) -> RowKey:
    """Parses the text form of a row key, such as ``specs GET /specs/{id}``.

    :raises TableError: when a part is missing or malformed.

    >>> parse_row_key("specs GET /specs/{id}").method
    'GET'
    """
    parts = text.split(" ")
    if len(parts) != 3:
        raise TableError(
            f"row {text!r}: expected 'service METHOD /path/pattern'", code="row-key"
        )
    for part, regex, part_name in zip(
        parts,
        (_SERVICE_REGEX, _METHOD_REGEX, _PATTERN_REGEX),
        ("service", "method", "path pattern"),
        strict=True,
    ):
        if not regex.fullmatch(part):
            raise TableError(
                f"row {text!r}: {part!r} is not a valid {part_name}", code="row-key"
            )
    return RowKey(*parts)


@attrs.frozen
class Row:
    """Policy for one kind of request.

    The fields from ``weight`` to ``concurrency_limit`` are the cells; see ``COLUMNS``.

    :param key: requests that the row applies to.
    :param versions: version of each cell by column: the log index of its last change.
    :param name: text form of the key.
    """

    key: RowKey
    weight: int
    importance: int
    execution: Execution
    deadline_ms: int
    retries: int
    rate_limit: float
    concurrency_limit: int
    versions: Mapping[str, int] = attrs.field(eq=True)
    name: str = ""

    def get_value(self, column: str) -> CellValue:
        """Returns the value of a cell.

        :param column: name of an existing column.
        """
        value = getattr(self, column)
        return value.value if isinstance(value, Execution) else value

    @property
    def is_idempotent(self) -> bool:
        """True when the request may run more than once."""
        return self.execution is Execution.IDEMPOTENT


def create_row(key: RowKey, version: int = 0, **values: CellValue) -> Row:
    """Creates a row; cells without a given value get the default of their column.

    :param version: version of all its cells.
    :param values: validated cell values by column name.
    """
    cells = {column.name: column.default for column in COLUMNS} | values
    cells["execution"] = Execution(cells["execution"])
    versions = {column.name: version for column in COLUMNS}
    return Row(key, versions=versions, name=str(key), **cells)


@attrs.frozen
class Table:
    """All rows at one version.

    :param version: log index of the last change.
    :param rows: rows by the text form of their key.
    """

    version: int = 0
    rows: Mapping[str, Row] = attrs.field(factory=dict, converter=MappingProxyType)


def create_table(rows: list[Row] | tuple[Row, ...] = (), version: int = 0) -> Table:
    """Creates a table from rows."""
    return Table(version, {row.name: row for row in rows})
