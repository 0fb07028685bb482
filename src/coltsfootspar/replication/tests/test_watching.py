"""A node must get a change in time although the replica that it watches falls behind.

Guards against a change that is confirmed and not in force on some nodes for seconds:
they waited at a replica that did not know of the change and did not tell them so.
"""

import itertools

import pytest
import trio

from coltsfootspar.replication import ReplicaOptions
from coltsfootspar.replication.commands import ReplaceRoutes
from coltsfootspar.replication.tests.harness import open_cluster
from coltsfootspar.routes import RouteTable, encode_routes
from coltsfootspar.testing import LinkState

# From the confirmation of a change until it is in force (configApplyS of the sites).
APPLY_SECONDS = 2.0
STALL_SECONDS = 30.0
FLEET_OPTIONS = ReplicaOptions(
    heartbeat_interval=0.2, min_election_timeout=0.6, max_election_timeout=1.2
)


def create_change(version):
    table = RouteTable(version, version - 1)
    return ReplaceRoutes(version, version - 1, b"d%d" % version, encode_routes(table))


async def watch(client, arrivals):
    async for table in client.watch_routes():
        arrivals[table.version] = trio.current_time()


def stall_disk(cluster, name):
    cluster.disks[name].latency = STALL_SECONDS


def isolate(cluster, name):
    cluster.isolate(name)


def freeze(cluster, name):
    cluster.isolate(name, [*cluster.replica_ids, "watcher"])


@pytest.mark.parametrize("disturb", [stall_disk, isolate, freeze])
@pytest.mark.parametrize("phase", [0.0, 0.3, 0.7, 1.1])
async def test_change_arrives_in_time_when_the_watched_replica_falls_behind(
    disturb, phase, autojump_clock
):
    async with open_cluster(options=FLEET_OPTIONS) as cluster:
        leader = await cluster.wait_leader()
        behind = next(name for name in cluster.replica_ids if name != leader)
        others = [name for name in cluster.replica_ids if name != behind]
        writer = cluster.create_client("writer", order=others)
        arrivals = {}
        watcher = cluster.create_client("watcher", order=[behind, *others])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, watcher, arrivals)
            await writer.replace_routes(create_change(1))
            await trio.sleep(3 + phase)
            assert set(arrivals) == {1}
            disturb(cluster, behind)
            for version in range(2, 12):
                await writer.replace_routes(create_change(version))
                confirmed_at = trio.current_time()
                await trio.sleep(APPLY_SECONDS)
                assert arrivals.get(version, confirmed_at + 99) <= (
                    confirmed_at + APPLY_SECONDS
                )
            nursery.cancel_scope.cancel()


async def test_change_arrives_in_time_when_the_watched_leader_is_cut_off(
    autojump_clock,
):
    async with open_cluster(options=FLEET_OPTIONS) as cluster:
        leader = await cluster.wait_leader()
        others = [name for name in cluster.replica_ids if name != leader]
        writer = cluster.create_client("writer", order=[*others, leader])
        arrivals = {}
        watcher = cluster.create_client("watcher", order=[leader, *others])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, watcher, arrivals)
            await writer.replace_routes(create_change(1))
            await trio.sleep(3)
            cluster.isolate(leader)
            await writer.replace_routes(create_change(2))
            await trio.sleep(APPLY_SECONDS)
            assert 2 in arrivals
            nursery.cancel_scope.cancel()


async def test_large_table_arrives_over_a_slow_link(autojump_clock):
    """Guards against a node that gives up each transfer before it has ended."""
    async with open_cluster(options=FLEET_OPTIONS) as cluster:
        await cluster.wait_leader()
        writer = cluster.create_client("writer")
        for name in cluster.replica_ids:
            cluster.network.set_link("watcher", name, LinkState(delay=3.0))
        arrivals = {}
        watcher = cluster.create_client("watcher")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, watcher, arrivals)
            await writer.replace_routes(create_change(1))
            await trio.sleep(60)
            assert 1 in arrivals
            nursery.cancel_scope.cancel()


async def test_routes_are_confirmed_only_in_touch_with_the_leader(autojump_clock):
    """Guards against a node that takes its routes for current while it is cut off.

    It would serve withdrawn keys longer than operators allow, or deny new ones.
    """
    async with open_cluster(options=FLEET_OPTIONS) as cluster:
        await cluster.wait_leader()
        await cluster.create_client("writer").replace_routes(create_change(1))
        watcher = cluster.create_client("watcher")
        confirmations = []

        async def watch_confirmed():
            async for _ in watcher.watch_routes(confirmations.append):
                pass

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_confirmed)
            await trio.sleep(20)
            gaps = [b - a for a, b in itertools.pairwise(confirmations)]
            assert trio.current_time() - confirmations[-1] <= APPLY_SECONDS
            assert max(gaps) <= APPLY_SECONDS
            cut_at = trio.current_time()
            cluster.isolate("watcher")
            await trio.sleep(20)
            assert confirmations[-1] <= cut_at
            nursery.cancel_scope.cancel()
