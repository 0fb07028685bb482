"""Acknowledged departures of backend servers must outlast processes and disks."""

import pytest
import trio

from coltsfootspar.exceptions import StorageError
from coltsfootspar.replication.departures import load_departures
from coltsfootspar.replication.messages import Departure
from coltsfootspar.replication.tests.harness import open_cluster, wait_until
from coltsfootspar.testing import create_disk
from coltsfootspar.wire import FrameKind

NODE = "node-1"
GONE = Departure("i-1", 7, has_deregistered=True)
TIMEOUT_SECONDS = 1.0


async def test_departures_outlast_a_crash_of_all_replicas(autojump_clock):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        noted = await client.note_departures(NODE, [GONE], TIMEOUT_SECONDS)
        assert noted.is_majority
        for name in cluster.replica_ids:
            await cluster.crash(name)
        for name in cluster.replica_ids[1:]:
            await cluster.start(name)
        # The replicas have no leader yet.
        known = await client.note_departures(NODE, [], TIMEOUT_SECONDS)
        assert known.is_majority
        assert known.departures == {GONE}
        other = await client.note_departures("node-2", [], TIMEOUT_SECONDS)
        assert other.departures == frozenset()


async def test_minority_does_not_confirm_a_departure(autojump_clock):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        for name in cluster.replica_ids[1:]:
            await cluster.crash(name)
        noted = await client.note_departures(NODE, [GONE], TIMEOUT_SECONDS)
        assert not noted.is_majority
        assert noted.departures == {GONE}


async def note_without(cluster, client, name):
    """Has a departure kept by all replicas but one, which misses it."""
    await cluster.crash(name)
    noted = await client.note_departures(NODE, [GONE], TIMEOUT_SECONDS)
    assert noted.is_majority
    await cluster.start(name)


async def test_departure_outlasts_two_replaced_disks(autojump_clock):
    """Guards against new disks that take nothing over and count for a majority."""
    async with open_cluster() as cluster:
        client = cluster.create_client()
        await note_without(cluster, client, "r3")
        for name in ("r1", "r2"):
            await cluster.replace_disk(name)
            await wait_until(
                lambda name=name: cluster.replicas[name].core.identity.is_admitted, 20
            )
            await trio.sleep(2)
        for name in cluster.replica_ids:
            await cluster.crash(name)
            known = await client.note_departures(NODE, [], TIMEOUT_SECONDS)
            assert known.is_majority
            assert known.departures == {GONE}
            await cluster.start(name)


async def test_disk_without_the_departures_does_not_count_for_a_read(autojump_clock):
    """Guards against a majority that consists of disks which never had a departure."""
    async with open_cluster() as cluster:
        client = cluster.create_client()
        await note_without(cluster, client, "r3")
        # Admitted by r2 and r3, but r2 is lost before its departures are taken over.
        cluster.drop_kind("r1", FrameKind.NOTE_DEPARTURES)
        await cluster.replace_disk("r1")
        await wait_until(lambda: cluster.replicas["r1"].core.identity.is_admitted, 20)
        await cluster.crash("r2")
        await cluster.restart("r1")
        await trio.sleep(1)
        assert not (await client.note_departures(NODE, [], 1.0)).is_majority
        other = Departure("i-2", 7, has_deregistered=True)
        assert (await client.note_departures(NODE, [other], 1.0)).is_majority
        cluster.dropped_kinds.clear()
        await cluster.start("r2")
        await trio.sleep(2)
        await cluster.crash("r2")
        known = await client.note_departures(NODE, [], 1.0)
        assert known.is_majority
        assert known.departures == {GONE, other}


async def test_majority_is_that_of_the_cluster(autojump_clock):
    """Guards against a node with one seed that takes one replica for a majority."""
    async with open_cluster() as cluster:
        client = cluster.create_client(order=["r1"])
        for name in ("r2", "r3"):
            await cluster.crash(name)
        assert not (await client.note_departures(NODE, [GONE], 1.0)).is_majority
        await cluster.start("r2")
        assert (await client.note_departures(NODE, [GONE], 1.0)).is_majority
        assert set(client.replica_ids) == set(cluster.replica_ids)


async def test_full_disk_is_reported_at_each_request(autojump_clock):
    """Guards against a departure that is confirmed since it is known in memory."""
    disk = create_disk(1)
    store = await load_departures(disk)
    disk.capacity = 0
    for _ in range(2):
        with pytest.raises(StorageError):
            await store.note(NODE, [GONE])
    disk.capacity = None
    assert await store.note(NODE, [GONE]) == (GONE,)
    assert await (await load_departures(disk)).note(NODE, []) == (GONE,)


async def test_last_departure_of_an_instance_counts(autojump_clock):
    store = await load_departures(create_disk(1))
    leaving = Departure("i-1", 7, sequence=5)
    assert await store.note(NODE, [leaving]) == (leaving,)
    assert await store.note(NODE, [GONE]) == (GONE,)
    assert await store.note(NODE, [leaving]) == (GONE,)
    restarted = Departure("i-1", 8, sequence=1)
    assert await store.note(NODE, [restarted]) == (restarted,)


async def test_number_of_kept_departures_is_bounded(autojump_clock):
    disk = create_disk(1)
    store = await load_departures(disk)
    for number in range(20):
        await store.note(NODE, [Departure(f"i-{number}", number)])
    for number in range(1_100):
        await store.note(f"other-{number}", [GONE])
    assert await store.note(NODE, []) == ()
    kept = await store.note("other-1099", [Departure(f"i-{n}", n) for n in range(20)])
    assert [departure.instance_id for departure in kept] == [
        f"i-{number}" for number in range(12, 20)
    ]
    loaded = await load_departures(disk)
    assert await loaded.note("other-1099", []) == kept


@pytest.mark.parametrize("offset", [0, 12])
async def test_damaged_file_is_ignored(offset, autojump_clock):
    disk = create_disk(1)
    store = await load_departures(disk)
    await store.note(NODE, [GONE])
    disk.flip_bit("departures", offset)
    store = await load_departures(disk)
    assert await store.note(NODE, []) == ()
