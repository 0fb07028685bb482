"""Member lists must converge despite packet loss, duplication and reordering."""

import attrs
import pytest
import trio

from coltsfootspar.exceptions import FrameError
from coltsfootspar.membership import KnownTableVersion, MemberStatus
from coltsfootspar.testing import LinkState
from coltsfootspar.wire import Address, FrameKind, Message, seal_datagram
from coltsfootspar.wire.membership import (
    MemberRecord,
    Packet,
    seal_packet,
    select_fitting,
)

NORMAL_LINK = LinkState(delay=0.004, jitter=0.004)
LOSSY_LINK = LinkState(delay=0.005, jitter=0.05, loss=0.2, duplication=0.1)
KEY = b"key of the test deployment"


async def test_members_of_four_data_centres_discover_each_other(
    open_cluster, autojump_clock
):
    async with open_cluster(seed=1) as cluster:
        cluster.network.default = NORMAL_LINK
        await cluster.start_members("a", "b", "c", "d", size=11)
        assert len(cluster.nodes["d-3"].list_candidates("wallet")) == 44
        assert cluster.nodes["d-3"].list_candidates("specs") == ()


async def test_lossy_links_leave_no_member_dead_or_unreachable(
    open_cluster, autojump_clock
):
    async with open_cluster(seed=2) as cluster:
        cluster.network.default = LOSSY_LINK
        await cluster.start_members("a", "b", "c", size=14)
        await trio.sleep(60)
        assert cluster.count_deaths() == 0
        assert cluster.is_converged()
        assert sum(member.refutations for member in cluster.nodes.values()) > 0


async def test_one_way_link_failures_leave_no_member_dead(open_cluster, autojump_clock):
    """Indirect probes must show that both ends of a one-way failure are up."""
    async with open_cluster(seed=3) as cluster:
        await cluster.start_members("a", size=8)
        for other in ("a-2", "a-3"):
            (source,), (target,) = (
                cluster.format_addresses("a-1"),
                cluster.format_addresses(other),
            )
            cluster.network.set_link(source, target, LinkState(is_cut=True))
        await trio.sleep(60)
        assert cluster.count_deaths() == 0


async def test_announcement_and_withdrawal_reach_other_data_centre(
    open_cluster, autojump_clock
):
    async with open_cluster(seed=4) as cluster:
        await cluster.start_members("a", "b", size=4)
        changed = []
        cluster.nodes["b-3"].subscribe(changed.append)
        cluster.nodes["a-1"].announce("specs", 70, 5.0)
        warm_at = trio.current_time() + 5.0
        await trio.sleep(2)
        (candidate,) = cluster.nodes["b-3"].list_candidates("specs")
        assert (candidate.node_id, candidate.slots) == ("a-1", 70)
        # Records carry times in milliseconds.
        assert candidate.warm_at == pytest.approx(warm_at, abs=0.005)
        assert [member.service for member in changed] == ["specs"]
        cluster.nodes["a-1"].withdraw()
        await trio.sleep(2)
        assert cluster.nodes["b-3"].list_candidates("specs") == ()


async def test_new_table_version_is_known_with_a_member_that_applied_it(
    open_cluster, autojump_clock
):
    """A table change must take effect on all nodes within 10 s."""
    async with open_cluster(seed=6) as cluster:
        await cluster.start_members("a", size=8)
        cluster.nodes["a-1"].set_table_version(41)
        await cluster.wait_until(
            lambda: all(
                member.get_newest_table_version() == KnownTableVersion(41, "a-1")
                for member in cluster.nodes.values()
            ),
            10,
        )


async def test_invalid_datagrams_are_only_counted(open_cluster, autojump_clock):
    async with open_cluster(seed=5) as cluster:
        await cluster.start_members("a", size=3)
        target = cluster.nodes["a-1"]
        record = MemberRecord("a-2", 99, MemberStatus.DEAD)
        packet = Packet(FrameKind.UPDATES, "a-0", records=(record,))
        sealed = seal_packet(packet, KEY)
        corrupted = bytes((*sealed[:-1], sealed[-1] ^ 1))
        short_digest = attrs.evolve(packet, kind=FrameKind.DIGEST, digest=b"abc")
        datagrams = [
            b"",
            corrupted,
            sealed + b"x" * 2000,
            seal_packet(packet, b"key of another deployment"),
            seal_packet(attrs.evolve(packet, sender="a-1"), KEY),
            seal_packet(attrs.evolve(short_digest, records=()), KEY),
            seal_datagram(Message(FrameKind.CALL, b""), KEY),
            seal_datagram(Message(FrameKind.UPDATES, b"\xff" * 64), KEY),
        ]
        port = cluster.network.open_port(cluster.get_address("a-99"))
        for data in datagrams:
            await port.send(cluster.get_address("a-1"), data)
        await trio.sleep(2)
        assert target.counters.rejected == len(datagrams)
        assert cluster.get_status("a-1", "a-2") == MemberStatus.ALIVE
        assert cluster.is_converged()


def test_records_with_names_of_maximum_length_fit_a_datagram():
    """Guards against an underestimated size, with which sealing a packet fails."""
    address = Address("2001:db8:1111:2222:3333:4444:5555:6666", 65_535)
    record = MemberRecord(
        node_id="n" * 63,
        incarnation=(1 << 64) - 1,
        status=MemberStatus.LEFT,
        is_leaving=True,
        is_full=True,
        region="r" * 63,
        data_centre="d" * 63,
        gossip_address=address,
        peer_address=address,
        service="s" * 63,
        slots=(1 << 32) - 1,
        warm_in=4e6,
        status_age=4e9,
    )
    records = [record] * 50
    fitting = select_fitting(records)
    assert 1 <= len(fitting) < 50
    packet = Packet(FrameKind.UPDATES, "n" * 63, records=tuple(fitting))
    assert len(seal_packet(packet, KEY)) <= 1400
    with pytest.raises(FrameError):
        seal_packet(attrs.evolve(packet, records=tuple(records)), KEY)
