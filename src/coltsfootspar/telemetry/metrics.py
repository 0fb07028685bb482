"""Metrics of a node, in the text format of Prometheus."""

import attrs
from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["NodeMetrics", "create_node_metrics"]

_LATENCY_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10)


@attrs.define(eq=False)
class NodeMetrics:
    """Counters, gauges and histograms of a node.

    :param requests: answers by row, outcome and error code.
    :param seconds: time from receipt to answer, by row, seconds.
    :param http_errors: connections ended for malformed or oversized HTTP.
    :param peer_errors: peer connections refused or ended by an error.
    :param datagram_errors: datagrams that were malformed or not authentic.
    :param in_progress: calls in progress.
    :param table_version: version of the table in force.
    :param members: members by status.
    """

    registry: Registry
    requests: Counter
    seconds: Histogram
    http_errors: Counter
    peer_errors: Counter
    datagram_errors: Counter
    in_progress: Gauge
    table_version: Gauge
    members: Gauge

    def record_answer(
        self, row: str, outcome: str, code: str, status: int, seconds: float
    ) -> None:
        """Counts one answer.

        :param row: key of the row, or empty when none matched.
        :param code: error code, or empty.
        :param seconds: time from receipt to answer.
        """
        labels = {"row": row, "outcome": outcome, "code": code, "status": str(status)}
        self.requests.inc(labels)
        self.seconds.observe({"row": row}, seconds)

    def count_answers(self) -> list[tuple[dict[str, str], float]]:
        """Lists the answers by label."""
        return [(dict(labels), value) for labels, value in self.requests.get_all()]

    def render(self) -> tuple[bytes, dict]:
        """Renders all metrics.

        :returns: text and HTTP headers.
        """
        return render(self.registry, ["text/plain"])


def create_node_metrics() -> NodeMetrics:
    """Creates the metrics of a node in a registry of their own."""
    registry = Registry()

    def create(kind, name: str, text: str, **options):
        return kind(f"coltsfootspar_{name}", text, registry=registry, **options)

    return NodeMetrics(
        registry=registry,
        requests=create(Counter, "requests_total", "Answers to calls entering here"),
        seconds=create(
            Histogram,
            "request_seconds",
            "Time from receipt to answer",
            buckets=[*_LATENCY_BUCKETS, float("inf")],
        ),
        http_errors=create(
            Counter, "http_errors_total", "Connections ended for bad HTTP"
        ),
        peer_errors=create(
            Counter, "peer_errors_total", "Peer connections ended by an error"
        ),
        datagram_errors=create(
            Counter, "datagram_errors_total", "Datagrams that were not accepted"
        ),
        in_progress=create(Gauge, "in_progress", "Calls in progress"),
        table_version=create(Gauge, "table_version", "Version of the table in force"),
        members=create(Gauge, "members", "Members by status"),
    )
