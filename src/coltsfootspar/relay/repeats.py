"""The budget of repeated sends that all nodes share.

Answers retry storms: without a bound over all nodes, repeats of failed calls keep
an overloaded service overloaded. Each node spends only its part.
"""

import collections

import attrs
import trio

__all__ = ["RepeatBudget", "create_repeat_budget"]

# Part of the allowed ratio that is spent. The calls that a repeated request makes
# again count as repeats too, at the services below.
_RATIO_SHARE = 0.4
_FIXED_SHARE = 0.5
_SLOTS = 10


@attrs.define(eq=False)
class _Window:
    """Counts of a service in the slots of a sliding window."""

    requests: collections.deque = attrs.field(
        factory=lambda: collections.deque([0] * _SLOTS, maxlen=_SLOTS)
    )
    repeats: collections.deque = attrs.field(
        factory=lambda: collections.deque([0] * _SLOTS, maxlen=_SLOTS)
    )
    slot: int = 0

    def advance(self, slot: int) -> None:
        """Moves on to the present slot."""
        for _ in range(min(_SLOTS, slot - self.slot)):
            self.requests.append(0)
            self.repeats.append(0)
        self.slot = slot


@attrs.define(eq=False)
class RepeatBudget:
    """Counts the requests and repeats that this node sends to each service.

    :param nodes: nodes that share the fixed part.
    """

    _ratio: float
    _fixed: float
    _window_seconds: float
    nodes: int = 1
    _services: dict[str, _Window] = attrs.field(factory=dict)

    def record_request(self, service: str) -> None:
        """Counts a request that is sent for the first time."""
        self._get(service).requests[-1] += 1

    def take(self, service: str) -> bool:
        """Counts a repeat, if the budget allows it."""
        window = self._get(service)
        allowed = self._ratio * _RATIO_SHARE * sum(window.requests)
        allowed += self._fixed * _FIXED_SHARE / max(1, self.nodes)
        if sum(window.repeats) + 1 > allowed:
            return False
        window.repeats[-1] += 1
        return True

    def _get(self, service: str) -> _Window:
        window = self._services.setdefault(service, _Window())
        slot = int(trio.current_time() / self._window_seconds * _SLOTS)
        if slot != window.slot:
            window.advance(slot)
        return window


def create_repeat_budget(
    ratio: float, fixed: float, window_seconds: float
) -> RepeatBudget:
    """Creates the budget of a node.

    :param ratio: repeats for each request, over all nodes.
    :param fixed: repeats that are allowed besides, over all nodes.
    :param window_seconds: length of any span in which both hold.
    """
    return RepeatBudget(ratio, fixed, window_seconds)
