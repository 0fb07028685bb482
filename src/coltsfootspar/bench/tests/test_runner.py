"""The same seed must give the same figures in any process."""

import hashlib
import os
import subprocess
import sys

import pytest

from coltsfootspar.bench import PolicyName, measure_policy, run_scenario
from coltsfootspar.bench.load import draw_arrivals
from coltsfootspar.bench.tests.conftest import SMALL

PROGRAM = """
import hashlib, sys
from coltsfootspar.bench import PolicyName, parse_scenario, run_scenario
journal = run_scenario(parse_scenario(sys.stdin.read()), PolicyName(sys.argv[1]))
print(hashlib.sha256(repr(journal).encode()).hexdigest())
"""


def compute_digest(journal):
    return hashlib.sha256(repr(journal).encode()).hexdigest()


@pytest.mark.parametrize("policy", PolicyName)
def test_same_seed_gives_the_same_run_whatever_the_hash_seed(create_small, policy):
    expected = compute_digest(run_scenario(create_small(), policy))
    for hash_seed in ("1", "2"):
        done = subprocess.run(
            [sys.executable, "-c", PROGRAM, policy.value],
            input=SMALL,
            capture_output=True,
            text=True,
            check=True,
            timeout=120,
            env={**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": "src"},
        )
        assert done.stdout.strip() == expected


def test_another_seed_gives_another_run(create_small):
    policy = PolicyName.COLTSFOOTSPAR
    first = run_scenario(create_small(), policy, seed=1)
    second = run_scenario(create_small(), policy, seed=2)
    assert compute_digest(first) != compute_digest(second)


def test_every_request_is_accounted_for(create_small):
    """A request lost by the harness would pass as one that got no answer."""
    scenario = create_small()
    journal = run_scenario(scenario, PolicyName.COLTSFOOTSPAR)
    assert len(journal.requests) == len(draw_arrivals(scenario, scenario.seed))
    assert all(request.attempts for request in journal.requests)
    answered = [r for r in journal.requests if r.answered_at is not None]
    assert answered
    limit = {name: kind.deadline_ms / 1e3 for name, kind in scenario.rows.items()}
    assert all(request.latency <= limit[request.row] for request in answered)


def test_report_has_a_value_for_each_measure_the_scenario_calls_for(create_small):
    report, _ = measure_policy(create_small(), PolicyName.COLTSFOOTSPAR)
    assert report.goodput_ratio > 0
    assert report.recovery_seconds is None
    assert report.short_row_p99_ratio is None
    assert set(report.broken_invariants.values()) == {0}
