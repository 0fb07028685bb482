"""Checks that the baseline serves in order of arrival and refuses no call."""

import trio

from coltsfootspar.admission import create_baseline_controller, create_baseline_gate


async def test_serves_in_the_order_of_arrival(load, autojump_clock):
    low, high = load.row("s GET /low", importance=0), load.row("s GET /", importance=9)
    load.service_seconds = {low.name: 0.1, high.name: 0.1}
    load.controller = create_baseline_controller(slots=1)
    async with trio.open_nursery() as nursery:
        for row in (low, low, high, low):
            nursery.start_soon(load.call, row)
            await trio.testing.wait_all_tasks_blocked()
        with trio.move_on_after(0.01):
            await load.controller.acquire(load.request(high), high)
    assert [e.row for e in load.outcomes] == [row.name for row in (low, low, high, low)]
    assert {e.code for e in load.outcomes} == {"ok"}


async def test_gate_admits_every_call(load, autojump_clock):
    row = load.row("s GET /", rate_limit=1.0)
    gate = create_baseline_gate()
    for _ in range(10):
        gate.admit(row, load.context(row)).close(None)
    assert gate.get_signals("s") == ()
