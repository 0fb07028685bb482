"""Log lines for decisions, bounded in volume."""

import time
from typing import Any

import attrs
from absl import logging

__all__ = ["log_decision"]

# Lines a second that are kept up under load; more are counted and left out.
LINES_PER_SECOND = 40
_BURST_LINES = 120


@attrs.define(eq=False)
class _Budget:
    tokens: float = _BURST_LINES
    refilled_at: float = attrs.field(factory=time.monotonic)
    omitted: int = 0

    def take(self) -> bool:
        """Tells whether one more line may be written."""
        now = time.monotonic()
        refill = (now - self.refilled_at) * LINES_PER_SECOND
        self.tokens = min(_BURST_LINES, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            self.omitted += 1
            return False
        self.tokens -= 1
        return True


_budget = _Budget()


def log_decision(event: str, **fields: Any) -> None:
    """Writes a line for a decision.

    :param event: what was decided.
    :param fields: inputs and outcome; bytes are written as text.
    """
    if not _budget.take():
        return
    if _budget.omitted:
        fields["omitted_lines"], _budget.omitted = _budget.omitted, 0
    extra = {
        name: value.decode(errors="replace") if isinstance(value, bytes) else value
        for name, value in fields.items()
    }
    logging.get_absl_logger().info(event, extra={"fields": extra})
