"""Replication of the table, its history, the routes and the claims, and its client.

The names are imported on first use, so that a node loads the client only.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "client": ["ReplicationClient", "create_id", "create_replication_client"],
        "commands": [
            "Abandon",
            "Change",
            "ChangeResult",
            "ChangeStatus",
            "Claim",
            "ClaimResult",
            "ClaimStatus",
            "EditCells",
            "Finish",
            "ReplaceRoutes",
        ],
        "core": ["ReplicaOptions", "Role"],
        "identity": ["format_replica"],
        "interfaces": ["Disk", "ReplicaLink"],
        "localdisk": ["open_disk"],
        "locallink": ["create_local_link"],
        "messages": ["ReplicaStatus"],
        "replica": ["Replica", "create_replica"],
    },
)
