"""Encoding must not leave cyclic garbage, which slows down the whole process."""

import gc

import pytest

from coltsfootspar.wire import Address, FrameKind
from coltsfootspar.wire.membership import (
    Contact,
    MemberRecord,
    MemberStatus,
    Packet,
    open_packet,
    seal_packet,
)

KEY = b"k" * 16
ADDRESS = Address("127.0.0.1", 1)
RECORD = MemberRecord(
    "node-1",
    7,
    MemberStatus.ALIVE,
    is_full=True,
    region="r",
    data_centre="a",
    gossip_address=ADDRESS,
    peer_address=ADDRESS,
    service="wallet",
    slots=4,
)


@pytest.mark.parametrize("records", [(), (RECORD,) * 3])
def test_datagram_leaves_no_cyclic_garbage(records):
    packet = Packet(
        FrameKind.PROBE,
        "node-1",
        sequence=5,
        target="node-2",
        contacts=(Contact("b", 1.0),),
        records=records,
    )
    gc.collect()
    assert open_packet(seal_packet(packet, KEY), KEY) == packet
    assert gc.collect() == 0
