"""Tests of the retries that all nodes together send to a service."""

import random

import attrs
import pytest
import trio
import trio.testing
from hypothesis import HealthCheck, given, settings, strategies as st

from coltsfootspar.relay import create_retry_budget
from coltsfootspar.relay.allowances import NOT_RUN_SHARE, RetryAllocator

RATIO, FIXED, WINDOW_SECONDS = 0.2, 48.0, 10.0
SERVERS = 4
STEP_SECONDS = 0.1


@attrs.frozen
class Phase:
    """Calls of one rank for some seconds.

    :param rates: calls a second by rank.
    :param rejected: share of the calls that the servers reject.
    """

    seconds: float
    rates: tuple[float, ...]
    rejected: float


@attrs.define
class Service:
    """Nodes that call the servers of one service, which reject some of the calls."""

    nodes: int
    random: random.Random
    budgets: list = attrs.field(init=False)
    allocators: list = attrs.field(init=False)
    requests: list = attrs.field(factory=list)
    retries: list = attrs.field(factory=list)
    served: dict[int, int] = attrs.field(factory=dict)
    asked: dict[int, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.budgets = [
            create_retry_budget(RATIO, FIXED, WINDOW_SECONDS) for _ in range(self.nodes)
        ]
        for budget in self.budgets:
            budget.nodes = self.nodes
        self.allocators = [
            RetryAllocator(RATIO * NOT_RUN_SHARE) for _ in range(SERVERS)
        ]

    def call(self, rank: int, rejected: float) -> None:
        # The nodes of other services send most calls of the less important ranks.
        index = self.random.randrange(
            self.nodes if rank == 0 else max(1, self.nodes // 4)
        )
        budget = self.budgets[index]
        now = trio.current_time()
        budget.record_request("wallet", rank)
        self.requests.append(now)
        self.asked[rank] = self.asked.get(rank, 0) + 1
        if self.is_served(budget, rank, rejected):
            self.served[rank] = self.served.get(rank, 0) + 1
        elif budget.try_spend("wallet", rank, may_have_run=False):
            self.retries.append(now)
            if self.is_served(budget, rank, rejected):
                self.served[rank] = self.served.get(rank, 0) + 1

    def is_served(self, budget, rank: int, rejected: float) -> bool:
        allocator = self.random.choice(self.allocators)
        allocator.record_call(rank)
        if self.random.random() >= rejected:
            return True
        allocator.record_rejection(rank)
        budget.set_allowance("wallet", rank, allocator.compute_allowance(rank))
        return False

    async def run(self, phases) -> None:
        for phase in phases:
            for _ in range(int(phase.seconds / STEP_SECONDS)):
                for rank, rate in enumerate(phase.rates):
                    expected = rate * STEP_SECONDS
                    count = int(expected) + (self.random.random() < expected % 1)
                    for _ in range(count):
                        self.call(rank, phase.rejected)
                await trio.sleep(STEP_SECONDS)

    def find_worst_excess(self) -> float:
        """Returns the most retries above the bound in any window."""
        worst = -float("inf")
        for end in set(self.retries):
            start = end - WINDOW_SECONDS
            retries = sum(start < time <= end for time in self.retries)
            requests = sum(start < time <= end for time in self.requests)
            worst = max(worst, retries - RATIO * requests - FIXED)
        return worst


def run_phases(nodes, seed, phases) -> Service:
    result = []

    async def main():
        service = Service(nodes, random.Random(seed))
        await service.run(phases)
        result.append(service)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return result[0]


def test_retries_go_to_the_most_important_calls_first():
    """Guards against important calls that fail while others spend the retries.

    The servers of a service reject half of all calls. Most calls are of a low rank,
    and their retries alone would use up the budget.
    """
    phases = [Phase(4, (15, 150), 0.0), Phase(10, (15, 150), 0.5)]
    service = run_phases(20, 1, phases)
    assert service.find_worst_excess() <= 0
    share = service.served[0] / service.asked[0]
    # Without retries, a share of (4 + 10 * 0.5) / 14 is served; with one retry for
    # each rejected call, (4 + 10 * 0.75) / 14.
    assert share >= (4 + 10 * 0.7) / 14


def build_phases(ranks: int, most_calls: float):
    """Builds phases in which each rank has up to so many calls a second."""
    return st.builds(
        Phase,
        st.floats(0.5, 6),
        st.tuples(*(st.floats(0, most_calls) for _ in range(ranks))),
        st.sampled_from([0.0, 0.1, 0.5, 1.0]),
    )


@settings(
    derandomize=True,
    deadline=None,
    max_examples=30,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    st.integers(1, 40), st.integers(0, 99), st.lists(build_phases(3, 80.0), max_size=5)
)
def test_retries_of_all_nodes_stay_within_the_bound(nodes, seed, phases):
    """Guards against a shifted budget that exceeds the bound while the mix changes."""
    service = run_phases(nodes, seed, phases)
    assert service.find_worst_excess() <= 0


@settings(
    derandomize=True,
    deadline=None,
    max_examples=30,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    st.integers(1, 40), st.integers(0, 99), st.lists(build_phases(12, 20.0), max_size=5)
)
def test_retries_of_many_ranks_stay_within_the_bound(nodes, seed, phases):
    """Guards against a bound that is lost since each organisation has ranks of its own.

    Three ranks of organisations and four of routes are twelve ranks of calls.
    """
    service = run_phases(nodes, seed, phases)
    assert service.find_worst_excess() <= 0


def test_allowance_of_a_lower_rank_leaves_what_a_higher_one_needs():
    """Guards against an allowance that ignores the needs of more important ranks."""

    async def main():
        allocator = RetryAllocator(0.08)
        for rank, count in ((0, 10), (1, 90)):
            for _ in range(count):
                allocator.record_call(rank)
        for _ in range(5):
            allocator.record_rejection(0)
        assert allocator.compute_allowance(0) == pytest.approx(0.8)
        assert allocator.compute_allowance(1) == pytest.approx((8 - 5) / 90)
        assert allocator.compute_allowance(7) == 0.08
        await trio.sleep(5)
        assert allocator.compute_allowance(1) == 0.08

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_rank_of_the_organisation_goes_before_that_of_the_route():
    """Guards against retries that go to a less important organisation first."""

    async def main():
        allocator = RetryAllocator(0.08)
        important, other = (0, 3), (1, 0)
        for rank in (important, other):
            for _ in range(50):
                allocator.record_call(rank)
            for _ in range(10):
                allocator.record_rejection(rank)
        assert allocator.compute_allowance(important) == pytest.approx(8 / 50)
        assert allocator.compute_allowance(other) == 0.0

    trio.run(main)
