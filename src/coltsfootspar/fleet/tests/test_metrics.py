"""Tests of the metrics page of a node."""

from coltsfootspar.fleet.metrics import create_fleet_metrics


def test_page():
    """Guards against a page that fails on every scrape or shows old values."""
    metrics = create_fleet_metrics()
    values = {"served": 1.0, "slots": 4.0}
    metrics.add_counters(("served", "Requests served.", lambda: values["served"]))
    metrics.add_gauges(("slots", "Slots.", lambda: values["slots"]))
    metrics.observe_seconds(0.2)
    assert b"\ncoltsfootspar_served_total 1" in metrics.render()
    values["served"] = 3.0
    page = metrics.render().decode()
    assert (
        "# TYPE coltsfootspar_served_total counter\ncoltsfootspar_served_total 3"
        in page
    )
    assert "# TYPE coltsfootspar_slots gauge\ncoltsfootspar_slots 4" in page
    assert 'coltsfootspar_request_seconds_bucket{le="0.25"} 1' in page
    assert "coltsfootspar_request_seconds_count 1" in page


def test_values_by_service():
    """Guards against values of services that are shown after they have ended."""
    metrics = create_fleet_metrics()
    values = {"fares": 3, "rides": 5}
    metrics.add_gauge_by_service("threshold", "Threshold.", lambda: values)
    metrics.add_counter_by_service("refused", "Refused.", lambda: values)
    page = metrics.render().decode()
    assert 'coltsfootspar_threshold{service="fares"} 3' in page
    assert 'coltsfootspar_refused_total{service="rides"} 5' in page
    del values["fares"]
    assert "fares" not in metrics.render().decode()
