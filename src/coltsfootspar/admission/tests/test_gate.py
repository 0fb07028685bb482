"""Checks that the gate refuses only what would fail, and only until signals expire."""

import pytest
import trio

from coltsfootspar.admission import create_entry_gate
from coltsfootspar.admission.ranks import compute_rank, create_threshold
from coltsfootspar.calls import CallReply, OverloadSignal, Priority, Refusal
from coltsfootspar.exceptions import RefusedError

NODES = 4


@pytest.fixture
def gate():
    return create_entry_gate(count_entry_nodes=lambda row: NODES)


def record_reply(gate, load, row, threshold=None, reached=None, **values):
    """Admits one call of the highest rank and closes it with a reply.

    :param threshold: threshold of a signal from the last service reached, if any.
    :param reached: services that the call reached; by default its target.
    """
    signals = ()
    reached = reached or (row.key.service,)
    if threshold is not None:
        signals = (OverloadSignal(reached[-1], threshold, 1.0),)
    context = load.context(row, priority=Priority(9, 127))
    reply = CallReply(200, signals=signals, reached=reached, **values)
    gate.admit(row, context).close(reply)


def admits(gate, load, row, **values):
    try:
        gate.admit(row, load.context(row, **values)).close(None)
    except RefusedError:
        return False
    return True


async def test_node_enforces_its_share_of_the_rate_limit(gate, load, autojump_clock):
    row = load.row("a GET /", rate_limit=100.0)
    admitted = 0
    for _ in range(1000):
        admitted += admits(gate, load, row)
        await trio.sleep(0.01)
    assert admitted == pytest.approx(10.0 * 100.0 / NODES, abs=3)


async def test_rate_limit_refusal_names_a_sufficient_retry_after(
    gate, load, autojump_clock
):
    """Guards against clients that follow retry_after and are refused again."""
    row = load.row("a GET /", rate_limit=2.0)
    assert admits(gate, load, row)
    with pytest.raises(RefusedError) as caught:
        gate.admit(row, load.context(row))
    assert caught.value.code == "rate-limit"
    await trio.sleep(caught.value.retry_after)
    assert admits(gate, load, row)


async def test_concurrency_limit_counts_only_requests_at_their_entry(
    gate, load, autojump_clock
):
    """Guards against a quota that leaks when callers disconnect."""
    row = load.row("a GET /", concurrency_limit=2 * NODES)
    permits = [gate.admit(row, load.context(row)) for _ in range(2)]
    assert not admits(gate, load, row)
    assert admits(gate, load, row, depth=1)
    permits[0].close(None)
    permits[0].close(None)
    assert admits(gate, load, row)
    gate.admit(row, load.context(row))
    assert not admits(gate, load, row)


async def test_signal_refuses_below_its_threshold_until_it_expires(
    gate, load, autojump_clock
):
    row = load.row("a GET /")
    threshold_context = load.context(row, priority=Priority(5, 64))
    record_reply(gate, load, row, create_threshold(compute_rank(threshold_context)))
    assert admits(gate, load, row, priority=Priority(5, 64))
    assert not admits(gate, load, row, priority=Priority(5, 63))
    assert not admits(gate, load, row, priority=Priority(5, 127), is_client_retry=True)
    assert admits(gate, load, row, priority=Priority(5, 0), depth=1)
    assert not admits(gate, load, row, priority=Priority(4, 127), depth=1)
    await trio.sleep(1.01)
    assert admits(gate, load, row, priority=Priority(0, 0))


async def test_replies_without_signals_end_the_refusals(gate, load, autojump_clock):
    """Guards against refusals that continue after the overload."""
    row = load.row("a GET /")
    record_reply(gate, load, row, Priority(6, 0))
    for _ in range(40):
        record_reply(gate, load, row)
    assert admits(gate, load, row, priority=Priority(0, 0))


async def test_entry_refuses_what_would_fail_downstream(gate, load, autojump_clock):
    """Guards against wasted work upstream of an overloaded service."""
    row, other = load.row("a GET /"), load.row("b GET /")
    record_reply(gate, load, row, Priority(6, 0), reached=("a", "deep"))
    record_reply(gate, load, other, reached=("b",))
    assert not admits(gate, load, row)
    assert admits(gate, load, other)
    # Started requests are not checked against services downstream of their target.
    assert admits(gate, load, row, depth=1)


async def test_entry_uses_the_rank_of_downstream_calls(gate, load, autojump_clock):
    """Guards against refusing an entire importance instead of a part of it."""
    row = load.row("a GET /")
    started = load.context(row, priority=Priority(5, 64), depth=1)
    threshold = create_threshold(compute_rank(started))
    record_reply(gate, load, row, threshold, reached=("a", "deep"))
    assert admits(gate, load, row, priority=Priority(5, 64))
    assert not admits(gate, load, row, priority=Priority(5, 63))


async def test_row_no_longer_reaching_a_service_is_not_refused(
    gate, load, autojump_clock
):
    row, deep = load.row("a GET /"), load.row("deep GET /")
    record_reply(gate, load, row, reached=("a", "deep"))
    for _ in range(40):
        record_reply(gate, load, row, reached=("a",))
    record_reply(gate, load, deep, Priority(6, 0))
    assert not admits(gate, load, deep)
    assert admits(gate, load, row)


async def test_refused_calls_do_not_remove_dependencies_of_a_row(
    gate, load, autojump_clock
):
    """Guards against forgetting a service that refused calls did not reach."""
    row, deep = load.row("a GET /"), load.row("deep GET /")
    record_reply(gate, load, row, reached=("a", "deep"))
    for _ in range(40):
        record_reply(gate, load, row, reached=("a",), refusal=Refusal("overload", 1.0))
    record_reply(gate, load, deep, Priority(6, 0))
    assert not admits(gate, load, row)


async def test_single_call_probes_a_signal_without_updates(gate, load, autojump_clock):
    """Guards against a burst of all refused calls when a signal expires."""
    row = load.row("a GET /")
    record_reply(gate, load, row, Priority(6, 0))
    probes = 0
    for _ in range(99):
        await trio.sleep(0.01)
        probes += admits(gate, load, row)
    assert probes == 1


async def test_signals_of_a_row_do_not_affect_other_rows(gate, load, autojump_clock):
    long, short = load.row("a POST /long"), load.row("a GET /short")
    record_reply(gate, load, long, Priority(6, 0), reached=("a", long.name))
    assert not admits(gate, load, long)
    assert admits(gate, load, short)
    (signal,) = gate.get_signals("a")
    assert signal == OverloadSignal(long.name, Priority(6, 0), 1.0)
