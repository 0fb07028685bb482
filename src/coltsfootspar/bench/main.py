"""Command line of ``coltsfootspar-bench``."""

import sys
from pathlib import Path
from typing import Literal

import attrs
import defopt
import orjson
from rich.console import Console
from rich.table import Table

from coltsfootspar.bench.capacity.command import capacity
from coltsfootspar.bench.compare import Report, compare_policies, measure_policy
from coltsfootspar.bench.loading import load_scenario
from coltsfootspar.bench.policies import PolicyName
from coltsfootspar.bench.scenario import Scenario
from coltsfootspar.bench.servers import (
    compare_servers,
    load_server_scenario,
    plot_servers,
    summarize,
)
from coltsfootspar.exceptions import ColtsfootsparError

__all__ = ["compare", "main", "run", "servers"]


def run(
    scenario: Path,
    *,
    seed: int | None = None,
    policy: Literal["baseline", "coltsfootspar"] = "coltsfootspar",
    json: bool = False,
) -> None:
    """Runs a scenario under one policy and prints its measures.

    :param scenario: scenario file.
    :param seed: seed of all draws; the scenario's own when omitted.
    :param policy: policy to run.
    :param json: print JSON.
    """
    loaded = load_scenario(scenario)
    name = PolicyName(policy)
    report, _ = measure_policy(loaded, name, seed)
    _print_reports(loaded, seed, {name: report}, as_json=json)


def compare(
    scenario: Path,
    *,
    seed: int | None = None,
    json: bool = False,
    plot: Path | None = None,
) -> None:
    """Runs a scenario under all policies and prints their measures.

    :param scenario: scenario file.
    :param seed: seed of all draws; the scenario's own when omitted.
    :param json: print JSON.
    :param plot: file for a plot of goodput and latency over time.
    """
    loaded = load_scenario(scenario)
    results = compare_policies(loaded, seed)
    reports = {policy: report for policy, (report, _) in results.items()}
    _print_reports(loaded, seed, reports, as_json=json)
    if plot is not None:
        from coltsfootspar.bench.plots import plot_journals  # noqa: PLC0415

        journals = {policy: journal for policy, (_, journal) in results.items()}
        plot_journals(loaded, journals, plot)


def servers(scenario: Path, *, plot: Path | None = None) -> None:
    """Compares ways to limit and choose backend servers of unequal speed.

    :param scenario: scenario file, from benchmarks/servers.
    :param plot: file for a plot of answers and refusals over time.
    """
    loaded = load_server_scenario(scenario)
    results = compare_servers(loaded)
    target = loaded.target_latency_ms / 1e3
    table = Table("policy", "in time", "late", "refused", "mean (s)")
    for policy, found in results.items():
        values = attrs.astuple(summarize(found, target))
        table.add_row(policy, *(f"{value:.3f}" for value in values))
    Console().print(table)
    if plot is not None:
        plot_servers(results, target, plot)


def main(argv: list[str] | None = None) -> None:
    """Entry point."""
    try:
        defopt.run([run, compare, capacity, servers], argv=argv)
    except ColtsfootsparError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        raise SystemExit(1) from error


def _print_reports(
    scenario: Scenario,
    seed: int | None,
    reports: dict[PolicyName, Report],
    *,
    as_json: bool,
) -> None:
    if as_json:
        data = {
            "scenario": scenario.name,
            "seed": scenario.seed if seed is None else seed,
            **{policy.value: attrs.asdict(r) for policy, r in reports.items()},
        }
        print(orjson.dumps(data, option=orjson.OPT_INDENT_2).decode())
        return
    table = Table("measure", *(policy.value for policy in reports))
    rows = {policy: _flatten(report) for policy, report in reports.items()}
    for key in next(iter(rows.values())):
        table.add_row(key, *(_format(values[key]) for values in rows.values()))
    Console().print(table)


def _flatten(report: Report) -> dict[str, object]:
    values = attrs.asdict(report)
    broken = values.pop("broken_invariants")
    return values | {f"broken: {name}": count for name, count in broken.items()}


def _format(value: object) -> str:
    if value is None:
        return "-"
    return f"{value:.3f}" if isinstance(value, float) else str(value)


if __name__ == "__main__":
    main()
