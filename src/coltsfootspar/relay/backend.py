"""Local backend server: its status reports, and requests to it."""

import math
import random
from collections.abc import Callable, Hashable

import attrs
import trio

from coltsfootspar.calls import Outcome
from coltsfootspar.exceptions import RefusedError, TransferError
from coltsfootspar.logs import log_decision
from coltsfootspar.memory import MemoryAccount
from coltsfootspar.relay.allowances import NOT_RUN_SHARE, RetryAllocator
from coltsfootspar.relay.calls import (
    BLOCKED_ERROR,
    RETRY_AFTER_HEADER,
    Call,
    HeaderNames,
    Load,
    OutgoingCall,
    Reply,
    create_refusal,
    create_reply,
    do_nothing,
)
from coltsfootspar.relay.client import (
    MAX_IDLE_SECONDS,
    ClientConnection,
    ConnectionPool,
)
from coltsfootspar.relay.crash_guard import CrashGuard, create_crash_guard
from coltsfootspar.relay.identification import WITHDRAWN_KEY_ERROR
from coltsfootspar.relay.limiter import ConcurrencyLimiter, create_concurrency_limiter
from coltsfootspar.relay.messages import Headers, Response
from coltsfootspar.relay.outgoing import encode_outgoing_call
from coltsfootspar.relay.room import RoomEstimator
from coltsfootspar.relay.roomsignals import RoomSignal, RoomSignals, encode_signals
from coltsfootspar.relay.running import RunningCalls
from coltsfootspar.wire import Address

__all__ = ["BackendReport", "BackendServer", "create_backend_server"]

# A backend server without a report for this time gets no work.
REPORT_TIMEOUT_SECONDS = 9.0
# Older reports count again after this number of them in this time, with none of the
# server that reported the newest start or sequence.
OUTLASTING_REPORTS = 3
OUTLASTING_SECONDS = 3.0
# Latest backend servers beside the node whose departure is remembered.
_MAX_REMEMBERED_SERVERS = 64
# Time for which calls are refused after a connection could not be opened.
CONNECT_RETRY_SECONDS = 0.3
# A request that must not run twice is sent on a connection used this recently, or on
# a new one: a server may close an idle connection while the request is in flight.
NON_IDEMPOTENT_IDLE_SECONDS = 1.0
RESPONSE_BUFFER_BYTES = 262_144
# Time for which the header with the room of services is used again.
ROOM_HEADER_SECONDS = 0.02
DEFAULT_RETRY_RATIO = 0.2
_MISDIRECTED_REQUEST = 421
# Codes of transfers that end when the process of the backend server does.
_ENDED_CODES = frozenset({"closed", "reset", "unreachable"})
# To callers these statuses promise that the request has not run.
_REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
_FIRST_ERROR = 400
_FIRST_SERVER_ERROR = 500


@attrs.frozen
class BackendReport:
    """Status report of a backend server.

    :param instance_id: id of the backend server.
    :param slots: most requests that it processes at once.
    :param is_leaving: true when it takes no new work.
    :param warm_in: time until it is warmed up, seconds.
    :param sequence: increases with each report since the start.
    :param started_ms: Unix time of its start, milliseconds.
    """

    instance_id: str
    service: str
    address: Address
    slots: int
    is_leaving: bool
    warm_in: float
    sequence: int
    started_ms: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Sort key of reports; newer ones compare greater."""
        return self.started_ms, self.sequence


@attrs.frozen
class _OlderReports:
    """Reports in a row that are older than the newest one, of one backend server.

    :param latest: the last of them.
    :param since: arrival of the first one, trio clock, seconds.
    """

    latest: BackendReport
    since: float
    count: int = 1


@attrs.define(eq=False)
class BackendServer:
    """Forwards calls to the backend server on the local host.

    :param allocator: divides the retries of rejected calls among ranks.
    :param limiter: limits the calls in progress at the backend server.
    :param guard: keeps requests away that crash servers.
    :param report: newest report; None before the first one and once it is overdue.
    :param running: calls in progress at the backend server.
    :param room: tells which requests the backend server has room for.
    :param signals: what is known of the room of all services.
    :param account: memory held for the connections of the process.
    """

    _names: HeaderNames
    _on_change: Callable[[], None]
    account: MemoryAccount | None = None
    allocator: RetryAllocator = attrs.field(factory=RetryAllocator)
    limiter: ConcurrencyLimiter = attrs.field(factory=create_concurrency_limiter)
    guard: CrashGuard = attrs.field(
        factory=lambda: create_crash_guard(random.SystemRandom())
    )
    report: BackendReport | None = None
    running: RunningCalls = attrs.field(
        default=attrs.Factory(
            lambda self: RunningCalls(self._names.id_separator), takes_self=True
        )
    )
    room: RoomEstimator = attrs.field(factory=RoomEstimator)
    signals: RoomSignals = attrs.field(factory=RoomSignals)
    _room_header: bytes = b""
    _room_header_until: float = -float("inf")
    _newest_order: tuple[int, int] = (-1, -1)
    _last_report: BackendReport | None = None
    _older_reports: _OlderReports | None = None
    # Start of the latest boot that has departed, by instance id.
    _departed_starts: dict[str, int] = attrs.field(factory=dict)
    # Order of the latest report that an instance leaves, by instance id.
    _leaving_orders: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    _reported_at: float = -float("inf")
    _down_until: float = -float("inf")
    _pool: ConnectionPool | None = None

    @property
    def service(self) -> str:
        """Service of the backend server; empty when it takes no new work."""
        report = self.report
        if report is None or report.is_leaving or self._is_report_overdue():
            return ""
        return report.service

    @property
    def connections_opened(self) -> int:
        """Connections opened to the current address of the backend server."""
        return self._pool.opened if self._pool is not None else 0

    def list_signals(self) -> list[RoomSignal]:
        """Returns the room of the own service and the known room of others."""
        position = self.room.get_announced(trio.current_time())
        signals = self.signals.list_signals()
        if position is None and not signals:
            return signals
        service = self.service
        others = [signal for signal in signals if signal.service != service]
        if position is None and len(others) < len(signals):
            # Other servers of the service are full, but not this one.
            position = self.room.get_end()
        if position is None or not service:
            return signals
        return [RoomSignal(service, position, 0.0), *others]

    def get_room_header(self) -> bytes:
        """Returns the room of all known services for the header of a reply.

        It is encoded anew only after a while: at a full service, it would take a good
        part of the processor time of a call.

        :returns: empty when none is known.
        """
        now = trio.current_time()
        if now >= self._room_header_until:
            self._room_header_until = now + ROOM_HEADER_SECONDS
            self._room_header = encode_signals(self.list_signals(), ROOM_HEADER_SECONDS)
        return self._room_header

    def set_retry_ratio(self, ratio: float) -> None:
        """Sets the retries allowed for each call, over all nodes."""
        self.allocator.ratio = ratio * NOT_RUN_SHARE

    def apply_report(self, report: BackendReport) -> None:
        """Applies a report unless a newer one has arrived.

        An instance that has departed returns only with a new start time. An older
        report counts if its server is the only one that still reports, since the
        newer one may come from a faulty writer.
        """
        now = trio.current_time()
        if self._has_departed(report) or not self._is_newest(report, now):
            log_decision(
                "report-ignored",
                instance=report.instance_id,
                order=report.order,
                known=self._newest_order,
            )
            return
        previous = self.report
        self._newest_order = report.order
        self._older_reports = None
        if report.is_leaving:
            _remember(self._leaving_orders, report.instance_id, report.order)
        self._reported_at = now
        self.report = self._last_report = report
        self._down_until = now
        if previous is None or previous.address != report.address:
            self._replace_pool(report.address)
        if previous is not None and previous.started_ms != report.started_ms:
            self.guard.record_restart()
            self.limiter.capacity.reset()
        self.limiter.set_capacity(report.slots, now + report.warm_in)
        is_changed = previous is None or (
            previous.instance_id,
            previous.is_leaving,
            previous.started_ms,
        ) != (report.instance_id, report.is_leaving, report.started_ms)
        if is_changed:
            log_decision(
                "backend-changed",
                instance=report.instance_id,
                service=report.service,
                leaving=report.is_leaving,
                slots=report.slots,
                order=report.order,
            )
        # Slots and the end of the warm-up may change with each report.
        self._publish_change()

    def _has_departed(self, report: BackendReport) -> bool:
        """Returns true when a report is from before the departure of its server."""
        departed_start = self._departed_starts.get(report.instance_id, -1)
        leaving_order = self._leaving_orders.get(report.instance_id, (-1, -1))
        return report.started_ms <= departed_start or report.order <= leaving_order

    def _is_newest(self, report: BackendReport, now: float) -> bool:
        if report.order > self._newest_order:
            return True
        older = self._older_reports
        is_next = older is not None and (
            older.latest.instance_id == report.instance_id
            and older.latest.started_ms == report.started_ms
            and older.latest.sequence < report.sequence
        )
        older = (
            _OlderReports(report, older.since, older.count + 1)
            if is_next
            else _OlderReports(report, now)
        )
        self._older_reports = older
        return (
            older.count >= OUTLASTING_REPORTS
            and now - older.since >= OUTLASTING_SECONDS
        )

    def restore_leaving(self, instance_id: str, order: tuple[int, int]) -> None:
        """Ignores reports up to the one by which a backend server began to leave.

        :param order: :attr:`BackendReport.order` of that report.
        """
        known = self._leaving_orders.get(instance_id, order)
        _remember(self._leaving_orders, instance_id, max(known, order))
        self._stop_if_departed(instance_id)

    def restore_departure(self, instance_id: str, started_ms: int) -> None:
        """Ignores reports of a start that departed before the node started.

        :param started_ms: Unix time of that start, milliseconds.
        """
        known_start = self._departed_starts.get(instance_id, started_ms)
        _remember(self._departed_starts, instance_id, max(known_start, started_ms))
        self._stop_if_departed(instance_id)

    def _stop_if_departed(self, instance_id: str) -> None:
        """Sends no new work to a server whose report was applied unknowingly."""
        report = self.report
        if report is None or report.instance_id != instance_id or report.is_leaving:
            return
        if self._has_departed(report):
            log_decision("backend-departed", instance=instance_id)
            self.report = attrs.evolve(report, is_leaving=True)
            self._publish_change()

    def apply_departure(self, instance_id: str, started_ms: int = 0) -> int | None:
        """Stops sending new work to a backend server that has deregistered.

        :param started_ms: Unix time of its start, milliseconds; 0 when unknown, which
            means the latest known start.
        :returns: the start that has departed, None when the notice is ignored.
        """
        report = self._last_report
        is_known = report is not None and report.instance_id == instance_id
        known_start = report.started_ms if is_known else 0
        if 0 < started_ms < known_start or not (is_known or started_ms):
            log_decision(
                "departure-ignored",
                instance=instance_id,
                started=started_ms,
                known=known_start,
            )
            return None
        # The departure may have overtaken the first report of its start.
        departed_start = max(started_ms, known_start)
        _remember(self._departed_starts, instance_id, departed_start)
        if not is_known:
            log_decision(
                "departure-noted", instance=instance_id, started=departed_start
            )
            return departed_start
        log_decision("backend-departed", instance=instance_id)
        if self.report is not None:
            self.report = attrs.evolve(report, is_leaving=True)
            self._publish_change()
        return departed_start

    def expire_stale(self, now: float) -> None:
        """Closes idle connections and drops a backend server whose report is overdue.

        :param now: trio clock, seconds.
        """
        if self._pool is not None:
            self._pool.drop_idle(now)
        if self.report is not None and self._is_report_overdue():
            log_decision("backend-silent", instance=self.report.instance_id)
            self.report = None
            self._publish_change()

    async def send(self, outgoing: OutgoingCall) -> Reply:
        """Sends a call to the backend server once it has a slot.

        :returns: the reply; the slot is held until :attr:`Reply.finish` is called.
        """
        refusal = self._find_refusal(outgoing)
        if refusal is None:
            self._record_arrival(outgoing.call)
            try:
                refusal = await self._acquire(outgoing.call)
            except RefusedError as error:
                refusal = create_refusal(error.code, load=self.limiter.load)
        if refusal is not None:
            return refusal
        reply = None
        try:
            # The backend server may have left while the call waited for a slot.
            reply = self._find_refusal(outgoing) or await self._send_request(outgoing)
            return reply
        finally:
            if reply is None or reply.finish is do_nothing:
                self.limiter.release(None)

    async def _acquire(self, call: Call) -> Reply | None:
        """Acquires a slot, or returns a refusal if the deadline passes first.

        :raises RefusedError: when the call cannot be answered in time.
        """
        if self.limiter.try_acquire(call):
            return None
        with trio.move_on_at(call.deadline):
            await self.limiter.acquire(call)
            return None
        return create_refusal("deadline", load=self.limiter.load)

    def _find_refusal(self, outgoing: OutgoingCall) -> Reply | None:
        """Returns a refusal if the call must not reach the backend server."""
        service = self.service
        if not service:
            return create_refusal("leaving" if self.report else "no-backend")
        if service != outgoing.call.service:
            return create_refusal("other-service")
        now = trio.current_time()
        if now < self._down_until:
            return create_refusal("backend-down")
        if outgoing.call.deadline <= now:
            return create_refusal("deadline")
        if outgoing.is_key_withdrawn:
            return create_refusal(WITHDRAWN_KEY_ERROR)
        seconds = self.guard.find_block(outgoing)
        if seconds:
            return _create_block_refusal(seconds, self.limiter.load)
        return None

    async def _send_request(self, outgoing: OutgoingCall) -> Reply:
        pool, call = self._pool, outgoing.call
        self.allocator.record_call(call.importance)
        outgoing.sent_to.add(self.report.instance_id)
        start = trio.current_time()
        headers = self._create_headers(call)
        self.guard.record_start(outgoing)
        running = self.running.start(outgoing.request_id, call)
        capacity = self.limiter.capacity
        measurement = capacity.start(_find_kind(outgoing), self.limiter.in_use)
        try:
            connection, response = await pool.exchange(
                encode_outgoing_call(outgoing, headers, self._names),
                RESPONSE_BUFFER_BYTES,
                max_idle=_find_max_idle(outgoing),
                is_retryable=outgoing.is_retryable,
            )
        except TransferError as error:
            capacity.finish(measurement, is_served=False)
            if error.may_have_run and error.code in _ENDED_CODES:
                await self.guard.record_break(pool.address, outgoing, start)
            return self._create_failure(outgoing, error)
        finally:
            self.running.finish(outgoing.request_id, running)
        is_not_run = self._is_marked_not_run(response)
        is_success = response.status < _FIRST_ERROR and not is_not_run
        capacity.finish(measurement, is_served=is_success)
        if not response.is_certain and (is_not_run or connection.echoes_ids):
            return self._reject(outgoing, connection, "unidentified-response")
        if not is_not_run:
            self.guard.record_answer(outgoing)
        is_promise = response.status in _REFUSAL_STATUSES
        if is_promise and not (is_not_run or call.is_idempotent):
            return self._reject(outgoing, connection, "unmarked-refusal")
        allowance = self._record_rejection(call) if is_not_run else None
        is_served = not is_not_run and response.status < _FIRST_SERVER_ERROR
        seconds = trio.current_time() - start if is_served else None

        def finish() -> None:
            if outgoing.request_id is None:
                connection.must_close = True
            pool.return_connection(connection)
            self.limiter.release(seconds)
            if seconds is not None:
                self.room.record_hold(call, seconds)

        return create_reply(
            connection,
            response,
            Outcome.NOT_RUN if is_not_run else Outcome.RAN,
            error="backend-shed" if is_not_run else "",
            load=self.limiter.load,
            finish=finish,
            retry_allowance=allowance,
            reached=running.reached,
        )

    def _record_arrival(self, call: Call) -> None:
        limiter = self.limiter
        self.room.record_arrival(
            call, trio.current_time(), limiter.load, limiter.mean_service_seconds
        )

    def _reject(
        self, outgoing: OutgoingCall, connection: ClientConnection, code: str
    ) -> Reply:
        """Creates the reply for a response that must not be passed on."""
        connection.close()
        text = "the response is not passed on"
        error = TransferError(text, may_have_run=True, code=code)
        return self._create_failure(outgoing, error)

    def _record_rejection(self, call: Call) -> float:
        """Records a rejected call and returns the retries allowed for its rank."""
        self.allocator.record_rejection(call.importance)
        return self.allocator.compute_allowance(call.importance)

    def _is_marked_not_run(self, response: Response) -> bool:
        is_marked = (
            response.status >= _FIRST_ERROR
            and response.find(self._names.not_run.lower()) is not None
        )
        return is_marked or response.status == _MISDIRECTED_REQUEST

    def _create_failure(self, outgoing: OutgoingCall, error: TransferError) -> Reply:
        load = self.limiter.load
        if not error.may_have_run:
            self._down_until = trio.current_time() + CONNECT_RETRY_SECONDS
            log_decision("backend-unreachable", error=str(error))
            return create_refusal("backend-unreachable", load=load)
        log_decision("backend-broke-off", request=outgoing.request_id, error=error.code)
        outcome = Outcome.MAY_HAVE_RUN
        return create_refusal(error.code, outcome, status=502, load=load)

    def _create_headers(self, call: Call) -> Headers:
        names = self._names
        remaining_ms = max(1, int((call.deadline - trio.current_time()) * 1e3))
        headers = [
            (names.deadline_ms, b"%d" % remaining_ms),
            (names.instance, self.report.instance_id.encode()),
            (names.caller, call.caller.encode()),
        ]
        if call.is_keyed:
            headers.append((names.organisation, call.organisation.encode()))
        return headers

    def _is_report_overdue(self) -> bool:
        return trio.current_time() - self._reported_at > REPORT_TIMEOUT_SECONDS

    def _replace_pool(self, address: Address) -> None:
        if self._pool is not None:
            self._pool.close()
        self._pool = ConnectionPool(address, self.account)

    def _publish_change(self) -> None:
        if not self.service:
            self.limiter.refuse_waiting("leaving")
        self._on_change()


def _remember(values: dict, key: str, value: object) -> None:
    """Stores a value as the latest one and forgets the oldest of too many."""
    values.pop(key, None)
    values[key] = value
    if len(values) > _MAX_REMEMBERED_SERVERS:
        del values[next(iter(values))]


def _find_kind(outgoing: OutgoingCall) -> Hashable:
    """Returns what calls have in common that take a similar time."""
    call = outgoing.call
    path = outgoing.target.partition(b"?")[0]
    folder = path.split(b"/", 2)[1:2]
    return call.target_latency, call.rank, call.is_nested, outgoing.method, *folder


def _find_max_idle(outgoing: OutgoingCall) -> float:
    """Returns the longest idle time of a connection for a call, seconds.

    A request without an id has a connection of its own, since its response cannot be
    told from those to other requests.
    """
    if outgoing.request_id is None:
        return 0.0
    is_idempotent = outgoing.call.is_idempotent
    return MAX_IDLE_SECONDS if is_idempotent else NON_IDEMPOTENT_IDLE_SECONDS


def _create_block_refusal(seconds: float, load: Load) -> Reply:
    refusal = create_refusal(BLOCKED_ERROR, load=load)
    return attrs.evolve(
        refusal, headers=[(RETRY_AFTER_HEADER, b"%d" % math.ceil(seconds))]
    )


def create_backend_server(
    names: HeaderNames,
    on_change: Callable[[], None],
    retry_ratio: float = DEFAULT_RETRY_RATIO,
    account: MemoryAccount | None = None,
) -> BackendServer:
    """Creates a backend server that has not reported yet.

    :param on_change: called when it starts or stops taking work, or is replaced.
    :param retry_ratio: retries allowed for each call, over all nodes.
    :param account: memory held for the connections of the process.
    """
    backend = BackendServer(names, on_change, account)
    backend.set_retry_ratio(retry_ratio)
    return backend
