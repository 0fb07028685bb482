"""Runs a scenario as often as its measures need and reports them."""

from functools import partial

import attrs

from coltsfootspar.bench.invariants import count_violations
from coltsfootspar.bench.journal import Journal
from coltsfootspar.bench.measures import (
    compute_crest_ratio,
    compute_goodput_ratio,
    compute_max_attempts,
    compute_recovery,
    compute_short_p99,
    compute_wasted_ratio,
)
from coltsfootspar.bench.policies import PolicyName
from coltsfootspar.bench.runner import run_scenario
from coltsfootspar.bench.scenario import Scenario

__all__ = ["Report", "compare_policies", "measure_policy"]


@attrs.frozen(kw_only=True)
class Report:
    """Measures of one policy; None where the scenario does not call for one.

    :param goodput_ratio: complete answers in time over the lower of capacity and
        offered load.
    :param recovery_seconds: time from the end of the overload until the earlier
        values are back, seconds.
    :param crest_goodput_ratio: goodput ratio in the first second of a swing.
    :param short_row_p99_ratio: p99 of short rows with long requests over without.
    :param slowed_tail_ratio: p99 with slowed servers over without.
    :param wasted_work_ratio: share of the backend work without a complete answer.
    :param max_attempts_per_request: most attempts at any leaf for one request.
    :param broken_invariants: violations by invariant.
    """

    goodput_ratio: float
    recovery_seconds: float | None
    crest_goodput_ratio: float | None
    short_row_p99_ratio: float | None
    slowed_tail_ratio: float | None
    wasted_work_ratio: float
    max_attempts_per_request: int
    broken_invariants: dict[str, int]


def measure_policy(
    scenario: Scenario, policy: PolicyName, seed: int | None = None
) -> tuple[Report, Journal]:
    """Measures a policy.

    :returns: the report and the journal of the run with all load and faults.
    """
    run = partial(run_scenario, scenario, policy, seed=seed)
    journal = run()
    report = Report(
        goodput_ratio=compute_goodput_ratio(journal, scenario, scenario.measure),
        recovery_seconds=compute_recovery(journal, scenario),
        crest_goodput_ratio=compute_crest_ratio(journal, scenario),
        short_row_p99_ratio=(
            _divide_short_p99(journal, run(with_long=False), scenario)
            if scenario.has_long_rows
            else None
        ),
        slowed_tail_ratio=(
            _divide_short_p99(journal, run(with_slow=False), scenario)
            if scenario.has_slow_servers
            else None
        ),
        wasted_work_ratio=compute_wasted_ratio(journal),
        max_attempts_per_request=compute_max_attempts(journal),
        broken_invariants=count_violations(journal, scenario),
    )
    return report, journal


def compare_policies(
    scenario: Scenario, seed: int | None = None
) -> dict[PolicyName, tuple[Report, Journal]]:
    """Measures all policies on the same scenario and seed."""
    return {policy: measure_policy(scenario, policy, seed) for policy in PolicyName}


def _divide_short_p99(
    journal: Journal, other: Journal, scenario: Scenario
) -> float | None:
    above = compute_short_p99(journal, scenario)
    below = compute_short_p99(other, scenario)
    return above / below if above and below else None
