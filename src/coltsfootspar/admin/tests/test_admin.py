"""Operators must get an answer or a precise error, never a broken process."""

import json

import pytest

from coltsfootspar.admin import create_admin_router, decode_edits, encode_table
from coltsfootspar.exceptions import ConflictError, NoQuorumError, TableError
from coltsfootspar.memory import MemoryAccount
from coltsfootspar.table import CellEdit, RowRemoval, create_table, parse_row_key
from coltsfootspar.table.rows import create_row
from coltsfootspar.web import HttpRequest


async def ask(handler, target="/table", method="GET", body=b""):
    router = create_admin_router()
    router.add("GET", "/table", handler)
    router.add("GET", "/traces/{trace_id}", handler)
    response = await router.handle(HttpRequest(method, target, (), body))
    return response.status, json.loads(response.body)


def raising(error):
    async def handler(request):
        raise error

    return handler


@pytest.mark.parametrize(
    ("error", "status", "part"),
    [
        (ConflictError("x", value=3, version=9), 409, {"value": 3, "version": 9}),
        (TableError("bad"), 400, {"code": "table"}),
        (TableError("bad", code="no-row"), 404, {"code": "no-row"}),
        (NoQuorumError("x", may_have_run=True), 503, {"may_have_run": True}),
        (RuntimeError("x"), 500, {"code": "internal"}),
    ],
)
async def test_errors_keep_their_code_and_details(error, status, part):
    got, content = await ask(raising(error))
    assert got == status
    assert content.items() >= part.items()


async def test_path_parameters_and_unknown_paths():
    async def handler(request):
        return {**request.parameters, "after": request.read_number("after", 0, 10)}

    assert await ask(handler, "/traces/abc?after=3") == (
        200,
        {"trace_id": "abc", "after": 3},
    )
    assert (await ask(handler, "/traces/abc?after=11"))[0] == 400
    assert (await ask(handler, "/other"))[0] == 404
    assert (await ask(handler, "/table", "POST"))[0] == 405
    assert (await ask(handler, "/table", body=b"{"))[0] == 400


@pytest.mark.parametrize(
    "content",
    [
        None,
        [],
        {},
        [1],
        [{"row": "a GET /"}],
        [{"row": "a GET /", "column": "weight", "value": 1, "expected_version": "1"}],
        [{"row": "a GET /", "column": "weight", "value": [1]}],
        [{"row": 5, "remove": True}],
    ],
)
def test_malformed_edits_are_rejected(content):
    with pytest.raises(TableError):
        decode_edits(content)


def test_edits_are_decoded_with_their_types():
    edits = decode_edits(
        [
            {"row": "a GET /", "column": "weight", "value": "7", "expected_version": 2},
            {"row": "b GET /", "remove": True},
        ]
    )
    assert edits == (CellEdit("a GET /", "weight", 7, 2), RowRemoval("b GET /"))


def test_table_carries_the_version_of_each_cell():
    table = create_table([create_row(parse_row_key("a GET /"), 4)], version=6)
    content = encode_table(table)
    assert content["version"] == 6
    assert content["rows"][0]["cells"]["weight"] == {"value": 10, "version": 4}


async def _edit(account, body):
    """Posts a body, and returns the status and the code of the error."""

    async def handler(request):
        return {}

    router = create_admin_router(account)
    router.add("POST", "/table/edits", handler)
    response = await router.handle(HttpRequest("POST", "/table/edits", (), body))
    return response.status, json.loads(response.body).get("code")


async def test_dense_body_is_refused_before_it_is_decoded():
    """Guards against bodies of legal size that decode to more than the process has."""
    account = MemoryAccount(1 << 20)
    body = b"[" + b"[]," * 10_000 + b"[]]"
    assert await _edit(account, body) == (413, "too-dense")
    short = b"[" + b"[]," * 1_000 + b"[]]"
    assert await _edit(account, short) == (200, None)
    assert account.held_bytes == 0


async def test_large_body_is_refused_while_the_process_holds_much():
    """Guards against decoded bodies of many operators at the same time."""
    account = MemoryAccount(1 << 20)
    account.open_settled(900_000)
    body = b"[" + b"[]," * 1_000 + b"[]]"
    assert await _edit(account, body) == (503, "no-memory")
    assert await _edit(account, b"[]") == (200, None)
