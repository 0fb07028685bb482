"""Capacity of a scenario and the arrivals drawn for it."""

from collections import Counter

import attrs
import numpy as np

from coltsfootspar.bench.scenario import Scenario

__all__ = [
    "Arrival",
    "compute_capacity",
    "compute_offered_rate",
    "compute_response_time",
    "draw_arrivals",
]


@attrs.frozen
class Arrival:
    """One request of a client.

    :param number: unique number within the run.
    :param at: time, seconds.
    :param row: text form of the row key.
    :param data_centre: where the client is.
    """

    number: int
    at: float
    row: str
    data_centre: str


def compute_capacity(scenario: Scenario) -> float:
    """Computes how many requests of the scenario's mix the slowest service bears.

    A request holds a slot at each backend server of its call tree for that
    server's own work, the calls below it and the links to them.

    :returns: requests a second.
    """
    demand: Counter[str] = Counter()
    for name, kind in scenario.rows.items():
        if kind.share:
            _add_demand(scenario, name, kind.share, demand)
    return min(
        scenario.services[service].upstreams * scenario.services[service].slots / held
        for service, held in demand.items()
    )


def compute_response_time(scenario: Scenario) -> float:
    """Computes the mean response time of the scenario's mix without queues.

    :returns: seconds.
    """
    unused: Counter[str] = Counter()
    seconds = sum(
        kind.share * _add_demand(scenario, name, 0.0, unused)
        for name, kind in scenario.rows.items()
        if kind.share
    )
    return seconds + 2 * scenario.delays.client_ms / 1e3


def compute_offered_rate(scenario: Scenario, start: float, end: float) -> float:
    """Computes the mean arrival rate in a part of the run.

    :param start: start, seconds.
    :param end: end, seconds.
    :returns: requests a second.
    """
    capacity = compute_capacity(scenario)
    total = 0.0
    for point, until in _list_segments(scenario):
        seconds = min(until, end) - max(point.at_s, start)
        total += max(0.0, seconds) * point.load * capacity
    return total / (end - start)


def draw_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Draws the requests of a run, a Poisson process with the scenario's rates."""
    source = np.random.default_rng([seed, 1])
    capacity = compute_capacity(scenario)
    names = [name for name, kind in scenario.rows.items() if kind.share]
    shares = np.array([scenario.rows[name].share for name in names])
    times: list[float] = []
    for point, until in _list_segments(scenario):
        seconds = until - point.at_s
        count = source.poisson(point.load * capacity * seconds)
        times.extend(sorted(point.at_s + seconds * source.random(count)))
    rows = source.choice(len(names), size=len(times), p=shares / shares.sum())
    centres = source.integers(len(scenario.data_centres), size=len(times))
    return [
        Arrival(
            number,
            float(at),
            names[rows[number]],
            scenario.data_centres[centres[number]],
        )
        for number, at in enumerate(times)
    ]


def _list_segments(scenario: Scenario):
    ends = [point.at_s for point in scenario.load[1:]]
    return zip(scenario.load, [*ends, scenario.duration_s], strict=True)


def _add_demand(
    scenario: Scenario, name: str, visits: float, demand: Counter[str]
) -> float:
    kind = scenario.rows[name]
    hop = 2 * scenario.delays.within_ms / 1e3
    held = kind.time.mean_ms / 1e3
    for stage in kind.calls:
        times = [_add_demand(scenario, called, visits, demand) for called in stage]
        held += max(times) + hop
    demand[name.split(" ", maxsplit=1)[0]] += visits * held
    return held
