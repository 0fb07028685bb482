"""HTTP stand-in of the admin interface."""

import http.server
import json
import threading

import pytest

from coltsfootspar.client.main import run
from coltsfootspar.exceptions import ConflictError, TableError
from coltsfootspar.table import (
    COLUMNS,
    CellEdit,
    RowRemoval,
    Table,
    apply_edits,
    check_edits,
)


class StandIn:
    """Table with its history behind the paths of the admin interface.

    :param later_edits: cells that are set one by one while the table is watched.
    :param lost_replies: requests that are executed but get no reply.
    :param failure: status and content of the answer to all changes, or None.
    """

    def __init__(self):
        self.table = Table()
        self.changes = []
        self.results = {}
        self.requests = []
        self.pages = {}
        self.later_edits = []
        self.lost_replies = 0
        self.failure = None

    def edit(self, row, column, value):
        self.apply([{"row": row, "column": column, "value": value}], "setup", "setup")

    def apply(self, items, operator, change_id):
        version = self.table.version + 1
        edits = check_edits(tuple(map(decode_edit, items)))
        self.table = apply_edits(self.table, edits, version)
        change = {
            "version": version,
            "change_id": change_id,
            "operator": operator,
            "time": 1_700_000_000 + version,
            "edits": items,
        }
        self.changes.insert(0, change)
        return {"version": version}

    def answer(self, method, target, content):
        self.requests.append((method, target, content))
        path = target.partition("?")[0]
        if path == "/table/watch":
            self.apply_next_edit()
        if path in ("/table", "/table/watch"):
            return 200, encode_table(self.table)
        if path == "/table/history":
            return 200, {"changes": self.changes}
        if path == "/table/edits":
            return self.answer_edits(content)
        if path in self.pages:
            return 200, self.pages[path]
        return 404, {"code": "no-path", "message": f"no path {path}"}

    def apply_next_edit(self):
        if self.later_edits:
            self.edit(*self.later_edits.pop(0))

    def answer_edits(self, content):
        if self.failure is not None:
            return self.failure
        change_id = content["change_id"]
        if change_id not in self.results:
            self.results[change_id] = self.try_apply(content)
        return self.results[change_id]

    def try_apply(self, content):
        try:
            change = (content["edits"], content["operator"], content["change_id"])
            return 200, self.apply(*change)
        except ConflictError as error:
            fields = {"value": error.value, "version": error.version}
            return 409, {"code": error.code, "message": str(error), **fields}
        except TableError as error:
            return 400, {"code": error.code, "message": str(error)}


def decode_edit(item):
    expected = item.get("expected_version")
    if item.get("remove"):
        return RowRemoval(item["row"], expected)
    return CellEdit(item["row"], item["column"], item["value"], expected)


def encode_table(table):
    rows = []
    for name, row in sorted(table.rows.items()):
        cells = {
            column.name: {
                "value": row.get_value(column.name),
                "version": row.versions[column.name],
            }
            for column in COLUMNS
        }
        rows.append({"row": name, "cells": cells})
    return {"version": table.version, "rows": rows}


def create_handler(stand_in):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def respond(self):
            length = int(self.headers.get("content-length", 0))
            body = self.rfile.read(length)
            content = json.loads(body) if body else None
            status, answer = stand_in.answer(self.command, self.path, content)
            if stand_in.lost_replies > 0 and self.command == "POST":
                stand_in.lost_replies -= 1
                self.close_connection = True
                return
            data = json.dumps(answer).encode()
            self.send_response(status)
            self.send_header("content-length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = respond  # noqa: N815

        def log_message(self, *arguments):
            """Keeps the output of the tests clean."""

    return Handler


@pytest.fixture
def stand_in():
    stand_in = StandIn()
    stand_in.edit("specs GET /specs/{id}", "importance", 9)
    stand_in.edit("specs GET /specs/{id}", "weight", 40)
    stand_in.edit("wallet GET /summaries/*", "deadline_ms", 60_000)
    return stand_in


@pytest.fixture
def client(stand_in, monkeypatch, capsys):
    """Runs the client against the stand-in; returns exit code and outputs."""
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), create_handler(stand_in))
    thread = threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True)
    thread.start()
    port = server.server_address[1]
    monkeypatch.setenv("COLTSFOOTSPAR_SERVER", f"http://127.0.0.1:{port}")
    monkeypatch.setenv("LOGNAME", "amina")

    def run_client(*arguments):
        code = run(arguments)
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    yield run_client
    server.shutdown()
    server.server_close()
    thread.join()
