"""Lists must agree, whatever the network loses, doubles or reorders."""

import trio

from coltsfootspar.testing import LinkState

WIDE = LinkState(delay=0.004, jitter=0.004)
BAD = LinkState(delay=0.005, jitter=0.05, loss=0.2, duplication=0.1)


async def test_members_of_four_data_centres_find_each_other(open_cluster):
    async with open_cluster(seed=1) as cluster:
        cluster.network.default = WIDE
        await cluster.grow("a", "b", "c", "d", size=11)
        assert len(cluster.nodes["d-3"].list_candidates("wallet")) == 44
        assert cluster.nodes["d-3"].list_candidates("specs") == ()


async def test_bad_links_neither_hide_nor_kill_a_member(open_cluster):
    async with open_cluster(seed=2) as cluster:
        cluster.network.default = BAD
        await cluster.grow("a", "b", "c", size=14)
        await trio.sleep(120)
        assert cluster.count_deaths() == 0
        assert cluster.is_converged()
