"""The encoder of datagrams must not fail on what a member may hold."""

import math

from hypothesis import given, settings, strategies as st

from coltsfootspar.wire import Address, FrameKind
from coltsfootspar.wire.membership import (
    Contact,
    MemberRecord,
    MemberStatus,
    Packet,
    open_packet,
    seal_packet,
)

KEY = b"key"
UINT32 = (1 << 32) - 1
NUMBERS = st.one_of(st.floats(), st.integers(-(1 << 70), 1 << 70))


@settings(derandomize=True, max_examples=300)
@given(slots=NUMBERS, warm_in=NUMBERS, status_age=NUMBERS, contact_age=NUMBERS)
def test_any_number_can_be_encoded(slots, warm_in, status_age, contact_age):
    """Guards against a number that ends the process of a node, as infinity did."""
    record = MemberRecord(
        node_id="node-1",
        incarnation=1,
        status=MemberStatus.ALIVE,
        is_full=True,
        region="r",
        data_centre="a",
        gossip_address=Address("10.0.0.1", 1),
        peer_address=Address("10.0.0.1", 2),
        service="s1",
        slots=slots,
        warm_in=warm_in,
        status_age=status_age,
    )
    packet = Packet(
        FrameKind.UPDATES,
        "node-1",
        records=(record,),
        contacts=(Contact("a", contact_age),),
    )
    received = open_packet(seal_packet(packet, KEY), KEY).records[0]
    assert 0 <= received.slots <= UINT32
    assert 0 <= received.warm_in * 1e3 <= UINT32
    if math.isfinite(slots) and 0 <= slots <= UINT32:
        assert received.slots == int(slots)
