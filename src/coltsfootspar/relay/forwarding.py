"""Forwarding of requests from local callers to backend servers."""

import math
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
import trio

from coltsfootspar.calls import Outcome, find_header
from coltsfootspar.exceptions import RefusedError, TooLargeError, TransferError
from coltsfootspar.logs import log_decision
from coltsfootspar.memory import MemoryAccount
from coltsfootspar.relay.backend import RESPONSE_BUFFER_BYTES, BackendServer
from coltsfootspar.relay.calls import (
    BLOCKED_ERROR,
    CALL_HEADER,
    ERROR_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    REACHED_HEADER,
    RETRIES_HEADER,
    RETRY_AFTER_HEADER,
    ROOM_HEADER,
    Call,
    HeaderNames,
    OutgoingCall,
    PriorityClass,
    Reply,
    compute_bucket,
    create_refusal,
    create_reply,
    decode_allowance,
    decode_load,
    encode_call_header,
    inherit,
)
from coltsfootspar.relay.calltrees import decode_reached
from coltsfootspar.relay.client import ClientConnection, ConnectionPool, OutgoingRequest
from coltsfootspar.relay.exchanges import Exchange
from coltsfootspar.relay.gates import (
    EntryGate,
    OpenEntryGate,
    QuotaGate,
    UnlimitedQuotaGate,
)
from coltsfootspar.relay.identification import (
    UNAUTHORIZED,
    WITHDRAWN_KEY_ERROR,
    Identifier,
    KeyView,
    find_refusal_status,
)
from coltsfootspar.relay.messages import Request, Response
from coltsfootspar.relay.nesting import Origin, OriginClassifier
from coltsfootspar.relay.outgoing import create_outgoing_call, encode_outgoing_call
from coltsfootspar.relay.placement import Placement
from coltsfootspar.relay.receiving import release_reply, send_reply
from coltsfootspar.relay.retries import RetryBudget
from coltsfootspar.relay.roomsignals import decode_signals
from coltsfootspar.relay.running import RunningCall
from coltsfootspar.relay.splitting import TrafficSplitter
from coltsfootspar.routes import Organisation, Route, RouteMatcher
from coltsfootspar.routing import Candidate
from coltsfootspar.wire import Address

__all__ = ["Forwarder", "NodeDirectory", "RelayCounters"]

# How long after the deadline the reply of another node may still arrive.
PEER_GRACE_SECONDS = 0.1
# How long after the caller's deadline a body may still be streamed to it.
STREAMING_GRACE_SECONDS = 0.5
# Most nodes that one request is sent to. Outside the retry budget, another node is
# tried only if the last one reported that the call has not run.
MAX_NODES_PER_REQUEST = 4
# Value of the Retry-After header of refusals.
RETRY_AFTER_SECONDS = b"0.5"
# The same for a node that stops: callers of its host reach no other node, and it is
# back after about this time.
STOPPING_RETRY_AFTER_SECONDS = b"1"
_DEFAULT_DEADLINE_SECONDS = 30.0
_FIRST_SERVER_ERROR = 500
# Errors of a node without an available backend server for the service; they say
# nothing about its load.
_UNAVAILABLE_ERRORS = frozenset(
    {"no-backend", "leaving", "other-service", "backend-down", "backend-unreachable"}
)


class NodeDirectory(Protocol):
    """Looks up the nodes of the deployment."""

    def list_candidates(self, service: str) -> Sequence[Candidate]:
        """Lists the reachable nodes whose backend server offers a service."""

    def find_address(self, node_id: str) -> Address | None:
        """Returns the address at which a node accepts calls from other nodes."""


class RouteView(KeyView, Protocol):
    """Provides the routes and keys in force."""

    @property
    def version(self) -> int:
        """Version of the routes in force; 0 before the first."""

    @property
    def matcher(self) -> RouteMatcher:
        """Matcher of the routes in force."""


@attrs.define(eq=False)
class RelayCounters:
    """Counters for the metrics page.

    :param served: requests that a backend server responded to.
    :param refused: requests that were refused and have not run.
    :param failed: requests that failed for another reason.
    :param nested: calls that the local backend server made while serving a request.
    :param retries: attempts sent after an earlier one may have reached a backend
        server.
    :param observe_seconds: called with the latency of each served request, seconds.
    """

    served: int = 0
    refused: int = 0
    failed: int = 0
    nested: int = 0
    retries: int = 0
    observe_seconds: Callable[[float], None] = lambda seconds: None


@attrs.define(eq=False)
class _RequestState:
    """Progress of one request over the nodes that it was sent to.

    :param tried: ids of these nodes.
    :param backend_attempts: attempts that may have reached a backend server.
    :param may_have_run: true once a backend server may have run the request.
    :param error: error code or status of the latest failed attempt.
    :param error_reply: latest complete error response of a backend server.
    :param retry_after: value of the Retry-After header of a refusal.
    """

    tried: set[str] = attrs.field(factory=set)
    backend_attempts: int = 0
    may_have_run: bool = False
    error: str = "no-candidate"
    error_reply: Reply | None = None
    retry_after: bytes = RETRY_AFTER_SECONDS


@attrs.define(eq=False)
class Forwarder:
    """Forwards requests of callers to backend servers, with retries.

    :param node_id: id of the local node.
    :param host: IP address of the local host, from which backend servers call.
    :param service: service of the local node, sent along as the caller.
    :param ends_at: when the node ends the requests in progress, trio clock, seconds. A
        request with a later deadline is refused unless it may have run already.
    :param entry_gate: refuses new requests for which there is no room further on.
    :param quota_gate: keeps organisations within their rates.
    :param identifier: looks up the organisation of a request by its key.
    :param account: memory held for the connections of the process.
    """

    _node_id: str
    _host: str
    _service: str
    _routes: RouteView
    _directory: NodeDirectory
    _placement: Placement
    _retry_budget: RetryBudget
    _splitter: TrafficSplitter
    _backend: BackendServer
    _names: HeaderNames
    account: MemoryAccount | None = None
    counters: RelayCounters = attrs.field(factory=RelayCounters)
    ends_at: float = math.inf
    entry_gate: EntryGate = attrs.field(factory=OpenEntryGate)
    quota_gate: QuotaGate = attrs.field(factory=UnlimitedQuotaGate)
    identifier: Identifier = attrs.field(init=False)
    _pools: dict[Address, ConnectionPool] = attrs.field(factory=dict)
    _origins: OriginClassifier = attrs.field(factory=OriginClassifier)

    @identifier.default
    def _create_identifier(self) -> Identifier:
        return Identifier(self._routes)

    async def handle(self, exchange: Exchange) -> None:
        """Routes a caller's request and responds to it."""
        request = exchange.request
        host = (request.find(b"host") or b"").decode("latin-1")
        path = request.target.decode("latin-1")
        if self._routes.version == 0:
            await self._refuse(exchange, "no-routes")
            return
        route = self._routes.matcher.find(host, path)
        if route is None:
            log_decision("no-route", host=host, path=path, version=self._routes.version)
            await exchange.answer(404, [], b"")
            return
        if exchange.is_behind and not route.is_idempotent:
            await self._wait_for_turn(exchange)
            # What is in force may have changed in the meantime.
            await self.handle(exchange)
            return
        try:
            identity = self.identifier.identify(
                route, request.find(self._names.key.lower())
            )
        except RefusedError as error:
            await self._refuse(exchange, error.code)
            return
        organisation = identity.organisation if identity is not None else None
        call = self._create_call(exchange, route, organisation)
        if exchange.turn is not None and trio.current_time() >= call.deadline:
            await self._refuse(exchange, "deadline")
            return
        if not self._ends_in_time(call):
            await self._refuse(exchange, "stopping")
            return
        if not await self._pass_gates(exchange, route, call, organisation):
            return
        if not request.is_complete:
            exchange.set_deadline(
                math.inf, lambda: self._refuse(exchange, exchange.cancel_reason)
            )
        try:
            outgoing = await create_outgoing_call(exchange, call, self._names, identity)
        except TooLargeError:
            await exchange.answer(413, [], b"")
            return
        await self._forward(exchange, route, outgoing, organisation)

    async def _wait_for_turn(self, exchange: Exchange) -> None:
        """Delays a request that must not run twice until those before it are answered.

        A caller sends it again if the connection ends before.
        """
        exchange.set_deadline(
            math.inf, lambda: self._refuse(exchange, exchange.cancel_reason)
        )
        await exchange.wait_for_turn()

    async def _pass_gates(
        self,
        exchange: Exchange,
        route: Route,
        call: Call,
        organisation: Organisation | None,
    ) -> bool:
        """Refuses a request for which there is no room or no allowance.

        :returns: false when the request was refused.
        """
        if not call.is_nested:
            seconds = self.entry_gate.find_refusal(route, call)
            if seconds is not None:
                await self._refuse(exchange, "no-room", retry_after=b"%.3f" % seconds)
                return False
        if organisation is None:
            return True
        try:
            seconds = await self.quota_gate.acquire(organisation)
        except RefusedError as error:
            await self._refuse(exchange, error.code)
            return False
        if seconds is None:
            return True
        await self._refuse(
            exchange,
            "over-quota",
            retry_after=b"%.3f" % seconds,
            status=429,
            organisation=organisation.name,
        )
        return False

    def drop_idle(self, now: float) -> None:
        """Closes connections to other nodes that are idle or have ended."""
        for address in list(self._pools):
            self._pools[address].drop_idle(now)

    def set_retry_limits(self, ratio: float, fixed: float) -> None:
        """Sets the retry budget; see :func:`create_retry_budget`."""
        self._retry_budget.ratio, self._retry_budget.fixed = ratio, fixed

    def update_nodes(self, present: set[str]) -> None:
        """Adapts the placement and the retry budget to the present members.

        :param present: ids of the nodes that are members.
        """
        self._placement.forget_absent(present)
        self._retry_budget.nodes = len(present)

    def _ends_in_time(self, call: Call) -> bool:
        return call.deadline + PEER_GRACE_SECONDS <= self.ends_at

    def _create_call(
        self, exchange: Exchange, route: Route, organisation: Organisation | None
    ) -> Call:
        request = exchange.request
        request_id = request.find(self._names.request_id.lower())
        parent = self._backend.running.find_parent(request_id)
        # Calls of backend servers carry no key.
        is_nested = organisation is None and self._is_nested(
            exchange, route, request_id, parent
        )
        self.counters.nested += is_nested
        remaining = self._find_remaining_seconds(request)
        seconds = min(route.timeout, remaining or _DEFAULT_DEADLINE_SECONDS)
        call = Call(
            service=self._splitter.choose(route),
            deadline=request.arrived_at + seconds,
            rank=route.rank,
            is_idempotent=route.is_idempotent,
            priority_class=PriorityClass.NESTED if is_nested else PriorityClass.NEW,
            target_latency=route.target_latency,
            caller=self._service,
            bucket=compute_bucket(request_id, self._names.id_separator),
        )
        if is_nested and parent:
            return inherit(call, parent.call)
        return _add_organisation(call, organisation)

    def _is_nested(
        self,
        exchange: Exchange,
        route: Route,
        request_id: bytes | None,
        parent: RunningCall | None,
    ) -> bool:
        """Returns true for a call that a backend server makes for a request."""
        if exchange.caller_host != self._host:
            return False
        origin = self._origins.classify(
            route.name,
            parent,
            has_id=request_id is not None,
            has_backend=self._backend.report is not None,
        )
        return origin is not Origin.CALLER

    async def _forward(
        self,
        exchange: Exchange,
        route: Route,
        outgoing: OutgoingCall,
        organisation: Organisation | None,
    ) -> None:
        state = _RequestState()
        exchange.set_deadline(
            outgoing.call.deadline + PEER_GRACE_SECONDS,
            lambda: self._respond_with_failure(exchange, outgoing, state, is_late=True),
        )
        call = outgoing.call
        self._retry_budget.record_request(call.service, call.importance)
        while await self._try_node(exchange, route, outgoing, state):
            pass
        exchange.clear_deadline()
        if organisation is not None and not state.backend_attempts:
            self.quota_gate.refund(organisation)
        if not exchange.has_answered:
            await self._respond_with_failure(exchange, outgoing, state, is_late=False)

    async def _try_node(
        self,
        exchange: Exchange,
        route: Route,
        outgoing: OutgoingCall,
        state: _RequestState,
    ) -> bool:
        """Sends a request to one node and responds to the caller if that succeeds.

        :returns: true when another node should be tried.
        """
        if not (state.may_have_run or self._ends_in_time(outgoing.call)):
            state.error = "stopping"
            return False
        if outgoing.is_key_withdrawn:
            state.error = WITHDRAWN_KEY_ERROR
            return False
        service = outgoing.call.service
        candidates = self._directory.list_candidates(service)
        candidate = self._placement.choose(candidates, state.tried)
        if candidate is None or len(state.tried) >= MAX_NODES_PER_REQUEST:
            return False
        if state.backend_attempts:
            self.counters.retries += 1
        state.tried.add(candidate.node_id)
        reply = await self._send(candidate, outgoing)
        self._backend.signals.record(reply.signals)
        self.entry_gate.record_reply(route, outgoing.call, reply)
        parent = self._backend.running.find_parent(outgoing.request_id)
        if parent is not None:
            parent.record_nested(outgoing.call.service, reply.reached)
        with release_reply(reply):
            if not self._is_final(route, outgoing, state, reply):
                return True
            exchange.clear_deadline()
            if reply.read is not None:
                self._limit_streaming(exchange)
            if reply.outcome is Outcome.RAN:
                self.counters.served += 1
                elapsed = trio.current_time() - exchange.request.arrived_at
                self.counters.observe_seconds(elapsed)
                await send_reply(exchange, reply, reply.headers)
            return False

    def _limit_streaming(self, exchange: Exchange) -> None:
        """Breaks off a body that has not ended soon after its caller's deadline.

        The timeout of the route does not end a response that is being delivered.
        """
        request = exchange.request
        remaining = self._find_remaining_seconds(request)
        if remaining is not None:
            deadline = request.arrived_at + remaining + STREAMING_GRACE_SECONDS
            exchange.set_deadline(deadline)

    def _find_remaining_seconds(self, request: Request) -> float | None:
        """Returns the time from the arrival of a request to its caller's deadline.

        :returns: seconds; None when the caller has sent none.
        """
        return parse_milliseconds(request.find(self._names.deadline_ms.lower()))

    def _is_final(
        self, route: Route, outgoing: OutgoingCall, state: _RequestState, reply: Reply
    ) -> bool:
        """Tells whether this is the last attempt, and updates the state."""
        if reply.outcome is Outcome.RAN and reply.status < _FIRST_SERVER_ERROR:
            state.backend_attempts += 1
            return True
        state.error = reply.error or str(reply.status)
        if reply.outcome is Outcome.NOT_RUN:
            if reply.error == BLOCKED_ERROR:
                value = find_header(reply.headers, RETRY_AFTER_HEADER)
                state.retry_after = value or RETRY_AFTER_SECONDS
                return True
            is_shed = reply.error == "backend-shed"
            state.backend_attempts += is_shed
            if not outgoing.has_whole_body:
                return True
            return is_shed and not self._may_retry(route, outgoing.call, state)
        state.backend_attempts += 1
        state.may_have_run = True
        if reply.outcome is Outcome.RAN and reply.read is None:
            state.error_reply = reply
        return not (
            outgoing.is_retryable and self._may_retry(route, outgoing.call, state)
        )

    def _may_retry(self, route: Route, call: Call, state: _RequestState) -> bool:
        return (
            state.backend_attempts < route.attempts
            and self._has_time(call)
            and self._has_untried_node(call.service, state)
            and self._retry_budget.try_spend(
                call.service, call.importance, may_have_run=state.may_have_run
            )
        )

    def _has_time(self, call: Call) -> bool:
        return call.deadline - trio.current_time() > call.target_latency * 0.1

    def _has_untried_node(self, service: str, state: _RequestState) -> bool:
        candidates = self._directory.list_candidates(service)
        return self._placement.choose(candidates, state.tried) is not None

    async def _send(self, candidate: Candidate, outgoing: OutgoingCall) -> Reply:
        """Sends a call to a node and records the result for the placement."""
        start = trio.current_time()
        reply = None
        self._placement.record_start(candidate)
        try:
            if candidate.node_id == self._node_id:
                reply = await self._backend.send(outgoing)
                self._backend.signals.record(tuple(self._backend.list_signals()))
            else:
                reply = await self._send_to_peer(candidate.node_id, outgoing)
            return reply
        finally:
            elapsed = trio.current_time() - start
            self._record_reply(candidate, outgoing.call, reply, elapsed)

    def _record_reply(
        self, candidate: Candidate, call: Call, reply: Reply | None, elapsed: float
    ) -> None:
        """Records the end of a call for the placement.

        :param reply: None when the call was cancelled; ``elapsed`` is then a lower
            bound of its latency.
        :param elapsed: time since the call was sent, seconds.
        """
        load = reply.load if reply is not None else None
        seconds = elapsed
        if reply is not None:
            is_unresponsive = load is None
            if reply.retry_allowance is not None:
                self._retry_budget.set_allowance(
                    call.service, call.importance, reply.retry_allowance
                )
            is_rejected = reply.error == "backend-shed"
            if not is_rejected and (
                reply.outcome is Outcome.NOT_RUN or is_unresponsive
            ):
                seconds = None
            elif is_rejected or reply.status >= _FIRST_SERVER_ERROR:
                # A server that rejects calls or fails at once must not rank as the
                # fastest one.
                seconds = max(elapsed, call.target_latency)
            if reply.error in _UNAVAILABLE_ERRORS or is_unresponsive:
                self._placement.eject(candidate, is_unresponsive=is_unresponsive)
        self._placement.record_end(candidate, seconds, load)

    async def _send_to_peer(self, node_id: str, outgoing: OutgoingCall) -> Reply:
        address = self._directory.find_address(node_id)
        if address is None:
            return create_refusal("no-address")
        outgoing.sent_to.add(node_id)
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(address, self.account)
            self._pools[address] = pool
        try:
            connection, response = await pool.exchange(
                self._encode(outgoing),
                RESPONSE_BUFFER_BYTES,
                is_retryable=outgoing.is_retryable,
            )
        except TransferError as error:
            log_decision(
                "node-broke-off" if error.may_have_run else "node-unreachable",
                request=outgoing.request_id,
                node=node_id,
                error=error.code,
            )
            outcome = Outcome.MAY_HAVE_RUN if error.may_have_run else Outcome.NOT_RUN
            return create_refusal(error.code, outcome, status=502)
        return _create_peer_reply(pool, connection, response)

    def _encode(self, outgoing: OutgoingCall) -> OutgoingRequest:
        call_header = encode_call_header(outgoing.call, trio.current_time())
        return encode_outgoing_call(outgoing, [(CALL_HEADER, call_header)], self._names)

    async def _respond_with_failure(
        self,
        exchange: Exchange,
        outgoing: OutgoingCall,
        state: _RequestState,
        *,
        is_late: bool,
    ) -> None:
        """Responds to a request that no backend server has served.

        Forwards the error response of a backend server, if there is one.

        :param is_late: true when the deadline has passed or the node stops.
        """
        if state.error_reply is not None:
            self.counters.failed += 1
            await send_reply(exchange, state.error_reply, state.error_reply.headers)
            return
        is_unsent = not is_late and not state.may_have_run
        if is_late:
            is_past_deadline = trio.current_time() >= outgoing.call.deadline
            state.error = "deadline" if is_past_deadline else exchange.cancel_reason
            is_unsent = not is_past_deadline and not outgoing.sent_to
        if is_unsent:
            await self._refuse(exchange, state.error, outgoing, state.retry_after)
            return
        self.counters.failed += 1
        is_timeout = is_late or state.error == "backend-timeout"
        status = 504 if is_timeout else 502
        log_decision(
            "failed",
            request=outgoing.request_id,
            service=outgoing.call.service,
            error=state.error,
            nodes=sorted(state.tried),
            status=status,
            version=self._routes.version,
        )
        headers = [(OUTCOME_HEADER, Outcome.MAY_HAVE_RUN.encode())]
        await exchange.answer(status, headers, b"")

    async def _refuse(
        self,
        exchange: Exchange,
        error: str,
        outgoing: OutgoingCall | None = None,
        retry_after: bytes = RETRY_AFTER_SECONDS,
        status: int | None = None,
        organisation: str = "",
    ) -> None:
        """Refuses a request that has not run.

        :param status: None chooses the one of the error.
        :param organisation: organisation whose rate is exceeded.
        """
        self.counters.refused += 1
        if error == WITHDRAWN_KEY_ERROR:
            self.identifier.withdrawn_keys += 1
        if status is None:
            status = find_refusal_status(error)
        request = exchange.request
        log_decision(
            "refused",
            request=request.find(self._names.request_id.lower()),
            service=outgoing.call.service if outgoing else "",
            error=error,
            status=status,
            organisation=organisation,
            version=self._routes.version,
        )
        if error == "stopping":
            retry_after = STOPPING_RETRY_AFTER_SECONDS
        headers = [
            (OUTCOME_HEADER, Outcome.NOT_RUN.encode()),
            (ERROR_HEADER, error.encode()),
        ]
        if status != UNAUTHORIZED:
            headers.append((RETRY_AFTER_HEADER, retry_after))
        await exchange.answer(status, headers, b"")


def _add_organisation(call: Call, organisation: Organisation | None) -> Call:
    """Returns the call for a request that carries a key of an organisation."""
    if organisation is None:
        return call
    return attrs.evolve(
        call,
        organisation=organisation.name,
        organisation_rank=organisation.rank,
        is_keyed=True,
    )


def _create_peer_reply(
    pool: ConnectionPool, connection: ClientConnection, response: Response
) -> Reply:
    outcome = response.find(OUTCOME_HEADER.lower())
    return create_reply(
        connection,
        response,
        Outcome(outcome.decode()) if outcome else Outcome.MAY_HAVE_RUN,
        error=(response.find(ERROR_HEADER.lower()) or b"").decode(),
        load=decode_load(response.find(LOAD_HEADER.lower())),
        retry_allowance=decode_allowance(response.find(RETRIES_HEADER.lower())),
        reached=decode_reached(response.find(REACHED_HEADER.lower())),
        signals=decode_signals(response.find(ROOM_HEADER.lower())),
        finish=lambda: pool.return_connection(connection),
    )


def parse_milliseconds(value: bytes | None) -> float | None:
    """Parses a positive number of milliseconds.

    :returns: seconds; None when the value is missing or malformed.
    """
    try:
        milliseconds = float(value) if value is not None else 0.0
    except ValueError:
        return None
    return milliseconds / 1e3 if 0 < milliseconds < math.inf else None
