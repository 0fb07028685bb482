"""Tests of the comparison of servers of unequal speed."""

import pathlib

import pytest

from coltsfootspar.bench.servers import (
    ServerScenario,
    compare_servers,
    load_server_scenario,
    summarize,
)
from coltsfootspar.exceptions import BenchError

SCENARIOS = pathlib.Path(__file__).parents[4] / "benchmarks" / "servers"


def test_scenarios_load():
    """Guards against scenario files that no longer fit the program."""
    for path in SCENARIOS.glob("*.jsonc"):
        assert load_server_scenario(path).load


def test_faulty_scenario_is_refused(tmp_path):
    """Guards against a misspelt file that is taken for a scenario."""
    path = tmp_path / "faulty.jsonc"
    path.write_text('{"speeds": [1.0]}')
    with pytest.raises(BenchError):
        load_server_scenario(path)


def test_all_policies_answer_a_small_load():
    """Guards against a policy that loses calls."""
    scenario = ServerScenario(
        speeds=[0.6, 1.4],
        slots=10,
        knee=0.9,
        knee_factor=1.3,
        callers=2,
        kinds_ms={"balance": 50},
        target_latency_ms=600,
        load=[20, 20],
    )
    for results in compare_servers(scenario).values():
        summary = summarize(results, 0.6)
        assert summary.refused == 0
        assert summary.in_time > 0.9
