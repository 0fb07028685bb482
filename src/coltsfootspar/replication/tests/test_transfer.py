"""A planned stop of the leader must not look like its failure."""

import trio

from coltsfootspar.replication.tests.harness import open_cluster, wait_until
from coltsfootspar.replication.tests.test_failures import (
    check_history,
    make_changes,
)

# Shorter than the shortest election timeout.
HANDOVER_SECONDS = 0.5


async def test_retiring_leader_hands_over_at_once(autojump_clock):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        versions = await make_changes(client, 5)
        old_leader = cluster.find_leader()
        with trio.fail_after(HANDOVER_SECONDS):
            assert await cluster.replicas[old_leader].retire()
        await wait_until(
            lambda: cluster.find_leader() not in (None, old_leader), HANDOVER_SECONDS
        )
        versions += await make_changes(client, 5)
        await trio.sleep(60)
        assert cluster.find_leader() != old_leader
        await check_history(cluster, client, versions)


async def test_changes_during_a_handover_are_kept_and_made_once(autojump_clock):
    """Guards against a change that the old leader accepts and the new one lacks."""
    async with open_cluster() as cluster:
        client = cluster.create_client()
        versions = await make_changes(client, 1)

        async def change_often():
            versions.extend(await make_changes(cluster.create_client(), 100))

        for _ in range(3):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(change_often)
                await trio.sleep(0.05)
                replica = cluster.replicas[cluster.find_leader()]
                await replica.retire()
            replica.core.is_retiring = False
            await cluster.restart(replica.core.replica_id)
        assert len(set(versions)) == 301
        await check_history(cluster, client, versions)


async def test_replica_that_lags_does_not_take_over(autojump_clock):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        leader = await cluster.wait_leader()
        lagging, current = (n for n in cluster.replica_ids if n != leader)
        cluster.isolate(lagging)
        versions = await make_changes(client, 50)
        await cluster.replicas[leader].retire()
        await wait_until(lambda: cluster.find_leader() == current, HANDOVER_SECONDS)
        cluster.rejoin(lagging)
        versions += await make_changes(client, 5)
        await check_history(cluster, client, versions)


async def test_leader_without_a_successor_goes_on(autojump_clock):
    """Guards against a stop that waits for ever, and a cluster without a leader."""
    async with open_cluster() as cluster:
        client = cluster.create_client()
        await make_changes(client, 1)
        leader = cluster.find_leader()
        others = [name for name in cluster.replica_ids if name != leader]
        for name in others:
            cluster.replicas[name].core.is_retiring = True
        with trio.fail_after(2):
            assert await cluster.replicas[leader].retire()
        assert cluster.find_leader() == leader
        await make_changes(client, 2)


async def test_follower_that_retires_does_not_disturb_the_leader(autojump_clock):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        await make_changes(client, 1)
        leader = cluster.find_leader()
        follower = next(name for name in cluster.replica_ids if name != leader)
        term = cluster.replicas[leader].core.term
        assert not await cluster.replicas[follower].retire()
        cluster.isolate(follower)
        await trio.sleep(30)
        cluster.rejoin(follower)
        await trio.sleep(10)
        assert cluster.find_leader() == leader
        assert cluster.replicas[leader].core.term == term


async def test_silence_of_a_lost_leader_counts_from_its_last_request(autojump_clock):
    """Guards against a seat that stays empty longer when its holder was the leader."""
    async with open_cluster() as cluster:
        leader = await cluster.wait_leader()
        await trio.sleep(5)
        crashed_at = trio.current_time()
        await cluster.crash(leader)
        await cluster.wait_leader()
        new_leader = cluster.replicas[cluster.find_leader()].core.leader_term
        assert new_leader.get_last_contact(leader) <= crashed_at
        await cluster.start(leader)
        await trio.sleep(1)
        assert new_leader.get_last_contact(leader) > crashed_at
