"""Acknowledged departures of backend servers must outlast processes and disks."""

import pytest

from coltsfootspar.replication.departures import load_departures
from coltsfootspar.replication.messages import Departure
from coltsfootspar.replication.tests.harness import open_cluster
from coltsfootspar.testing import create_disk

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
