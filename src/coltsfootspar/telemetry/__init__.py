"""Logs, metrics and traces."""

from coltsfootspar.logs import set_up_logs
from coltsfootspar.telemetry.interfaces import Span, Tracer
from coltsfootspar.telemetry.metrics import NodeMetrics, create_node_metrics
from coltsfootspar.telemetry.traces import (
    SpanRecord,
    TraceContext,
    create_null_tracer,
    create_tracer,
    format_traceparent,
    parse_traceparent,
)

__all__ = [
    "NodeMetrics",
    "Span",
    "SpanRecord",
    "TraceContext",
    "Tracer",
    "create_node_metrics",
    "create_null_tracer",
    "create_tracer",
    "format_traceparent",
    "parse_traceparent",
    "set_up_logs",
]
