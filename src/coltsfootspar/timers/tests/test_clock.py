"""Tests of the clock that is read once in each turn of the event loop."""

import time

import trio

from coltsfootspar.timers import create_loop_clock


def run_with_loop_clock(main):
    clock = create_loop_clock()
    return trio.run(main, clock=clock, instruments=[clock])


def test_time_goes_on_between_turns():
    """Guards against timeouts that never end because the time stands still."""

    async def main():
        start = trio.current_time()
        await trio.sleep(0.02)
        slept = trio.current_time() - start
        with trio.move_on_after(0.02) as scope:
            await trio.sleep_forever()
        while trio.current_time() - start < 0.06:
            await trio.lowlevel.checkpoint()
        return slept, scope.cancelled_caught

    slept, is_cancelled = run_with_loop_clock(main)
    assert slept >= 0.019
    assert is_cancelled


def test_time_stands_still_during_a_turn():
    """Guards against a clock that is read again for each call of a turn."""

    async def main():
        first = trio.current_time()
        time.sleep(0.005)  # noqa: ASYNC251
        second = trio.current_time()
        await trio.lowlevel.checkpoint()
        return first, second, trio.current_time()

    first, second, third = run_with_loop_clock(main)
    assert first == second
    assert third - first >= 0.005
