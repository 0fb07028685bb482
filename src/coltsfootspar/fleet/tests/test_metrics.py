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
