"""Priority queue of the calls that wait for a slot."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs
import trio
from sortedcontainers import SortedList

from coltsfootspar.admission.rows import RowProfile

if TYPE_CHECKING:
    from coltsfootspar.admission.job_classes import JobClass

__all__ = ["WaitQueue", "Waiter", "compute_service_order"]


@attrs.define(eq=False)
class Waiter:
    """A call that waits for a slot.

    :param task: task that is resumed with a permit or a refusal.
    :param profile: profile of the row of the call.
    :param level: order of service, larger first.
    :param rank: order of refusal, smaller first.
    :param deadline: trio clock, seconds.
    :param sequence: order of arrival.
    :param work: expected service time, seconds.
    :param importance: importance of the request.
    :param arrived_at: trio clock, seconds.
    :param job_class: class of the call, short or long.
    """

    task: trio.lowlevel.Task
    profile: RowProfile
    level: int
    rank: int
    deadline: float
    sequence: int
    work: float
    importance: int
    arrived_at: float
    job_class: "JobClass"


@attrs.define(eq=False)
class _Level:
    """Waiting calls of one level, grouped by row and ordered by deadline."""

    rows: dict[str, SortedList] = attrs.field(factory=dict)
    work: float = 0.0


@attrs.define(eq=False)
class WaitQueue:
    """Keeps waiting calls ordered both for service and for refusal.

    :param work: expected service time of all waiting calls, seconds.
    """

    work: float = 0.0
    _levels: dict[int, _Level] = attrs.field(factory=dict)
    _by_rank: SortedList = attrs.field(factory=SortedList)

    def __len__(self) -> int:
        return len(self._by_rank)

    def __iter__(self) -> Iterable[Waiter]:
        return (entry[2] for entry in self._by_rank)

    def add(self, waiter: Waiter) -> None:
        """Adds a call to both orders."""
        level = self._levels.get(waiter.level)
        if level is None:
            level = self._levels[waiter.level] = _Level()
        row = level.rows.get(waiter.profile.name)
        if row is None:
            row = level.rows[waiter.profile.name] = SortedList()
        row.add((waiter.deadline, waiter.sequence, waiter))
        self._by_rank.add((waiter.rank, -waiter.sequence, waiter))
        level.work += waiter.work
        self.work += waiter.work

    def remove(self, waiter: Waiter) -> None:
        """Removes a call that is in the queue."""
        level = self._levels[waiter.level]
        row = level.rows[waiter.profile.name]
        row.remove((waiter.deadline, waiter.sequence, waiter))
        self._by_rank.remove((waiter.rank, -waiter.sequence, waiter))
        level.work -= waiter.work
        self.work -= waiter.work
        if not row:
            del level.rows[waiter.profile.name]
        if not level.rows:
            del self._levels[waiter.level]
        if not self._by_rank:
            # Rounding errors may leave the sum slightly off 0.
            self.work = 0.0

    def list_row(self, profile: RowProfile) -> list[Waiter]:
        """Returns the waiting calls of a row, lowest rank first."""
        return [waiter for waiter in self if waiter.profile is profile]

    def find_lowest(self) -> Waiter | None:
        """Finds the call to refuse first: of the lowest rank, the latest arrival."""
        return self._by_rank[0][2] if self._by_rank else None

    def find_next(self) -> Waiter | None:
        """Finds the call to serve next.

        Within the highest level it is a call of the row that occupies the fewest
        slots relative to its weight, and of that row the call with the earliest
        deadline.
        """
        if not self._levels:
            return None
        level = self._levels[max(self._levels)]
        heads = (row[0][2] for row in level.rows.values())
        return min(heads, key=compute_service_order)

    def compute_work_ahead(self, level: int) -> float:
        """Computes the queued work that is served before a new call of a level.

        :param level: level of the new call.
        :returns: summed expected service time, seconds.
        """
        return sum(
            entry.work for number, entry in self._levels.items() if number >= level
        )


def compute_service_order(waiter: Waiter) -> tuple[int, float, float, int]:
    """Computes the key by which waiting calls are served, smallest first."""
    profile = waiter.profile
    share = (profile.in_use + 1) / profile.weight
    return (-waiter.level, share, waiter.deadline, waiter.sequence)
