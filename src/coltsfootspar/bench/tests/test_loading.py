"""A faulty scenario must be refused with all its problems, by key."""

from pathlib import Path

import pytest

from coltsfootspar.bench import load_scenario, parse_scenario
from coltsfootspar.bench.load import compute_capacity, draw_arrivals
from coltsfootspar.bench.tests.conftest import SMALL
from coltsfootspar.exceptions import BenchError

SCENARIOS = sorted(Path("benchmarks/scenarios").glob("*.jsonc"))


def fail(text):
    with pytest.raises(BenchError) as caught:
        parse_scenario(text, "test")
    return str(caught.value)


def test_reports_all_problems_of_types_at_once():
    text = SMALL.replace('"slots": 4', '"slots": "4"')
    text = text.replace('"duration_s": 3,', '"duration": 3,')
    message = fail(text)
    assert "$.services['front'].slots" in message
    assert "duration_s" in message
    assert "duration)" in message


def test_reports_all_problems_of_values_at_once():
    text = SMALL.replace('"share": 0.5', '"share": 0.4')
    text = text.replace('["store POST /entries"]', '["store POST /missing"]')
    text = text.replace('"to_s": 3', '"to_s": 9')
    text = text.replace('"connections": 40', '"connections": 1')
    text = text.replace('"retries": 2', '"retries": 200')
    fault = '"faults": [{"kind": "crash", "at_s": 1, "target": "front-9"}],'
    lines = fail(text.replace('"duration_s"', f'{fault} "duration_s"')).splitlines()
    keys = [line.removeprefix("test: ").partition(":")[0] for line in lines]
    assert sorted(keys) == [
        "faults[0].target",
        "measure",
        "rows",
        "rows.front POST /payments.calls",
        "rows.front POST /payments.retries",
        "services.front.connections",
    ]


def test_refuses_cycles_in_the_call_graph():
    text = SMALL.replace(
        '"time": {"mean_ms": 40}',
        '"time": {"mean_ms": 40}, "calls": [["front GET /views/{id}"]]',
    )
    assert "cycle" in fail(text)


def test_names_unknown_choices_and_syntax_errors():
    text = SMALL.replace('"mean_ms": 60', '"mean_ms": 60, "shape": "flat"', 1)
    assert "TimeShape @ $.rows['store GET /items/{id}'].time.shape" in fail(text)
    assert fail("{").startswith("test: ")


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_shipped_scenarios_load(path):
    scenario = load_scenario(path)
    assert scenario.name == path.stem
    assert compute_capacity(scenario) > 0


def test_arrivals_follow_the_seed_and_the_rate(create_small):
    scenario = create_small()
    arrivals = draw_arrivals(scenario, 1)
    assert arrivals == draw_arrivals(scenario, 1)
    assert arrivals != draw_arrivals(scenario, 2)
    capacity = compute_capacity(scenario)
    late = sum(1 for arrival in arrivals if arrival.at >= 1)
    assert late == pytest.approx(2 * 2.5 * capacity, rel=0.2)
