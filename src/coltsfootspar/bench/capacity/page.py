"""Writes the tables of docs/CAPACITY.md from a recorded report."""

import pathlib
import re
from collections.abc import Iterable

import attrs
import cattrs
import orjson

from coltsfootspar.bench.capacity.report import (
    TARGET_CALLS,
    TARGET_NODES,
    CapacityReport,
    compute_slopes,
    extrapolate,
    summarize_edits,
)
from coltsfootspar.bench.capacity.slopes import Slope
from coltsfootspar.exceptions import BenchError

__all__ = ["read_report", "render_tables", "update_page", "write_report"]

_MARKER = re.compile(r"(<!-- table: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)
_PERCENT = 100
_KEY_SHARES = (0.0001, 0.001, 0.01)
_RETENTION_SECONDS = 86_400


def write_report(report: CapacityReport, path: pathlib.Path) -> None:
    """Records a report as JSON."""
    data = orjson.dumps(attrs.asdict(report), option=orjson.OPT_INDENT_2)
    path.write_bytes(data + b"\n")


def read_report(path: pathlib.Path) -> CapacityReport:
    """Reads a recorded report.

    :raises BenchError: when the file is missing or has another form.
    """
    try:
        return cattrs.structure(orjson.loads(path.read_bytes()), CapacityReport)
    except (OSError, ValueError, cattrs.BaseValidationError) as error:
        raise BenchError(f"{path}: {error}") from error


def render_tables(report: CapacityReport) -> dict[str, str]:
    """Renders all tables by name."""
    return {
        "budgets": _render_budgets(report),
        "control": _render_control(report),
        "slopes": _render_slopes(report),
        "hops": _render_hops(report),
        "once": _render_once(report),
        "keys": _render_keys(report),
        "edits": _render_edits(report),
        "imports": _render_imports(report),
        "objects": _render_objects(report),
    }


def update_page(text: str, tables: dict[str, str]) -> str:
    """Replaces the tables between their markers.

    :raises BenchError: when a marker names no table.
    """

    def replace(match: re.Match[str]) -> str:
        if match[2] not in tables:
            raise BenchError(f"the page names the unknown table {match[2]!r}")
        return f"{match[1]}{tables[match[2]]}{match[3]}"

    return _MARKER.sub(replace, text)


def _render(header: str, rows: Iterable[Iterable[str]]) -> str:
    names = header.split(" | ")
    lines = [names, ["---"] * len(names), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def _format(value: float) -> str:
    if abs(value) >= _PERCENT:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _render_budgets(report: CapacityReport) -> str:
    return _render(
        "line | at target | spread | budget | kept",
        (
            (
                finding.name,
                f"{_format(finding.value)} {finding.unit}",
                _format(finding.spread) if finding.spread else "-",
                f"{_format(finding.budget)} {finding.unit}",
                "yes" if finding.is_met else f"no, {_describe_miss(finding)}",
            )
            for finding in extrapolate(report)
        ),
    )


def _describe_miss(finding) -> str:
    return f"{_format(finding.value / finding.budget)} times the budget"


def _render_control(report: CapacityReport) -> str:
    return _render(
        "nodes | idle, % of a core | editing, % of a core | MB of a node | "
        "B/s of a node | replica, % of a core | MB of a replica | edits/s",
        (
            [
                str(point.nodes),
                _format(point.idle_cpu_percent),
                _format(point.changing_cpu_percent),
                _format(point.memory_mb),
                _format(point.idle_bytes),
                _format(point.replica_cpu_percent),
                _format(point.replica_memory_mb),
                _format(point.edits_per_second),
            ]
            for point in report.control
        ),
    )


def _render_slopes(report: CapacityReport) -> str:
    slopes = compute_slopes(report)
    names = {
        "idle_cpu_percent": "idle, % of a core",
        "changing_cpu_percent": "editing, % of a core",
        "memory_mb": "memory, MB",
        "idle_bytes": "bytes, B/s",
        "in_force_seconds": "slowest edit, s",
    }
    rows = []
    for name, title in names.items():
        slope: Slope = getattr(slopes, name)
        at_target = slope.compute_at(TARGET_NODES)
        values = (slope.base, slope.per_unit, slope.spread, at_target)
        rows.append([title, *(_format(value) for value in values)])
    return _render("figure | base | per node | spread | at 920 nodes", rows)


def _render_hops(report: CapacityReport) -> str:
    rows = []
    for hop in report.hops:
        for path in ("direct", "own_node", "two_nodes"):
            found = getattr(hop, path)
            added = (found.p50 - hop.direct.p50, found.p99 - hop.direct.p99)
            rows.append(
                [
                    hop.variant,
                    path.replace("_", " "),
                    *(_format(v) for v in (found.p50, found.p99, found.p999)),
                    *(_format(value) if path != "direct" else "-" for value in added),
                    _format(hop.cpu_us_per_call) if path == "two_nodes" else "-",
                ]
            )
    header = "variant | path | p50, ms | p99, ms | p99.9, ms | added p50 | added p99"
    return _render(f"{header} | CPU of both nodes, us", rows)


def _render_once(report: CapacityReport) -> str:
    once = report.once
    rows = [
        [name, *(_format(v) for v in (found.p50, found.p99, found.p999))]
        for name, found in (("idempotent", once.plain), ("once", once.once))
    ]
    table = _render("row | p50, ms | p99, ms | p99.9, ms", rows)
    return (
        f"{table}\n{_format(once.claims_per_second)} requests a second with 32 at a "
        f"time; {_format(once.replica_cpu_us)} us of processor time over the three "
        f"replicas for each; {_format(once.replica_bytes_per_key)} bytes of memory of "
        "a replica for each key.\n"
    )


def _render_keys(report: CapacityReport) -> str:
    once = report.once
    rows = []
    for share in _KEY_SHARES:
        rate = share * TARGET_CALLS
        memory = rate * _RETENTION_SECONDS * once.replica_bytes_per_key / 1e9
        cpu = rate * once.replica_cpu_us / 1e6 / 3 * _PERCENT
        rows.append(
            [
                f"{share:.2%}",
                _format(rate),
                _format(cpu),
                _format(memory),
                _format(rate / once.claims_per_second),
            ]
        )
    return _render(
        "share of calls that are once | keys/s | replica, % of a core | "
        "memory of a replica for 24 h, GB | share of the measured rate",
        rows,
    )


def _render_edits(report: CapacityReport) -> str:
    return _render(
        "nodes | median, s | p90, s | slowest, s",
        (
            [str(nodes), *(_format(value) for value in values)]
            for nodes, *values in summarize_edits(report)
        ),
    )


def _render_imports(report: CapacityReport) -> str:
    rows = []
    before = 0.0
    for step in report.imports:
        added = step.memory_mb - before
        rows.append([step.name, _format(step.memory_mb), _format(added)])
        before = step.memory_mb
    return _render("after importing | MB | added", rows)


def _render_objects(report: CapacityReport) -> str:
    return _render(
        "object | bytes each",
        ([cost.name, _format(cost.bytes_each)] for cost in report.objects),
    )
