"""Plots of runs; needs matplotlib."""

from collections.abc import Mapping
from pathlib import Path

import matplotlib as mpl
import numpy as np

from coltsfootspar.bench.journal import Journal
from coltsfootspar.bench.load import compute_capacity
from coltsfootspar.bench.policies import PolicyName
from coltsfootspar.bench.scenario import Scenario

__all__ = ["plot_journals"]

_STEP_SECONDS = 0.25


def plot_journals(
    scenario: Scenario, journals: Mapping[PolicyName, Journal], path: Path
) -> None:
    """Plots goodput and latency over time for each policy.

    :param path: image file; its suffix gives the format.
    """
    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, (goodput, latency) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 7))
    edges = np.arange(0, scenario.duration_s + _STEP_SECONDS, _STEP_SECONDS)
    for policy, journal in journals.items():
        answered = [r for r in journal.requests if r.answered_at is not None]
        counts, _ = np.histogram([r.answered_at for r in answered], edges)
        goodput.plot(edges[:-1], counts / _STEP_SECONDS, label=policy.value)
        latency.plot(
            [r.started_at for r in answered],
            [r.latency for r in answered],
            ".",
            markersize=2,
            label=policy.value,
        )
    capacity = compute_capacity(scenario)
    goodput.axhline(capacity, color="grey", linestyle="--", label="capacity")
    goodput.set_ylabel("complete answers in time per second")
    goodput.legend()
    latency.set_ylabel("latency (s)")
    latency.set_xlabel("time (s)")
    figure.suptitle(scenario.name)
    figure.savefig(path)
    pyplot.close(figure)
