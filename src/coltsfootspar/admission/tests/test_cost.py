"""Benchmarks a refusal against an admitted call.

Run ``pytest -n 0 --benchmark-only`` on this file to measure; under xdist each
function runs once.
"""

import pytest
import trio

from coltsfootspar.admission import create_admission_controller, create_entry_gate
from coltsfootspar.calls import CallReply, OverloadSignal, Priority
from coltsfootspar.exceptions import RefusedError

SLOTS = 8


def run_without_suspending(coroutine):
    """Runs a coroutine that must not suspend, without a scheduler.

    :raises AssertionError: when the coroutine suspends.
    """
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine suspended instead of returning")


async def test_admitted_call(load, benchmark):
    row = load.row("s GET /")
    controller = create_admission_controller(service="s", slots=SLOTS)
    request = load.request(row, deadline=trio.current_time() + 1e6)

    def admit():
        permit = run_without_suspending(controller.acquire(request, row))
        permit.release(0.001, succeeded=True)

    benchmark(admit)


@pytest.mark.parametrize("code", ["overload", "queue-full", "deadline-unreachable"])
async def test_refused_call(code, load, benchmark):
    row = load.row("s GET /")
    controller = create_admission_controller(service="s", slots=SLOTS)
    request = load.request(row, deadline=trio.current_time() + 1e6)
    refused = load.request(row, deadline=request.context.deadline)
    permits = [
        run_without_suspending(controller.acquire(request, row)) for _ in range(SLOTS)
    ]
    permits[0].release(0.001, succeeded=True)
    run_without_suspending(controller.acquire(request, row))
    if code == "overload":
        controller._long.threshold.local_rank = (
            controller._short.threshold.local_rank
        ) = 10**6
        # Keeps the threshold: no refresh takes place during the measurement.
        controller._refreshed_at = trio.current_time() + 1e6
    if code == "deadline-unreachable":
        refused = load.request(row, deadline=trio.current_time() - 1)
    codes = set()

    def refuse():
        try:
            run_without_suspending(controller.acquire(refused, row))
        except RefusedError as error:
            codes.add(error.code)

    async with trio.open_nursery() as nursery:
        if code == "queue-full":
            priority = Priority(9, 0)
            waiting = load.request(
                row, priority=priority, deadline=request.context.deadline
            )
            for _ in range(8 * SLOTS):
                nursery.start_soon(controller.acquire, waiting, row)
            await trio.testing.wait_all_tasks_blocked()
            controller._refreshed_at = trio.current_time() + 1e6
        benchmark(refuse)
        nursery.cancel_scope.cancel()
    assert codes == {code}


@pytest.mark.parametrize("is_refused", [False, True])
async def test_gate(is_refused, load, benchmark):
    row = load.row("s GET /")
    gate = create_entry_gate()
    context = load.context(row, deadline=trio.current_time() + 1e6)
    reply = CallReply(200, reached=("s", "deep"))
    gate.admit(row, context).close(reply)
    if is_refused:
        signal = OverloadSignal("deep", Priority(9, 0), 1e6)
        gate.admit(row, context).close(
            CallReply(200, signals=(signal,), reached=("s", "deep"))
        )
    results = set()

    def admit():
        try:
            gate.admit(row, context).close(reply)
        except RefusedError:
            results.add(True)

    benchmark(admit)
    assert (True in results) == is_refused
