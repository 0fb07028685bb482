"""Comparison of ways to limit and choose backend servers of unequal speed.

Drives limiter, placement and learned capacity of the relay on a virtual clock, with
models of the servers.
"""

import random
from pathlib import Path

import attrs
import cattrs
import numpy as np
import trio
import trio.testing

from coltsfootspar.exceptions import BenchError
from coltsfootspar.relay import (
    create_capacity_estimator,
    create_fixed_capacity,
    create_placement,
)
from coltsfootspar.settings.loading import read_settings_file
from coltsfootspar.testing.servers import ModelFleet, Result, create_model_server

__all__ = [
    "ServerScenario",
    "ServerSummary",
    "compare_servers",
    "load_server_scenario",
    "plot_servers",
    "summarize",
]

_PUBLISH_SECONDS = 1.0
_STEP_SECONDS = 0.5


@attrs.frozen(kw_only=True)
class ServerScenario:
    """Servers of one service and the calls that they get.

    :param speeds: factor of the speed of each server.
    :param slots: slots of each server.
    :param knee: share of the slots above which calls take ``knee_factor`` as long.
    :param callers: nodes with callers.
    :param kinds_ms: mean service time of each kind of call, milliseconds.
    :param load: calls per second in each second.
    """

    speeds: list[float]
    slots: int
    knee: float
    knee_factor: float
    callers: int
    kinds_ms: dict[str, float]
    target_latency_ms: float
    load: list[float]
    seed: int = 1


@attrs.frozen
class ServerSummary:
    """What callers got under one policy.

    :param in_time: share of the calls answered within their target latency.
    :param late: share answered later.
    :param refused: share refused.
    :param mean_seconds: mean latency of those answered.
    """

    in_time: float
    late: float
    refused: float
    mean_seconds: float


@attrs.frozen
class _Policy:
    is_learned: bool
    has_latencies: bool


class _BlindPlacement:
    """Chooses a server at random, the same for all."""

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def choose(self, candidates, tried):
        left = [c for c in candidates if c.node_id not in tried]
        return self._random.choice(left) if left else None

    def record_start(self, candidate) -> None:
        """Ignores a call."""

    def record_end(self, candidate, seconds, load) -> None:
        """Ignores the end of a call."""


_POLICIES = {
    "slots": _Policy(is_learned=False, has_latencies=False),
    "latency": _Policy(is_learned=False, has_latencies=True),
    "learned": _Policy(is_learned=True, has_latencies=True),
}


def load_server_scenario(path: Path) -> ServerScenario:
    """Reads a scenario.

    :raises BenchError: when it is faulty.
    """
    try:
        return cattrs.structure(read_settings_file(str(path)), ServerScenario)
    except cattrs.BaseValidationError as error:
        raise BenchError(f"{path}: {cattrs.transform_error(error)}") from error


def compare_servers(scenario: ServerScenario) -> dict[str, list[Result]]:
    """Runs a scenario under fixed slots, choice by latency and learned capacity."""
    return {name: _run(scenario, policy) for name, policy in _POLICIES.items()}


def summarize(results: list[Result], target_seconds: float) -> ServerSummary:
    """Summarizes the results of all calls.

    :param target_seconds: time within which an answer is in time.
    """
    seconds = np.array([r.seconds for r in results if r.seconds is not None])
    in_time = int((seconds <= target_seconds).sum())
    calls = len(results)
    return ServerSummary(
        in_time / calls,
        (len(seconds) - in_time) / calls,
        1 - len(seconds) / calls,
        float(seconds.mean()),
    )


def _run(scenario: ServerScenario, policy: _Policy) -> list[Result]:
    async def offer() -> list[Result]:
        fleet = _create_fleet(scenario, policy)
        kinds = {name: ms / 1e3 for name, ms in scenario.kinds_ms.items()}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_publish, fleet)
            for calls_per_second in scenario.load:
                nursery.start_soon(fleet.offer, calls_per_second, 1.0, kinds)
                await trio.sleep(1.0)
            await trio.sleep(fleet.deadline_seconds)
            nursery.cancel_scope.cancel()
        return fleet.results

    return trio.run(offer, clock=trio.testing.MockClock(autojump_threshold=0))


def _create_fleet(scenario: ServerScenario, policy: _Policy) -> ModelFleet:
    create = create_capacity_estimator if policy.is_learned else create_fixed_capacity
    servers = [
        create_model_server(
            f"n{index}",
            scenario.slots,
            create(),
            speed=speed,
            knee=scenario.knee,
            knee_factor=scenario.knee_factor,
        )
        for index, speed in enumerate(scenario.speeds)
    ]
    sources = [random.Random(scenario.seed + i) for i in range(scenario.callers)]
    placements = [
        create_placement("a", source)
        if policy.has_latencies
        else _BlindPlacement(source)
        for source in sources
    ]
    return ModelFleet(
        servers,
        placements,
        random.Random(scenario.seed),
        target_latency=scenario.target_latency_ms / 1e3,
    )


async def _publish(fleet: ModelFleet) -> None:
    while True:
        await trio.sleep(_PUBLISH_SECONDS)
        fleet.publish()


def plot_servers(results: dict[str, list[Result]], target: float, path: Path) -> None:
    """Plots the calls answered in time and refused, over time, for each policy.

    :param target: time within which an answer is in time, seconds.
    :param path: image file; its suffix gives the format.
    """
    import matplotlib as mpl  # noqa: PLC0415

    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(2, 1, sharex=True, figsize=(9, 7))
    last = max(r.started_at for found in results.values() for r in found)
    edges = np.arange(0, last + _STEP_SECONDS, _STEP_SECONDS)
    for name, found in results.items():
        start = min(r.started_at for r in found)
        in_time = [
            r.started_at - start
            for r in found
            if r.seconds is not None and r.seconds <= target
        ]
        refused = [r.started_at - start for r in found if r.seconds is None]
        for axis, times in zip(axes, (in_time, refused), strict=True):
            counts, _ = np.histogram(times, edges)
            axis.plot(edges[:-1], counts / _STEP_SECONDS, label=name)
    axes[0].set_ylabel("answers in time per second")
    axes[1].set_ylabel("refusals per second")
    axes[1].set_xlabel("start of the call (s)")
    axes[0].legend()
    figure.savefig(path)
    pyplot.close(figure)
