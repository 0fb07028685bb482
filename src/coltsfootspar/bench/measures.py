"""Measures of one run."""

from collections.abc import Iterable

import numpy as np

from coltsfootspar.bench.journal import Journal, RequestRecord
from coltsfootspar.bench.load import (
    compute_capacity,
    compute_offered_rate,
    compute_response_time,
)
from coltsfootspar.bench.scenario import Scenario, Window

__all__ = [
    "compute_crest_ratio",
    "compute_goodput_ratio",
    "compute_max_attempts",
    "compute_recovery",
    "compute_short_p99",
    "compute_wasted_ratio",
]

_RECOVERY_WINDOW_SECONDS = 1.0
_RECOVERY_STEP_SECONDS = 0.05
_RECOVERY_TOLERANCE = 0.05
_CREST_SECONDS = 1.0


def compute_goodput_ratio(
    journal: Journal, scenario: Scenario, window: Window
) -> float:
    """Computes complete answers in time over what could have been answered.

    :param window: answers that arrive in it count.
    :returns: ratio to the lower of capacity and offered load.
    """
    answered = sum(
        1
        for request in journal.requests
        if request.answered_at is not None and request.answered_at in window
    )
    offered = compute_offered_rate(scenario, window.from_s, window.to_s)
    possible = min(compute_capacity(scenario), offered) * window.seconds
    return answered / possible


def compute_crest_ratio(journal: Journal, scenario: Scenario) -> float | None:
    """Computes the goodput ratio in the first second of a demand swing.

    The second in which answers count starts one mean response time after the
    swing; before that only answers to earlier requests can arrive.
    """
    if scenario.crest_at_s is None:
        return None
    start = scenario.crest_at_s + compute_response_time(scenario)
    window = Window(from_s=start, to_s=start + _CREST_SECONDS)
    return compute_goodput_ratio(journal, scenario, window)


def _compute_p99(requests: Iterable[RequestRecord]) -> float | None:
    """Computes the 99th percentile of the latency of answered requests.

    :returns: seconds, None when none was answered.
    """
    times = [r.latency for r in requests if r.latency is not None]
    if not times:
        return None
    return float(np.percentile(times, 99))


def compute_short_p99(journal: Journal, scenario: Scenario) -> float | None:
    """Computes the p99 of the short rows in the time in which latency counts."""
    window = scenario.latency or scenario.measure
    return _compute_p99(_list_short(journal, scenario, window))


def compute_recovery(journal: Journal, scenario: Scenario) -> float | None:
    """Computes how long after the overload the earlier values are back.

    The values are the share of the requests answered in time and the p99 of the
    short rows, over requests that start within one second. They must be within
    5% of those of the time before the overload.

    :returns: seconds; the time up to the end of the run when they never are.
    """
    overload = scenario.overload
    if overload is None:
        return None
    before = Window(from_s=overload.before_from_s, to_s=overload.from_s)
    share, p99 = _measure_window(journal, scenario, before)
    end = scenario.duration_s - _RECOVERY_WINDOW_SECONDS
    for start in np.arange(overload.to_s, end, _RECOVERY_STEP_SECONDS):
        window = Window(from_s=start, to_s=start + _RECOVERY_WINDOW_SECONDS)
        now_share, now_p99 = _measure_window(journal, scenario, window)
        if now_share >= share * (1 - _RECOVERY_TOLERANCE) and now_p99 <= p99 * (
            1 + _RECOVERY_TOLERANCE
        ):
            return round(float(start - overload.to_s), 3)
    return scenario.duration_s - overload.to_s


def compute_wasted_ratio(journal: Journal) -> float:
    """Computes the share of the backend work without a complete answer in time."""
    total = sum(journal.work.values())
    useful = sum(
        journal.work[attempt.trace_id]
        for request in journal.requests
        for attempt in request.attempts
        if attempt.is_complete
    )
    return max(0.0, 1 - useful / total) if total else 0.0


def compute_max_attempts(journal: Journal) -> int:
    """Finds the most attempts that any leaf saw for one request."""
    return max(journal.attempts_at.values(), default=0)


def _list_short(
    journal: Journal, scenario: Scenario, window: Window
) -> list[RequestRecord]:
    return [
        request
        for request in journal.requests
        if request.started_at in window and not scenario.rows[request.row].is_long
    ]


def _measure_window(
    journal: Journal, scenario: Scenario, window: Window
) -> tuple[float, float]:
    requests = [r for r in journal.requests if r.started_at in window]
    if not requests:
        return 0.0, float("inf")
    answered = sum(1 for request in requests if request.answered_at is not None)
    p99 = _compute_p99(_list_short(journal, scenario, window))
    return answered / len(requests), float("inf") if p99 is None else p99
