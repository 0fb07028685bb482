"""Metrics of a replica, in the text format of Prometheus."""

import attrs
from aioprometheus import Gauge, Registry, render

from coltsfootspar.replication import ReplicaStatus, Role

__all__ = ["METRICS_TYPE", "ReplicaMetrics", "create_replica_metrics"]

METRICS_TYPE = b"text/plain; version=0.0.4"
_GAUGES = {
    "term": ("term", "Number of the present election"),
    "commit_index": ("commit_index", "Entries committed"),
    "table_version": ("table_version", "Version of the table"),
    "claims": ("claims", "Keys of requests that run at most once"),
    "admitted": ("is_admitted", "0 while a replica with a new disk catches up"),
}


@attrs.define(eq=False)
class ReplicaMetrics:
    """Gauges over the status of a replica."""

    _registry: Registry
    _role: Gauge
    _gauges: dict[str, Gauge]

    def render(self, status: ReplicaStatus) -> bytes:
        """Renders the present status."""
        for role in Role:
            self._role.set({"role": role.value}, int(status.role == role.value))
        for name, (field, _) in _GAUGES.items():
            self._gauges[name].set({}, int(getattr(status, field)))
        return render(self._registry, ["text/plain"])[0]


def create_replica_metrics() -> ReplicaMetrics:
    """Creates the metrics of a replica in a registry of their own."""
    registry = Registry()

    def create(name: str, text: str) -> Gauge:
        return Gauge(f"coltsfootspar_replica_{name}", text, registry=registry)

    gauges = {name: create(name, text) for name, (_, text) in _GAUGES.items()}
    return ReplicaMetrics(registry, create("role", "1 for the present role"), gauges)
