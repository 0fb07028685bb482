"""Prometheus metrics of node and replica."""

from collections.abc import Callable

import attrs
from aioprometheus import Histogram, Registry, render
from aioprometheus.collectors import Counter, Gauge

__all__ = ["FleetMetrics", "create_fleet_metrics"]

_BUCKET_BOUNDS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


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

    def add_counter(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Adds a counter.

        :param read: returns the value; called on each scrape.
        """
        collector = Counter(name, help_text, registry=self._registry)
        self._collectors.append((collector, read))

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Adds a gauge.

        :param read: returns the value; called on each scrape.
        """
        collector = Gauge(name, help_text, registry=self._registry)
        self._collectors.append((collector, read))

    def render(self) -> bytes:
        """Renders the page in the Prometheus text format."""
        for collector, read in self._collectors:
            collector.set({}, read())
        page, _ = render(self._registry, [])
        return page

    def observe_seconds(self, seconds: float) -> None:
        """Records the latency of a served request."""
        self.request_seconds.observe({}, seconds)


def create_fleet_metrics() -> FleetMetrics:
    """Creates metrics that have only the latency histogram."""
    registry = Registry()
    request_seconds = Histogram(
        "coltsfootspar_request_seconds",
        "Time to the answer of served requests.",
        buckets=list(_BUCKET_BOUNDS_SECONDS),
        registry=registry,
    )
    return FleetMetrics(registry, request_seconds)
