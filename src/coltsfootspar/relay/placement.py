"""Choosing the node that gets a call.

Answers servers of unequal speed, hosts that fail and data centres that are cut
off: a node prefers its own data centre while that has room, and puts nodes aside
that have just failed.
"""

import random
from collections.abc import Sequence

import attrs
import trio

from coltsfootspar.relay.calls import Load
from coltsfootspar.routing import Candidate

__all__ = ["Placement", "create_placement"]

# Above this share of its slots, nodes of other data centres are weighed as well.
LOCAL_LOAD = 0.75
# How long a load that a reply reported is believed, seconds.
LOAD_SECONDS = 1.0
FIRST_PAUSE_SECONDS = 0.25
LONGEST_PAUSE_SECONDS = 4.0
# Cost of another data centre, as time of a call, seconds.
REMOTE_SECONDS = 0.03
_LATENCY_WEIGHT = 0.1
_INITIAL_LATENCY = 0.05


@attrs.define(eq=False)
class _Record:
    """What this node knows of another one.

    :param outstanding: calls of this node that it has not answered.
    :param load: load on its last reply.
    :param paused_until: it gets no calls before, trio clock, seconds.
    """

    outstanding: int = 0
    latency: float = _INITIAL_LATENCY
    load: Load | None = None
    load_at: float = -float("inf")
    failures: int = 0
    paused_until: float = -float("inf")


@attrs.define(eq=False)
class Placement:
    """Chooses among the nodes of a service."""

    _data_centre: str
    _random: random.Random
    _records: dict[str, _Record] = attrs.field(factory=dict)

    def choose(
        self, candidates: Sequence[Candidate], tried: set[str]
    ) -> Candidate | None:
        """Chooses a node.

        :param tried: ids of nodes that have had this call.
        :returns: None when there is no node left.
        """
        now = trio.current_time()
        free = [
            candidate
            for candidate in candidates
            if not candidate.is_leaving and candidate.node_id not in tried
        ]
        if not free:
            return None
        active = [c for c in free if self._get(c.node_id).paused_until <= now]
        if not active:
            return min(free, key=lambda c: self._get(c.node_id).paused_until)
        local = [c for c in active if c.data_centre == self._data_centre]
        if local:
            best = self._pick(local, now)
            if self._compute_load(best, now) < LOCAL_LOAD or len(local) == len(active):
                return best
        return self._pick(active, now)

    def begin(self, node_id: str) -> None:
        """Notes that a call is sent to a node."""
        self._get(node_id).outstanding += 1

    def finish(self, node_id: str, seconds: float | None, load: Load | None) -> None:
        """Notes the end of a call.

        :param seconds: time to the answer of the backend server; None without one.
        :param load: load that the reply reported.
        """
        record = self._get(node_id)
        record.outstanding -= 1
        if seconds is not None:
            record.latency += (seconds - record.latency) * _LATENCY_WEIGHT
        if load is not None:
            record.load, record.load_at = load, trio.current_time()
            record.failures = 0

    def pause(self, node_id: str) -> None:
        """Puts a node aside that has failed, longer after each failure in a row."""
        record = self._get(node_id)
        pause = FIRST_PAUSE_SECONDS * 2**record.failures
        record.failures += 1
        record.paused_until = trio.current_time() + min(pause, LONGEST_PAUSE_SECONDS)

    def forget(self, present: set[str]) -> None:
        """Drops what is known of nodes that are gone."""
        for node_id in list(self._records):
            record = self._records[node_id]
            if node_id not in present and record.outstanding == 0:
                del self._records[node_id]

    def _get(self, node_id: str) -> _Record:
        record = self._records.get(node_id)
        if record is None:
            record = self._records[node_id] = _Record()
        return record

    def _pick(self, candidates: list[Candidate], now: float) -> Candidate:
        """Returns the better one of two drawn at random."""
        if len(candidates) > 2:
            candidates = self._random.sample(candidates, 2)
        return min(candidates, key=lambda c: self._compute_cost(c, now))

    def _compute_cost(self, candidate: Candidate, now: float) -> float:
        cost = self._get(candidate.node_id).latency
        cost *= 1 + self._compute_load(candidate, now)
        if candidate.data_centre != self._data_centre:
            cost += REMOTE_SECONDS
        return cost

    def _compute_load(self, candidate: Candidate, now: float) -> float:
        record = self._get(candidate.node_id)
        own = record.outstanding / max(1, candidate.slots)
        if record.load is None or now - record.load_at > LOAD_SECONDS:
            return own
        return max(own, record.load.ratio)


def create_placement(data_centre: str, source: random.Random) -> Placement:
    """Creates the choice of a node.

    :param data_centre: data centre of the own node.
    :param source: random numbers for the choice of two.
    """
    return Placement(data_centre, source)
