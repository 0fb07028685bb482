"""Counters and histograms of the programs."""

from collections.abc import Callable

import attrs
from aioprometheus import Histogram, Registry
from aioprometheus.collectors import Counter, Gauge
from aioprometheus.formats import text

__all__ = ["FleetMetrics", "create_fleet_metrics"]

_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


@attrs.define(eq=False)
class FleetMetrics:
    """Values that are read when the page is fetched, and a histogram.

    :param seconds: time to the answer of served requests.
    """

    _registry: Registry
    seconds: Histogram
    _values: list[tuple[Counter | Gauge, Callable[[], float]]] = attrs.field(
        factory=list
    )

    def add_counter(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Adds a counter that is kept elsewhere."""
        collector = Counter(name, help_text, registry=self._registry)
        self._values.append((collector, read))

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Adds a value that goes up and down."""
        collector = Gauge(name, help_text, registry=self._registry)
        self._values.append((collector, read))

    def render(self) -> bytes:
        """Returns the page."""
        for collector, read in self._values:
            collector.set({}, read())
        return text.encode(self._registry)

    def observe_seconds(self, seconds: float) -> None:
        """Records the time to the answer of a served request."""
        self.seconds.observe({}, seconds)


def create_fleet_metrics() -> FleetMetrics:
    """Creates an empty page."""
    registry = Registry()
    seconds = Histogram(
        "coltsfootspar_request_seconds",
        "Time to the answer of served requests.",
        buckets=list(_SECONDS),
        registry=registry,
    )
    return FleetMetrics(registry, seconds)
