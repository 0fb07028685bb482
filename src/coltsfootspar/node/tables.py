"""The node's copy of the table."""

import time

import attrs
import trio
from absl import logging

from coltsfootspar.table import RowMatcher, Table, create_matcher, create_table

__all__ = ["TableCopy", "create_table_copy"]


@attrs.define(eq=False)
class TableCopy:
    """The highest version of the table that this node has seen.

    :param table: the table in force.
    :param applied_at: Unix time at which it came into force, seconds.
    """

    table: Table
    _matcher: RowMatcher
    applied_at: float = 0.0
    _changed: trio.Event = attrs.field(factory=trio.Event)

    @property
    def matcher(self) -> RowMatcher:
        """Rows of the version in force."""
        return self._matcher

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self.table.version

    def apply(self, table: Table) -> bool:
        """Puts a table into force unless it is older than the present one.

        News may arrive in any order and from several sources; the version alone
        decides.

        :returns: false when the table was not newer.
        """
        if table.version <= self.table.version:
            return False
        self.table = table
        self._matcher = create_matcher(table)
        self.applied_at = time.time()
        self._changed.set()
        self._changed = trio.Event()
        logging.info("Table version %d is in force", table.version)
        return True

    async def wait_for_change(self) -> None:
        """Waits until the next version is in force."""
        await self._changed.wait()


def create_table_copy() -> TableCopy:
    """Creates a copy without rows at version 0."""
    table = create_table()
    return TableCopy(table, create_matcher(table))
