"""The gate must refuse what would fail, and nothing else, and must forget."""

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


def learn(gate, load, row, threshold=None, reached=None, **values):
    """Passes one call of the highest importance and closes it with a reply."""
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


async def test_rate_limit_is_this_nodes_share(gate, load, autojump_clock):
    row = load.row("a GET /", rate_limit=100.0)
    admitted = 0
    for _ in range(1000):
        admitted += admits(gate, load, row)
        await trio.sleep(0.01)
    assert admitted == pytest.approx(10.0 * 100.0 / NODES, abs=3)


async def test_rate_limit_tells_when_to_come_again(gate, load, autojump_clock):
    row = load.row("a GET /", rate_limit=2.0)
    assert admits(gate, load, row)
    with pytest.raises(RefusedError) as caught:
        gate.admit(row, load.context(row))
    assert caught.value.code == "rate-limit"
    await trio.sleep(caught.value.retry_after)
    assert admits(gate, load, row)


async def test_concurrency_limit_counts_only_the_entry(gate, load, autojump_clock):
    """Guards against slots of a row that are lost when callers go away."""
    row = load.row("a GET /", concurrency_limit=2 * NODES)
    passes = [gate.admit(row, load.context(row)) for _ in range(2)]
    assert not admits(gate, load, row)
    assert admits(gate, load, row, depth=1)
    passes[0].close(None)
    passes[0].close(None)
    assert admits(gate, load, row)
    gate.admit(row, load.context(row))
    assert not admits(gate, load, row)


async def test_signal_refuses_below_its_threshold_until_it_expires(
    gate, load, autojump_clock
):
    row = load.row("a GET /")
    boundary = load.context(row, priority=Priority(5, 64))
    learn(gate, load, row, create_threshold(compute_rank(boundary)))
    assert admits(gate, load, row, priority=Priority(5, 64))
    assert not admits(gate, load, row, priority=Priority(5, 63))
    assert not admits(gate, load, row, priority=Priority(5, 127), is_client_retry=True)
    assert admits(gate, load, row, priority=Priority(5, 0), depth=1)
    assert not admits(gate, load, row, priority=Priority(4, 127), depth=1)
    await trio.sleep(1.01)
    assert admits(gate, load, row, priority=Priority(0, 0))


async def test_clean_replies_end_the_refusals(gate, load, autojump_clock):
    """Guards against refusals that outlast the overload."""
    row = load.row("a GET /")
    learn(gate, load, row, Priority(6, 0))
    for _ in range(40):
        learn(gate, load, row)
    assert admits(gate, load, row, priority=Priority(0, 0))


async def test_entry_refuses_what_would_fail_deeper(gate, load, autojump_clock):
    """Guards against work of upper services that is wasted further down."""
    row, other = load.row("a GET /"), load.row("b GET /")
    learn(gate, load, row, Priority(6, 0), reached=("a", "deep"))
    learn(gate, load, other, reached=("b",))
    assert not admits(gate, load, row)
    assert admits(gate, load, other)
    # Work already begun is not judged by services below its target.
    assert admits(gate, load, row, depth=1)


async def test_entry_uses_the_rank_that_calls_have_below(gate, load, autojump_clock):
    """Guards against refusing a whole importance when a part has to go."""
    row = load.row("a GET /")
    begun = load.context(row, priority=Priority(5, 64), depth=1)
    threshold = create_threshold(compute_rank(begun))
    learn(gate, load, row, threshold, reached=("a", "deep"))
    assert admits(gate, load, row, priority=Priority(5, 64))
    assert not admits(gate, load, row, priority=Priority(5, 63))


async def test_row_no_longer_reaching_a_service_is_not_refused(
    gate, load, autojump_clock
):
    row, deep = load.row("a GET /"), load.row("deep GET /")
    learn(gate, load, row, reached=("a", "deep"))
    for _ in range(40):
        learn(gate, load, row, reached=("a",))
    learn(gate, load, deep, Priority(6, 0))
    assert not admits(gate, load, deep)
    assert admits(gate, load, row)


async def test_refused_replies_do_not_hide_what_a_row_reaches(
    gate, load, autojump_clock
):
    row, deep = load.row("a GET /"), load.row("deep GET /")
    learn(gate, load, row, reached=("a", "deep"))
    for _ in range(40):
        learn(gate, load, row, reached=("a",), refusal=Refusal("overload", 1.0))
    learn(gate, load, deep, Priority(6, 0))
    assert not admits(gate, load, row)


async def test_few_calls_probe_a_signal_without_news(gate, load, autojump_clock):
    """Guards against a burst of all refused calls when a signal expires."""
    row = load.row("a GET /")
    learn(gate, load, row, Priority(6, 0))
    passed = 0
    for _ in range(99):
        await trio.sleep(0.01)
        passed += admits(gate, load, row)
    assert passed == 1


async def test_signals_of_a_row_do_not_touch_other_rows(gate, load, autojump_clock):
    long, short = load.row("a POST /long"), load.row("a GET /short")
    learn(gate, load, long, Priority(6, 0), reached=("a", long.name))
    assert not admits(gate, load, long)
    assert admits(gate, load, short)
    (signal,) = gate.get_signals("a")
    assert signal == OverloadSignal(long.name, Priority(6, 0), 1.0)
