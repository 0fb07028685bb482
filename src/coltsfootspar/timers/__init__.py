"""Timer service that other parts subscribe to."""

from coltsfootspar.timers.clock import LoopClock, create_loop_clock
from coltsfootspar.timers.service import (
    Subscription,
    TimerService,
    compute_next_tick,
    create_timer_service,
)

__all__ = [
    "LoopClock",
    "Subscription",
    "TimerService",
    "compute_next_tick",
    "create_loop_clock",
    "create_timer_service",
]
