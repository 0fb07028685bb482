"""Timer service that other parts subscribe to."""

from coltsfootspar.timers.clock import LoopClock, create_loop_clock
from coltsfootspar.timers.service import (
    Subscription,
    TimerService,
    create_timer_service,
)

__all__ = [
    "LoopClock",
    "Subscription",
    "TimerService",
    "create_loop_clock",
    "create_timer_service",
]
