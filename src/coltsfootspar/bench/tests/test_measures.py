"""The measures must say what the design page says, on journals made by hand."""

import pytest

from coltsfootspar.bench.journal import Attempt, Journal, RequestRecord
from coltsfootspar.bench.load import compute_capacity, compute_response_time
from coltsfootspar.bench.measures import (
    compute_crest_ratio,
    compute_goodput_ratio,
    compute_max_attempts,
    compute_recovery,
    compute_short_p99,
    compute_wasted_ratio,
)
from coltsfootspar.bench.scenario import LoadPoint, OverloadWindow, Window

ROW = "store GET /items/{id}"


def create_request(number, started_at, latency):
    request = RequestRecord(number, ROW, started_at)
    attempt = Attempt(f"trace-{number}", started_at)
    request.attempts.append(attempt)
    if latency is not None:
        request.answered_at = started_at + latency
        attempt.is_complete = True
    return request


def create_journal(*pairs):
    requests = [create_request(n, *pair) for n, pair in enumerate(pairs)]
    return Journal(requests=requests)


def test_goodput_counts_whole_answers_against_capacity_or_offered_load(create_small):
    journal = create_journal((1.0, 0.1), (1.5, None), (1.9, 0.5), (0.5, 0.1))
    capacity = compute_capacity(create_small())
    window = Window(from_s=1, to_s=2)
    over = create_small(load=(LoadPoint(at_s=0, load=2.0),))
    assert compute_goodput_ratio(journal, over, window) == pytest.approx(1 / capacity)
    assert compute_goodput_ratio(
        journal, create_small(load=(LoadPoint(at_s=0, load=0.01),)), window
    ) == pytest.approx(1 / (0.01 * capacity))


def test_crest_starts_when_the_first_answers_can_arrive(create_small):
    scenario = create_small(crest_at_s=1.0)
    first = 1.0 + compute_response_time(scenario)
    inside = create_journal((1.0, first - 1.0 + 0.01))
    before = create_journal((1.0, first - 1.0 - 0.01))
    assert compute_crest_ratio(inside, scenario) > 0
    assert compute_crest_ratio(before, scenario) == 0


def test_recovery_ends_when_share_and_tail_are_back(create_small):
    overload = OverloadWindow(before_from_s=0, from_s=2, to_s=4)
    scenario = create_small(duration_s=12, overload=overload)
    times = [n / 20 for n in range(240)]
    slow = [(t, 0.5 if 2 <= t < 6 else 0.1) for t in times]
    lost = [(t, None if 2 <= t < 7 and n % 2 else 0.1) for n, t in enumerate(times)]
    assert compute_recovery(create_journal(*slow), scenario) == pytest.approx(2.0)
    recovery = compute_recovery(create_journal(*lost), scenario)
    assert recovery == pytest.approx(3.0, abs=0.2)


def test_recovery_that_never_ends_is_the_rest_of_the_run(create_small):
    overload = OverloadWindow(before_from_s=0, from_s=2, to_s=4)
    scenario = create_small(duration_s=12, overload=overload)
    pairs = [(n / 20, 0.1 if n < 40 else 0.2) for n in range(240)]
    assert compute_recovery(create_journal(*pairs), scenario) == 8


def test_wasted_work_is_that_of_attempts_without_a_complete_answer():
    journal = create_journal((1.0, 0.1), (1.0, None))
    journal.work.update({"trace-0": 3.0, "trace-1": 1.0})
    assert compute_wasted_ratio(journal) == pytest.approx(0.25)


def test_tail_leaves_out_unmeasured_requests(create_small):
    journal = create_journal((0.5, 9.0), (1.5, 0.2), (1.6, None))
    assert compute_short_p99(journal, create_small()) == pytest.approx(0.2)


def test_attempts_are_the_most_at_any_leaf():
    journal = Journal()
    journal.attempts_at.update({("a", "0.0"): 2, ("b", "0.0"): 3})
    assert compute_max_attempts(journal) == 3
