"""Keys, types and ranges of the settings."""

import re
from collections.abc import Callable
from typing import Any

import attrs

from coltsfootspar.wire import Address

__all__ = [
    "LOG_LEVELS",
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
    "require_choice",
    "require_key",
]

LOG_LEVELS = ("debug", "info", "warning", "error")
_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
_KEY = re.compile(r"(?:[0-9a-fA-F]{2}){16,}")
_REPLICA_COUNTS = (1, 3, 5, 7)
_DEFAULT_NODE_ADMIN = Address("127.0.0.1", 7400)
_DEFAULT_REPLICA_ADMIN = Address("127.0.0.1", 7401)

Validator = Callable[[Any, attrs.Attribute, Any], None]


def _require_range(minimum: float, maximum: float) -> Validator:
    def check(_: Any, __: attrs.Attribute, value: float) -> None:
        if not minimum <= value <= maximum:
            raise ValueError(f"{value!r} is not from {minimum} to {maximum}")

    return check


def require_choice(*choices: str) -> Validator:
    """Creates a check that a value is one of some choices."""

    def check(_: Any, __: attrs.Attribute, value: str) -> None:
        if value not in choices:
            raise ValueError(f"{value!r} is not one of {', '.join(choices)}")

    return check


def _require_name(_: Any, __: attrs.Attribute, value: str) -> None:
    if not _NAME.fullmatch(value):
        raise ValueError(
            f"{value!r} is not 1 to 63 lower-case letters, digits, '.' or '-'"
        )


def require_key(_: Any, __: attrs.Attribute, value: str) -> None:
    """Checks a secret.

    :raises ValueError: when it is not at least 32 hexadecimal digits.
    """
    if not _KEY.fullmatch(value):
        raise ValueError("is not at least 32 hexadecimal digits")


def _require_replica_count(_: Any, __: attrs.Attribute, value: tuple) -> None:
    if len(value) not in _REPLICA_COUNTS:
        raise ValueError(f"has {len(value)} replicas; allowed are 1, 3, 5 or 7")
    if len({member.id for member in value}) != len(value):
        raise ValueError("names a replica twice")


@attrs.frozen(kw_only=True)
class NodeIdentity:
    """Place of a node.

    :param id: unique in the deployment.
    """

    id: str = attrs.field(validator=_require_name)
    region: str = attrs.field(validator=_require_name)
    data_centre: str = attrs.field(validator=_require_name)


@attrs.frozen(kw_only=True)
class NodeListeners:
    """Addresses of a node.

    :param inbound: HTTP for clients outside.
    :param outbound: HTTP for the own backend server, on loopback.
    :param peer: internal protocol over TCP.
    :param gossip: membership over UDP.
    :param admin: HTTP for operators, on loopback unless set otherwise.
    """

    inbound: Address
    outbound: Address
    peer: Address
    gossip: Address
    admin: Address = _DEFAULT_NODE_ADMIN


@attrs.frozen(kw_only=True)
class ReplicaMember:
    """One replica of the deployment as others reach it."""

    id: str = attrs.field(validator=_require_name)
    address: Address
    region: str = ""
    data_centre: str = ""


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Limits on what clients may send.

    :param header_bytes: largest size of a request's headers.
    :param body_bytes: largest size of a body, in both directions.
    :param connections: most open connections of each listener.
    :param idle_seconds: an idle connection is closed after this time.
    :param read_seconds: a request that has begun must be complete in this time.
    :param memory_mb: memory of the process, megabytes; bodies that would exceed it
        are refused.
    """

    header_bytes: int = attrs.field(
        default=16_384, validator=_require_range(1_024, 1_048_576)
    )
    body_bytes: int = attrs.field(
        default=16_777_216, validator=_require_range(1_024, 268_435_456)
    )
    connections: int = attrs.field(default=2_000, validator=_require_range(1, 100_000))
    idle_seconds: float = attrs.field(default=75.0, validator=_require_range(1, 3_600))
    read_seconds: float = attrs.field(default=10.0, validator=_require_range(0.1, 600))
    memory_mb: float = attrs.field(
        default=512.0, validator=_require_range(64, 1_000_000)
    )


@attrs.frozen(kw_only=True)
class BackendSettings:
    """Connections to the own backend server.

    :param connections: most open connections.
    :param connect_seconds: time limit for opening one.
    :param announcement_seconds: a backend server that has not announced itself
        for this time is taken as gone.
    """

    connections: int = attrs.field(default=550, validator=_require_range(1, 100_000))
    connect_seconds: float = attrs.field(
        default=0.5, validator=_require_range(0.01, 30)
    )
    announcement_seconds: float = attrs.field(
        default=15.0, validator=_require_range(1, 600)
    )


@attrs.frozen(kw_only=True)
class HttpSettings:
    """HTTP libraries of the data path.

    :param server: library that serves ``inbound`` and ``outbound``.
    :param client: library that calls the backend server.
    """

    server: str = attrs.field(
        default="h11", validator=require_choice("h11", "hypercorn")
    )
    client: str = attrs.field(
        default="h11", validator=require_choice("h11", "httpcore")
    )


@attrs.frozen(kw_only=True)
class TlsSettings:
    """TLS between the processes of the deployment.

    :param certificate: file with the certificate chain, PEM.
    :param key: file with the private key, PEM.
    :param authority: file with the certificate that signs all others, PEM.
    """

    certificate: str
    key: str
    authority: str


@attrs.frozen(kw_only=True)
class TraceSettings:
    """Traces.

    :param keep: spans kept in memory for the client's ``trace`` command.
    :param sample_ratio: share of new traces that are recorded.
    """

    keep: int = attrs.field(default=2_000, validator=_require_range(0, 1_000_000))
    sample_ratio: float = attrs.field(default=1.0, validator=_require_range(0, 1))


@attrs.frozen(kw_only=True)
class LogSettings:
    """Logs on standard error, one JSON object a line."""

    level: str = attrs.field(default="info", validator=require_choice(*LOG_LEVELS))


@attrs.frozen(kw_only=True)
class ClaimSettings:
    """Records of requests that run at most once.

    :param retention_hours: a finished key gives the same answer for this time.
    :param answer_bytes: largest answer that is kept.
    """

    retention_hours: float = attrs.field(
        default=24.0, validator=_require_range(0.01, 8_760)
    )
    answer_bytes: int = attrs.field(
        default=262_144, validator=_require_range(0, 1_000_000)
    )


@attrs.frozen(kw_only=True)
class ReplicaBlock:
    """The replica that a process holds.

    :param id: one of the ids under ``replicas``.
    :param data_folder: folder for its files.
    """

    id: str = attrs.field(validator=_require_name)
    data_folder: str
    region: str = ""
    data_centre: str = ""


@attrs.frozen(kw_only=True)
class ReplicaListeners:
    """Addresses of a replica.

    :param peer: internal protocol over TCP.
    :param admin: HTTP for operators.
    """

    peer: Address
    admin: Address = _DEFAULT_REPLICA_ADMIN


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Settings of ``coltsfootspar-node``.

    :param shared_key: secret of the deployment, hexadecimal.
    :param seeds: gossip addresses of some other nodes.
    :param replicas: all replicas of the deployment.
    :param replica: set when the node's process holds a replica itself.
    """

    deployment: str = attrs.field(validator=_require_name)
    shared_key: str = attrs.field(validator=require_key, repr=False)
    node: NodeIdentity
    listen: NodeListeners
    replicas: tuple[ReplicaMember, ...] = attrs.field(validator=_require_replica_count)
    seeds: tuple[Address, ...] = ()
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    backend: BackendSettings = attrs.field(factory=BackendSettings)
    http: HttpSettings = attrs.field(factory=HttpSettings)
    traces: TraceSettings = attrs.field(factory=TraceSettings)
    log: LogSettings = attrs.field(factory=LogSettings)
    claims: ClaimSettings = attrs.field(factory=ClaimSettings)
    drain_seconds: float = attrs.field(default=60.0, validator=_require_range(0, 3_600))
    tls: TlsSettings | None = None
    replica: ReplicaBlock | None = None


@attrs.frozen(kw_only=True)
class ReplicaLimits:
    """Limits on what operators may send to a replica.

    :param connections: most open connections of the admin listener.
    :param memory_mb: memory of the process, megabytes; requests that would exceed it
        are refused.
    """

    connections: int = attrs.field(default=2_000, validator=_require_range(1, 100_000))
    memory_mb: float = attrs.field(
        default=512.0, validator=_require_range(64, 1_000_000)
    )


@attrs.frozen(kw_only=True)
class ReplicaSettings:
    """Settings of ``coltsfootspar-replica``."""

    deployment: str = attrs.field(validator=_require_name)
    shared_key: str = attrs.field(validator=require_key, repr=False)
    replica: ReplicaBlock
    listen: ReplicaListeners
    replicas: tuple[ReplicaMember, ...] = attrs.field(validator=_require_replica_count)
    limits: ReplicaLimits = attrs.field(factory=ReplicaLimits)
    log: LogSettings = attrs.field(factory=LogSettings)
    claims: ClaimSettings = attrs.field(factory=ClaimSettings)
    tls: TlsSettings | None = None
