"""The capacity page must say what was recorded, and lines must be fitted right."""

import pathlib

import attrs
import pytest

from coltsfootspar.bench.capacity import extrapolate
from coltsfootspar.bench.capacity.page import (
    read_report,
    render_tables,
    update_page,
    write_report,
)
from coltsfootspar.bench.capacity.slopes import fit_slope
from coltsfootspar.exceptions import BenchError

ROOT = pathlib.Path(__file__).parents[4]
RECORDED = ROOT / "benchmarks" / "results" / "capacity.json"
PAGE = ROOT / "docs" / "CAPACITY.md"


def test_page_agrees_with_the_recorded_run():
    text = PAGE.read_text()
    tables = render_tables(read_report(RECORDED))
    assert update_page(text, tables) == text
    for name in tables:
        assert f"<!-- table: {name} -->" in text


def test_report_survives_the_file(tmp_path):
    report = read_report(RECORDED)
    write_report(report, tmp_path / "report.json")
    assert read_report(tmp_path / "report.json") == report


def test_growth_with_the_number_of_nodes_is_carried_to_the_target():
    """Guards against a budget that is compared with the largest measurement."""
    report = read_report(RECORDED)
    grown = [
        attrs.evolve(point, idle_cpu_percent=0.01 * point.nodes, idle_bytes=100.0)
        for point in report.control
    ]
    findings = {f.name: f for f in extrapolate(attrs.evolve(report, control=grown))}
    cpu = findings["control of a node, idle"]
    assert cpu.value == pytest.approx(9.2)
    assert not cpu.is_met
    assert findings["control of a node"].value == pytest.approx(100.0)


def test_slope_of_exact_points_has_no_spread():
    slope = fit_slope([(4, 9), (8, 17), (16, 33)])
    assert (slope.base, slope.per_unit) == pytest.approx((1, 2))
    assert slope.spread == pytest.approx(0, abs=1e-9)


def test_unknown_table_in_the_page_is_an_error():
    with pytest.raises(BenchError):
        update_page("<!-- table: nothing -->\n<!-- end -->", {})
