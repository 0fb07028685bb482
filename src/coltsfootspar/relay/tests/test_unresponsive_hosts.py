"""Tests of the placement while a host has lost power, on a virtual clock.

Guards against requests that fail since their calls wait for a host that is gone: each
caller's node has to find out for itself, and a request makes many calls.
"""

import collections
import random

import pytest
import trio

from coltsfootspar.relay import Load, create_placement
from coltsfootspar.routing import Candidate

LATENCY_SECONDS = 0.02
INTERVAL_SECONDS = 0.01
# A call to the host ends after this time: it is on an open connection, or the host does
# not accept a new one.
GIVE_UP_SECONDS = 0.5
LOAD = Load(1, 10, 0)


async def play_calls(placement, candidates, lost: str, seconds: float):
    """Sends calls at a steady rate; those to one host get no reply.

    :returns: number of calls by node.
    """
    sent = collections.Counter()

    async def call(candidate):
        placement.record_start(candidate)
        if candidate.node_id == lost:
            await trio.sleep(GIVE_UP_SECONDS)
            placement.eject(candidate, is_unresponsive=True)
            placement.record_end(candidate, None, None)
        else:
            await trio.sleep(LATENCY_SECONDS)
            placement.record_end(candidate, LATENCY_SECONDS, LOAD)

    async with trio.open_nursery() as nursery:
        for _ in range(round(seconds / INTERVAL_SECONDS)):
            candidate = placement.choose(candidates, set())
            sent[candidate.node_id] += 1
            nursery.start_soon(call, candidate)
            await trio.sleep(INTERVAL_SECONDS)
    return sent


@pytest.mark.parametrize("count", [3, 8])
async def test_few_calls_wait_for_a_host_that_is_gone(autojump_clock, count):
    """One trial after each ejection, which lasts 0.25, 0.5, 1 and 2 s."""
    candidates = [Candidate(f"n{i}", "wallet", "r", "a", 10) for i in range(count)]
    placement = create_placement("a", random.Random(1))
    await play_calls(placement, candidates, "", 2.0)
    sent = await play_calls(placement, candidates, "n0", 4.0)
    trials = 4
    unnoticed = 4
    assert sent["n0"] <= trials + unnoticed


async def test_host_that_is_back_gets_calls_again(autojump_clock):
    candidates = [Candidate(f"n{i}", "wallet", "r", "a", 10) for i in range(4)]
    placement = create_placement("a", random.Random(1))
    await play_calls(placement, candidates, "", 2.0)
    await play_calls(placement, candidates, "n0", 2.0)
    await trio.sleep(2.0)
    sent = await play_calls(placement, candidates, "", 2.0)
    assert sent["n0"] >= 0.5 * sum(sent.values()) / len(candidates)


async def test_long_calls_do_not_make_a_node_seem_silent(autojump_clock):
    """A call that is long by nature must not move all work to other nodes."""
    candidates = [Candidate(f"n{i}", "wallet", "r", "a", 10) for i in range(4)]
    placement = create_placement("a", random.Random(1))
    for candidate in candidates:
        for _ in range(50):
            placement.record_start(candidate)
            placement.record_end(candidate, 0.5, LOAD)
    placement.record_start(candidates[0])
    await trio.sleep(0.4)
    chosen = {placement.choose(candidates, set()).node_id for _ in range(40)}
    assert "n0" in chosen
