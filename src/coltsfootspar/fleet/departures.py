"""Departures of the local backend server, kept at the replicas across restarts."""

import attrs
import trio

from coltsfootspar.logs import log_decision
from coltsfootspar.relay import BackendReport, BackendServer
from coltsfootspar.replication import ReplicationClient
from coltsfootspar.replication.messages import Departure

__all__ = ["DepartureRecorder", "create_departure_recorder"]

# A backend server waits a second for the response to its report or notice.
_RECORD_TIMEOUT_SECONDS = 0.5
RECOVERY_WAIT_SECONDS = 0.8
_READ_TIMEOUT_SECONDS = 0.5
# After this time without a majority of the replicas, the node goes on with what it
# has read.
RECOVERY_TIMEOUT_SECONDS = 2.5
_RETRY_DELAY_SECONDS = 0.1
_RETRY_PERIOD_SECONDS = 1.0
# Latest backend servers beside the node whose departure is remembered.
_MAX_RECORDED = 64


@attrs.define(eq=False)
class DepartureRecorder:
    """Makes the departures that the node acknowledges outlast its process.

    :param _recorded: latest departure that was to be recorded, by instance id.
    :param _unconfirmed: those of them that no majority of the replicas has confirmed.
    """

    _node_id: str
    _client: ReplicationClient
    _backend: BackendServer
    _recovered: trio.Event = attrs.field(factory=trio.Event)
    _recorded: dict[str, Departure] = attrs.field(factory=dict)
    _unconfirmed: dict[str, Departure] = attrs.field(factory=dict)
    _has_unconfirmed: trio.Event = attrs.field(factory=trio.Event)

    async def run(self) -> None:
        """Reads what an earlier process of the node recorded, then repeats records."""
        await self._recover()
        while True:
            await self._has_unconfirmed.wait()
            await trio.sleep(_RETRY_PERIOD_SECONDS)
            await self._send_unconfirmed(_READ_TIMEOUT_SECONDS)

    async def wait_recovered(self) -> bool:
        """Waits a short time until it is known what has departed before the start.

        :returns: false when it is not known yet; reports must not be applied then.
        """
        with trio.move_on_after(RECOVERY_WAIT_SECONDS):
            await self._recovered.wait()
        return self._recovered.is_set()

    async def record_leaving(self, report: BackendReport) -> None:
        """Records a report that the backend server leaves; see :meth:`_record`."""
        departure = Departure(report.instance_id, report.started_ms, report.sequence)
        known = self._recorded.get(report.instance_id)
        # Only the first such report of a start tells something new.
        if known is None or known.started_ms < report.started_ms:
            await self._record(departure)

    async def record_departure(self, instance_id: str, started_ms: int) -> None:
        """Records that a start has deregistered; see :meth:`_record`."""
        departure = Departure(instance_id, started_ms, has_deregistered=True)
        known = self._recorded.get(instance_id)
        if known is None or known.order < departure.order:
            await self._record(departure)

    async def _record(self, departure: Departure) -> None:
        """Returns once a majority of the replicas keeps the departure.

        Without a majority it returns after a time limit, and the departure is sent
        again later: the backend server leaves in any case.
        """
        self._recorded.pop(departure.instance_id, None)
        self._recorded[departure.instance_id] = departure
        if len(self._recorded) > _MAX_RECORDED:
            oldest = next(iter(self._recorded))
            del self._recorded[oldest]
            self._unconfirmed.pop(oldest, None)
        self._unconfirmed[departure.instance_id] = departure
        self._has_unconfirmed.set()
        await self._send_unconfirmed(_RECORD_TIMEOUT_SECONDS)

    async def _send_unconfirmed(self, timeout: float) -> None:
        sent = dict(self._unconfirmed)
        if not sent:
            return
        known = await self._client.note_departures(
            self._node_id, tuple(sent.values()), timeout
        )
        if not known.is_majority:
            log_decision("departure-unconfirmed", instances=sorted(sent))
            return
        for instance_id, departure in sent.items():
            if self._unconfirmed.get(instance_id) is departure:
                del self._unconfirmed[instance_id]
        if not self._unconfirmed:
            self._has_unconfirmed = trio.Event()

    async def _recover(self) -> None:
        is_majority = False
        with trio.move_on_after(RECOVERY_TIMEOUT_SECONDS):
            while not is_majority:
                is_majority = await self._read()
                if not is_majority:
                    await trio.sleep(_RETRY_DELAY_SECONDS)
        if not is_majority:
            log_decision("departures-unknown")
        self._recovered.set()

    async def _read(self) -> bool:
        known = await self._client.note_departures(
            self._node_id, (), _READ_TIMEOUT_SECONDS
        )
        for departure in known.departures:
            if departure.has_deregistered:
                self._backend.restore_departure(
                    departure.instance_id, departure.started_ms
                )
            else:
                order = (departure.started_ms, departure.sequence)
                self._backend.restore_leaving(departure.instance_id, order)
        return known.is_majority


def create_departure_recorder(
    node_id: str, client: ReplicationClient, backend: BackendServer
) -> DepartureRecorder:
    """Creates the recorder of a node.

    :param node_id: id of the local node.
    :param client: client of the replicas.
    :param backend: local backend server.
    """
    return DepartureRecorder(node_id, client, backend)
