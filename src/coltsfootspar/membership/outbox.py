"""News that wait for transmission, each a bounded number of times."""

from collections.abc import Iterator

import attrs
import trio

__all__ = ["Outbox"]


@attrs.define(eq=False)
class Outbox:
    """Ids of the members whose news are still to be sent.

    Only the latest news of a member is sent, so that many changes of one member
    take no more room than one.
    """

    _counts: dict[str, int] = attrs.field(factory=dict)
    _filled: trio.Event = attrs.field(factory=trio.Event)

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, node_id: str) -> None:
        """Adds the news of a member; earlier transmissions do not count."""
        self._counts[node_id] = 0
        self._filled.set()

    async def wait_filled(self) -> None:
        """Waits until there is something to send."""
        while not self._counts:
            self._filled = trio.Event()
            await self._filled.wait()

    def rank(self) -> Iterator[str]:
        """Iterates over the ids, those sent least often first."""
        return iter(sorted(self._counts, key=self._counts.__getitem__))

    def record_sent(self, node_ids: list[str], limit: int) -> None:
        """Counts a transmission; news that were sent often enough are dropped.

        :param limit: transmissions of each news.
        """
        for node_id in node_ids:
            count = self._counts.get(node_id)
            if count is None:
                continue
            if count + 1 >= limit:
                del self._counts[node_id]
            else:
                self._counts[node_id] = count + 1
