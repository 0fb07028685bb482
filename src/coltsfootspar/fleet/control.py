"""Requests to the control address: status reports and changes of the routes."""

import math
from collections.abc import Awaitable, Callable

import attrs
import orjson

from coltsfootspar.exceptions import (
    MalformedRequestError,
    NoQuorumError,
    ReplicationError,
)
from coltsfootspar.fleet.departures import DepartureRecorder
from coltsfootspar.fleet.interfaces import (
    BackendDeparture,
    ControlRequest,
    ProtocolAdapter,
    RouteChange,
    RouteQuery,
)
from coltsfootspar.logs import log_decision
from coltsfootspar.memory import estimate_decoded_bytes
from coltsfootspar.relay import BackendReport, BackendServer, Exchange
from coltsfootspar.replication import ChangeStatus, ReplaceRoutes, ReplicationClient
from coltsfootspar.replication.commands import MAX_COMMAND_BYTES
from coltsfootspar.routes import check_routes, encode_routes
from coltsfootspar.wire import Address

__all__ = ["ControlHandler", "NodeControl", "ReplicaControl", "create_control_handler"]

# A replica stores the fields of a route table beside the document itself.
MAX_BODY_BYTES = MAX_COMMAND_BYTES // 2
PROPOSAL_TIMEOUT_SECONDS = 2.5
READ_TIMEOUT_SECONDS = 1.5
_JSON_HEADERS = [(b"Content-Type", b"application/json")]
_ERROR_STATUS_CODES = {
    ChangeStatus.CONFLICT: 412,
    ChangeStatus.INVALID: 400,
}


@attrs.frozen
class ControlResponse:
    """HTTP status and JSON body of a response."""

    status: int
    body: bytes = b"{}"


RequestHandler = Callable[[ControlRequest], Awaitable[ControlResponse]]


@attrs.define(eq=False)
class ControlHandler:
    """Decodes requests to the control address and responds to them."""

    _adapter: ProtocolAdapter
    _serve: RequestHandler

    async def handle(self, exchange: Exchange) -> None:
        """Responds to one request."""
        exchange.set_deadline(math.inf, lambda: self._respond_stopping(exchange))
        await exchange.buffer_body(MAX_BODY_BYTES)
        request = exchange.request
        target = request.target.decode("latin-1")
        if not request.is_complete:
            log_decision("control-too-large", target=target)
            await self._answer(exchange, create_error_response(413, "body too large"))
            return
        body = request.take_body()
        if not await exchange.reserve(estimate_decoded_bytes(body)):
            log_decision("control-too-dense", target=target)
            text = "body takes too much memory once it is decoded"
            await self._answer(exchange, create_error_response(413, text))
            return
        try:
            decoded = self._adapter.decode_control(target, body)
        except MalformedRequestError as error:
            log_decision("control-malformed", target=target, error=str(error))
            response = create_error_response(400, str(error))
        else:
            if decoded is None:
                log_decision("control-unknown", target=target)
                response = create_error_response(404, "unknown control request")
            else:
                response = await self._serve(decoded)
        await self._answer(exchange, response)

    async def _answer(self, exchange: Exchange, response: ControlResponse) -> None:
        await exchange.answer(response.status, _JSON_HEADERS, response.body)

    async def _respond_stopping(self, exchange: Exchange) -> None:
        """Responds to a request that the stop of the process ends."""
        response = create_error_response(503, "the process stops")
        headers = [*_JSON_HEADERS, (b"Retry-After", b"1")]
        await exchange.answer(response.status, headers, response.body)


def create_error_response(status: int, text: str) -> ControlResponse:
    """Creates an error response.

    :param text: reason, for the caller.
    """
    return ControlResponse(status, orjson.dumps({"error": text}))


@attrs.define(eq=False)
class NodeControl:
    """Applies the status reports of the local backend server.

    :param service: service of the local node.
    :param _own_addresses: listeners of the local node, which are no backend server.
    """

    _backend: BackendServer
    _service: str
    _departures: DepartureRecorder
    _own_addresses: frozenset[Address] = frozenset()

    async def serve(self, request: ControlRequest) -> ControlResponse:
        """Serves one request."""
        match request:
            case BackendReport():
                if request.service != self._service:
                    log_decision(
                        "report-rejected",
                        instance=request.instance_id,
                        service=request.service,
                        expected=self._service,
                    )
                    return create_error_response(422, "report is for another service")
                if request.address in self._own_addresses:
                    log_decision(
                        "report-rejected",
                        instance=request.instance_id,
                        address=str(request.address),
                    )
                    return create_error_response(422, "address is one of the node")
                return await self._apply_report(request)
            case BackendDeparture():
                return await self._apply_departure(request)
        return create_error_response(404, "request is served by the replicas")

    async def _apply_report(self, report: BackendReport) -> ControlResponse:
        self._departures.apply_report(report)
        if not report.is_leaving:
            return ControlResponse(200)
        return _respond_to_departure(await self._departures.record_leaving(report))

    async def _apply_departure(self, departure: BackendDeparture) -> ControlResponse:
        instance_id = departure.instance_id
        self._departures.drop_held_report(instance_id)
        started_ms = self._backend.apply_departure(instance_id, departure.started_ms)
        # An earlier start than the present one has departed as well.
        started_ms = started_ms or departure.started_ms
        if not started_ms:
            return ControlResponse(200)
        is_kept = await self._departures.record_departure(instance_id, started_ms)
        return _respond_to_departure(is_kept)


def _respond_to_departure(is_kept: bool) -> ControlResponse:
    """Responds to a backend server that leaves.

    :param is_kept: true when a majority of the replicas keeps its departure.
    """
    if is_kept:
        return ControlResponse(200)
    return create_error_response(503, "too few replicas keep the departure yet")


@attrs.define(eq=False)
class ReplicaControl:
    """Replaces and reads the route table for operators."""

    _client: ReplicationClient
    _adapter: ProtocolAdapter

    async def serve(self, request: ControlRequest) -> ControlResponse:
        """Serves one request."""
        try:
            match request:
                case RouteChange():
                    return await self._replace_routes(request)
                case RouteQuery():
                    return await self._read_routes()
        except NoQuorumError as error:
            log_decision("no-quorum", error=str(error))
            return create_error_response(503, str(error))
        except ReplicationError as error:
            log_decision("change-refused", error=str(error))
            status = 413 if error.code == "command-size" else 503
            return create_error_response(status, str(error))
        return create_error_response(404, "request is served by the nodes")

    async def _replace_routes(self, change: RouteChange) -> ControlResponse:
        table = change.table
        problems = check_routes(table)
        if problems:
            log_decision("routes-invalid", version=table.version, problems=problems)
            return create_error_response(400, "; ".join(problems))
        command = ReplaceRoutes(
            table.version, table.base_version, change.digest, encode_routes(table)
        )
        result = await self._client.replace_routes(command, PROPOSAL_TIMEOUT_SECONDS)
        log_decision(
            "routes-replaced",
            version=table.version,
            base=table.base_version,
            status=result.status.value,
            present=result.version,
        )
        if result.status is ChangeStatus.APPLIED:
            return ControlResponse(200)
        return create_error_response(_ERROR_STATUS_CODES[result.status], result.message)

    async def _read_routes(self) -> ControlResponse:
        table = await self._client.read_routes(READ_TIMEOUT_SECONDS)
        if table.version == 0:
            return create_error_response(503, "no routes have been set yet")
        return ControlResponse(200, self._adapter.encode_routes(table))


def create_control_handler(
    adapter: ProtocolAdapter, serve: RequestHandler
) -> ControlHandler:
    """Creates the handler of a control address.

    :param adapter: decodes the requests.
    :param serve: serves a decoded request.
    """
    return ControlHandler(adapter, serve)
