"""All measurements together, and what follows for the target's size."""

import statistics
from collections.abc import Sequence

import attrs

from coltsfootspar.bench.capacity.control import ControlPoint, measure_control
from coltsfootspar.bench.capacity.latency import (
    HopPoint,
    OncePoint,
    measure_hop,
    measure_once,
)
from coltsfootspar.bench.capacity.memory import (
    ImportStep,
    ObjectCost,
    measure_imports,
    measure_objects,
)
from coltsfootspar.bench.capacity.slopes import Slope, fit_slope

__all__ = [
    "CapacityReport",
    "Finding",
    "Slopes",
    "compute_slopes",
    "extrapolate",
    "measure_capacity",
    "summarize_edits",
]

TARGET_NODES = 920
TARGET_CALLS = 63_000
BUDGET_ADDED_MS = 1.0
BUDGET_IN_FORCE_SECONDS = 10.0
BUDGET_CPU_PERCENT = 1.7
BUDGET_MEMORY_MB = 32.0
BUDGET_BYTES = 29_000.0
BUDGET_HOSTS = 7

_VARIANTS = (
    ("h11, all traces", {}),
    ("h11, no traces", {"traces": {"sample_ratio": 0.0}}),
    (
        "hypercorn and httpcore, all traces",
        {"http": {"server": "hypercorn", "client": "httpcore"}},
    ),
)


@attrs.frozen
class CapacityReport:
    """Everything that was measured in one run."""

    control: tuple[ControlPoint, ...]
    hops: tuple[HopPoint, ...]
    once: OncePoint
    imports: tuple[ImportStep, ...]
    objects: tuple[ObjectCost, ...]


@attrs.frozen
class Slopes:
    """Growth of the control of a node with the number of nodes."""

    idle_cpu_percent: Slope
    changing_cpu_percent: Slope
    memory_mb: Slope
    idle_bytes: Slope
    in_force_seconds: Slope


@attrs.frozen
class Finding:
    """One line of the budget.

    :param value: at the target's size.
    :param spread: standard deviation of the points around their line, 0 when
        the value is no extrapolation.
    """

    name: str
    unit: str
    value: float
    spread: float
    budget: float

    @property
    def is_met(self) -> bool:
        """True when the value keeps to the budget."""
        return self.value <= self.budget


def measure_capacity(
    sizes: Sequence[int], seconds: float, edits: int, calls: int, seed: int
) -> CapacityReport:
    """Runs all measurements one after the other.

    :param sizes: numbers of nodes for the slopes of control.
    :param seconds: time of each idle part.
    :param edits: edits of the table at each size.
    :param calls: calls for each distribution of latency.
    :param seed: seed of the arrival times.
    """
    rate = 3 * TARGET_CALLS / TARGET_NODES
    return CapacityReport(
        control=tuple(measure_control(size, seconds, edits) for size in sizes),
        hops=tuple(
            measure_hop(name, options, calls, rate, seed) for name, options in _VARIANTS
        ),
        once=measure_once(max(1, calls // 4), seed),
        imports=tuple(measure_imports()),
        objects=tuple(measure_objects()),
    )


def compute_slopes(report: CapacityReport) -> Slopes:
    """Fits a line to each figure of control."""

    def fit(name: str) -> Slope:
        return fit_slope([(p.nodes, getattr(p, name)) for p in report.control])

    slowest = [(p.nodes, max(p.in_force_seconds)) for p in report.control]
    return Slopes(
        idle_cpu_percent=fit("idle_cpu_percent"),
        changing_cpu_percent=fit("changing_cpu_percent"),
        memory_mb=fit("memory_mb"),
        idle_bytes=fit("idle_bytes"),
        in_force_seconds=fit_slope(slowest),
    )


def extrapolate(report: CapacityReport) -> list[Finding]:
    """Computes each line of the budget at the target's size."""
    slopes = compute_slopes(report)
    data_path = next(
        step.memory_mb
        for step in reversed(report.imports)
        if step.name.startswith("data path")
    )
    memory = slopes.memory_mb.compute_at(TARGET_NODES)
    hop = report.hops[0]

    def project(name: str, unit: str, slope: Slope, budget: float) -> Finding:
        value = slope.compute_at(TARGET_NODES)
        return Finding(name, unit, value, slope.spread, budget)

    # A line through noise may fall; the target is no faster than what was seen.
    slowest = max(max(point.in_force_seconds) for point in report.control)
    in_force = max(slowest, slopes.in_force_seconds.compute_at(TARGET_NODES))

    return [
        Finding(
            "latency added at p99, two nodes",
            "ms",
            hop.added_p99,
            0.0,
            BUDGET_ADDED_MS,
        ),
        Finding(
            "latency added at p50, two nodes",
            "ms",
            hop.two_nodes.p50 - hop.direct.p50,
            0.0,
            BUDGET_ADDED_MS,
        ),
        Finding(
            "edit in force at the last node",
            "s",
            in_force,
            slopes.in_force_seconds.spread,
            BUDGET_IN_FORCE_SECONDS,
        ),
        project(
            "control of a node, idle",
            "% of a core",
            slopes.idle_cpu_percent,
            BUDGET_CPU_PERCENT,
        ),
        project("control of a node", "B/s", slopes.idle_bytes, BUDGET_BYTES),
        Finding(
            "control of a node, above its data path",
            "MB",
            memory - data_path,
            slopes.memory_mb.spread,
            BUDGET_MEMORY_MB,
        ),
        Finding(
            "whole process of a node",
            "MB",
            memory,
            slopes.memory_mb.spread,
            BUDGET_MEMORY_MB,
        ),
    ]


def summarize_edits(report: CapacityReport) -> list[tuple[int, float, float, float]]:
    """Lists size, median, p90 and largest time of the edits, seconds."""
    rows = []
    for point in report.control:
        delays = sorted(point.in_force_seconds)
        p90 = delays[int(0.9 * (len(delays) - 1))]
        rows.append((point.nodes, statistics.median(delays), p90, delays[-1]))
    return rows
