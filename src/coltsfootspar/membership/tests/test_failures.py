"""Crashes must be found, and nobody who lives may be given up."""

import pytest
import trio

from coltsfootspar.membership import MemberStatus
from coltsfootspar.membership.relays import rank_relays
from coltsfootspar.testing import LinkState
from coltsfootspar.wire import FrameKind
from coltsfootspar.wire.membership import Packet, seal_packet

KEY = b"key of the test deployment"
LOSSY = LinkState(delay=0.004, jitter=0.004, loss=0.1)


async def test_silent_crash_is_found_everywhere(open_cluster, autojump_clock):
    async with open_cluster(seed=11) as cluster:
        await cluster.grow("a", "b", size=10)
        cluster.crash("b-4")
        await cluster.wait_until(lambda: cluster.is_dead_everywhere("b-4"), 20)
        assert cluster.count_deaths() <= len(cluster.select("b"))
        assert cluster.is_converged()


async def test_old_news_do_not_revive_a_dead_member(open_cluster, autojump_clock):
    async with open_cluster(seed=12) as cluster:
        await cluster.grow("a", size=5)
        dead = cluster.nodes["a-4"].own
        cluster.crash("a-4")
        await cluster.wait_until(lambda: cluster.is_dead_everywhere("a-4"), 20)
        news = dead.make_record(trio.current_time())
        packet = Packet(FrameKind.UPDATES, "a-9", records=(news,))
        port = cluster.network.open_port(cluster.get_address("a-9"))
        for node_id in cluster.nodes:
            await port.send(cluster.get_address(node_id), seal_packet(packet, KEY))
        await trio.sleep(10)
        assert cluster.is_dead_everywhere("a-4")


async def test_restart_with_higher_incarnation_comes_back(open_cluster, autojump_clock):
    async with open_cluster(seed=13) as cluster:
        await cluster.grow("a", "b", size=5)
        cluster.crash("b-2")
        await cluster.wait_until(lambda: cluster.is_dead_everywhere("b-2"), 20)
        cluster.start("b-2", incarnation=1_000).announce("wallet", 75, 0.0)
        await cluster.wait_until(cluster.is_converged, 10)
        assert len(cluster.nodes["a-0"].list_candidates("wallet")) == 10


async def test_restart_with_clock_set_back_comes_back(open_cluster, autojump_clock):
    """A restarted process that finds later news of itself goes above them."""
    async with open_cluster(seed=14) as cluster:
        await cluster.grow("a", size=5)
        cluster.crash("a-2")
        await cluster.wait_until(lambda: cluster.is_dead_everywhere("a-2"), 20)
        cluster.start("a-2", incarnation=0).announce("specs", 10, 0.0)
        await cluster.wait_until(cluster.is_converged, 10)
        (candidate,) = cluster.nodes["a-0"].list_candidates("specs")
        assert candidate.node_id == "a-2"


async def test_leaving_is_known_everywhere_within_two_seconds(
    open_cluster, autojump_clock
):
    async with open_cluster(seed=15) as cluster:
        cluster.network.default = LOSSY
        await cluster.grow("a", "b", "c", "d", size=10)
        leavers = ("a-3", "b-0", "c-9", "d-5")
        for node_id in leavers:
            cluster.nodes[node_id].leave()
        await trio.sleep(2)
        for member in cluster.nodes.values():
            candidates = member.list_candidates("wallet")
            leaving = {found.node_id for found in candidates if found.is_leaving}
            assert leaving == set(leavers)


async def test_departed_member_is_known_as_left_without_probes(
    open_cluster, autojump_clock
):
    async with open_cluster(seed=16) as cluster:
        await cluster.grow("a", "b", size=4)
        await cluster.nodes["a-2"].depart()
        await trio.sleep(0.5)
        cluster.crash("a-2")
        await trio.sleep(2)
        for observer in cluster.nodes:
            assert cluster.get_status(observer, "a-2") == MemberStatus.LEFT
        assert cluster.is_converged()


async def test_isolated_member_gives_nobody_up(open_cluster, autojump_clock):
    """After minutes alone, its list must not take others out of use."""
    async with open_cluster(seed=17) as cluster:
        await cluster.grow("a", size=8)
        alone = cluster.get_names("a-5")
        others = cluster.get_names(*cluster.nodes) - alone
        cluster.network.cut(alone, others)
        await trio.sleep(120)
        assert cluster.nodes["a-5"].deaths == 0
        rest = {node_id for node_id in cluster.nodes if node_id != "a-5"}
        assert all(
            cluster.get_status(node_id, "a-5") == MemberStatus.DEAD for node_id in rest
        )
        cluster.network.heal(alone, others)
        await cluster.wait_until(cluster.is_converged, 20)


# With seed 2019 the rack's members once declared others dead, since their timeout
# ended before most of the other part was suspected.
@pytest.mark.parametrize("seed", [18, 2019])
async def test_lost_rack_is_found_and_comes_back(open_cluster, autojump_clock, seed):
    async with open_cluster(seed) as cluster:
        cluster.network.default = LinkState(delay=0.004, jitter=0.004)
        await cluster.grow("a", "b", size=12)
        rack = [f"a-{number}" for number in (2, 3, 4, 5)]
        names = cluster.get_names(*rack)
        others = cluster.get_names(*cluster.nodes) - names
        cluster.network.cut(names, others)
        await trio.sleep(60)
        rest = [node_id for node_id in cluster.nodes if node_id not in rack]
        for observer in rest:
            candidates = cluster.nodes[observer].list_candidates("wallet")
            assert {found.node_id for found in candidates} == set(rest)
        # The rack is the smaller part: it declares nobody dead.
        assert sum(cluster.nodes[node_id].deaths for node_id in rack) == 0
        cluster.network.heal(names, others)
        await cluster.wait_until(cluster.is_converged, 20)


async def test_lost_data_centre_is_marked_as_a_whole_and_comes_back(
    open_cluster, autojump_clock
):
    async with open_cluster(seed=19) as cluster:
        cluster.network.default = LinkState(delay=0.004, jitter=0.004)
        await cluster.grow("a", "b", "c", size=8)
        lost = cluster.select("b")
        names = cluster.get_names(*lost)
        others = cluster.get_names(*cluster.nodes) - names
        cluster.network.cut(names, others)
        await trio.sleep(180)
        for observer in cluster.select("a", "c"):
            member = cluster.nodes[observer]
            assert member.list_unreachable_data_centres() == {"b"}
            assert len(member.list_candidates("wallet")) == 16
            assert len(member.list_members()) == 24
        for observer in lost:
            assert len(cluster.nodes[observer].list_candidates("wallet")) == 8
        cluster.network.heal(names, others)
        await cluster.wait_until(cluster.is_converged, 20)
        assert cluster.count_deaths() == 0


async def test_member_that_receives_nothing_gives_nobody_up(
    open_cluster, autojump_clock
):
    """Its suspicions reach the others, but it hears no refutation."""
    async with open_cluster(seed=23) as cluster:
        await cluster.grow("a", size=8)
        (deaf,) = cluster.get_names("a-5")
        for source in cluster.get_names(*cluster.nodes) - {deaf}:
            cluster.network.set_link(source, deaf, LinkState(is_cut=True))
        await trio.sleep(60)
        rest = {node_id for node_id in cluster.nodes if node_id != "a-5"}
        for observer in rest:
            candidates = cluster.nodes[observer].list_candidates("wallet")
            assert {found.node_id for found in candidates} == rest
        assert cluster.nodes["a-5"].deaths == 0


async def test_one_way_cut_between_data_centres_marks_both(
    open_cluster, autojump_clock
):
    """Calls need both directions, so neither side may use the other."""
    async with open_cluster(seed=24) as cluster:
        cluster.network.default = LinkState(delay=0.004, jitter=0.004)
        await cluster.grow("a", "b", "c", size=6)
        sources = cluster.get_names(*cluster.select("a"))
        targets = cluster.get_names(*cluster.select("b"))
        pairs = [(source, target) for source in sources for target in targets]
        for pair in pairs:
            cluster.network.set_link(*pair, LinkState(is_cut=True))
        await trio.sleep(60)
        expected = {"a": {"b"}, "b": {"a"}, "c": set()}
        for node_id, member in cluster.nodes.items():
            unreachable = member.list_unreachable_data_centres()
            assert unreachable == expected[node_id[0]]
        # News from the other side still arrives, by way of the third.
        cluster.nodes["b-1"].announce("specs", 70, 0.0)
        await trio.sleep(30)
        assert cluster.nodes["a-1"].get_member("b-1").service == "specs"
        for pair in pairs:
            cluster.network.set_link(*pair, cluster.network.default)
        await cluster.wait_until(cluster.is_converged, 20)
        assert cluster.count_deaths() == 0


async def test_partition_of_a_region_heals_without_deaths(open_cluster, autojump_clock):
    """Changes made on both sides meanwhile must reach the other side."""
    async with open_cluster(seed=20) as cluster:
        cluster.network.default = LOSSY
        await cluster.grow("k1", "k2", "n1", "n2", size=8, seeds=("k1-0", "n1-0"))
        names = cluster.get_names(*cluster.select("k1", "k2"))
        others = cluster.get_names(*cluster.select("n1", "n2"))
        cluster.network.cut(names, others)
        await trio.sleep(120)
        cluster.nodes["k1-3"].announce("insights", 20, 0.0)
        cluster.start("n2-8", seeds=("n1-0",)).announce("wallet", 75, 0.0)
        await trio.sleep(60)
        assert len(cluster.nodes["n1-1"].list_candidates("wallet")) == 17
        cluster.network.heal(names, others)
        await cluster.wait_until(cluster.is_converged, 20)
        await cluster.wait_until(
            lambda: all(
                len(member.list_candidates("insights")) == 1
                for member in cluster.nodes.values()
            ),
            20,
        )
        assert cluster.count_deaths() == 0


async def test_loss_of_all_relays_does_not_cut_off_their_data_centre(
    open_cluster, autojump_clock
):
    async with open_cluster(seed=21) as cluster:
        cluster.network.default = LinkState(delay=0.004, jitter=0.004)
        await cluster.grow("a", "b", size=10)
        members = cluster.nodes["a-0"].list_members()
        ranked = rank_relays(m for m in members if m.data_centre == "b")
        cluster.crash(*(relay.node_id for relay in ranked[:3]))
        marked = []
        for _ in range(40):
            await trio.sleep(1)
            marked += cluster.nodes["a-1"].list_unreachable_data_centres()
        assert marked == []
        assert cluster.is_converged()


async def test_address_of_a_dead_member_does_not_answer_for_it(
    open_cluster, autojump_clock
):
    """A probe names its target, so that another process cannot stand in."""
    async with open_cluster(seed=22) as cluster:
        await cluster.grow("a", size=5)
        address = cluster.get_address("a-4")
        cluster.crash("a-4")
        cluster.get_address = _redirect(cluster.get_address, "a-7", address)
        cluster.start("a-7")
        await cluster.wait_until(lambda: cluster.is_dead_everywhere("a-4"), 20)
        await cluster.wait_until(cluster.is_converged, 20)


def _redirect(get_address, name, address):
    return lambda node_id: address if node_id == name else get_address(node_id)
