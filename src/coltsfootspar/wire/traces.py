"""Encoding of requests for the spans of a trace."""

import capnp

from coltsfootspar.exceptions import FrameError
from coltsfootspar.telemetry.traces import SpanRecord
from coltsfootspar.wire.frames import FrameKind, Message
from coltsfootspar.wire.schemas import (
    add_structs,
    create_struct,
    decode_struct,
    load_schema,
)

__all__ = [
    "decode_find_spans",
    "decode_spans",
    "encode_find_spans",
    "encode_spans",
]

_schema = load_schema("traces")


def encode_find_spans(trace_id: str) -> Message:
    """Encodes a request for the spans of a trace."""
    request = create_struct(_schema.FindSpans, traceId=trace_id)
    return Message(FrameKind.FIND_SPANS, request.to_bytes())


def decode_find_spans(message: Message) -> str:
    """Decodes a request for spans.

    :returns: the trace id.
    :raises FrameError: when the payload is not valid.
    """
    return decode_struct(_schema.FindSpans, message.payload).traceId


def encode_spans(spans: list[SpanRecord]) -> Message:
    """Encodes spans; they travel as a body, since there may be many."""
    reply = create_struct(_schema.Spans)
    add_structs(reply, "spans", [_write_span(span) for span in spans])
    return Message(FrameKind.SPANS, b"", reply.to_bytes())


def decode_spans(message: Message) -> list[SpanRecord]:
    """Decodes spans.

    :raises FrameError: when the body is not valid.
    """
    reply = decode_struct(_schema.Spans, message.body)
    try:
        return [_read_span(span) for span in reply.spans]
    except capnp.KjException as error:
        raise FrameError("span has a malformed field") from error


def _write_span(span: SpanRecord) -> dict:
    return {
        "spanId": span.span_id,
        "parentSpanId": span.parent_span_id,
        "name": span.name,
        "start": span.start,
        "durationMs": span.duration_ms,
        "node": span.node,
        "attributes": [
            {"name": name, _select_field(value): value}
            for name, value in span.attributes.items()
        ],
    }


def _select_field(value: str | int | float | bool) -> str:
    if isinstance(value, bool):
        return "flag"
    if isinstance(value, int):
        return "integer"
    return "number" if isinstance(value, float) else "text"


def _read_span(span) -> SpanRecord:
    attributes = {
        attribute.name: getattr(attribute, attribute.which())
        for attribute in span.attributes
    }
    return SpanRecord(
        span_id=span.spanId,
        parent_span_id=span.parentSpanId,
        name=span.name,
        start=span.start,
        duration_ms=span.durationMs,
        node=span.node,
        attributes=attributes,
    )
