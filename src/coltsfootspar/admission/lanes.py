"""Room for short and for long work at one backend server."""

import math

import attrs

from coltsfootspar.admission.queues import WaitQueue
from coltsfootspar.admission.rows import IMPORTANCE_VALUES, RowProfiles
from coltsfootspar.admission.thresholds import OverloadThreshold

__all__ = ["Lane", "LongRoom", "compute_long_room"]

# Room beyond the mean demand of short work, in standard deviations of the number
# of short calls in progress.
_SPARE_DEVIATIONS = 3.0
_MIN_DEMAND = 1e-3


@attrs.define(eq=False)
class Lane:
    """Queue, slots in use and threshold of one kind of work.

    :param room: slots that the work may occupy, of which it has a claim on those
        that no other work uses.
    """

    queue: WaitQueue = attrs.field(factory=WaitQueue)
    threshold: OverloadThreshold = attrs.field(factory=OverloadThreshold)
    in_use: int = 0
    room: int = 0

    def compute_delay(self) -> float:
        """Computes the time that the waiting work needs.

        :returns: seconds.
        """
        return self.queue.work / self.room if self.room > 0 else 0.0


@attrs.frozen
class LongRoom:
    """Slots open to long work.

    :param by_importance: slots for calls of each importance.
    :param typical: slots for calls of the importance that asks for most.
    """

    by_importance: tuple[int, ...]
    typical: int

    def get(self, importance: int) -> int:
        """Returns the slots that calls of an importance may occupy."""
        return self.by_importance[importance]


def compute_long_room(
    profiles: RowProfiles, limit: int, *, is_overloaded: bool
) -> LongRoom:
    """Divides the slots between short and long work.

    Short work keeps the room that its demand needs. Against short work of the
    same importance, long work has at least its share by weight. Short work of
    lower importance keeps room only while the long work has no standing queue,
    so that it is refused first. Without demand for short work there is room for
    long work in all slots.

    :param limit: slots of the backend server.
    :param is_overloaded: true while a queue of long work stands.
    """
    short = [0.0] * IMPORTANCE_VALUES
    short_weight = [0] * IMPORTANCE_VALUES
    long = [0.0] * IMPORTANCE_VALUES
    long_weight = [0] * IMPORTANCE_VALUES
    for profile in profiles:
        for importance, demand in enumerate(profile.demand):
            if profile.is_long:
                long[importance] += demand
                # Demand of a row is 0 until its service time is known.
                if demand > _MIN_DEMAND or profile.samples == 0:
                    long_weight[importance] += profile.weight
            elif demand > _MIN_DEMAND:
                short[importance] += demand
                short_weight[importance] += profile.weight
    rooms = []
    for importance in range(IMPORTANCE_VALUES):
        room = limit - _add_spare(sum(short[importance + 1 :]))
        lower = 0.0 if is_overloaded else sum(short[:importance])
        weights = short_weight[importance] + long_weight[importance]
        share = long_weight[importance] / weights if weights else 0.0
        least = math.floor(max(0, room) * share)
        room = max(least, room - _add_spare(short[importance] + lower))
        rooms.append(max(1, min(limit, room)))
    return LongRoom(tuple(rooms), rooms[long.index(max(long))])


def _add_spare(demand: float) -> int:
    if demand < _MIN_DEMAND:
        return 0
    return math.ceil(demand + _SPARE_DEVIATIONS * math.sqrt(demand))
