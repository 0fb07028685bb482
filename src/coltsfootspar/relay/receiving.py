"""Calls of other nodes, served with the own backend server."""

import attrs

from coltsfootspar.calls import Outcome
from coltsfootspar.exceptions import MalformedRequestError
from coltsfootspar.logs import log_decision
from coltsfootspar.relay.backend import BackendServer
from coltsfootspar.relay.calls import (
    CALL_HEADER,
    ERROR_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    HeaderNames,
    Reply,
    create_refusal,
    decode_call_header,
    encode_load,
)
from coltsfootspar.relay.messages import Headers, Response
from coltsfootspar.relay.outgoing import create_outgoing
from coltsfootspar.relay.server import Exchange

__all__ = ["CallReceiver", "deliver"]

# Time after the deadline in which the backend server's own answer may arrive.
BACKEND_MARGIN = 0.05


@attrs.define(eq=False)
class CallReceiver:
    """Serves the calls of other nodes with the own backend server.

    :param is_leaving: true when new calls are sent to other nodes.
    """

    _backend: BackendServer
    _names: HeaderNames
    is_leaving: bool = False

    async def handle(self, exchange: Exchange) -> None:
        """Answers a call of another node."""
        request = exchange.request
        try:
            call = decode_call_header(
                request.find(CALL_HEADER.lower()), request.arrived
            )
        except MalformedRequestError as error:
            log_decision("call-malformed", error=str(error))
            await exchange.answer(400, [], b"")
            return
        if self.is_leaving:
            await self._answer(exchange, create_refusal("leaving"))
            return
        outgoing = await create_outgoing(exchange, call, self._names)
        late = create_refusal("backend-timeout", Outcome.MAY_HAVE_RUN, status=504)
        exchange.set_deadline(
            call.deadline + BACKEND_MARGIN,
            lambda: self._answer(
                exchange, attrs.evolve(late, load=self._backend.limiter.load)
            ),
        )
        reply = await self._backend.send(outgoing)
        exchange.clear_deadline()
        try:
            await self._answer(exchange, reply)
        finally:
            reply.finish()

    async def _answer(self, exchange: Exchange, reply: Reply) -> None:
        headers = [*reply.headers, (OUTCOME_HEADER, reply.outcome.encode())]
        if reply.error:
            headers.append((ERROR_HEADER, reply.error.encode()))
        if reply.load is not None:
            headers.append((LOAD_HEADER, encode_load(reply.load)))
        await deliver(exchange, reply, headers)


async def deliver(exchange: Exchange, reply: Reply, headers: Headers) -> None:
    """Sends a reply to the caller.

    :raises TransferError: when either side breaks off.
    """
    if reply.read is None:
        await exchange.answer(reply.status, headers, reply.body, reply.reason)
        return
    first = [reply.body]

    async def read() -> bytes:
        return (first.pop() if first else b"") or await reply.read()

    response = Response(status=reply.status, reason=reply.reason)
    if reply.length is not None:
        response.index[b"content-length"] = b"%d" % reply.length
    await exchange.pass_on(response, headers, read)
