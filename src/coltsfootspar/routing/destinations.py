"""What the router knows of each node that offers a service."""

import attrs

from coltsfootspar.calls import Priority
from coltsfootspar.routing.interfaces import Candidate

__all__ = ["Destination"]

MIN_WARM_SHARE = 0.1


@attrs.define(eq=False)
class Destination:
    """One node of a service and the calls sent to it.

    :param candidate: latest entry of the directory.
    :param first_seen: time at which the router learned of it, seconds.
    :param outstanding: calls without a reply.
    :param skip_until: time until which it gets no calls at all because it is
        leaving, seconds.
    :param unreachable_until: time until which others are preferred because it
        could not be reached, seconds.
    :param refused: highest priority that it lately refused.
    :param refused_until: time until which ``refused`` applies, seconds.
    """

    candidate: Candidate
    first_seen: float
    outstanding: int = 0
    skip_until: float = 0.0
    unreachable_until: float = 0.0
    refused: Priority | None = None
    refused_until: float = 0.0

    @property
    def node_id(self) -> str:
        """Id of the node."""
        return self.candidate.node_id

    def compute_capacity(self, now: float) -> float:
        """Computes the calls that it should get at once.

        :param now: trio clock, seconds.
        :returns: its slots, fewer while it warms up.
        """
        candidate = self.candidate
        if now >= candidate.warm_at:
            return max(1, candidate.slots)
        ramp = candidate.warm_at - self.first_seen
        share = (now - self.first_seen) / ramp if ramp > 0 else 0.0
        return max(1, candidate.slots) * max(MIN_WARM_SHARE, share)

    def is_usable(self, now: float) -> bool:
        """True unless it takes no new work."""
        return not self.candidate.is_leaving and now >= self.skip_until

    def is_full(self, priority: Priority, now: float) -> bool:
        """True when it would probably refuse a call.

        :param priority: priority of the call.
        """
        if self.outstanding >= self.compute_capacity(now):
            return True
        return (
            now < self.refused_until
            and self.refused is not None
            and priority <= self.refused
        )

    def compute_cost(self, now: float) -> float:
        """Computes how busy it is; the lower of two is preferred."""
        return (self.outstanding + 1) / self.compute_capacity(now)
