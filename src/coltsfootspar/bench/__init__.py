"""Benchmarks: scenarios, stand-ins, measures and invariant checks."""

from coltsfootspar.bench.compare import Report, compare_policies, measure_policy
from coltsfootspar.bench.invariants import INVARIANTS, find_violations
from coltsfootspar.bench.loading import load_scenario, parse_scenario
from coltsfootspar.bench.policies import PolicyName
from coltsfootspar.bench.runner import run_scenario
from coltsfootspar.bench.scenario import Scenario

__all__ = [
    "INVARIANTS",
    "PolicyName",
    "Report",
    "Scenario",
    "compare_policies",
    "find_violations",
    "load_scenario",
    "measure_policy",
    "parse_scenario",
    "run_scenario",
]
