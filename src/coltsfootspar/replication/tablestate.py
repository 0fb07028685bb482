"""The replicated table with its history and the results of changes."""

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

__all__ = ["KEPT_CHANGES", "TableState"]

KEPT_CHANGES = 10_000
_MAX_LISTED_EDITS = 20_000


@attrs.define(eq=False)
class TableState:
    """The table, the last changes and the last results by change id."""

    table: Table = attrs.field(factory=Table)
    history: collections.deque[Change] = attrs.field(
        factory=lambda: collections.deque(maxlen=KEPT_CHANGES)
    )
    results: collections.OrderedDict[str, ChangeResult] = attrs.field(
        factory=collections.OrderedDict
    )

    def copy(self) -> "TableState":
        """Returns a copy that later changes leave alone."""
        return TableState(self.table, self.history.copy(), self.results.copy())

    def edit(self, command: EditCells, index: int, time_ms: int) -> ChangeResult:
        """Applies a change once; a resent one gets the result of the first.

        :param index: log index, the new version.
        :param time_ms: time of the entry.
        """
        kept = self.results.get(command.change_id)
        if kept is not None:
            return kept
        result = self._apply(command, index, time_ms)
        self.keep_result(command.change_id, result)
        return result

    def keep_result(self, change_id: str, result: ChangeResult) -> None:
        """Keeps a result, and drops the oldest beyond the limit."""
        self.results[change_id] = result
        if len(self.results) > KEPT_CHANGES:
            self.results.popitem(last=False)

    def list_history(self, limit: int, before_version: int = 0) -> list[Change]:
        """Lists changes, the latest first.

        A list with very many edits ends early, so that it fits into a message.

        :param before_version: only older changes; 0 for the latest.
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
