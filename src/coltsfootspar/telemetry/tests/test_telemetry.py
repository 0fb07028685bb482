"""Traces must join across nodes; logs must stay one JSON object a line."""

import json
import logging as standard_logging
import sys

import pytest

from coltsfootspar.logs import JsonFormatter
from coltsfootspar.telemetry import (
    create_node_metrics,
    create_tracer,
    format_traceparent,
    parse_traceparent,
)

TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"


def test_spans_of_two_nodes_join_in_one_trace():
    first = create_tracer("a", keep=10, sample_ratio=1.0)
    second = create_tracer("b", keep=10, sample_ratio=1.0)
    with first.open_span("send", TRACE_ID, "") as outer:
        with second.open_span("serve", TRACE_ID, outer.span_id) as inner:
            inner.set_attribute("row", "specs GET /")
    (parent,) = first.find_spans(TRACE_ID)
    (child,) = second.find_spans(TRACE_ID)
    assert parent.parent_span_id == ""
    assert child.parent_span_id == parent.span_id
    assert child.attributes == {"row": "specs GET /"}


def test_all_nodes_sample_the_same_traces():
    """Guards against traces with holes."""
    tracers = [create_tracer(name, 1000, 0.5) for name in "ab"]
    for number in range(1, 200):
        trace_id = format(number * 0x9E3779B97F4A7C15 % 2**64, "032x")
        for tracer in tracers:
            with tracer.open_span("serve", trace_id, "1" * 16):
                pass
        found = [len(tracer.find_spans(trace_id)) for tracer in tracers]
        assert found in ([0, 0], [1, 1])


@pytest.mark.parametrize(
    "value",
    [
        None,
        b"",
        b"00-xyz-1-01",
        b"00-" + b"0" * 32 + b"-" + b"1" * 16 + b"-01",
        b"\xff\xfe",
        b"00-" + b"A" * 32 + b"-" + b"1" * 16 + b"-01",
    ],
)
def test_malformed_traceparent_starts_a_new_trace(value):
    context = parse_traceparent(value)
    assert len(context.trace_id) == 32 and context.parent_span_id == ""


def test_traceparent_round_trip():
    value = format_traceparent(TRACE_ID, "00f067aa0ba902b7")
    context = parse_traceparent(value)
    assert (context.trace_id, context.parent_span_id) == (TRACE_ID, "00f067aa0ba902b7")


def test_log_line_with_exception_and_line_breaks_is_one_json_object():
    try:
        raise ValueError("first\nsecond")
    except ValueError:
        record = standard_logging.LogRecord(
            "absl", 20, __file__, 1, "failed:\n%s", ("x",), sys.exc_info()
        )
    line = JsonFormatter("node-1").format(record)
    assert "\n" not in line
    assert json.loads(line)["process"] == "node-1"


def test_rendered_metrics_have_the_documented_names():
    metrics = create_node_metrics()
    metrics.record_answer("specs GET /", "ran", "", 200, 0.004)
    text = metrics.render()[0].decode()
    assert "coltsfootspar_requests_total{" in text
    assert 'coltsfootspar_request_seconds_bucket{le="0.005"' in text
