"""Synced data must survive crashes, and damaged files must be reported by name."""

import random

import pytest
import trio

from coltsfootspar.exceptions import (
    CorruptLogError,
    NoQuorumError,
    StorageError,
)
from coltsfootspar.replication import (
    ReplicaOptions,
    create_local_link,
    create_replica,
    create_replication_client,
    format_replica,
    open_disk,
)
from coltsfootspar.replication.commands import Entry
from coltsfootspar.replication.log import open_log
from coltsfootspar.replication.records import FILE_HEADER_BYTES
from coltsfootspar.replication.tests.harness import ROW, list_contents, open_cluster
from coltsfootspar.table import CellEdit
from coltsfootspar.testing import create_disk
from coltsfootspar.timers import create_timer_service

SMALL_SNAPSHOTS = ReplicaOptions(snapshot_entries=5, snapshot_log_ratio=0)


def create_entries(first, count, term=1):
    return [Entry(first + i, term, 0, b"data%d" % (first + i)) for i in range(count)]


async def write_log(disk, *batches, base=(0, 0)):
    """Writes batches of entries to a log, each batch as one record."""
    log = await open_log(disk, *base)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        for batch in batches:
            if batch[0].index <= log.last_index:
                log.truncate(batch[0].index)
            log.append(batch)
            await log.wait_synced()
        nursery.cancel_scope.cancel()
    return log


async def read_entries(disk, base=(0, 0)):
    log = await open_log(disk, *base)
    indexes = range(log.first_index, log.last_index + 1)
    return [log.get_entry(index) for index in indexes]


async def test_tail_torn_at_any_byte_is_truncated(autojump_clock):
    name = "log-000000000001"
    disk = create_disk(1)
    await write_log(disk, create_entries(1, 2))
    first_size = disk.get_size(name)
    for size in range(first_size):
        disk = create_disk(1)
        await write_log(disk, create_entries(1, 2), create_entries(3, 1))
        full_size = disk.get_size(name)
        await disk.truncate(name, min(full_size - 1, first_size + size))
        assert await read_entries(disk) == create_entries(1, 2)
        await write_log(disk, create_entries(3, 2))
        assert await read_entries(disk) == create_entries(1, 4)


async def test_file_without_a_complete_record_is_read_as_empty(autojump_clock):
    disk = create_disk(1)
    await write_log(disk, create_entries(1, 2))
    for size in reversed(range(disk.get_size("log-000000000001"))):
        await disk.truncate("log-000000000001", size)
        assert await read_entries(disk) == []


@pytest.mark.parametrize("crash_at", [1, 2, 3])
async def test_crash_at_the_first_record_of_a_file_is_not_reported_as_damage(
    crash_at, autojump_clock
):
    # After the crash, header bytes that were not synced were read as zeros.
    for seed in range(60):
        disk = create_disk(seed)
        log = await open_log(disk, 0, 0)
        disk.crash_at = crash_at
        log.append(create_entries(1, 2))
        with pytest.raises(StorageError):
            await log.run()
        disk.restart()
        entries = await read_entries(disk)
        assert entries in ([], create_entries(1, 2))
        await write_log(disk, create_entries(len(entries) + 1, 1))


async def test_flipped_bit_before_the_last_record_is_reported_by_offset(
    autojump_clock,
):
    disk = create_disk(1)
    await write_log(disk, create_entries(1, 2))
    first_size = disk.get_size("log-000000000001")
    disk = create_disk(1)
    await write_log(disk, create_entries(1, 2), create_entries(3, 1))
    for offset in range(first_size):
        disk.flip_bit("log-000000000001", offset)
        with pytest.raises(CorruptLogError) as caught:
            await open_log(disk, 0, 0)
        disk.flip_bit("log-000000000001", offset)
        expected = FILE_HEADER_BYTES if offset >= FILE_HEADER_BYTES else 0
        assert caught.value.path == "log-000000000001"
        assert caught.value.offset == expected
        assert "move the data folder away" in str(caught.value)
    assert len(await read_entries(disk)) == 3


async def test_flipped_bit_in_the_last_record_is_detected_after_an_idle_period(
    autojump_clock,
):
    disk = create_disk(1)
    log = await open_log(disk, 0, 0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        log.append(create_entries(1, 1))
        await log.wait_synced()
        await trio.sleep(2)
        nursery.cancel_scope.cancel()
    assert len(await read_entries(disk)) == 1
    disk.flip_bit("log-000000000001", FILE_HEADER_BYTES + 20)
    with pytest.raises(CorruptLogError):
        await open_log(disk, 0, 0)


async def test_replaced_entries_stay_replaced_after_a_restart(autojump_clock):
    disk = create_disk(1)
    replacement = create_entries(3, 1, term=2)
    await write_log(disk, create_entries(1, 5), replacement)
    assert await read_entries(disk) == create_entries(1, 2) + replacement


async def test_log_in_conflict_with_a_snapshot_is_discarded(autojump_clock):
    # The replica stops after it has stored a snapshot of the leader and before it
    # has removed its own uncommitted entries, which the snapshot replaces.
    for base in ((3, 2), (9, 2)):
        disk = create_disk(1)
        await write_log(disk, create_entries(1, 5))
        assert await read_entries(disk, base) == []
        following = create_entries(base[0] + 1, 1, term=2)
        await write_log(disk, following, base=base)
        assert await read_entries(disk, base) == following


async def test_missing_segment_is_an_error(autojump_clock):
    disk = create_disk(1)
    await write_log(disk, create_entries(1, 2))
    await write_log(disk, create_entries(3, 2))
    log = await open_log(disk, 0, 0)
    log._needs_segment = True
    await write_log(disk, create_entries(5, 2))
    await disk.remove("log-000000000001")
    with pytest.raises(CorruptLogError) as caught:
        await open_log(disk, 0, 0)
    assert "missing" in str(caught.value)


async def edit_until_crash(cluster, client, changes, results):
    """Sends changes with fixed ids until one fails.

    :param results: receives the result of each acknowledged change by id; changes
        that already have one are skipped.
    """
    for change_id, value in changes:
        if change_id in results:
            continue
        edit = CellEdit(ROW, "retries", value)
        try:
            results[change_id] = await client.edit_cells(
                [edit], "ana", change_id=change_id
            )
        except NoQuorumError:
            return


async def check_crash(size, crash_at, count):
    """Crashes the leader at a sync and checks that acknowledged changes survive.

    :param crash_at: number of the sync, counted from the first change.
    :returns: false when the leader made fewer syncs.
    """
    changes = [(f"change-{number}", number % 20) for number in range(count)]
    async with open_cluster(size, seed=crash_at, options=SMALL_SNAPSHOTS) as cluster:
        leader = await cluster.wait_leader()
        disk = cluster.disks[leader]
        disk.crash_at = disk.syncs + crash_at
        client = cluster.create_client(timeout=4 if size == 1 else 8)
        results = {}
        await edit_until_crash(cluster, client, changes, results)
        has_crashed = disk.is_crashed
        await cluster.restart(leader)
        acknowledged = dict(results)
        await edit_until_crash(cluster, client, changes, results)
        assert len(results) == count
        history = {change.change_id: change for change in await client.history()}
        for change_id, result in acknowledged.items():
            assert history[change_id].version == result.version
        assert len(history) == count
        await cluster.wait_equal()
        contents = {
            repr(list_contents(replica.core.state))
            for replica in cluster.replicas.values()
        }
        assert len(contents) == 1
    return has_crashed


@pytest.mark.parametrize("size", [1, 3])
async def test_crash_at_every_sync_loses_no_acknowledged_change(size, autojump_clock):
    crash_at = 1
    while await check_crash(size, crash_at, count=17):
        crash_at += 1
    # There are 17 changes with one sync each and three snapshots with at least
    # three syncs each.
    assert crash_at > 17 + 3 * 3


async def test_damaged_snapshot_is_reported_with_its_file_name(autojump_clock):
    async with open_cluster(1, options=SMALL_SNAPSHOTS) as cluster:
        client = cluster.create_client()
        for value in range(12):
            await client.edit_cells([CellEdit(ROW, "retries", value)], "ana")
        await trio.sleep(1)
        disk = cluster.disks["r1"]
        await cluster.crash("r1")
        (name,) = [n for n in disk.list_names() if n.startswith("snapshot-")]
        for offset in (0, 30, 60, disk.get_size(name) - 1):
            disk.flip_bit(name, offset)
            with pytest.raises(CorruptLogError) as caught:
                await cluster.start("r1")
            disk.flip_bit(name, offset)
            assert caught.value.path == name
        await cluster.start("r1")
        assert len(await client.history()) == 12


async def test_full_disk_stops_the_replica_without_an_acknowledgement(autojump_clock):
    async with open_cluster(1) as cluster:
        client = cluster.create_client(timeout=3)
        await client.edit_cells([CellEdit(ROW, "retries", 1)], "ana")
        cluster.disks["r1"].capacity = 0
        with pytest.raises(NoQuorumError) as caught:
            await client.edit_cells([CellEdit(ROW, "retries", 2)], "ana")
        assert caught.value.may_have_run
        assert cluster.errors["r1"].code == "disk-full"
        cluster.disks["r1"].capacity = None
        await cluster.restart("r1")
        await client.edit_cells([CellEdit(ROW, "retries", 3)], "ana")


async def test_full_disk_of_one_replica_leaves_the_others_working(autojump_clock):
    async with open_cluster(3) as cluster:
        client = cluster.create_client()
        leader = await cluster.wait_leader()
        cluster.disks[leader].capacity = 0
        result = await client.edit_cells([CellEdit(ROW, "retries", 2)], "ana")
        assert result.version > 0
        assert cluster.errors[leader].code == "disk-full"


async def test_folder_of_another_replica_is_not_used(autojump_clock):
    disk = create_disk(1)
    await format_replica(disk, "cluster", "r1")
    with pytest.raises(StorageError) as caught:
        await format_replica(disk, "cluster", "r1")
    assert caught.value.code == "folder-not-empty"
    with pytest.raises(StorageError) as caught:
        await open_replica(disk, "r2")
    assert caught.value.code == "wrong-replica"


async def test_content_without_an_identity_is_kept_and_reported(autojump_clock):
    disk = create_disk(1)
    await write_log(disk, create_entries(1, 2))
    with pytest.raises(StorageError) as caught:
        await open_replica(disk, "r1")
    assert caught.value.code == "no-identity"
    assert len(await read_entries(disk)) == 2


async def open_replica(disk, name, link=None):
    timers = create_timer_service(random.Random(1))
    return await create_replica(
        name, [name], disk=disk, link=link, timers=timers, source=random.Random(1)
    )


async def test_local_disk_keeps_changes_and_is_locked(tmp_path):
    folder = tmp_path / "data"
    versions = []
    for value in (1, 2):
        disk = open_disk(folder)
        if value == 1:
            await format_replica(disk, "cluster", "r1")
        with pytest.raises(StorageError) as caught:
            open_disk(folder)
        assert caught.value.code == "folder-locked"
        replica = await open_replica(disk, "r1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(replica.run)
            link = create_local_link(replica)
            client = create_replication_client(["r1"], link, random.Random(value))
            result = await client.edit_cells([CellEdit(ROW, "retries", value)], "ana")
            versions.append(result.version)
            history = await client.history()
            nursery.cancel_scope.cancel()
        await disk.close()
    assert [change.version for change in history] == versions[::-1]
