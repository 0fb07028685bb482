"""Division of the slots of a backend server between short and long calls."""

import math

import attrs

from coltsfootspar.admission.queues import WaitQueue
from coltsfootspar.admission.rows import IMPORTANCE_COUNT, RowProfiles
from coltsfootspar.admission.thresholds import OverloadThreshold

__all__ = ["JobClass", "LongCapacity", "compute_long_capacity"]

# Headroom above the mean demand of short calls, in standard deviations of the
# number of short calls in progress.
_HEADROOM_DEVIATIONS = 3.0
_MIN_DEMAND = 1e-3


@attrs.define(eq=False)
class JobClass:
    """Queue, slots in use and overload threshold of short or of long calls.

    :param queue: calls that wait for a slot.
    :param threshold: threshold below which new calls are refused.
    :param in_use: slots that calls of this class occupy.
    :param capacity: slots assumed available to this class when queueing delay,
        queue bound and threshold are computed; how many it may occupy also depends
        on what the other class uses.
    """

    queue: WaitQueue = attrs.field(factory=WaitQueue)
    threshold: OverloadThreshold = attrs.field(factory=OverloadThreshold)
    in_use: int = 0
    capacity: int = 0

    def compute_delay(self) -> float:
        """Computes the queueing delay, the time in which the queue can be served.

        :returns: seconds; 0 without capacity.
        """
        return self.queue.work / self.capacity if self.capacity > 0 else 0.0


@attrs.frozen
class LongCapacity:
    """Slots that long calls may occupy.

    :param by_importance: slots for calls of each importance.
    :param typical: slots for calls of the importance with the highest demand.
    """

    by_importance: tuple[int, ...]
    typical: int

    def get(self, importance: int) -> int:
        """Returns the slots that long calls of an importance may occupy."""
        return self.by_importance[importance]


def compute_long_capacity(
    profiles: RowProfiles, limit: int, *, is_overloaded: bool
) -> LongCapacity:
    """Divides the slots between short and long calls.

    Short calls keep the slots that their demand needs. Against short calls of the
    same importance, long calls get at least their share by weight. Short calls of
    lower importance keep slots only while long calls have no standing queue, so
    that they are refused first. Without demand for short calls, long calls may
    occupy all slots.

    :param profiles: profiles of the rows of the service.
    :param limit: current concurrency limit of the backend server.
    :param is_overloaded: true while long calls have a standing queue.
    """
    short_demand = [0.0] * IMPORTANCE_COUNT
    short_weight = [0] * IMPORTANCE_COUNT
    long_demand = [0.0] * IMPORTANCE_COUNT
    long_weight = [0] * IMPORTANCE_COUNT
    for profile in profiles:
        for importance, demand in enumerate(profile.demand):
            if profile.is_long:
                long_demand[importance] += demand
                # The demand of a row is 0 until its service time is known.
                if demand > _MIN_DEMAND or profile.samples == 0:
                    long_weight[importance] += profile.weight
            elif demand > _MIN_DEMAND:
                short_demand[importance] += demand
                short_weight[importance] += profile.weight
    capacities = []
    for importance in range(IMPORTANCE_COUNT):
        capacity = limit - _add_headroom(sum(short_demand[importance + 1 :]))
        lower_demand = 0.0 if is_overloaded else sum(short_demand[:importance])
        total_weight = short_weight[importance] + long_weight[importance]
        long_share = long_weight[importance] / total_weight if total_weight else 0.0
        fair_share = math.floor(max(0, capacity) * long_share)
        capacity = max(
            fair_share,
            capacity - _add_headroom(short_demand[importance] + lower_demand),
        )
        capacities.append(max(1, min(limit, capacity)))
    return LongCapacity(
        tuple(capacities), capacities[long_demand.index(max(long_demand))]
    )


def _add_headroom(demand: float) -> int:
    if demand < _MIN_DEMAND:
        return 0
    return math.ceil(demand + _HEADROOM_DEVIATIONS * math.sqrt(demand))
