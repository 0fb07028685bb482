"""Entries of any size must not fill the memory or the disk of a replica.

Guards against replicas that were ended for their memory, in each start again, after
some hundred changes of a route table with a thousand routes.
"""

import tracemalloc

import pytest
import trio

from coltsfootspar.exceptions import NoQuorumError
from coltsfootspar.replication import ReplicaOptions, open_disk
from coltsfootspar.replication.commands import Entry, ReplaceRoutes
from coltsfootspar.replication.log import open_log
from coltsfootspar.replication.tests.harness import open_cluster
from coltsfootspar.routes import RouteTable, encode_routes

MB = 1 << 20
LOG_BYTES = 2 * MB
TABLE_BYTES = MB // 4
CHANGES = 60


def create_change(version):
    table = RouteTable(version, version - 1, source="x" * TABLE_BYTES)
    return ReplaceRoutes(version, version - 1, b"d", encode_routes(table))


def count_log_bytes(core):
    log = core.log
    indexes = range(log.first_index, log.last_index + 1)
    return sum(len(log.get_entry(index).data) for index in indexes)


async def test_log_stays_short_when_entries_are_large(autojump_clock):
    options = ReplicaOptions(snapshot_log_bytes=LOG_BYTES)
    async with open_cluster(options=options) as cluster:
        client = cluster.create_client()
        for version in range(1, CHANGES + 1):
            await client.replace_routes(create_change(version))
        await cluster.wait_equal()
        await trio.sleep(5)
        for name, replica in cluster.replicas.items():
            # What a snapshot covers may stay for replicas that lag a little.
            assert count_log_bytes(replica.core) <= 8 * MB + 2 * LOG_BYTES
            disk = cluster.disks[name]
            used = sum(disk.get_size(file) for file in disk.list_names())
            assert used <= 4 * LOG_BYTES
        for name in cluster.replica_ids:
            await cluster.restart(name)
        assert (await client.read_routes()).version == CHANGES


async def test_new_disk_counts_after_few_large_entries(autojump_clock):
    """Guards against a second lost disk while the first one is still catching up.

    A new disk got every change since the start of the cluster. Changes came half as
    fast as it took them, so it needed half a minute, in which it had no vote.
    """
    async with open_cluster() as cluster:
        client = cluster.create_client()
        for version in range(1, CHANGES + 1):
            await client.replace_routes(create_change(version))
        lost = next(n for n in cluster.replica_ids if n != cluster.find_leader())
        await cluster.replace_disk(lost)
        core = cluster.replicas[lost].core
        version = CHANGES
        while not core.identity.is_admitted:
            version += 1
            await client.replace_routes(create_change(version))
        entries = core.state.index - core.snapshots.index
        assert core.snapshots.index > 0
        assert entries * TABLE_BYTES <= 4 * MB
        second = next(n for n in cluster.replica_ids if n != lost)
        await cluster.replace_disk(second)
        assert (await client.read_routes()).version == version


async def test_reading_a_log_takes_little_more_memory_than_its_entries(tmp_path):
    disk = open_disk(tmp_path / "data")
    log = await open_log(disk, 0, 0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        for index in range(1, CHANGES + 1):
            log.append([Entry(index, 1, 0, bytes(TABLE_BYTES))])
            await log.wait_synced()
        nursery.cancel_scope.cancel()
    del log
    tracemalloc.start()
    try:
        log = await open_log(disk, 0, 0)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        await disk.close()
    assert log.last_index == CHANGES
    assert peak <= CHANGES * TABLE_BYTES + 2 * MB


async def test_leader_without_a_majority_refuses_proposals_that_would_fill_its_memory(
    autojump_clock,
):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        await client.replace_routes(create_change(1))
        leader = cluster.find_leader()
        cluster.isolate(leader)
        core = cluster.replicas[leader].core
        leader_term = core.leader_term
        outcomes = []

        async def propose():
            with pytest.raises(NoQuorumError) as caught:
                await leader_term.propose(create_change(2))
            outcomes.append(caught.value.may_have_run)

        async with trio.open_nursery() as nursery:
            for _ in range(200):
                nursery.start_soon(propose)
        # 32 MB of proposals, and the one that passes this limit.
        assert outcomes.count(True) == 32 * MB // TABLE_BYTES
        assert outcomes.count(False) == 200 - outcomes.count(True)


async def test_applied_proposals_make_room_for_new_ones(autojump_clock):
    async with open_cluster(size=1) as cluster:
        leader = await cluster.wait_leader()
        core = cluster.replicas[leader].core
        for version in range(1, 200):
            result = await core.leader_term.propose(create_change(version))
            assert result.status == "applied"
