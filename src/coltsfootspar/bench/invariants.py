"""Checks of the invariants on the journal of a run."""

from collections import Counter
from collections.abc import Iterator
from itertools import groupby
from operator import attrgetter

from coltsfootspar.bench.journal import AdmissionEvent, GateEvent, Journal, Violation
from coltsfootspar.bench.scenario import RequestKind, Scenario
from coltsfootspar.calls import Outcome

__all__ = ["INVARIANTS", "count_violations", "find_violations"]

INVARIANTS = (
    "attempts_over_allowance",
    "foreign_answers",
    "not_run_but_ran",
    "once_run_twice",
    "importance_inversions",
    "sent_to_left",
)
_OVERLOAD_CODES = frozenset({"overload", "queue-full"})
_GATE_SPAN_SECONDS = 0.1


def count_violations(journal: Journal, scenario: Scenario) -> dict[str, int]:
    """Counts the violations of each invariant."""
    counts = Counter(found.name for found in find_violations(journal, scenario))
    return {name: counts[name] for name in INVARIANTS}


def find_violations(journal: Journal, scenario: Scenario) -> Iterator[Violation]:
    """Lists the violations of a run."""
    yield from journal.violations
    yield from _find_attempts(journal)
    yield from _find_false_outcomes(journal)
    yield from _find_repeated_runs(journal)
    yield from _find_queue_inversions(journal)
    yield from _find_gate_inversions(journal, scenario)


def _find_attempts(journal: Journal) -> Iterator[Violation]:
    """Finds leaves that saw more attempts than one and the allowance."""
    for (trace_id, position), count in journal.attempts_at.items():
        allowed = 1 + journal.allowances[trace_id]
        if count > allowed:
            detail = f"{count} attempts at {position} of {trace_id}, {allowed} allowed"
            yield Violation("attempts_over_allowance", detail)


def _find_false_outcomes(journal: Journal) -> Iterator[Violation]:
    """Finds calls that were answered with ``not-run`` after they had run."""
    for number, call in journal.calls.items():
        if call.outcome is not Outcome.NOT_RUN:
            continue
        if any(time <= call.ended_at for time in call.ran_at):
            yield Violation("not_run_but_ran", f"call {number} ran at {call.ran_at}")


def _find_repeated_runs(journal: Journal) -> Iterator[Violation]:
    """Finds keys of rows marked ``once`` that ran again."""
    for (service, key), count in journal.once_runs.items():
        if count > 1:
            yield Violation("once_run_twice", f"{service} {key} ran {count} times")


def _find_queue_inversions(journal: Journal) -> Iterator[Violation]:
    """Finds refusals by a node that kept a less important call waiting instead.

    A call refused for overload counts when, at that moment, a call of a less
    important row waited in the queue of the same node and was admitted later.
    """
    by_node = attrgetter("node_id")
    events = sorted(journal.admissions, key=by_node)
    for node_id, group in groupby(events, by_node):
        yield from _find_node_inversions(node_id, list(group))


def _find_node_inversions(
    node_id: str, events: list[AdmissionEvent]
) -> Iterator[Violation]:
    steps: list[tuple[float, int, int, AdmissionEvent]] = []
    for index, event in enumerate(events):
        is_admitted = not event.code and not event.was_cancelled
        if is_admitted and event.decided_at > event.arrived_at:
            steps.append((event.decided_at, 0, index, event))
            steps.append((event.arrived_at, 2, index, event))
        elif event.code in _OVERLOAD_CODES:
            steps.append((event.decided_at, 1, index, event))
    waiting: Counter[int] = Counter()
    for time, step, _, event in sorted(steps, key=lambda entry: entry[:3]):
        if step == 1:
            lower = sum(waiting[i] for i in range(event.importance))
            if lower:
                detail = (
                    f"{node_id} refused {event.row} ({event.code}) at {time:.4f} s "
                    f"with {lower} less important calls waiting"
                )
                yield Violation("importance_inversions", detail)
        else:
            waiting[event.importance] += 1 if step == 2 else -1


def _find_gate_inversions(journal: Journal, scenario: Scenario) -> Iterator[Violation]:
    """Finds entry gates that admit less important requests between refusals.

    A request admitted by a gate counts when the same gate refused, within 0.1 s
    and both before and after it, requests of a more important row of the same
    service that reach no other services than it does.
    """
    by_node = attrgetter("node_id")
    events = sorted(journal.gates, key=by_node)
    reached = {name: _list_reached(scenario.rows, name) for name in scenario.rows}
    for _, group in groupby(events, by_node):
        yield from _find_sandwiched(list(group), reached)


def _find_sandwiched(
    events: list[GateEvent], reached: dict[str, frozenset[str]]
) -> Iterator[Violation]:
    last_refusal: dict[str, float] = {}
    admitted: list[tuple[GateEvent, str]] = []
    for event in events:
        if not event.code:
            admitted += [
                (event, row)
                for row, at in last_refusal.items()
                if event.at - at < _GATE_SPAN_SECONDS
            ]
        elif event.code in _OVERLOAD_CODES:
            start = last_refusal.get(event.row, -1.0)
            if event.at - start < _GATE_SPAN_SECONDS:
                for between, row in admitted:
                    if row == event.row and _is_inverted(between, event, reached):
                        detail = (
                            f"{event.node_id} admitted {between.row} at "
                            f"{between.at:.4f} s between refusals of {event.row}"
                        )
                        yield Violation("importance_inversions", detail)
            admitted = [entry for entry in admitted if entry[1] != event.row]
            last_refusal[event.row] = event.at


def _is_inverted(
    admitted: GateEvent, refused: GateEvent, reached: dict[str, frozenset[str]]
) -> bool:
    is_same_service = admitted.row.split(" ")[0] == refused.row.split(" ")[0]
    return (
        is_same_service
        and admitted.importance < refused.importance
        and reached[refused.row] <= reached[admitted.row]
    )


def _list_reached(rows: dict[str, RequestKind], name: str) -> frozenset[str]:
    below = [_list_reached(rows, c) for stage in rows[name].calls for c in stage]
    return frozenset({name.split(" ", maxsplit=1)[0]}.union(*below))
