"""Queue of gossip updates, each transmitted a bounded number of times."""

from collections.abc import Iterator

import attrs
import trio

__all__ = ["Outbox"]


@attrs.define(eq=False)
class Outbox:
    """Ids of the members whose update is still to be transmitted.

    The record is read when it is sent, so several changes of one member take one
    entry and only the latest state is sent.
    """

    _transmission_counts: dict[str, int] = attrs.field(factory=dict)
    _update_queued: trio.Event = attrs.field(factory=trio.Event)

    def __len__(self) -> int:
        return len(self._transmission_counts)

    def add(self, node_id: str) -> None:
        """Queues the update of a member and resets its transmission count."""
        self._transmission_counts[node_id] = 0
        self._update_queued.set()

    async def wait_for_updates(self) -> None:
        """Waits until at least one update is queued."""
        while not self._transmission_counts:
            self._update_queued = trio.Event()
            await self._update_queued.wait()

    def iterate_least_sent(self) -> Iterator[str]:
        """Returns an iterator over the ids, the least often transmitted first."""
        return iter(
            sorted(self._transmission_counts, key=self._transmission_counts.__getitem__)
        )

    def record_sent(self, node_ids: list[str], limit: int) -> None:
        """Counts one transmission of each update and removes completed ones.

        :param limit: transmissions after which an update is removed.
        """
        for node_id in node_ids:
            count = self._transmission_counts.get(node_id)
            if count is None:
                continue
            if count + 1 >= limit:
                del self._transmission_counts[node_id]
            else:
                self._transmission_counts[node_id] = count + 1
