"""What a scenario file describes."""

import enum
from collections.abc import Iterator, Mapping

import attrs

from coltsfootspar.table import Row, parse_row_key
from coltsfootspar.table.rows import create_row

__all__ = [
    "Clients",
    "Delays",
    "Fault",
    "FaultKind",
    "LoadPoint",
    "OverloadWindow",
    "RequestKind",
    "Scenario",
    "ServiceSize",
    "ServiceTime",
    "TimeShape",
    "Window",
]


class TimeShape(enum.StrEnum):
    """Distribution of service times."""

    CONSTANT = "constant"
    UNIFORM = "uniform"
    EXPONENTIAL = "exponential"
    LOGNORMAL = "lognormal"


class FaultKind(enum.StrEnum):
    """What happens to a backend server, a data centre or the links."""

    SLOW = "slow"
    STALL = "stall"
    FAIL = "fail"
    CRASH = "crash"
    LEAVE = "leave"
    JOIN = "join"
    CUT = "cut"
    LOSS = "loss"


@attrs.frozen(kw_only=True)
class ServiceTime:
    """Own work of a backend server for one request.

    :param mean_ms: mean, ms.
    :param shape: distribution.
    :param spread: half width relative to the mean (uniform) or sigma (lognormal).
    """

    mean_ms: float
    shape: TimeShape = TimeShape.UNIFORM
    spread: float = 0.25


@attrs.frozen(kw_only=True)
class ServiceSize:
    """Backend servers of one service.

    :param upstreams: number of backend servers, spread over the data centres.
    :param slots: requests that each one works on at once.
    :param connections: requests that each one holds, the queued ones included;
        it sheds the rest.
    :param cold_start_ms: time that a started server needs to warm up, ms.
    :param cold_factor: how much slower it is right after its start.
    """

    upstreams: int
    slots: int
    connections: int
    cold_start_ms: float = 0.0
    cold_factor: float = 5.0


@attrs.frozen(kw_only=True)
class Delays:
    """One-way delays of the links.

    :param within_ms: between hosts of one data centre, ms.
    :param between_ms: between data centres, ms.
    :param client_ms: between clients and nodes, ms.
    :param jitter_ms: largest random extra delay, ms.
    :param loss: share of messages between data centres that are sent again.
    """

    within_ms: float = 0.25
    between_ms: float = 5.0
    client_ms: float = 1.0
    jitter_ms: float = 0.0
    loss: float = 0.0


@attrs.frozen(kw_only=True)
class RequestKind:
    """A row of the table and what a backend server does for it.

    :param share: share of the requests of clients, 0 for calls between services.
    :param time: own work of the backend server, half before the calls and half
        after them.
    :param calls: rows called; stages run one after the other, the calls of one
        stage at once.
    :param is_long: true for rows that run many times longer than the rest.
    """

    time: ServiceTime
    share: float = 0.0
    calls: tuple[tuple[str, ...], ...] = ()
    is_long: bool = False
    importance: int = 5
    weight: int = 10
    execution: str = "idempotent"
    deadline_ms: int = 2_000
    retries: int = 3

    def create_row(self, name: str) -> Row:
        """Creates the table row.

        :param name: text form of the row key.
        """
        return create_row(
            parse_row_key(name),
            importance=self.importance,
            weight=self.weight,
            execution=self.execution,
            deadline_ms=self.deadline_ms,
            retries=self.retries,
        )


@attrs.frozen(kw_only=True)
class LoadPoint:
    """Arrival rate from a time on.

    :param at_s: start, seconds.
    :param load: rate in multiples of the slowest service's capacity.
    """

    at_s: float
    load: float


@attrs.frozen(kw_only=True)
class Clients:
    """How clients retry.

    :param max_attempts: most attempts for one request.
    :param timeout_ms: time after which an attempt is given up, ms; 0 waits until
        the deadline of the row.
    :param backoff_ms: mean wait before the next attempt, ms.
    :param marks_retries: true when retries are recognisable as such.
    """

    max_attempts: int = 1
    timeout_ms: float = 0.0
    backoff_ms: float = 0.0
    marks_retries: bool = True


@attrs.frozen(kw_only=True)
class Fault:
    """One fault.

    :param at_s: start, seconds.
    :param for_s: duration, seconds; 0 lasts until the end.
    :param target: backend server (``specs-1``), or data centre of a cut.
    :param factor: how much slower a slow server is.
    :param share: share of messages lost, or of requests that fail.
    """

    kind: FaultKind
    at_s: float
    target: str = ""
    for_s: float = 0.0
    factor: float = 10.0
    share: float = 0.0


@attrs.frozen(kw_only=True)
class Window:
    """Part of a run.

    :param from_s: start, seconds.
    :param to_s: end, seconds.
    """

    from_s: float
    to_s: float

    @property
    def seconds(self) -> float:
        """Length."""
        return self.to_s - self.from_s

    def __contains__(self, time: float) -> bool:
        return self.from_s <= time < self.to_s


@attrs.frozen(kw_only=True)
class OverloadWindow(Window):
    """The overload whose recovery is measured.

    :param before_from_s: start of the time with the earlier values, seconds; it
        ends with the start of the overload.
    """

    before_from_s: float


@attrs.frozen(kw_only=True)
class Scenario:
    """A deployment, its load and its faults.

    :param scale: by how much the slots are scaled down from the deployment.
    :param duration_s: length of the run, seconds.
    :param measure: time in which goodput is measured.
    :param latency: time in which latency is measured; ``measure`` when omitted.
    :param overload: set to measure recovery.
    :param crest_at_s: start of a demand swing, seconds; set to measure it.
    :param report_delay_ms: age of the load reports, ms.
    """

    name: str
    description: str
    data_centres: tuple[str, ...]
    services: Mapping[str, ServiceSize]
    rows: Mapping[str, RequestKind]
    load: tuple[LoadPoint, ...]
    duration_s: float
    measure: Window
    region: str = "region"
    seed: int = 1
    scale: float = 1.0
    delays: Delays = Delays()
    clients: Clients = Clients()
    faults: tuple[Fault, ...] = ()
    latency: Window | None = None
    overload: OverloadWindow | None = None
    crest_at_s: float | None = None
    report_delay_ms: float = 0.0

    @property
    def has_long_rows(self) -> bool:
        """True when clients send requests that run long."""
        return any(kind.is_long and kind.share for kind in self.rows.values())

    @property
    def has_slow_servers(self) -> bool:
        """True when backend servers are slowed while latency is measured."""
        window = self.latency or self.measure
        return any(
            fault.kind is FaultKind.SLOW
            and fault.at_s < window.to_s
            and (not fault.for_s or fault.at_s + fault.for_s > window.from_s)
            for fault in self.faults
        )

    def list_servers(self) -> Iterator[tuple[str, str, str]]:
        """Lists id, service and data centre of each backend server."""
        for service, size in self.services.items():
            for index in range(size.upstreams):
                data_centre = self.data_centres[index % len(self.data_centres)]
                yield f"{service}-{index + 1}", service, data_centre
