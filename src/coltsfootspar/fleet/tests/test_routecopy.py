"""Tests of a node's copy of the route table, on a virtual clock."""

import math

import attrs
import trio

from coltsfootspar.fleet.routecopy import create_route_copy
from coltsfootspar.routes import Organisation, RouteTable

MOVERS = Organisation("movers", ("key-1",))
TABLE = RouteTable(2, 1, organisations=(MOVERS,))


@attrs.define(eq=False)
class ScriptedClient:
    """Yields the given tables, one a second, and confirms each when it was asked."""

    tables: list[RouteTable]

    async def watch_routes(self, on_confirmed):
        for table in self.tables:
            asked_at = trio.current_time()
            await trio.sleep(1)
            yield table
            on_confirmed(asked_at)


async def test_keys_change_with_the_table(autojump_clock):
    """Guards against keys of another version than the routes in force."""
    copy = create_route_copy()
    assert copy.keys.find(b"key-1") is None
    copy.apply(TABLE)
    keys = copy.keys
    assert keys.find(b"key-1") == MOVERS
    copy.apply(attrs.evolve(TABLE, version=1, organisations=()))
    assert copy.keys is keys
    copy.apply(attrs.evolve(TABLE, version=3, organisations=()))
    assert copy.keys.find(b"key-1") is None
    assert not copy.keys.has_organisations


async def test_routes_count_as_confirmed_from_the_question_on(autojump_clock):
    """Guards against a node that was frozen and takes a late reply for a recent one."""
    copy = create_route_copy()
    assert copy.unconfirmed_seconds == math.inf
    await copy.follow(ScriptedClient([TABLE, attrs.evolve(TABLE, version=3)]))
    assert copy.version == 3
    assert copy.unconfirmed_seconds == 1.0
    await trio.sleep(5)
    assert copy.unconfirmed_seconds == 6.0
