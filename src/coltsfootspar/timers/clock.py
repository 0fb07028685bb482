"""Clock of the event loop that is read once in each turn of the loop."""

import math
import random
import time

import attrs
import trio

__all__ = ["LoopClock", "create_loop_clock"]

# Times of different processes must not be comparable by accident.
_MAX_OFFSET_SECONDS = 1e6


@attrs.define(eq=False)
class LoopClock(trio.abc.Clock, trio.abc.Instrument):
    """Clock whose time stands still while the tasks of one turn run.

    A call through a node asks for the time some fifteen times; reading it once a
    turn saves most of that. A timeout that a task starts late in a long turn ends
    early by the length of the turn, some milliseconds.

    :param _offset: added to the monotonic time, seconds.
    """

    _offset: float
    _now: float = 0.0

    def start_clock(self) -> None:
        """Reads the time for the first turn."""
        self._update()

    def current_time(self) -> float:
        """Returns the time at which the present turn began, seconds."""
        return self._now

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Returns the time from now until a deadline, seconds."""
        self._update()
        return deadline - self._now if deadline != math.inf else math.inf

    def after_io_wait(self, timeout: float) -> None:
        """Reads the time for the next turn."""
        self._update()

    def _update(self) -> None:
        self._now = time.perf_counter() + self._offset


def create_loop_clock() -> LoopClock:
    """Creates a clock, to be passed to trio both as clock and as instrument."""
    return LoopClock(random.SystemRandom().uniform(0, _MAX_OFFSET_SECONDS))
