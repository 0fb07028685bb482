"""The budget of repeated sends that all nodes share.

Answers retry storms: without a bound over all nodes, repeats of failed calls keep
an overloaded service overloaded. Each node spends only its part.
"""

import collections

import attrs
import trio

__all__ = ["RepeatBudget", "create_repeat_budget"]

# Part of the allowed ratio that is spent on calls that have not run.
_UNRUN_SHARE = 0.35
# The same for calls that may have run. Those make their own calls again, which
# count as repeats at each service below: over three levels they add up.
_RUN_SHARE = 0.1
_FIXED_SHARE = 0.4
_SLOTS = 10


@attrs.define(eq=False)
class _Window:
    """Counts of a service in the slots of a sliding window.

    :param repeats: requests that were sent once more.
    :param reruns: those among them that may have run before.
    """

    requests: collections.deque = attrs.field(
        factory=lambda: collections.deque([0] * _SLOTS, maxlen=_SLOTS)
    )
    repeats: collections.deque = attrs.field(
        factory=lambda: collections.deque([0] * _SLOTS, maxlen=_SLOTS)
    )
    reruns: collections.deque = attrs.field(
        factory=lambda: collections.deque([0] * _SLOTS, maxlen=_SLOTS)
    )
    slot: int = 0

    def advance(self, slot: int) -> None:
        """Moves on to the present slot."""
        for _ in range(min(_SLOTS, slot - self.slot)):
            self.requests.append(0)
            self.repeats.append(0)
            self.reruns.append(0)
        self.slot = slot


@attrs.define(eq=False)
class RepeatBudget:
    """Counts the requests and repeats that this node sends to each service.

    :param ratio: repeats for each request, over all nodes.
    :param fixed: repeats that are allowed besides, over all nodes.
    :param nodes: nodes that share the fixed part.
    """

    ratio: float
    fixed: float
    _window_seconds: float
    nodes: int = 1
    _services: dict[str, _Window] = attrs.field(factory=dict)

    def record_request(self, service: str) -> None:
        """Counts a request that is sent for the first time."""
        self._get(service).requests[-1] += 1

    def take(self, service: str, *, may_have_run: bool) -> bool:
        """Counts a repeat, if the budget allows it.

        :param may_have_run: true when the request may have run before.
        """
        window = self._get(service)
        requests = sum(window.requests)
        fixed = self.fixed * _FIXED_SHARE / max(1, self.nodes)
        allowed = self.ratio * (_UNRUN_SHARE + _RUN_SHARE) * requests + fixed
        if sum(window.repeats) + 1 > allowed:
            return False
        if may_have_run:
            if sum(window.reruns) + 1 > self.ratio * _RUN_SHARE * requests + fixed / 2:
                return False
            window.reruns[-1] += 1
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
