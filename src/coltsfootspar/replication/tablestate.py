"""The replicated table with its history and the results of recent changes."""

import collections

import attrs

from coltsfootspar.exceptions import ConflictError, TableError
from coltsfootspar.replication.commands import (
    Change,
    ChangeResult,
    ChangeStatus,
    EditCells,
)
from coltsfootspar.table import Table, apply_edits, check_edits

__all__ = ["MAX_KEPT_CHANGES", "TableState"]

MAX_KEPT_CHANGES = 10_000
_MAX_LISTED_EDITS = 20_000


@attrs.define(eq=False)
class TableState:
    """The table, its latest changes and the latest results.

    :param history: applied changes, oldest first.
    :param results: result by change id, oldest first, so that a resent change
        gets its first result.
    """

    table: Table = attrs.field(factory=Table)
    history: collections.deque[Change] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_KEPT_CHANGES)
    )
    results: collections.OrderedDict[str, ChangeResult] = attrs.field(
        factory=collections.OrderedDict
    )

    def copy(self) -> "TableState":
        """Returns a copy that later changes do not affect."""
        return TableState(self.table, self.history.copy(), self.results.copy())

    def edit(self, command: EditCells, index: int, time_ms: int) -> ChangeResult:
        """Applies a change once; a resent change gets the first result.

        :param index: log index of the entry, which becomes the table version.
        :param time_ms: time of the entry, milliseconds.
        """
        stored_result = self.results.get(command.change_id)
        if stored_result is not None:
            return stored_result
        result = self._apply(command, index, time_ms)
        self.store_result(command.change_id, result)
        return result

    def store_result(self, change_id: str, result: ChangeResult) -> None:
        """Stores a result and evicts the oldest one beyond the limit."""
        self.results[change_id] = result
        if len(self.results) > MAX_KEPT_CHANGES:
            self.results.popitem(last=False)

    def list_history(self, limit: int, before_version: int = 0) -> list[Change]:
        """Returns changes, the latest first.

        The list is cut short after a number of edits, so that it fits into one
        message.

        :param limit: largest number of changes.
        :param before_version: only changes with a lower version; 0 for the latest.
        """
        changes = []
        edits = 0
        for change in reversed(self.history):
            if len(changes) >= limit or edits >= _MAX_LISTED_EDITS:
                break
            if before_version == 0 or change.version < before_version:
                changes.append(change)
                edits += len(change.edits)
        return changes

    def _apply(self, command: EditCells, index: int, time_ms: int) -> ChangeResult:
        try:
            edits = check_edits(command.edits)
            self.table = apply_edits(self.table, edits, index)
        except ConflictError as error:
            return ChangeResult(
                ChangeStatus.CONFLICT,
                error.version,
                error.code,
                str(error),
                error.value,
            )
        except TableError as error:
            return ChangeResult(
                ChangeStatus.INVALID, code=error.code, message=str(error)
            )
        self.history.append(
            Change(index, time_ms, command.change_id, command.operator, edits)
        )
        return ChangeResult(ChangeStatus.APPLIED, index)
