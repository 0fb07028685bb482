"""Timer service that other parts subscribe to."""

from coltsfootspar.timers.service import (
    Subscription,
    TimerService,
    create_timer_service,
)

__all__ = ["Subscription", "TimerService", "create_timer_service"]
