"""Failures of replicas, disks and links must not lose an accepted change."""

import random

import attrs
import pytest
import trio

from coltsfootspar.exceptions import NoQuorumError, ReplicationError
from coltsfootspar.replication import ChangeStatus, ReplicaOptions
from coltsfootspar.replication.commands import Entry, NoOperation
from coltsfootspar.replication.leadership import create_leadership
from coltsfootspar.replication.messages import VoteRequest
from coltsfootspar.replication.tests.harness import (
    ROW,
    list_contents,
    open_cluster,
    wait_until,
)
from coltsfootspar.table import CellEdit
from coltsfootspar.testing import LinkState
from coltsfootspar.timers import create_timer_service
from coltsfootspar.wire import FrameKind, replication as codec

SMALL_SNAPSHOTS = ReplicaOptions(snapshot_entries=20, snapshot_log_ratio=0)


def set_retries(value, version=None):
    return [CellEdit(ROW, "retries", value, version)]


async def make_changes(client, count):
    results = [
        await client.edit_cells(set_retries(value % 20), "ana")
        for value in range(count)
    ]
    return [result.version for result in results]


async def check_history(cluster, client, versions):
    """Checks that all replicas have equal states with the changes of these versions."""
    await cluster.wait_equal()
    history = {change.version for change in await client.history(limit=1000)}
    assert set(versions) <= history
    contents = [list_contents(r.core.state) for r in cluster.replicas.values()]
    assert all(content == contents[0] for content in contents)


async def test_isolated_leader_accepts_nothing_and_follows_after_its_return(
    autojump_clock,
):
    async with open_cluster(options=SMALL_SNAPSHOTS) as cluster:
        client = cluster.create_client()
        versions = await make_changes(client, 5)
        old_leader = cluster.find_leader()
        cluster.isolate(old_leader)
        isolated_client = cluster.create_client(
            "isolated-client", timeout=6, order=[old_leader]
        )
        with pytest.raises(NoQuorumError) as caught:
            await isolated_client.edit_cells(set_retries(19), "ben", change_id="lost")
        assert caught.value.may_have_run
        assert cluster.replicas[old_leader].status().role == "follower"
        others = [name for name in cluster.replica_ids if name != old_leader]
        client = cluster.create_client(order=others)
        versions += await make_changes(client, 50)
        await trio.sleep(600)
        term = cluster.replicas[cluster.find_leader()].status().term
        cluster.rejoin(old_leader)
        await trio.sleep(10)
        # The pre-vote must keep the returned replica from raising the term.
        assert cluster.replicas[cluster.find_leader()].status().term == term
        await check_history(cluster, client, versions)
        assert all(c.change_id != "lost" for c in await client.history(1000))


async def test_leader_that_receives_no_messages_is_replaced(autojump_clock):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        versions = await make_changes(client, 3)
        old_leader = cluster.find_leader()
        for name in cluster.replica_ids:
            if name != old_leader:
                cluster.network.set_link(name, old_leader, LinkState(is_cut=True))
        await trio.sleep(8)
        assert cluster.find_leader() not in (None, old_leader)
        versions += await make_changes(client, 3)
        for name in cluster.replica_ids:
            cluster.network.set_link(name, old_leader, LinkState())
        await trio.sleep(5)
        await check_history(cluster, client, versions)


async def test_one_way_partition_of_two_replicas_keeps_the_cluster_available(
    autojump_clock,
):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        versions = await make_changes(client, 3)
        leader = cluster.find_leader()
        other = next(name for name in cluster.replica_ids if name != leader)
        cluster.network.set_link(leader, other, LinkState(is_cut=True))
        for _ in range(10):
            versions += await make_changes(client, 2)
            await trio.sleep(3)
        cluster.network.set_link(leader, other, LinkState())
        await trio.sleep(5)
        await check_history(cluster, client, versions)


async def test_leader_crash_after_a_disk_replacement_loses_no_change(
    autojump_clock,
):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        versions = await make_changes(client, 30)
        for _ in range(6):
            leader = await cluster.wait_leader()
            for lost in (name for name in cluster.replica_ids if name != leader):
                await cluster.replace_disk(lost)
                versions += await make_changes(client, 2)
                core = cluster.replicas[lost].core
                await wait_until(lambda core=core: core.identity.is_admitted, 10)
                # The leader crashes as soon as the new disk is admitted, so that
                # disk must already have all accepted changes.
                await cluster.crash(leader)
                versions += await make_changes(client, 2)
                await cluster.start(leader)
                await cluster.wait_leader()
                leader = cluster.find_leader()
                break
        await check_history(cluster, client, versions)


async def test_replica_with_a_new_disk_is_admitted_by_the_others_only(autojump_clock):
    async with open_cluster() as cluster:
        client = cluster.create_client(timeout=6)
        versions = await make_changes(client, 5)
        first, second, third = cluster.replica_ids
        await cluster.crash(third)
        await cluster.replace_disk(second)
        # One of the other replicas remains. With the replica on the empty disk it
        # must not form a majority.
        with pytest.raises(NoQuorumError):
            await client.edit_cells(set_retries(1), "ana")
        assert not cluster.replicas[second].status().is_admitted
        assert cluster.find_leader() is None
        await cluster.start(third)
        versions += await make_changes(client, 5)
        await wait_until(lambda: cluster.replicas[second].status().is_admitted, 10)
        await cluster.crash(first)
        versions += await make_changes(client, 5)
        await check_history(cluster, client, versions)


async def test_replica_with_a_new_disk_does_not_elect_one_that_lacks_changes(
    autojump_clock,
):
    async with open_cluster() as cluster:
        client = cluster.create_client(timeout=6)
        leader = await cluster.wait_leader()
        lagging, lost = (name for name in cluster.replica_ids if name != leader)
        cluster.isolate(lagging)
        versions = await make_changes(client, 5)
        await cluster.crash(leader)
        await cluster.replace_disk(lost)
        cluster.rejoin(lagging)
        await trio.sleep(30)
        assert cluster.find_leader() is None
        await cluster.start(leader)
        versions += await make_changes(client, 5)
        await check_history(cluster, client, versions)


async def test_interrupted_rejoin_starts_over(autojump_clock):
    async with open_cluster(options=SMALL_SNAPSHOTS) as cluster:
        client = cluster.create_client()
        versions = await make_changes(client, 50)
        leader = cluster.find_leader()
        lost = next(name for name in cluster.replica_ids if name != leader)
        await cluster.replace_disk(lost)
        for crash_at in range(1, 12):
            disk = cluster.disks[lost]
            disk.crash_at = disk.syncs + crash_at
            await trio.sleep(2)
            versions += await make_changes(client, 1)
            await cluster.restart(lost)
        await wait_until(lambda: cluster.replicas[lost].status().is_admitted, 10)
        await cluster.crash(leader)
        versions += await make_changes(client, 3)
        await check_history(cluster, client, versions)


async def test_old_disk_of_a_replaced_replica_is_refused(autojump_clock):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        versions = await make_changes(client, 3)
        name = next(n for n in cluster.replica_ids if n != cluster.find_leader())
        old_disk = cluster.disks[name]
        await cluster.replace_disk(name)
        await wait_until(lambda: cluster.replicas[name].status().is_admitted, 10)
        await cluster.crash(name)
        new_disk, cluster.disks[name] = cluster.disks[name], old_disk
        await cluster.start(name)
        await trio.sleep(5)
        assert cluster.errors[name].code == "replaced"
        await cluster.crash(name)
        cluster.disks[name] = new_disk
        await cluster.start(name)
        await check_history(cluster, client, versions)


async def test_restarted_replica_accepts_its_own_earlier_admissions(autojump_clock):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        leader = await cluster.wait_leader()
        name = next(n for n in cluster.replica_ids if n != leader)
        for _ in range(2):
            await cluster.replace_disk(name)
            await wait_until(lambda: cluster.replicas[name].status().is_admitted, 10)
        await cluster.restart(name)
        versions = await make_changes(client, 3)
        await check_history(cluster, client, versions)
        assert name not in cluster.errors


async def test_two_simultaneous_failures_in_a_cluster_of_five(autojump_clock):
    async with open_cluster(5) as cluster:
        client = cluster.create_client()
        versions = await make_changes(client, 5)
        leader = cluster.find_leader()
        others = [name for name in cluster.replica_ids if name != leader]
        cluster.isolate(leader)
        await cluster.replace_disk(others[0])
        versions += await make_changes(client, 5)
        await cluster.crash(others[1])
        cluster.rejoin(leader)
        versions += await make_changes(client, 5)
        await cluster.start(others[1])
        await trio.sleep(5)
        await check_history(cluster, client, versions)


async def test_replica_far_behind_gets_the_snapshot_in_parts(autojump_clock):
    options = ReplicaOptions(snapshot_entries=400, snapshot_log_ratio=0)
    async with open_cluster(options=options) as cluster:
        client = cluster.create_client()
        leader = await cluster.wait_leader()
        lagging = next(name for name in cluster.replica_ids if name != leader)
        await cluster.crash(lagging)
        edits = [
            CellEdit(f"specs GET /specs/{number}/{'x' * 400}", "retries", 1)
            for number in range(600)
        ]
        versions = [(await client.edit_cells(edits, "ana")).version]
        versions += await make_changes(client, 1300)
        assert cluster.replicas[leader].core.snapshots.size > 256 << 10
        cluster.network.default = LinkState(delay=0.005, loss=0.05, duplication=0.1)
        await cluster.start(lagging)
        await wait_until(
            lambda: cluster.replicas[lagging].core.state.index > versions[-100],
            60,
        )
        cluster.network.default = LinkState()
        await check_history(cluster, client, versions[-900:])


async def test_resent_change_gets_its_first_result(autojump_clock):
    # The replicas restart and take snapshots before the change is sent again, as
    # after a lost reply. They must still have its first result.
    async with open_cluster(options=SMALL_SNAPSHOTS) as cluster:
        client = cluster.create_client(timeout=20)
        first = await client.edit_cells(set_retries(1), "ana", change_id="one")
        conflict = await client.edit_cells(
            set_retries(2, version=first.version + 7), "ben", change_id="two"
        )
        assert conflict.status is ChangeStatus.CONFLICT
        assert (conflict.value, conflict.version) == (1, first.version)
        for _ in range(2):
            await make_changes(client, 30)
            for name in cluster.replica_ids:
                await cluster.restart(name)
            again = await client.edit_cells(set_retries(1), "ana", change_id="one")
            assert again == first
            again = await client.edit_cells(set_retries(9), "ben", change_id="two")
            assert again == conflict


async def test_lost_replies_apply_a_change_once(autojump_clock):
    async with open_cluster() as cluster:
        leader = await cluster.wait_leader()
        client = cluster.create_client(timeout=20)
        cluster.network.set_link(leader, "client", LinkState(loss=1))
        with trio.move_on_after(4):
            await client.edit_cells(set_retries(1, 0), "ana", change_id="one")
        cluster.network.set_link(leader, "client", LinkState())
        result = await client.edit_cells(set_retries(1, 0), "ana", change_id="one")
        assert result.status is ChangeStatus.APPLIED
        assert [c.change_id for c in await client.history()] == ["one"]


async def test_one_of_several_edits_with_the_same_expected_version_wins(autojump_clock):
    async with open_cluster() as cluster:
        first = await cluster.create_client().edit_cells(set_retries(0), "ana")
        results = {}

        async def race(number):
            client = cluster.create_client(f"operator-{number}")
            results[number] = await client.edit_cells(
                set_retries(number, first.version), f"operator-{number}"
            )

        async with trio.open_nursery() as nursery:
            for number in range(1, 9):
                nursery.start_soon(race, number)
        applied = [n for n, r in results.items() if r.status is ChangeStatus.APPLIED]
        assert len(applied) == 1
        for number, result in results.items():
            assert result.version == results[applied[0]].version
            if number != applied[0]:
                assert (result.status, result.value) == ("conflict", applied[0])


async def test_watch_leaves_a_partitioned_replica_within_ten_seconds(
    autojump_clock,
):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        await make_changes(client, 3)
        stale = next(n for n in cluster.replica_ids if n != cluster.find_leader())
        order = [stale, *(n for n in cluster.replica_ids if n != stale)]
        reader = cluster.create_client("reader", order=order)
        seen = []

        async def watch():
            async for table in reader.watch_table():
                seen.append((trio.current_time(), table.version))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.sleep(1)
            for number in range(4):
                if number % 2 == 0:
                    cluster.isolate(stale)
                else:
                    cluster.rejoin(stale)
                await trio.sleep(0.5)
                (version,) = await make_changes(client, 1)
                start = trio.current_time()
                await wait_until(lambda v=version: seen[-1][1] == v, 10)
                assert seen[-1][0] - start <= 10
                await trio.sleep(30)
            nursery.cancel_scope.cancel()
        versions = [version for _, version in seen]
        assert versions == sorted(set(versions))


async def test_replica_that_is_catching_up_is_not_read_as_current(autojump_clock):
    async with open_cluster(options=SMALL_SNAPSHOTS) as cluster:
        client = cluster.create_client()
        versions = await make_changes(client, 60)
        lost = next(n for n in cluster.replica_ids if n != cluster.find_leader())
        order = [lost, *(n for n in cluster.replica_ids if n != lost)]
        cluster.network.default = LinkState(delay=0.02)
        await cluster.replace_disk(lost)
        while not cluster.replicas[lost].status().is_current:
            # A new client has not seen any version, so it cannot reject an old
            # table by its version.
            table = await cluster.create_client("new", order=order).read_table()
            assert table.version == versions[-1]
        assert cluster.replicas[lost].read_table().version == versions[-1]


async def test_change_that_is_too_large_is_refused_before_it_is_sent(autojump_clock):
    async with open_cluster(1) as cluster:
        client = cluster.create_client()
        edits = set_retries(1) * 70_000
        with pytest.raises(ReplicationError) as caught:
            await client.edit_cells(edits, "ana")
        assert caught.value.code == "command-size"
        await make_changes(client, 1)


async def test_reads_are_served_without_a_majority(autojump_clock):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        versions = await make_changes(client, 3)
        await cluster.wait_equal()
        await cluster.crash("r1")
        await cluster.crash("r2")
        await trio.sleep(5)
        assert (await client.read_table()).version == versions[-1]
        assert not cluster.replicas["r3"].status().is_current


async def test_loss_duplication_and_reordering_lose_no_change(autojump_clock):
    async with open_cluster(5, options=SMALL_SNAPSHOTS) as cluster:
        cluster.network.default = LinkState(0.002, 0.02, loss=0.1, duplication=0.2)
        versions = []

        async def operate(number):
            client = cluster.create_client(f"operator-{number}", timeout=60)
            versions.extend(await make_changes(client, 20))

        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(operate, number)
        cluster.network.default = LinkState()
        assert len(set(versions)) == 80
        await check_history(cluster, cluster.create_client(), versions)


async def test_slow_link_to_a_follower_does_not_disturb_the_leader(autojump_clock):
    async with open_cluster() as cluster:
        client = cluster.create_client()
        leader = await cluster.wait_leader()
        slow = next(name for name in cluster.replica_ids if name != leader)
        for pair in ((leader, slow), (slow, leader)):
            state = attrs.evolve(cluster.network.default, delay=0.4)
            cluster.network.set_link(*pair, state)
        versions = await make_changes(client, 20)
        await trio.sleep(30)
        assert cluster.find_leader() == leader
        await check_history(cluster, client, versions)


async def test_leader_counts_itself_only_after_its_own_sync(autojump_clock):
    # The only reachable follower syncs first. It is no majority until the leader,
    # whose disk is slow, has synced the entry too.
    async with open_cluster() as cluster:
        client = cluster.create_client(timeout=20)
        await make_changes(client, 1)
        leader = cluster.find_leader()
        await cluster.crash(next(n for n in cluster.replica_ids if n != leader))
        cluster.disks[leader].latency = 1.5
        (version,) = await make_changes(client, 1)
        assert cluster.replicas[leader].core.log.synced_index >= version


async def test_entry_of_an_earlier_term_is_not_committed_by_counting(autojump_clock):
    # A later leader that lacks the entry could still replace it, so a majority of
    # copies commits it only together with an entry of the present term.
    async with open_cluster() as cluster:
        await cluster.wait_leader()
        await cluster.wait_equal()
        name = next(n for n in cluster.replica_ids if n != cluster.find_leader())
        core = cluster.replicas[name].core
        for other in cluster.replica_ids:
            cluster.isolate(other)
        index = core.log.last_index + 1
        core.log.append(
            [Entry(index, core.term, 0, codec.encode_command(NoOperation()))]
        )
        await core.log.wait_synced()
        await core.start_candidacy(core.term + 1)
        leadership = create_leadership(core, create_timer_service(random.Random(1)))
        for peer in leadership._peers.values():
            peer.match_index, peer.is_admitted, peer.incarnation = index, True, 0
        leadership.advance_commit_index()
        assert core.commit_index < index
        entry_of_term = Entry(
            index + 1, core.term, 0, codec.encode_command(NoOperation())
        )
        core.log.append([entry_of_term])
        await core.log.wait_synced()
        for peer in leadership._peers.values():
            peer.match_index = index + 1
        leadership.advance_commit_index()
        assert core.commit_index == index + 1


async def test_vote_is_granted_once_per_term_and_only_to_an_up_to_date_log(
    autojump_clock,
):
    async with open_cluster() as cluster:
        await make_changes(cluster.create_client(), 2)
        await cluster.wait_equal()
        name = next(n for n in cluster.replica_ids if n != cluster.find_leader())
        others = [n for n in cluster.replica_ids if n != name]
        for other in cluster.replica_ids:
            cluster.isolate(other)

        async def ask(candidate_id, term, lag=0):
            log = cluster.replicas[name].core.log
            request = VoteRequest(
                term, candidate_id, log.last_index - lag, log.last_term
            )
            message = codec.encode_vote(FrameKind.VOTE, request)
            reply = await cluster.replicas[name].handle(candidate_id, message)
            return codec.decode_vote_reply(reply).is_granted

        assert not await ask(others[0], 50, lag=1)
        assert await ask(others[0], 50)
        assert not await ask(others[1], 50)
        await cluster.restart(name)
        assert not await ask(others[1], 50)
        assert await ask(others[0], 50)
        assert not await ask(others[1], 49)


async def test_damaged_snapshot_of_the_leader_is_not_replicated(autojump_clock):
    async with open_cluster(options=SMALL_SNAPSHOTS) as cluster:
        client = cluster.create_client()
        leader = await cluster.wait_leader()
        lagging = next(name for name in cluster.replica_ids if name != leader)
        await cluster.crash(lagging)
        versions = await make_changes(client, 1100)
        await trio.sleep(1)
        disk = cluster.disks[leader]
        (name,) = [n for n in disk.list_names() if n.startswith("snapshot-")]
        disk.flip_bit(name, disk.get_size(name) // 2)
        await cluster.start(lagging)
        await wait_until(lambda: leader in cluster.errors, 10)
        assert cluster.errors[leader].code == "corrupt-log"
        assert list(cluster.errors) == [leader]
        await cluster.replace_disk(leader)
        versions += await make_changes(client, 3)
        await check_history(cluster, client, versions[-900:])


@pytest.mark.parametrize("lost", ["r2", "r3"])
async def test_disk_lost_in_a_restart_of_all_after_a_replacement(autojump_clock, lost):
    """Guards against a cluster that never commits again after two repairs.

    After the restart, the leader does not know that the admission of the replica with
    the first new disk is committed, and needs that replica to commit anything.
    """
    async with open_cluster() as cluster:
        client = cluster.create_client()
        versions = await make_changes(client, 5)
        await cluster.replace_disk("r1")
        replica = cluster.replicas["r1"]
        await wait_until(lambda: replica.core.identity.is_admitted, 20)
        versions += await make_changes(client, 2)
        for name in cluster.replica_ids:
            await cluster.crash(name)
        cluster.disks[lost] = cluster.create_disk()
        for name in cluster.replica_ids:
            await cluster.start(name)
        versions += await make_changes(cluster.create_client("later"), 2)
        await check_history(cluster, client, versions)
