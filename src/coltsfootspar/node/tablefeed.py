"""Brings new versions of the table to the node."""

from typing import Protocol

import attrs
import trio

from coltsfootspar.exceptions import FrameError, LinkError
from coltsfootspar.membership import Membership
from coltsfootspar.node.tables import TableCopy
from coltsfootspar.replication import ReplicationClient
from coltsfootspar.replication.messages import TableReply
from coltsfootspar.timers import TimerService
from coltsfootspar.wire import Message, replication as codec

__all__ = ["TableFeed", "create_table_feed"]

_CHECK_PERIOD = 1.0
_FETCH_TIMEOUT = 2.0


class NodeLink(Protocol):
    """Requests to other nodes."""

    async def request(self, node_id: str, message: Message) -> Message:
        """Sends a request and waits for the reply.

        :raises LinkError: when there is no reply.
        """


@attrs.define(eq=False)
class TableFeed:
    """Follows a replica, and neighbours that have a higher version.

    Without any replica in reach, a neighbour's version is how a node that has
    restarted in a partitioned data centre gets the table.
    """

    _copy: TableCopy
    _client: ReplicationClient
    _membership: Membership
    _link: NodeLink
    _timers: TimerService
    _encoded: Message | None = None
    _encoded_version: int = -1

    async def run(self) -> None:
        """Keeps the copy up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_replicas)
            nursery.start_soon(self._follow_neighbours)
            nursery.start_soon(self._spread_version)

    def encode_table(self) -> Message:
        """Encodes the version in force for a neighbour."""
        table = self._copy.table
        if self._encoded is None or self._encoded_version != table.version:
            reply = TableReply(table.version, False, codec.encode_table(table))
            self._encoded = codec.encode_table_reply(reply)
            self._encoded_version = table.version
        return self._encoded

    async def _follow_replicas(self) -> None:
        async for table in self._client.watch_table():
            self._copy.apply(table)

    async def _follow_neighbours(self) -> None:
        async for _ in self._timers.subscribe(_CHECK_PERIOD, jitter=0.2):
            newest = self._membership.get_newest_table_version()
            if newest.version > self._copy.version and newest.node_id:
                await self._fetch(newest.node_id)

    async def _fetch(self, node_id: str) -> None:
        request = codec.encode_table_request(self._copy.version, 0)
        with trio.move_on_after(_FETCH_TIMEOUT):
            try:
                message = await self._link.request(node_id, request)
                reply = codec.decode_table_reply(message)
                if reply.table_data:
                    self._copy.apply(codec.decode_table(reply.table_data))
            except (LinkError, FrameError):
                # The next tick asks again, and another neighbour by then.
                return

    async def _spread_version(self) -> None:
        while True:
            self._membership.set_table_version(self._copy.version)
            await self._copy.wait_for_change()


def create_table_feed(
    copy: TableCopy,
    client: ReplicationClient,
    membership: Membership,
    link: NodeLink,
    timers: TimerService,
) -> TableFeed:
    """Creates the feed of a node's table copy."""
    return TableFeed(copy, client, membership, link, timers)
