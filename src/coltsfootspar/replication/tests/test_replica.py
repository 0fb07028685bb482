"""A cluster must accept and keep the changes that a majority has synced."""

import pytest
import trio

from coltsfootspar.exceptions import NoQuorumError
from coltsfootspar.replication import ChangeStatus
from coltsfootspar.replication.tests.harness import ROW, list_contents, open_cluster
from coltsfootspar.table import CellEdit


def set_retries(value, version=None, row=ROW):
    return [CellEdit(row, "retries", value, version)]


@pytest.mark.parametrize("size", [1, 3, 5])
async def test_cluster_accepts_edits_and_serves_reads(size, autojump_clock):
    async with open_cluster(size) as cluster:
        client = cluster.create_client()
        result = await client.edit_cells(set_retries(1), "ana")
        assert result.status is ChangeStatus.APPLIED
        again = await client.edit_cells(set_retries(2, result.version), "ana")
        await cluster.wait_equal()
        table = await client.read_table()
        assert table.version == again.version > result.version
        assert table.rows[ROW].retries == 2
        changes = await client.history()
        assert [change.version for change in changes] == [again.version, result.version]
        assert (
            len({repr(list_contents(r.core.state)) for r in cluster.replicas.values()})
            == 1
        )


async def test_edit_without_any_replica_fails_as_not_run(autojump_clock):
    async with open_cluster() as cluster:
        client = cluster.create_client(timeout=3)
        for name in cluster.replica_ids:
            await cluster.crash(name)
        with pytest.raises(NoQuorumError) as caught:
            await client.edit_cells(set_retries(1), "ana")
        assert not caught.value.may_have_run


async def test_changes_survive_a_restart_of_all_replicas(autojump_clock):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        for value in range(10):
            await client.edit_cells(set_retries(value), "ana")
        for name in cluster.replica_ids:
            await cluster.crash(name)
        for name in cluster.replica_ids:
            await cluster.start(name)
        result = await client.edit_cells(set_retries(15), "ana")
        table = await client.read_table()
        await trio.sleep(1)
        table = await client.read_table()
        assert table.version == result.version
        assert len(await client.history()) == 11
