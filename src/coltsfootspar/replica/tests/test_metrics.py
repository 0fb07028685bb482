"""Operators must see the role and the progress of each replica."""

from coltsfootspar.replica.metrics import create_replica_metrics
from coltsfootspar.replication import ReplicaStatus


def test_metrics_follow_the_status(snapshot):
    fields = {
        "replica_id": "r1",
        "role": "leader",
        "term": 3,
        "leader_id": "r1",
        "last_index": 9,
        "commit_index": 8,
        "snapshot_index": 0,
        "table_version": 7,
        "claims": 2,
        "is_admitted": True,
        "is_current": True,
        "incarnation": 0,
    }
    metrics = create_replica_metrics()
    first = metrics.render(ReplicaStatus(**fields)).decode()
    assert first == snapshot
    second = metrics.render(ReplicaStatus(**{**fields, "role": "follower"})).decode()
    assert 'role{role="leader"} 0' in second
    assert 'role{role="follower"} 1' in second
