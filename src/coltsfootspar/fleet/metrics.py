"""Prometheus metrics of node and replica."""

from collections.abc import Callable, Mapping

import attrs
from aioprometheus import Histogram, Registry, render
from aioprometheus.collectors import Counter, Gauge

from coltsfootspar.memory import ConnectionCount, MemoryAccount

__all__ = ["FleetMetrics", "add_memory_metrics", "create_fleet_metrics"]

_PREFIX = "coltsfootspar_"
_BUCKET_BOUNDS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)

ServiceValues = Callable[[], Mapping[str, float]]
MetricValue = tuple[str, str, Callable[[], float]]


@attrs.define(eq=False)
class FleetMetrics:
    """Counters and gauges that are read on each scrape, and a latency histogram.

    :param request_seconds: latency of served requests.
    """

    _registry: Registry
    request_seconds: Histogram
    _collectors: list[tuple[Counter | Gauge, Callable[[], float]]] = attrs.field(
        factory=list
    )
    _by_service: list[tuple[Counter | Gauge, ServiceValues]] = attrs.field(factory=list)

    def add_counters(self, *values: MetricValue) -> None:
        """Adds counters.

        :param values: name without the common parts, help text, and a function that
            returns the value on each scrape.
        """
        for name, help_text, read in values:
            name = f"{_PREFIX}{name}_total"
            collector = Counter(name, help_text, registry=self._registry)
            self._collectors.append((collector, read))

    def add_gauges(self, *values: MetricValue) -> None:
        """Adds gauges; see :meth:`add_counters`."""
        for name, help_text, read in values:
            collector = Gauge(f"{_PREFIX}{name}", help_text, registry=self._registry)
            self._collectors.append((collector, read))

    def add_counter_by_service(
        self, name: str, help_text: str, read: ServiceValues
    ) -> None:
        """Adds a counter with a value for each service."""
        name = f"{_PREFIX}{name}_total"
        collector = Counter(name, help_text, registry=self._registry)
        self._by_service.append((collector, read))

    def add_gauge_by_service(
        self, name: str, help_text: str, read: ServiceValues
    ) -> None:
        """Adds a gauge with a value for each service; others are no longer shown."""
        collector = Gauge(f"{_PREFIX}{name}", help_text, registry=self._registry)
        self._by_service.append((collector, read))

    def render(self) -> bytes:
        """Renders the page in the Prometheus text format."""
        for collector, read in self._collectors:
            collector.set({}, read())
        for collector, read in self._by_service:
            collector.values.clear()
            for service, value in read().items():
                collector.set({"service": service}, value)
        page, _ = render(self._registry, [])
        return page

    def observe_seconds(self, seconds: float) -> None:
        """Records the latency of a served request."""
        self.request_seconds.observe({}, seconds)


def create_fleet_metrics() -> FleetMetrics:
    """Creates metrics that have only the latency histogram."""
    registry = Registry()
    request_seconds = Histogram(
        f"{_PREFIX}request_seconds",
        "Time to the answer of served requests.",
        buckets=list(_BUCKET_BOUNDS_SECONDS),
        registry=registry,
    )
    return FleetMetrics(registry, request_seconds)


def add_memory_metrics(
    metrics: FleetMetrics, account: MemoryAccount, count: ConnectionCount
) -> None:
    """Adds what the process holds for its connections, and who gave way."""
    metrics.add_gauges(
        ("held_bytes", "Held for connections.", lambda: account.held_bytes),
    )
    metrics.add_counters(
        (
            "evictions",
            "Requests refused and connections closed for lack of memory.",
            lambda: account.evictions,
        ),
        (
            "connections_refused",
            "Connections closed at once for lack of descriptors.",
            lambda: count.refused,
        ),
        (
            "idle_connections_closed",
            "Idle connections closed for lack of descriptors.",
            lambda: count.closed_idle,
        ),
        (
            "stalled_connections_closed",
            "Connections without progress closed for lack of descriptors.",
            lambda: count.closed_stalled,
        ),
    )
