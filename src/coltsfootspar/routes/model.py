"""Routes, services and limits as immutable values."""

import enum

import attrs

__all__ = [
    "ClientLimits",
    "Organisation",
    "Repetition",
    "Route",
    "RouteTable",
    "Service",
    "Target",
]


class Repetition(enum.StrEnum):
    """How often the same attempt of a client may run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@attrs.frozen
class Target:
    """A service that a route leads to.

    :param weight: share of the requests, relative to the other targets.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Requests of one host below one path.

    :param prefix: beginning of the path, with a slash at both ends.
    :param timeout: longest time that a caller is kept waiting, seconds.
    :param target_latency: time within which an answer has its full value, seconds.
    :param attempts: most backend servers that one attempt of a client is sent to.
    :param rank: 0 for the most important requests; larger ones are refused first.
    :param needs_key: true when requests must carry the key of an organisation, if the
        table names any.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    repetition: Repetition
    timeout: float
    target_latency: float
    attempts: int
    rank: int
    needs_key: bool = True

    @property
    def is_idempotent(self) -> bool:
        """True when a request may run more than once."""
        return self.repetition is Repetition.IDEMPOTENT


@attrs.frozen
class Service:
    """A service that routes lead to.

    :param connections: most connections that one backend server accepts.
    """

    name: str
    connections: int
    health_path: str = "/"


@attrs.frozen
class Organisation:
    """An organisation whose clients identify themselves by a key.

    :param keys: keys in force; a client sends one of them with each request.
    :param rank: 0 for the most important organisation; goes before the rank of routes.
    :param rate: requests a second that it may send, over all nodes; 0 for no limit.
    :param burst: requests that it may send at once beyond the rate.
    """

    name: str
    keys: tuple[str, ...] = attrs.field(repr=False)
    rank: int = 0
    rate: float = 0.0
    burst: float = 0.0


@attrs.frozen
class ClientLimits:
    """What a client may send.

    :param header_seconds: time for the head of a request.
    :param idle_seconds: time after which an idle connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@attrs.frozen
class RouteTable:
    """All routes at one version.

    :param version: number chosen by the operator.
    :param base_version: version that the operator's change was based on.
    :param source: the operator's document, returned unchanged when it is read; it
        holds the keys.
    :param organisations: without any, no request needs a key.
    """

    version: int = 0
    base_version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: ClientLimits = attrs.field(factory=ClientLimits)
    source: str = attrs.field(default="", repr=False)
    organisations: tuple[Organisation, ...] = ()

    @property
    def has_limits(self) -> bool:
        """True when an organisation may only send at some rate."""
        return any(organisation.rate > 0 for organisation in self.organisations)
