"""Traces with a span for each hop, in W3C form."""

import collections
import re
import secrets
from collections.abc import Iterable

import attrs
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import (
    ReadableSpan,
    Span as SdkSpan,
    SpanProcessor,
    TracerProvider,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import (
    NonRecordingSpan,
    SpanContext,
    TraceFlags,
    set_span_in_context,
)

from coltsfootspar.telemetry.interfaces import Span, Tracer

__all__ = [
    "SpanRecord",
    "TraceContext",
    "create_null_tracer",
    "create_tracer",
    "format_traceparent",
    "parse_traceparent",
]

_TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}")
_TRACE_ID_BYTES = 16
_SPAN_ID_BYTES = 8
_NO_TRACE = "0" * 32
_NO_SPAN = "0" * 16
_NANOSECONDS = 1e9


@attrs.frozen
class TraceContext:
    """Trace id and parent span id of a request, hexadecimal."""

    trace_id: str
    parent_span_id: str


def parse_traceparent(value: bytes | None) -> TraceContext:
    """Reads a ``traceparent`` header.

    :returns: its ids, or a new trace id when it is missing or malformed, as
        W3C Trace Context asks.

    >>> parse_traceparent(b"00-" + b"a" * 32 + b"-" + b"b" * 16 + b"-01").trace_id[:2]
    'aa'
    """
    text = (value or b"").decode("ascii", "replace").strip()
    match = _TRACEPARENT.fullmatch(text)
    if match and match[1] != _NO_TRACE and match[2] != _NO_SPAN:
        return TraceContext(match[1], match[2])
    return TraceContext(secrets.token_hex(_TRACE_ID_BYTES), "")


def format_traceparent(trace_id: str, span_id: str) -> bytes:
    """Writes a ``traceparent`` header."""
    return f"00-{trace_id}-{span_id or _NO_SPAN}-01".encode()


@attrs.frozen
class SpanRecord:
    """An ended span.

    :param start: Unix time, seconds.
    :param duration_ms: milliseconds.
    :param node: node that recorded it.
    """

    span_id: str
    parent_span_id: str
    name: str
    start: float
    duration_ms: float
    node: str
    attributes: dict[str, str | int | float | bool]


class _RecentSpans(SpanProcessor):
    """Keeps the latest spans for the operators' client."""

    def __init__(self, keep: int):
        self._spans: collections.deque[ReadableSpan] = collections.deque(maxlen=keep)

    def on_end(self, span: ReadableSpan) -> None:
        self._spans.append(span)

    def find(self, trace_id: str) -> Iterable[ReadableSpan]:
        number = int(trace_id, 16)
        return [span for span in self._spans if span.context.trace_id == number]


@attrs.define(eq=False)
class _OpenTelemetrySpan:
    span_id: str
    _span: SdkSpan | NonRecordingSpan

    def set_attribute(self, name: str, value: str | int | float | bool) -> None:
        self._span.set_attribute(name, value)

    def __enter__(self) -> Span:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._span.end()


@attrs.define(eq=False)
class RecordingTracer:
    """Tracer over the SDK of OpenTelemetry."""

    _node: str
    _tracer: object
    _recent: _RecentSpans

    def open_span(self, name: str, trace_id: str, parent_span_id: str) -> Span:
        """Starts a span."""
        parent = SpanContext(
            int(trace_id, 16),
            int(parent_span_id or secrets.token_hex(_SPAN_ID_BYTES), 16),
            is_remote=True,
            trace_flags=TraceFlags(TraceFlags.SAMPLED),
        )
        context = set_span_in_context(NonRecordingSpan(parent), Context())
        span = self._tracer.start_span(name, context=context)
        span_id = format(span.get_span_context().span_id, "016x")
        if not parent_span_id:
            span.set_attribute("is_root", True)
        return _OpenTelemetrySpan(span_id, span)

    def find_spans(self, trace_id: str) -> list[SpanRecord]:
        """Finds the kept spans of a trace."""
        return [self._describe(span) for span in self._recent.find(trace_id)]

    def _describe(self, span: ReadableSpan) -> SpanRecord:
        attributes = dict(span.attributes)
        is_root = attributes.pop("is_root", False)
        return SpanRecord(
            span_id=format(span.context.span_id, "016x"),
            parent_span_id="" if is_root else format(span.parent.span_id, "016x"),
            name=span.name,
            start=span.start_time / _NANOSECONDS,
            duration_ms=(span.end_time - span.start_time) / 1e6,
            node=self._node,
            attributes=attributes,
        )


@attrs.define(eq=False)
class _NullSpan:
    span_id: str

    def set_attribute(self, name: str, value: str | int | float | bool) -> None:
        return

    def __enter__(self) -> Span:
        return self

    def __exit__(self, *exc_info: object) -> None:
        return


@attrs.define(eq=False)
class NullTracer:
    """Gives span ids and records nothing."""

    _count: int = 0

    def open_span(self, name: str, trace_id: str, parent_span_id: str) -> Span:
        """Starts a span that is not recorded."""
        self._count += 1
        return _NullSpan(format(self._count, "016x"))


def create_tracer(node: str, keep: int, sample_ratio: float) -> RecordingTracer:
    """Creates a tracer that keeps the latest spans in memory.

    :param node: id of this node.
    :param keep: how many spans are kept.
    :param sample_ratio: share of traces that are recorded, 0 to 1, the same
        traces at every node.
    """
    recent = _RecentSpans(keep)
    ratio = TraceIdRatioBased(sample_ratio)
    sampler = ParentBased(
        root=ratio, remote_parent_sampled=ratio, remote_parent_not_sampled=ratio
    )
    provider = TracerProvider(
        sampler=sampler,
        resource=Resource({"service.name": node}),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(recent)
    return RecordingTracer(node, provider.get_tracer("coltsfootspar"), recent)


def create_null_tracer() -> Tracer:
    """Creates a tracer that records nothing."""
    return NullTracer()
