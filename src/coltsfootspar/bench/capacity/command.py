"""The ``capacity`` command."""

import pathlib

import attrs
import orjson
from rich.console import Console
from rich.table import Table

from coltsfootspar.bench.capacity.page import (
    read_report,
    render_tables,
    update_page,
    write_report,
)
from coltsfootspar.bench.capacity.report import (
    CapacityReport,
    extrapolate,
    measure_capacity,
)

__all__ = ["capacity"]

_SIZES = (4, 8, 16, 32, 64)


def capacity(
    *,
    sizes: tuple[int, ...] = _SIZES,
    seconds: float = 20.0,
    edits: int = 20,
    calls: int = 3_000,
    seed: int = 1,
    json: bool = False,
    record: pathlib.Path | None = None,
    replay: pathlib.Path | None = None,
    page: pathlib.Path | None = None,
) -> None:
    """Measures slopes with real processes and compares them with the budgets.

    :param sizes: numbers of nodes, two at least.
    :param seconds: time of each idle part.
    :param edits: edits of the table at each size.
    :param calls: calls for each distribution of latency.
    :param seed: seed of the arrival times.
    :param json: print JSON.
    :param record: file for the report.
    :param replay: recorded report to use in place of a measurement.
    :param page: page whose tables are written anew.
    """
    if replay is not None:
        report = read_report(replay)
    else:
        report = measure_capacity(sizes, seconds, edits, calls, seed)
    if record is not None:
        write_report(report, record)
    if page is not None:
        page.write_text(update_page(page.read_text(), render_tables(report)))
    _print(report, as_json=json)


def _print(report: CapacityReport, *, as_json: bool) -> None:
    findings = extrapolate(report)
    if as_json:
        content = {
            "report": attrs.asdict(report),
            "findings": [
                {**attrs.asdict(finding), "is_met": finding.is_met}
                for finding in findings
            ],
        }
        print(orjson.dumps(content, option=orjson.OPT_INDENT_2).decode())
        return
    table = Table("line", "at target", "budget", "kept")
    for finding in findings:
        table.add_row(
            finding.name,
            f"{finding.value:.3g} {finding.unit}",
            f"{finding.budget:.3g}",
            "yes" if finding.is_met else "no",
        )
    Console().print(table)
