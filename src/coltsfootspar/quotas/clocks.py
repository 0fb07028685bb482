"""Clock by which tokens lapse."""

import time
from typing import Protocol

__all__ = ["BootClock", "Clock", "create_boot_clock"]


class Clock(Protocol):
    """Clock of a process that also counts the time for which it is suspended."""

    def read(self) -> float:
        """Returns the time since an arbitrary moment, seconds."""


class BootClock:
    """Clock of the host since its start.

    The clock of trio stops while the host is suspended; after it, tokens that have
    lapsed would count as valid.
    """

    def read(self) -> float:
        """Returns the time since the start of the host, seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def create_boot_clock() -> Clock:
    """Creates the clock of a process."""
    return BootClock()
