"""Departures of the local backend server, kept at the replicas across restarts."""

import attrs
import trio

from coltsfootspar.logs import log_decision
from coltsfootspar.relay import BackendReport, BackendServer
from coltsfootspar.replication import ReplicationClient
from coltsfootspar.replication.messages import Departure

__all__ = ["DepartureRecorder", "create_departure_recorder"]

# A backend server waits a second for the response to its report or notice.
_RECORD_TIMEOUT_SECONDS = 0.8
_READ_TIMEOUT_SECONDS = 0.5
# After this time without a majority of the replicas, the node applies reports with what
# it has read so far, and goes on reading.
RECOVERY_TIMEOUT_SECONDS = 2.5
_RETRY_DELAY_SECONDS = 0.1
_RETRY_PERIOD_SECONDS = 1.0
# Latest backend servers beside the node whose departure is remembered.
_MAX_RECORDED = 64


@attrs.define(eq=False)
class DepartureRecorder:
    """Makes the departures that the node acknowledges outlast its process.

    A departure is acknowledged once a majority of the replicas keeps it. It takes
    effect at this node in any case.

    :param _has_waited: true once reports need not wait any longer for what departed
        before the start.
    :param _held_report: newest report that has come before.
    :param _recorded: latest departure that is to be recorded, by instance id.
    :param _unconfirmed: those of them that no majority of the replicas has confirmed.
    """

    _node_id: str
    _client: ReplicationClient
    _backend: BackendServer
    _has_waited: bool = False
    _held_report: BackendReport | None = None
    _recorded: dict[str, Departure] = attrs.field(factory=dict)
    _unconfirmed: dict[str, Departure] = attrs.field(factory=dict)
    _has_unconfirmed: trio.Event = attrs.field(factory=trio.Event)

    async def run(self) -> None:
        """Reads what an earlier process of the node recorded, and repeats records."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._recover)
            nursery.start_soon(self._repeat_records)

    def apply_report(self, report: BackendReport) -> None:
        """Applies a report, or holds it until it is known what departed before.

        A server that has got its acknowledgement does not report again at once, so a
        report that comes while the node starts must not be lost.
        """
        held = self._held_report
        if self._has_waited or report.is_leaving:
            self._backend.apply_report(report)
        elif held is None or report.order > held.order:
            self._held_report = report

    def drop_held_report(self, instance_id: str) -> None:
        """Forgets a held report of a server that has departed."""
        held = self._held_report
        if held is not None and held.instance_id == instance_id:
            self._held_report = None

    async def record_leaving(self, report: BackendReport) -> bool:
        """Records a report that the backend server leaves; see :meth:`_record`."""
        departure = Departure(report.instance_id, report.started_ms, report.sequence)
        known = self._recorded.get(report.instance_id)
        # Only the first such report of a start tells something new.
        is_new = known is None or known.started_ms < report.started_ms
        return await self._record(departure, is_new=is_new)

    async def record_departure(self, instance_id: str, started_ms: int) -> bool:
        """Records that a start has deregistered; see :meth:`_record`."""
        departure = Departure(instance_id, started_ms, has_deregistered=True)
        known = self._recorded.get(instance_id)
        is_new = known is None or known.order < departure.order
        return await self._record(departure, is_new=is_new)

    async def _record(self, departure: Departure, *, is_new: bool) -> bool:
        """Waits until a majority of the replicas keeps a departure, or a later one.

        Without a majority it returns after a time limit, and the departure is sent
        again later.

        :param is_new: false when it, or a later one, was to be recorded before.
        :returns: true when a majority keeps it.
        """
        if is_new:
            self._add(departure)
        if departure.instance_id in self._unconfirmed:
            await self._send_unconfirmed(_RECORD_TIMEOUT_SECONDS)
        return departure.instance_id not in self._unconfirmed

    def _add(self, departure: Departure) -> None:
        self._recorded.pop(departure.instance_id, None)
        self._recorded[departure.instance_id] = departure
        if len(self._recorded) > _MAX_RECORDED:
            oldest = next(iter(self._recorded))
            del self._recorded[oldest]
            self._unconfirmed.pop(oldest, None)
        self._unconfirmed[departure.instance_id] = departure
        self._has_unconfirmed.set()

    async def _repeat_records(self) -> None:
        while True:
            await self._has_unconfirmed.wait()
            await trio.sleep(_RETRY_PERIOD_SECONDS)
            await self._send_unconfirmed(_READ_TIMEOUT_SECONDS)

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
        """Reads until a majority has replied; holds reports for a limited time."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._limit_wait)
            is_majority = await self._read()
            while not is_majority:
                await trio.sleep(_RETRY_DELAY_SECONDS)
                is_majority = await self._read()
            nursery.cancel_scope.cancel()
        self._release_report()

    async def _limit_wait(self) -> None:
        await trio.sleep(RECOVERY_TIMEOUT_SECONDS)
        log_decision("departures-unknown")
        self._release_report()

    def _release_report(self) -> None:
        self._has_waited = True
        held, self._held_report = self._held_report, None
        if held is not None:
            self._backend.apply_report(held)

    async def _read(self) -> bool:
        known = await self._client.note_departures(
            self._node_id, (), _READ_TIMEOUT_SECONDS
        )
        for departure in sorted(known.departures, key=lambda known: known.order):
            self._restore(departure)
        return known.is_majority

    def _restore(self, departure: Departure) -> None:
        if departure.has_deregistered:
            self._backend.restore_departure(departure.instance_id, departure.started_ms)
        else:
            order = (departure.started_ms, departure.sequence)
            self._backend.restore_leaving(departure.instance_id, order)
        known = self._recorded.get(departure.instance_id)
        if known is None or known.order < departure.order:
            # The replicas that replied may be the only ones that keep it.
            self._add(departure)


def create_departure_recorder(
    node_id: str, client: ReplicationClient, backend: BackendServer
) -> DepartureRecorder:
    """Creates the recorder of a node.

    :param node_id: id of the local node.
    :param client: client of the replicas.
    :param backend: local backend server.
    """
    return DepartureRecorder(node_id, client, backend)
