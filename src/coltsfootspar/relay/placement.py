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
# A node of the own data centre that is slower than another by this factor gets no
# preference.
SLOW_FACTOR = 2.5
# A data centre of which this many nodes failed in a row, with none that answered
# in between, is put aside as a whole: it may be cut off.
FAILED_NODES = 2
CENTRE_PAUSE_SECONDS = 0.6
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
    _failed: dict[str, set[str]] = attrs.field(factory=dict)
    _centres_paused: dict[str, float] = attrs.field(factory=dict)

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
        active = [c for c in free if self._get_pause(c) <= now]
        if not active:
            return min(free, key=self._get_pause)
        local = [c for c in active if c.data_centre == self._data_centre]
        if local:
            best = self._pick(local, now)
            # After a failure, others in the same distant place may fail as well.
            is_only_choice = len(local) == len(active) or bool(tried)
            if is_only_choice or self._is_preferred(best, active, now):
                return best
        return self._pick(active, now)

    def begin(self, candidate: Candidate) -> None:
        """Notes that a call is sent to a node."""
        self._get(candidate.node_id).outstanding += 1

    def finish(
        self, candidate: Candidate, seconds: float | None, load: Load | None
    ) -> None:
        """Notes the end of a call.

        :param seconds: time to the answer of the backend server, or to the end of
            a call that it did not answer in time; None when it had no part in it.
        :param load: load that the reply reported.
        """
        record = self._get(candidate.node_id)
        record.outstanding -= 1
        if seconds is not None:
            record.latency += (seconds - record.latency) * _LATENCY_WEIGHT
        if load is not None:
            record.load, record.load_at = load, trio.current_time()
            record.failures = 0
            self._failed.pop(candidate.data_centre, None)
            self._centres_paused.pop(candidate.data_centre, None)

    def pause(self, candidate: Candidate, *, is_silent: bool) -> None:
        """Puts a node aside that has failed, longer after each failure in a row.

        :param is_silent: true when the node itself did not answer.
        """
        now = trio.current_time()
        record = self._get(candidate.node_id)
        pause = FIRST_PAUSE_SECONDS * 2**record.failures
        record.failures += 1
        record.paused_until = now + min(pause, LONGEST_PAUSE_SECONDS)
        centre = candidate.data_centre
        if is_silent and centre != self._data_centre:
            failed = self._failed.setdefault(centre, set())
            failed.add(candidate.node_id)
            if len(failed) >= FAILED_NODES:
                self._centres_paused[centre] = now + CENTRE_PAUSE_SECONDS

    def forget(self, present: set[str]) -> None:
        """Drops what is known of nodes that are gone."""
        for node_id in list(self._records):
            record = self._records[node_id]
            if node_id not in present and record.outstanding == 0:
                del self._records[node_id]

    def _get_pause(self, candidate: Candidate) -> float:
        own = self._get(candidate.node_id).paused_until
        return max(own, self._centres_paused.get(candidate.data_centre, own))

    def _is_preferred(
        self, local: Candidate, active: list[Candidate], now: float
    ) -> bool:
        """Tells whether a node of the own data centre has room and is not slow."""
        if self._compute_load(local, now) >= LOCAL_LOAD:
            return False
        latency = self._get(local.node_id).latency
        best = min(self._get(c.node_id).latency for c in active)
        return latency <= SLOW_FACTOR * (best + REMOTE_SECONDS)

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
