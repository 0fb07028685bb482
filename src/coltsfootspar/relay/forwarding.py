"""The way of a request from its caller to a backend server and back."""

import math
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
import trio

from coltsfootspar.calls import Outcome
from coltsfootspar.exceptions import TooLargeError, TransferError
from coltsfootspar.logs import log_decision
from coltsfootspar.relay.backend import BUFFER_BYTES, BackendServer
from coltsfootspar.relay.calls import (
    CALL_HEADER,
    ERROR_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    Call,
    HeaderNames,
    OutgoingCall,
    PriorityClass,
    Reply,
    create_refusal,
    create_reply,
    decode_load,
    encode_call_header,
)
from coltsfootspar.relay.client import ClientConnection, ConnectionPool, OutgoingRequest
from coltsfootspar.relay.messages import Response
from coltsfootspar.relay.outgoing import create_outgoing, encode_outgoing
from coltsfootspar.relay.placement import Placement
from coltsfootspar.relay.receiving import deliver
from coltsfootspar.relay.repeats import RepeatBudget
from coltsfootspar.relay.server import Exchange
from coltsfootspar.relay.shares import ShareKeeper
from coltsfootspar.routes import Route, RouteMatcher
from coltsfootspar.routing import Candidate
from coltsfootspar.wire import Address

__all__ = ["Forwarder", "NodeDirectory", "RelayCounters"]

# Time after the deadline in which the answer of another node may arrive.
NODE_MARGIN = 0.1
# Nodes that are asked before a call is refused. Only nodes that were sure that
# the call had not run are followed by another one.
MAX_NODES = 4
# Sent with each refusal, seconds.
RETRY_AFTER = b"0.5"
_DEFAULT_DEADLINE_SECONDS = 30.0
_SERVER_ERROR = 500
# Errors of a node that say nothing of its backend server's load.
_ABSENCE_ERRORS = frozenset(
    {"no-backend", "leaving", "other-service", "backend-down", "backend-unreachable"}
)


class NodeDirectory(Protocol):
    """Nodes of the deployment."""

    def list_candidates(self, service: str) -> Sequence[Candidate]:
        """Lists the reachable nodes whose backend server offers a service."""

    def find_address(self, node_id: str) -> Address | None:
        """Returns where a node takes calls of other nodes."""


class RouteView(Protocol):
    """The routes in force."""

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""

    @property
    def matcher(self) -> RouteMatcher:
        """Routes in force."""


@attrs.define(eq=False)
class RelayCounters:
    """Counts for the metrics page.

    :param served: requests of callers that got an answer of a backend server.
    :param refused: requests that were refused and have not run.
    :param failed: requests that failed for another reason.
    :param begun: calls of requests that the own backend server has begun.
    :param repeats: calls that were sent to a second backend server.
    :param observe_seconds: takes the time to the answer of each served request,
        seconds.
    """

    served: int = 0
    refused: int = 0
    failed: int = 0
    begun: int = 0
    repeats: int = 0
    observe_seconds: Callable[[float], None] = lambda seconds: None


@attrs.define(eq=False)
class _Trial:
    """The nodes that one request was sent to.

    :param sent: backend servers that may have got it.
    :param may_have_run: true once one of them may have run it.
    :param error: why the last node did not answer it.
    :param failure: failure that a backend server has answered with.
    """

    tried: set[str] = attrs.field(factory=set)
    sent: int = 0
    may_have_run: bool = False
    error: str = "no-candidate"
    failure: Reply | None = None


@attrs.define(eq=False)
class Forwarder:
    """Sends requests of callers on the own host to backend servers."""

    _node_id: str
    _host: str
    _service: str
    _routes: RouteView
    _directory: NodeDirectory
    _placement: Placement
    _budget: RepeatBudget
    _shares: ShareKeeper
    _backend: BackendServer
    _names: HeaderNames
    counters: RelayCounters = attrs.field(factory=RelayCounters)
    _pools: dict[Address, ConnectionPool] = attrs.field(factory=dict)

    async def handle(self, exchange: Exchange) -> None:
        """Answers a request of a caller."""
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
        call = self._create_call(exchange, route)
        try:
            outgoing = await create_outgoing(exchange, call, self._names)
        except TooLargeError:
            await exchange.answer(413, [], b"")
            return
        await self._forward(exchange, route, outgoing)

    def drop_idle(self, now: float) -> None:
        """Closes connections that are not used any more."""
        for address in list(self._pools):
            self._pools[address].drop_idle(now)

    def set_repeat_limits(self, ratio: float, fixed: float) -> None:
        """Sets the budget of repeats; see :func:`create_repeat_budget`."""
        self._budget.ratio, self._budget.fixed = ratio, fixed

    def forget_nodes(self, present: set[str]) -> None:
        """Drops what is known of nodes that are gone.

        :param present: ids of the nodes that are still there.
        """
        self._placement.forget_absent(present)
        self._budget.nodes = len(present)

    def _create_call(self, exchange: Exchange, route: Route) -> Call:
        request = exchange.request
        # Callers come from other hosts; the own host's calls are those of requests
        # that the backend server has begun.
        is_begun = exchange.caller_host == self._host
        self.counters.begun += is_begun
        left = parse_milliseconds(request.find(self._names.deadline_ms.lower()))
        seconds = min(route.timeout, left or _DEFAULT_DEADLINE_SECONDS)
        return Call(
            service=self._shares.choose(route),
            deadline=request.arrived + seconds,
            rank=route.rank,
            is_idempotent=route.is_idempotent,
            priority_class=PriorityClass.NESTED if is_begun else PriorityClass.NEW,
            target_latency=route.target_latency,
            caller=self._service,
        )

    async def _forward(
        self, exchange: Exchange, route: Route, outgoing: OutgoingCall
    ) -> None:
        trial = _Trial()
        exchange.set_deadline(
            outgoing.call.deadline + NODE_MARGIN,
            lambda: self._fail(exchange, outgoing, trial, is_late=True),
        )
        self._budget.record_request(outgoing.call.service)
        while await self._try_node(exchange, route, outgoing, trial):
            pass
        exchange.clear_deadline()
        if not exchange.has_answered:
            await self._fail(exchange, outgoing, trial, is_late=False)

    async def _try_node(
        self,
        exchange: Exchange,
        route: Route,
        outgoing: OutgoingCall,
        trial: _Trial,
    ) -> bool:
        """Sends a request to one node.

        :returns: true when another node should be tried.
        """
        service = outgoing.call.service
        candidates = self._directory.list_candidates(service)
        candidate = self._placement.choose(candidates, trial.tried)
        if candidate is None or len(trial.tried) >= MAX_NODES:
            return False
        if trial.sent:
            self.counters.repeats += 1
        trial.tried.add(candidate.node_id)
        reply = await self._send(candidate, outgoing)
        try:
            if not self._is_final(route, outgoing, trial, reply):
                return True
            exchange.clear_deadline()
            if reply.outcome is Outcome.RAN:
                self.counters.served += 1
                elapsed = trio.current_time() - exchange.request.arrived
                self.counters.observe_seconds(elapsed)
                await deliver(exchange, reply, reply.headers)
            return False
        finally:
            reply.finish()

    def _is_final(
        self, route: Route, outgoing: OutgoingCall, trial: _Trial, reply: Reply
    ) -> bool:
        """Tells whether a reply ends the request, and notes what it says."""
        if reply.outcome is Outcome.RAN and reply.status < _SERVER_ERROR:
            return True
        trial.error = reply.error or str(reply.status)
        if reply.outcome is Outcome.NOT_RUN:
            if reply.error != "backend-shed":
                return False
            trial.sent += 1
            return not self._may_repeat(route, outgoing.call, trial)
        trial.sent += 1
        trial.may_have_run = True
        if reply.outcome is Outcome.RAN and reply.read is None:
            trial.failure = reply
        return not (
            outgoing.is_repeatable and self._may_repeat(route, outgoing.call, trial)
        )

    def _may_repeat(self, route: Route, call: Call, trial: _Trial) -> bool:
        return (
            trial.sent < route.attempts
            and self._has_time(call)
            and self._has_other(call.service, trial)
            and self._budget.take(call.service, may_have_run=trial.may_have_run)
        )

    def _has_time(self, call: Call) -> bool:
        return call.deadline - trio.current_time() > call.target_latency * 0.1

    def _has_other(self, service: str, trial: _Trial) -> bool:
        candidates = self._directory.list_candidates(service)
        return self._placement.choose(candidates, trial.tried) is not None

    async def _send(self, candidate: Candidate, outgoing: OutgoingCall) -> Reply:
        """Sends a call to a node and notes how the node did."""
        start = trio.current_time()
        reply = None
        self._placement.record_start(candidate)
        try:
            if candidate.node_id == self._node_id:
                reply = await self._backend.send(outgoing)
            else:
                reply = await self._send_to_peer(candidate.node_id, outgoing)
            return reply
        finally:
            elapsed = trio.current_time() - start
            self._note_reply(candidate, outgoing.call, reply, elapsed)

    def _note_reply(
        self, candidate: Candidate, call: Call, reply: Reply | None, elapsed: float
    ) -> None:
        """Notes the end of a call.

        :param reply: None when the call was cancelled; it was at least this slow.
        """
        load = reply.load if reply is not None else None
        seconds = elapsed
        if reply is not None:
            is_unresponsive = load is None
            if reply.outcome is Outcome.NOT_RUN or is_unresponsive:
                seconds = None
            elif reply.status >= _SERVER_ERROR:
                # A server that fails at once must not look like the fastest one.
                seconds = max(elapsed, call.target_latency)
            if reply.error in _ABSENCE_ERRORS or is_unresponsive:
                self._placement.eject(candidate, is_unresponsive=is_unresponsive)
        self._placement.record_end(candidate, seconds, load)

    async def _send_to_peer(self, node_id: str, outgoing: OutgoingCall) -> Reply:
        address = self._directory.find_address(node_id)
        if address is None:
            return create_refusal("no-address")
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(address, checks_input=False)
            self._pools[address] = pool
        try:
            connection, response = await pool.exchange(
                self._encode(outgoing),
                BUFFER_BYTES,
                is_repeatable=outgoing.is_repeatable,
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
        return encode_outgoing(outgoing, [(CALL_HEADER, call_header)], self._names)

    async def _fail(
        self,
        exchange: Exchange,
        outgoing: OutgoingCall,
        trial: _Trial,
        *,
        is_late: bool,
    ) -> None:
        """Answers a request that no backend server has answered well."""
        if trial.failure is not None:
            self.counters.failed += 1
            await deliver(exchange, trial.failure, trial.failure.headers)
            return
        if is_late:
            is_over = trio.current_time() >= outgoing.call.deadline
            trial.error = "deadline" if is_over else "stopping"
        elif not trial.may_have_run:
            await self._refuse(exchange, trial.error, outgoing)
            return
        self.counters.failed += 1
        is_timeout = is_late or trial.error == "backend-timeout"
        status = 504 if is_timeout else 502
        log_decision(
            "failed",
            request=outgoing.request_id,
            service=outgoing.call.service,
            error=trial.error,
            nodes=sorted(trial.tried),
            status=status,
            version=self._routes.version,
        )
        headers = [(OUTCOME_HEADER, Outcome.MAY_HAVE_RUN.encode())]
        await exchange.answer(status, headers, b"")

    async def _refuse(
        self, exchange: Exchange, error: str, outgoing: OutgoingCall | None = None
    ) -> None:
        self.counters.refused += 1
        request = exchange.request
        log_decision(
            "refused",
            request=request.find(self._names.request_id.lower()),
            service=outgoing.call.service if outgoing else "",
            error=error,
            version=self._routes.version,
        )
        headers = [
            (b"Retry-After", RETRY_AFTER),
            (OUTCOME_HEADER, Outcome.NOT_RUN.encode()),
            (ERROR_HEADER, error.encode()),
        ]
        await exchange.answer(503, headers, b"")


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
        finish=lambda: pool.give_back(connection),
    )


def parse_milliseconds(value: bytes | None) -> float | None:
    """Parses a time in milliseconds.

    :returns: the time in seconds; None when it is missing or malformed.
    """
    try:
        milliseconds = float(value) if value is not None else 0.0
    except ValueError:
        return None
    return milliseconds / 1e3 if 0 < milliseconds < math.inf else None
