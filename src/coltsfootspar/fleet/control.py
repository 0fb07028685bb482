"""The control address: reports of backend servers, and the operators' routes."""

from collections.abc import Awaitable, Callable

import attrs
import orjson

from coltsfootspar.exceptions import MalformedRequestError, NoQuorumError
from coltsfootspar.fleet.interfaces import (
    BackendDeparture,
    ControlRequest,
    Dialect,
    RouteChange,
    RouteQuery,
)
from coltsfootspar.logs import log_decision
from coltsfootspar.relay import BackendReport, BackendServer, Exchange
from coltsfootspar.replication import ChangeStatus, ReplaceRoutes, ReplicationClient
from coltsfootspar.routes import check_routes, encode_routes

__all__ = ["ControlHandler", "NodeControl", "ReplicaControl", "create_control_handler"]

_MAX_BODY_BYTES = 32 << 20
PROPOSAL_SECONDS = 2.5
READ_SECONDS = 1.5
_JSON = [(b"Content-Type", b"application/json")]
_ERROR_STATUSES = {
    ChangeStatus.CONFLICT: 412,
    ChangeStatus.INVALID: 400,
}


@attrs.frozen
class ControlAnswer:
    """Status and body of an answer."""

    status: int
    body: bytes = b"{}"


Serve = Callable[[ControlRequest], Awaitable[ControlAnswer]]


@attrs.define(eq=False)
class ControlHandler:
    """Decodes requests to the control address and answers them."""

    _dialect: Dialect
    _serve: Serve

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        await exchange.buffer_body(_MAX_BODY_BYTES)
        request = exchange.request
        target = request.target.decode("latin-1")
        try:
            decoded = self._dialect.decode_control(target, request.take_body())
        except MalformedRequestError as error:
            log_decision("control-malformed", target=target, error=str(error))
            answer = create_error_answer(400, str(error))
        else:
            if decoded is None:
                log_decision("control-unknown", target=target)
                answer = create_error_answer(404, "no such request")
            else:
                answer = await self._serve(decoded)
        await exchange.answer(answer.status, _JSON, answer.body)


def create_error_answer(status: int, text: str) -> ControlAnswer:
    """Creates an answer that says what is wrong."""
    return ControlAnswer(status, orjson.dumps({"error": text}))


@attrs.define(eq=False)
class NodeControl:
    """Takes the reports of the own backend server."""

    _backend: BackendServer
    _service: str

    async def serve(self, request: ControlRequest) -> ControlAnswer:
        """Answers one request."""
        match request:
            case BackendReport():
                if request.service != self._service:
                    log_decision(
                        "report-rejected",
                        instance=request.instance_id,
                        service=request.service,
                        expected=self._service,
                    )
                    return create_error_answer(422, "another service runs here")
                self._backend.apply_report(request)
                return ControlAnswer(200)
            case BackendDeparture():
                self._backend.apply_departure(request.instance_id)
                return ControlAnswer(200)
        return create_error_answer(404, "served by the replicas")


@attrs.define(eq=False)
class ReplicaControl:
    """Takes the operators' changes of the routes."""

    _client: ReplicationClient
    _dialect: Dialect

    async def serve(self, request: ControlRequest) -> ControlAnswer:
        """Answers one request."""
        try:
            match request:
                case RouteChange():
                    return await self._replace(request)
                case RouteQuery():
                    return await self._read()
        except NoQuorumError as error:
            log_decision("no-quorum", error=str(error))
            return create_error_answer(503, str(error))
        return create_error_answer(404, "served by the nodes")

    async def _replace(self, change: RouteChange) -> ControlAnswer:
        table = change.table
        problems = check_routes(table)
        if problems:
            log_decision("routes-invalid", version=table.version, problems=problems)
            return create_error_answer(400, "; ".join(problems))
        command = ReplaceRoutes(
            table.version, table.base_version, change.digest, encode_routes(table)
        )
        result = await self._client.replace_routes(command, PROPOSAL_SECONDS)
        log_decision(
            "routes-replaced",
            version=table.version,
            base=table.base_version,
            status=result.status.value,
            present=result.version,
        )
        if result.status is ChangeStatus.APPLIED:
            return ControlAnswer(200)
        return create_error_answer(_ERROR_STATUSES[result.status], result.message)

    async def _read(self) -> ControlAnswer:
        table = await self._client.read_routes(READ_SECONDS)
        if table.version == 0:
            return create_error_answer(503, "there are no routes yet")
        return ControlAnswer(200, self._dialect.encode_routes(table))


def create_control_handler(dialect: Dialect, serve: Serve) -> ControlHandler:
    """Creates the handler of a control address.

    :param serve: answers a decoded request.
    """
    return ControlHandler(dialect, serve)
