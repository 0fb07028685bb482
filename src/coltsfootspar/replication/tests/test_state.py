"""Tests of claims in the replicated state, without a cluster."""

import attrs

from coltsfootspar.replication import Abandon, Claim, ClaimStatus, Finish
from coltsfootspar.replication.claimstate import ClaimState


def test_late_duplicate_of_a_claim_is_not_granted():
    state = ClaimState()
    claim = Claim("key", b"f", "id-1", "node-1", 2, 1000, 10_000)
    state.abandon(Abandon("key", "id-1"), 0)
    assert state.claim(claim, 0).status is ClaimStatus.REJECTED
    other = attrs.evolve(claim, claim_id="id-2")
    assert state.claim(other, 0).status is ClaimStatus.GRANTED
    assert state.claim(other, 0).status is ClaimStatus.GRANTED
    state.finish(Finish("key", "id-2", b"answer"), 0)
    assert state.claim(other, 0).answer == b"answer"
    assert state.abandon(Abandon("key", "id-2"), 0).status is ClaimStatus.FINISHED
    old = attrs.evolve(claim, key="new", claim_id="id-3", node_incarnation=1)
    assert state.claim(old, 0).status is ClaimStatus.REJECTED
