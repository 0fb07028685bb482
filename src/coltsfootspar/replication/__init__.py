"""Replication of the table, its history, the routes and the claims, and its client."""

from coltsfootspar.replication.client import (
    ReplicationClient,
    create_id,
    create_local_link,
    create_replication_client,
)
from coltsfootspar.replication.commands import (
    Abandon,
    Change,
    ChangeResult,
    ChangeStatus,
    Claim,
    ClaimResult,
    ClaimStatus,
    EditCells,
    Finish,
    ReplaceRoutes,
)
from coltsfootspar.replication.core import ReplicaOptions, Role
from coltsfootspar.replication.identity import format_replica
from coltsfootspar.replication.interfaces import Disk, ReplicaLink
from coltsfootspar.replication.localdisk import open_disk
from coltsfootspar.replication.messages import ReplicaStatus
from coltsfootspar.replication.replica import Replica, create_replica

__all__ = [
    "Abandon",
    "Change",
    "ChangeResult",
    "ChangeStatus",
    "Claim",
    "ClaimResult",
    "ClaimStatus",
    "Disk",
    "EditCells",
    "Finish",
    "ReplaceRoutes",
    "Replica",
    "ReplicaLink",
    "ReplicaOptions",
    "ReplicaStatus",
    "ReplicationClient",
    "Role",
    "create_id",
    "create_local_link",
    "create_replica",
    "create_replication_client",
    "format_replica",
    "open_disk",
]
