"""Tests of the shares of nodes while no lender answers, without a network.

Guards against a stop of all organisations while all replicas are restarted, and against
more requests than a window allows.
"""

import random

import attrs
import pytest

from coltsfootspar.quotas import OutageShare, QuotaRules, create_limits
from coltsfootspar.quotas.outage import OUTAGE_BEGIN_SECONDS, OUTAGE_END_SECONDS
from coltsfootspar.routes import Organisation

NODES = 65
STEP_SECONDS = 0.01
LARGE = Organisation("large", ("a",), rate=250.0, burst=250.0)
SMALL = Organisation("small", ("b",), rate=3.0, burst=3.0)


@attrs.define
class FakeClock:
    now: float = 100.0

    def read(self) -> float:
        return self.now


def create_nodes(clock, present=NODES):
    nodes = [OutageShare(clock, random.Random(seed)) for seed in range(NODES)]
    for node in nodes:
        node.update_nodes(NODES)
        node.update_nodes(present)
        node.record_request()
    return nodes


def play(clock, nodes, organisation, seconds) -> int:
    """Lets all nodes take what they can; returns the tokens taken."""
    (number, limit), *_ = create_limits([organisation], QuotaRules()).items()
    taken = 0
    for _ in range(round(seconds / STEP_SECONDS)):
        clock.now += STEP_SECONDS
        for node in nodes:
            if node.is_active:
                node.record_request()
        taken += sum(node.try_take(number, limit) for node in nodes)
    return taken


@pytest.mark.parametrize("organisation", [LARGE, SMALL])
def test_sum_over_all_nodes_keeps_to_the_limit(organisation):
    rules, clock = QuotaRules(), FakeClock()
    (limit,) = create_limits([organisation], rules).values()
    seconds = 4.0
    taken = play(clock, create_nodes(clock), organisation, seconds)
    # What the ledger may have granted before, in the same window.
    granted_before = limit.burst + limit.rate * (rules.window - seconds)
    assert taken + granted_before <= rules.compute_allowed(organisation)


def test_large_organisation_is_served_in_an_outage():
    """Callers at their usual rate, 1/1.6 of the limit, find a token."""
    clock = FakeClock()
    taken = play(clock, create_nodes(clock), LARGE, 2.0)
    assert taken >= LARGE.rate * (2.0 - OUTAGE_BEGIN_SECONDS) / 1.6


def test_node_that_is_cut_off_itself_spends_nothing():
    """It sees fewer nodes, and the ledger goes on without it."""
    clock = FakeClock()
    nodes = create_nodes(clock, present=NODES // 3)
    assert play(clock, nodes, LARGE, 4.0) == 0


def test_outage_ends_with_an_answer_and_in_time():
    clock = FakeClock()
    nodes = create_nodes(clock)
    assert play(clock, nodes, LARGE, 1.0) > 0
    for node in nodes:
        node.record_answer()
    assert play(clock, nodes, LARGE, 1.0) == 0
    for node in nodes:
        node.record_request()
    clock.now += OUTAGE_END_SECONDS
    assert play(clock, nodes, LARGE, 1.0) == 0


def test_one_lost_request_is_no_outage():
    """Lenders that nobody has asked since may be well."""
    clock = FakeClock()
    nodes = create_nodes(clock)
    clock.now += OUTAGE_BEGIN_SECONDS + 2.0
    assert play(clock, nodes, LARGE, 1.0) == 0
