"""Settings of the programs on hosts that find each other through seeds."""

import attrs
import cattrs

from coltsfootspar.exceptions import SettingsError
from coltsfootspar.memory import MemoryLimits
from coltsfootspar.settings.loading import read_settings_file, structure_address
from coltsfootspar.settings.model import LOG_LEVELS, require_choice, require_key
from coltsfootspar.wire import Address

__all__ = [
    "CapacitySettings",
    "FleetBounds",
    "FleetNodeSettings",
    "FleetReplicaSettings",
    "FleetSettings",
    "load_fleet_node_settings",
    "load_fleet_replica_settings",
]


def _check_positive(instance: object, field: attrs.Attribute, value: float) -> None:
    if not value > 0:
        raise ValueError(f"{field.name}: {value!r} is not above 0")


@attrs.frozen(kw_only=True)
class FleetBounds:
    """Times and budgets that the operators set for the deployment.

    :param grace_seconds: time from SIGTERM to the forced end of a process.
    :param repeat_ratio: repeats for each request of a service, over all nodes.
    :param repeat_extra: repeats allowed besides in each window, over all nodes.
    :param repeat_window_seconds: length of the window of both.
    :param revocation_seconds: time for which a node that is cut off from the replicas
        may go on to take keys, if it stops at all.
    :param stops_when_cut_off: true when it refuses requests with keys after that.
    :param quota_window_seconds: length of the window for rates of organisations.
    :param quota_overage: share of the limit of a window that may be exceeded.
    :param quota_slack: requests in a window that may be exceeded besides.
    """

    grace_seconds: float = attrs.field(default=6.0, validator=_check_positive)
    repeat_ratio: float = 0.2
    repeat_extra: float = 40.0
    repeat_window_seconds: float = attrs.field(default=10.0, validator=_check_positive)
    revocation_seconds: float = attrs.field(default=5.0, validator=_check_positive)
    stops_when_cut_off: bool = False
    quota_window_seconds: float = attrs.field(default=5.0, validator=_check_positive)
    quota_overage: float = attrs.field(default=0.1, validator=attrs.validators.ge(0))
    quota_slack: float = attrs.field(default=20.0, validator=attrs.validators.ge(0))


@attrs.frozen(kw_only=True)
class CapacitySettings:
    """How many calls the backend server of a node may have in progress.

    :param mode: ``learned`` from the latencies of its calls, or ``fixed``.
    :param limit: fixed number; None for the slots that it announces.
    :param announces_rate: true to tell all nodes how many calls per second the server
        completes, so that they choose servers in this proportion.
    """

    mode: str = attrs.field(
        default="learned", validator=require_choice("learned", "fixed")
    )
    limit: int | None = attrs.field(
        default=None, validator=attrs.validators.optional(attrs.validators.ge(1))
    )
    announces_rate: bool = True


@attrs.frozen(kw_only=True)
class _Common:
    """Settings that both programs have.

    :param id: name of the process, unique in the deployment.
    :param host: IP address of the own host.
    :param seeds: control addresses of some hosts with a replica.
    :param host_losses: hosts with a replica that may be lost at the same time. Equal
        on all hosts; changed only while all replicas are stopped.
    :param shared_key: secret of the deployment, hexadecimal digits.
    :param peer_port: TCP port of the internal protocol, equal on all hosts.
    :param gossip_port: UDP port of the membership, equal on all hosts.
    :param quota_port: UDP port for the rates of organisations, equal on all hosts; used
        when any organisation has a limit.
    :param limits: memory and descriptors of the process.
    """

    id: str
    host: str
    region: str
    data_centre: str
    seeds: tuple[Address, ...]
    shared_key: str = attrs.field(repr=False, validator=require_key)
    control: Address
    peer_port: int
    gossip_port: int
    metrics_port: int
    quota_port: int = 7636
    host_losses: int = attrs.field(default=1, validator=attrs.validators.ge(0))
    log_level: str = attrs.field(default="info", validator=require_choice(*LOG_LEVELS))
    bounds: FleetBounds = attrs.field(factory=FleetBounds)
    limits: MemoryLimits = attrs.field(factory=MemoryLimits)


@attrs.frozen(kw_only=True)
class FleetNodeSettings(_Common):
    """Settings of a node.

    :param service: service of the backend server on the own host.
    :param inbound: where other nodes send calls.
    :param outbound: where callers on the own host send requests.
    :param ready: where the host asks whether the node takes requests.
    :param requests_ahead: requests of one caller's connection that may be in progress;
        1 serves them one after the other.
    :param bytes_ahead: bodies of these requests, and answers that wait for the answers
        before them, that one connection may hold.
    :param capacity: limit of the backend server on the own host.
    """

    service: str
    inbound: Address
    outbound: Address
    ready: Address
    requests_ahead: int = attrs.field(default=16, validator=attrs.validators.ge(1))
    bytes_ahead: int = attrs.field(default=262_144, validator=attrs.validators.ge(1))
    capacity: CapacitySettings = attrs.field(factory=CapacitySettings)


@attrs.frozen(kw_only=True)
class FleetReplicaSettings(_Common):
    """Settings of a replica.

    :param is_first_start: true when the whole deployment starts for the first time,
        with empty disks.
    """

    data_folder: str
    is_first_start: bool


FleetSettings = FleetNodeSettings | FleetReplicaSettings

_converter = cattrs.Converter(detailed_validation=True)
_converter.register_structure_hook(Address, structure_address)


def _load(path: str, model: type) -> object:
    content = read_settings_file(path)
    try:
        return _converter.structure(content, model)
    except cattrs.BaseValidationError as error:
        raise SettingsError(cattrs.transform_error(error, path="settings")) from error


def load_fleet_node_settings(path: str) -> FleetNodeSettings:
    """Reads and checks the settings of a node.

    :raises SettingsError: naming all faults.
    """
    return _load(path, FleetNodeSettings)


def load_fleet_replica_settings(path: str) -> FleetReplicaSettings:
    """Reads and checks the settings of a replica.

    :raises SettingsError: naming all faults.
    """
    return _load(path, FleetReplicaSettings)
