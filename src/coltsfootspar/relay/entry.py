"""Entry gate: admits whole requests against the room of all services they need.

Handles demand beyond what a service deep in the call graph bears. All nodes choose
the same requests, by importance and bucket, so each admitted request finds room at
every depth, and the others end before any work.
"""

import attrs
import trio

from coltsfootspar.calls import Outcome
from coltsfootspar.logs import log_decision
from coltsfootspar.relay.calls import BUCKETS, Call, Reply, compute_position
from coltsfootspar.relay.calltrees import CallTrees
from coltsfootspar.relay.room import PROBE_BUCKETS
from coltsfootspar.relay.roomsignals import RoomSignals
from coltsfootspar.routes import Route

__all__ = ["RoomGate", "create_room_gate"]

# A refused request that is sent again has a new bucket. It may come back after this
# time, in which a new threshold reaches all nodes,
MIN_RETRY_AFTER_SECONDS = 0.3
# and up to this much later, the further its position is above the threshold.
RETRY_SPREAD_SECONDS = 0.7
_FIRST_SERVER_ERROR = 500


@attrs.define(eq=False)
class RoomGate:
    """Refuses new requests that a service further on has no room for.

    :param refused: refused requests by the service without room.
    """

    signals: RoomSignals
    trees: CallTrees = attrs.field(factory=CallTrees)
    refused: dict[str, int] = attrs.field(factory=dict)

    def find_refusal(self, route: Route, call: Call) -> float | None:
        """Decides on a request at its first node.

        :returns: seconds after which the client may try again; None admits it.
        """
        if call.bucket < PROBE_BUCKETS:
            return None
        position = compute_position(call)
        # The services that a request reaches last are learned last.
        for service in (*reversed(self.trees.list_services(route.name)), call.service):
            known = self.signals.find_threshold(service)
            if known is not None and position >= known[0]:
                return self._refuse(route, service, position, *known)
        return None

    def record_reply(self, route: Route, call: Call, reply: Reply) -> None:
        """Learns the services below from the reply to a call."""
        if reply.outcome is Outcome.RAN:
            self.trees.record(
                route.name,
                reply.reached,
                trio.current_time(),
                is_whole=reply.status < _FIRST_SERVER_ERROR,
            )

    def _refuse(
        self, route: Route, service: str, position: int, threshold: int, age: float
    ) -> float:
        self.refused[service] = self.refused.get(service, 0) + 1
        log_decision(
            "no-room",
            route=route.name,
            service=service,
            position=position,
            threshold=threshold,
            age=round(age, 3),
        )
        distance = min(1.0, (position - threshold) / BUCKETS)
        return MIN_RETRY_AFTER_SECONDS + RETRY_SPREAD_SECONDS * distance


def create_room_gate(signals: RoomSignals) -> RoomGate:
    """Creates a gate that knows no call trees yet.

    :param signals: thresholds that the node has heard of.
    """
    return RoomGate(signals)
