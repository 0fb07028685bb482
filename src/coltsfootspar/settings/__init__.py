"""Settings of the programs: JSON with comments, checked as a whole."""

from coltsfootspar.settings.loading import (
    load_node_settings,
    load_replica_settings,
    load_settings,
    parse_settings,
)
from coltsfootspar.settings.model import (
    BackendSettings,
    ClaimSettings,
    HttpSettings,
    LimitSettings,
    LogSettings,
    NodeIdentity,
    NodeListeners,
    NodeSettings,
    ReplicaBlock,
    ReplicaListeners,
    ReplicaMember,
    ReplicaSettings,
    TlsSettings,
    TraceSettings,
)

__all__ = [
    "BackendSettings",
    "ClaimSettings",
    "HttpSettings",
    "LimitSettings",
    "LogSettings",
    "NodeIdentity",
    "NodeListeners",
    "NodeSettings",
    "ReplicaBlock",
    "ReplicaListeners",
    "ReplicaMember",
    "ReplicaSettings",
    "TlsSettings",
    "TraceSettings",
    "load_node_settings",
    "load_replica_settings",
    "load_settings",
    "parse_settings",
]
