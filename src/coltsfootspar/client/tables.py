"""Commands of the group ``table``."""

import getpass
import pathlib
import sys
import uuid
from collections.abc import Sequence
from typing import Any

from coltsfootspar.admin import encode_edits
from coltsfootspar.client.connection import AdminConnection
from coltsfootspar.client.content import decode_table
from coltsfootspar.client.options import connect
from coltsfootspar.client.output import (
    format_count,
    format_time,
    print_grid,
    print_json,
    print_json_line,
)
from coltsfootspar.exceptions import (
    ClientError,
    ServerError,
    TableError,
    UnreachableError,
)
from coltsfootspar.table import (
    COLUMNS,
    CellEdit,
    Edit,
    RowRemoval,
    Table,
    check_edits,
    export_csv,
    get_column,
    import_csv,
)

__all__ = [
    "TABLE_COMMANDS",
    "export_table",
    "get_cells",
    "import_table",
    "remove_row",
    "set_cell",
    "show_history",
    "show_table",
    "watch_table",
]

_NUMBERS = tuple(column.name for column in COLUMNS if column.kind is not str)


def show_table(*, service: str = "", server: str | None = None, json: bool = False):
    """Shows all rows.

    :param service: show only the rows of this service
    :param server: URL of the admin interface of any node or replica
    :param json: print JSON
    """
    with connect(server) as connection:
        content = connection.get("/table")
    rows = [
        row for row in content["rows"] if not service or _get_service(row) == service
    ]
    if json:
        print_json({"version": content["version"], "rows": rows})
        return
    names = [column.name for column in COLUMNS]
    lines = [
        [row["row"], *(row["cells"].get(name, {}).get("value") for name in names)]
        for row in rows
    ]
    print_grid(["row", *names], lines, numbers=_NUMBERS)
    print(f"Table version {content['version']}, {format_count(len(rows), 'row')}.")


def get_cells(
    row: str, column: str = "", *, server: str | None = None, json: bool = False
):
    """Shows the cells of a row with their versions.

    :param row: row key, such as "specs GET /specs/{id}"
    :param column: show only this column
    :param server: URL of the admin interface of any node or replica
    :param json: print JSON
    """
    if column:
        get_column(column, row)
    with connect(server) as connection:
        content = connection.get("/table")
    cells = _find_cells(content, row)
    if cells is None:
        raise TableError(f"row {row!r} does not exist", code="no-row")
    selected = {name: cell for name, cell in cells.items() if column in ("", name)}
    if json:
        print_json({"row": row, "cells": selected})
        return
    lines = [
        [name, cell["value"], get_column(name).unit, cell["version"]]
        for name, cell in selected.items()
    ]
    headings = ["column", "value", "unit", "version"]
    print_grid(headings, lines, numbers=["value", "version"])


def set_cell(
    row: str,
    column: str,
    value: str,
    *,
    expect: int | None = None,
    operator: str = "",
    change_id: str = "",
    server: str | None = None,
    json: bool = False,
):
    """Sets one cell; a row that does not exist is created.

    Without --expect the version of the cell is read first, so that the change
    conflicts only with one made in between.

    :param row: row key, such as "specs GET /specs/{id}"
    :param column: name of the column
    :param value: new value
    :param expect: version that the cell must have, 0 for a row that does not exist
    :param operator: name for the history; the login name when not given
    :param change_id: id of an earlier attempt at this change, to send it again
    :param server: URL of the admin interface of any node or replica
    :param json: print JSON
    """
    (edit,) = check_edits((CellEdit(row, column, value),))
    with connect(server) as connection:
        if expect is None:
            table = decode_table(connection.get("/table"))
            expect = table.rows[row].versions[column] if row in table.rows else 0
        edits = [CellEdit(row, column, edit.value, expect)]
        answer = _send_change(connection, edits, operator, change_id)
    if json:
        print_json(answer)
        return
    created = " (new row)" if expect == 0 else ""
    print(f"Set {column} of {row} to {edit.value}{created}.")
    print(f"Table version {answer['version']}.")


def remove_row(
    row: str,
    *,
    expect: int | None = None,
    operator: str = "",
    change_id: str = "",
    server: str | None = None,
    json: bool = False,
):
    """Removes one row.

    :param row: row key, such as "specs GET /specs/{id}"
    :param expect: highest version among the cells of the row
    :param operator: name for the history; the login name when not given
    :param change_id: id of an earlier attempt at this change, to send it again
    :param server: URL of the admin interface of any node or replica
    :param json: print JSON
    """
    with connect(server) as connection:
        if expect is None:
            cells = _find_cells(connection.get("/table"), row)
            if cells is None:
                raise TableError(f"row {row!r} does not exist", code="no-row")
            expect = max(cell["version"] for cell in cells.values())
        edits = [RowRemoval(row, expect)]
        answer = _send_change(connection, edits, operator, change_id)
    if json:
        print_json(answer)
        return
    print(f"Removed {row}.")
    print(f"Table version {answer['version']}.")


def import_table(
    file: str,
    *,
    dry_run: bool = False,
    operator: str = "",
    change_id: str = "",
    server: str | None = None,
    json: bool = False,
):
    """Brings the table to the content of a CSV file, in one change.

    Rows that the file does not name stay as they are.

    :param file: CSV file with a header line, as "table export" writes it
    :param dry_run: show the edits and send nothing
    :param operator: name for the history; the login name when not given
    :param change_id: id of an earlier attempt at this change, to send it again
    :param server: URL of the admin interface of any node or replica
    :param json: print JSON
    """
    text = _read_file(file)
    with connect(server) as connection:
        table = decode_table(connection.get("/table"))
        edits = import_csv(text, table)
        if not json:
            _print_edits(edits, table)
        version = table.version
        is_sent = bool(edits) and not dry_run
        if is_sent:
            version = _send_change(connection, edits, operator, change_id)["version"]
    if json:
        print_json({"version": version, "edits": encode_edits(edits), "sent": is_sent})
        return
    if not edits:
        print("The table has this content already.")
    elif dry_run:
        print(f"{format_count(len(edits), 'edit')}, not sent.")
    else:
        print(f"{format_count(len(edits), 'edit')}. Table version {version}.")


def export_table(file: str = "-", *, server: str | None = None):
    """Writes the table as CSV.

    :param file: file to write, "-" for the standard output
    :param server: URL of the admin interface of any node or replica
    """
    with connect(server) as connection:
        text = export_csv(decode_table(connection.get("/table")))
    if file == "-":
        sys.stdout.write(text)
        return
    try:
        pathlib.Path(file).write_text(text, encoding="utf-8")
    except OSError as error:
        raise ClientError(f"cannot write {file}: {error.strerror}", code="file") from (
            error
        )


def show_history(*, limit: int = 20, server: str | None = None, json: bool = False):
    """Shows the last changes of the table.

    :param limit: number of changes
    :param server: URL of the admin interface of any node or replica
    :param json: print JSON
    """
    with connect(server) as connection:
        content = connection.get("/table/history", limit=limit)
    if json:
        print_json(content)
        return
    lines = [
        [
            change["version"],
            format_time(change["time"]),
            change["operator"],
            edit["row"],
            edit.get("column", "(row removed)"),
            edit.get("value"),
        ]
        for change in content["changes"]
        for edit in change["edits"]
    ]
    headings = ["version", "time (UTC)", "operator", "row", "column", "value"]
    print_grid(headings, lines, numbers=["version", "value"])


def watch_table(
    *,
    after: int | None = None,
    count: int = 0,
    server: str | None = None,
    json: bool = False,
):
    """Shows changes of the table as they take effect at the server.

    :param after: start with the first version above this one; the present one
        when not given
    :param count: stop after this many versions, 0 to go on
    :param server: URL of the admin interface of any node or replica
    :param json: print each version as JSON on one line
    """
    with connect(server) as connection:
        known = connection.get("/table")
        version = known["version"] if after is None else after
        if version < known["version"]:
            # The values before the changes that are shown first are not known.
            known = {"rows": []}
        seen = 0
        while not count or seen < count:
            content = connection.watch("/table/watch", after=version)
            # The long poll ends after a while also without a change.
            if content["version"] <= version:
                continue
            if json:
                print_json_line(content)
            else:
                _print_version(content, known, version)
            known, version = content, content["version"]
            seen += 1


TABLE_COMMANDS = {
    "show": show_table,
    "get": get_cells,
    "set": set_cell,
    "remove": remove_row,
    "import": import_table,
    "export": export_table,
    "history": show_history,
    "watch": watch_table,
}


def _send_change(
    connection: AdminConnection,
    edits: Sequence[Edit],
    operator: str,
    change_id: str,
) -> dict[str, Any]:
    """Sends a change; the id makes sending it again harmless."""
    change_id = change_id or str(uuid.uuid4())
    content = {
        "change_id": change_id,
        "operator": operator or getpass.getuser(),
        "edits": encode_edits(edits),
    }
    try:
        return connection.post("/table/edits", content)
    except (ServerError, UnreachableError) as error:
        if error.may_have_run:
            error.add_note(
                "The change may have been applied. Repeat the command with "
                f"--change-id {change_id} to learn its result."
            )
        raise


def _get_service(row: dict[str, Any]) -> str:
    return row["row"].partition(" ")[0]


def _find_cells(content: dict[str, Any], name: str) -> dict[str, Any] | None:
    rows = (row["cells"] for row in content["rows"] if row["row"] == name)
    return next(rows, None)


def _read_file(file: str) -> str:
    try:
        return pathlib.Path(file).read_text(encoding="utf-8-sig")
    except (OSError, UnicodeDecodeError) as error:
        raise ClientError(f"cannot read {file}: {error}", code="file") from error


def _print_edits(edits: Sequence[CellEdit], table: Table) -> None:
    lines = []
    for edit in edits:
        row = table.rows.get(edit.row_key)
        present = row.get_value(edit.column) if row else None
        lines.append([edit.row_key, edit.column, present, edit.value])
    if lines:
        headings = ["row", "column", "present", "new"]
        print_grid(headings, lines, numbers=["present", "new"])


def _print_version(
    content: dict[str, Any], known: dict[str, Any], version: int
) -> None:
    """Prints the cells that changed after a version.

    :param known: the last content that was read, for the values before.
    """
    before = _collect_cells(known)
    after = _collect_cells(content)
    lines = [
        [*place, before[place]["value"] if place in before else None, cell["value"]]
        for place, cell in sorted(after.items())
        if cell["version"] > version
    ]
    lines += [
        [*place, before[place]["value"], None]
        for place in sorted(before.keys() - after.keys())
    ]
    print(f"Table version {content['version']}:", flush=True)
    headings = ["row", "column", "before", "after"]
    print_grid(headings, lines, numbers=["before", "after"])


def _collect_cells(content: dict[str, Any]) -> dict[tuple[str, str], Any]:
    return {
        (row["row"], column): cell
        for row in content["rows"]
        for column, cell in row["cells"].items()
    }
