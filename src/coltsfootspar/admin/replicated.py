"""Admin paths over the replicated state, the same on nodes and replicas."""

import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import trio

from coltsfootspar.admin.routes import AdminRequest, AdminRouter
from coltsfootspar.admin.tables import decode_edits, encode_edits, encode_table
from coltsfootspar.exceptions import ConflictError, TableError
from coltsfootspar.replication import ReplicationClient
from coltsfootspar.replication.commands import Change, ChangeResult, ChangeStatus
from coltsfootspar.table import Table

__all__ = ["TableSource", "add_table_paths"]

_MAX_HISTORY = 1_000
_DEFAULT_HISTORY = 50
_WATCH_SECONDS = 25.0
_MAX_VERSION = 2**63
_MAX_OPERATOR = 200


@attrs.frozen
class TableSource:
    """Where the admin interface reads the table.

    :param read: returns the present table.
    :param wait: waits until its version is higher than the one given.
    """

    read: Callable[[], Awaitable[Table]]
    wait: Callable[[int], Awaitable[None]]


@attrs.define(eq=False)
class _TablePaths:
    _source: TableSource
    _client: ReplicationClient

    async def show(self, request: AdminRequest) -> Any:
        return encode_table(await self._source.read())

    async def watch(self, request: AdminRequest) -> Any:
        after = request.read_number("after", 0, _MAX_VERSION)
        with trio.move_on_after(_WATCH_SECONDS):
            await self._source.wait(after)
        return encode_table(await self._source.read())

    async def edit(self, request: AdminRequest) -> Any:
        content = request.content if isinstance(request.content, dict) else {}
        edits = decode_edits(content.get("edits"))
        result = await self._client.edit_cells(
            edits,
            str(content.get("operator", ""))[:_MAX_OPERATOR],
            change_id=_read_change_id(content),
        )
        _raise_unless_applied(result)
        return {"version": result.version}

    async def list_history(self, request: AdminRequest) -> Any:
        limit = request.read_number("limit", _DEFAULT_HISTORY, _MAX_HISTORY)
        changes = await self._client.history(limit)
        return {"changes": [_encode_change(change) for change in changes]}


def _read_change_id(content: dict[str, Any]) -> str:
    try:
        return str(uuid.UUID(str(content["change_id"])))
    except (KeyError, ValueError):
        raise TableError("change_id must be a UUID", code="malformed-edit") from None


def _raise_unless_applied(result: ChangeResult) -> None:
    if result.status is ChangeStatus.CONFLICT:
        raise ConflictError(result.message, value=result.value, version=result.version)
    if result.status is not ChangeStatus.APPLIED:
        raise TableError(result.message, code=result.code)


def _encode_change(change: Change) -> dict[str, Any]:
    return {
        "version": change.version,
        "change_id": change.change_id,
        "operator": change.operator,
        "time": change.time_ms / 1e3,
        "edits": encode_edits(change.edits),
    }


def add_table_paths(
    router: AdminRouter, source: TableSource, client: ReplicationClient
) -> None:
    """Adds ``/table`` and the paths below it."""
    paths = _TablePaths(source, client)
    router.add("GET", "/table", paths.show)
    router.add("GET", "/table/watch", paths.watch)
    router.add("POST", "/table/edits", paths.edit)
    router.add("GET", "/table/history", paths.list_history)
