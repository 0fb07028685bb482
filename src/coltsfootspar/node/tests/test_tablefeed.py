"""A node must get the table whatever parts of the deployment it reaches."""

import random

import attrs
import trio

from coltsfootspar.exceptions import LinkError
from coltsfootspar.membership import KnownTableVersion
from coltsfootspar.node.tablefeed import create_table_feed
from coltsfootspar.node.tables import create_table_copy
from coltsfootspar.table import create_table, parse_row_key
from coltsfootspar.table.rows import create_row
from coltsfootspar.timers import create_timer_service

TABLE = create_table([create_row(parse_row_key("specs GET /"), 7)], version=7)


@attrs.define(slots=False)
class Members:
    """Member list that has heard of one version."""

    newest: KnownTableVersion = KnownTableVersion()  # noqa: RUF009
    version: int = 0

    def get_newest_table_version(self):
        return self.newest

    def set_table_version(self, version):
        self.version = version


class UnreachableReplicas:
    """Client without any replica in reach."""

    async def watch_table(self):
        await trio.sleep_forever()
        yield


@attrs.define
class Neighbours:
    """Links to other nodes; absent ones are down."""

    feeds: dict

    async def request(self, node_id, message):
        if node_id not in self.feeds:
            raise LinkError("down", may_have_run=False)
        return self.feeds[node_id].encode_table()


def create_feed(copy, members, links):
    timers = create_timer_service(random.Random(1))
    feed = create_table_feed(copy, UnreachableReplicas(), members, links, timers)
    return feed, timers


async def test_node_without_replicas_gets_the_table_from_a_neighbour(autojump_clock):
    holder = create_table_copy()
    holder.apply(TABLE)
    neighbour, _ = create_feed(holder, Members(), None)
    members = Members(KnownTableVersion(7, "gone"))
    copy = create_table_copy()
    feed, timers = create_feed(copy, members, Neighbours({"near": neighbour}))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timers.run)
        nursery.start_soon(feed.run)
        await trio.sleep(3)
        assert copy.version == 0
        members.newest = KnownTableVersion(7, "near")
        await trio.sleep(2)
        nursery.cancel_scope.cancel()
    assert copy.matcher.find("specs", "GET", "/").weight == 10
    assert members.version == 7


def test_older_table_is_not_applied():
    """Guards against a table that reverts when news arrives late."""
    copy = create_table_copy()
    assert copy.apply(TABLE)
    assert not copy.apply(create_table(version=6))
    assert not copy.apply(create_table(version=7))
    assert copy.matcher.has_service("specs")
