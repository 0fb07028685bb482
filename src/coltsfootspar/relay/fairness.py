"""Fair order of the calls of several organisations that wait for slots.

Handles a full service at which one organisation sends many more calls than the others:
in order of arrival it would get nearly all slots. Start-time fair queueing gives each
organisation with waiting calls an equal part of the slots that become free; what one
does not use goes to the others. It decides only among calls of equal importance.
"""

import attrs

from coltsfootspar.relay.calls import Call

__all__ = ["FairQueueing"]

_Group = tuple[int, int, int]


@attrs.define(eq=False)
class _Flow:
    """Waiting calls of one organisation.

    :param last_tag: tag of the latest of them.
    """

    last_tag: float
    waiting: int = 0


@attrs.define(eq=False)
class _GroupState:
    """Waiting calls of equal priority class and ranks.

    :param virtual_time: tag of the call that got a slot last.
    :param flows: by organisation; only of those with waiting calls.
    """

    virtual_time: float = 0.0
    flows: dict[str, _Flow] = attrs.field(factory=dict)


@attrs.define(eq=False)
class FairQueueing:
    """Assigns waiting calls the tags by which they are ordered.

    The calls of an organisation get consecutive tags, beginning after that of the call
    that has got a slot last. Keeps state only while calls of organisations wait. Calls
    without an organisation share one part.
    """

    _groups: dict[_Group, _GroupState] = attrs.field(factory=dict)

    def compute_tag(self, call: Call) -> float:
        """Returns the tag that a call would have; smaller ones go first.

        It is 0 for nested calls, which finish work that has begun, and for each call
        while only calls without an organisation wait.
        """
        if call.is_nested or not (call.organisation or self._groups):
            return 0.0
        state = self._groups.get(_get_group(call))
        if state is None:
            return 1.0
        flow = state.flows.get(call.organisation)
        return (state.virtual_time if flow is None else flow.last_tag) + 1.0

    def add(self, call: Call, tag: float) -> None:
        """Records that a call waits.

        :param tag: result of :meth:`compute_tag`.
        """
        if not tag:
            return
        state = self._groups.setdefault(_get_group(call), _GroupState())
        flow = state.flows.setdefault(call.organisation, _Flow(tag))
        flow.last_tag = tag
        flow.waiting += 1

    def start(self, call: Call, tag: float) -> None:
        """Records that a waiting call has got a slot."""
        if not tag:
            return
        state = self._groups[_get_group(call)]
        state.virtual_time = max(state.virtual_time, tag)
        self._end_wait(call, state)

    def remove(self, call: Call, tag: float) -> None:
        """Records that a waiting call was refused or cancelled; its turn is free."""
        if not tag:
            return
        state = self._groups[_get_group(call)]
        state.flows[call.organisation].last_tag -= 1.0
        self._end_wait(call, state)

    def _end_wait(self, call: Call, state: _GroupState) -> None:
        """Forgets an organisation without waiting calls, and an empty group."""
        flow = state.flows[call.organisation]
        flow.waiting -= 1
        if not flow.waiting:
            del state.flows[call.organisation]
        if not state.flows:
            del self._groups[_get_group(call)]


def _get_group(call: Call) -> _Group:
    return (call.priority_class, call.organisation_rank, call.rank)
