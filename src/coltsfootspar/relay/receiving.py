"""Inbound calls from other nodes, served by the local backend server."""

import contextlib
import math
from collections.abc import Iterator

import attrs
import trio

from coltsfootspar.calls import Outcome
from coltsfootspar.exceptions import MalformedRequestError
from coltsfootspar.logs import log_decision
from coltsfootspar.relay.backend import BackendServer
from coltsfootspar.relay.calls import (
    CALL_HEADER,
    ERROR_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    REACHED_HEADER,
    RETRIES_HEADER,
    ROOM_HEADER,
    HeaderNames,
    OutgoingCall,
    Reply,
    create_refusal,
    decode_call_header,
    encode_allowance,
    encode_load,
)
from coltsfootspar.relay.calltrees import encode_reached
from coltsfootspar.relay.exchanges import Exchange
from coltsfootspar.relay.messages import Headers, Response
from coltsfootspar.relay.outgoing import create_outgoing_call

__all__ = ["CallReceiver", "release_reply", "send_reply"]

# How long after the deadline the response of the backend server may still arrive.
BACKEND_GRACE_SECONDS = 0.05


@attrs.define(eq=False)
class CallReceiver:
    """Serves calls from other nodes with the local backend server.

    :param is_leaving: true when new calls are refused, so that the sender tries
        another node.
    """

    _backend: BackendServer
    _names: HeaderNames
    is_leaving: bool = False

    async def handle(self, exchange: Exchange) -> None:
        """Sends a call of another node to the backend server and returns its reply."""
        request = exchange.request
        try:
            call = decode_call_header(
                request.find(CALL_HEADER.lower()), request.arrived_at
            )
        except MalformedRequestError as error:
            log_decision("call-malformed", error=str(error))
            await exchange.answer(400, [], b"")
            return
        if self.is_leaving:
            await self._respond(exchange, create_refusal("leaving"))
            return
        if not request.is_complete:
            exchange.set_deadline(
                math.inf, lambda: self._respond(exchange, create_refusal("leaving"))
            )
        outgoing = await create_outgoing_call(exchange, call, self._names)
        exchange.set_deadline(
            call.deadline + BACKEND_GRACE_SECONDS,
            lambda: self._respond_late(exchange, outgoing),
        )
        reply = await self._backend.send(outgoing)
        exchange.clear_deadline()
        with release_reply(reply):
            await self._respond(exchange, reply)

    async def _respond_late(self, exchange: Exchange, outgoing: OutgoingCall) -> None:
        """Responds to a call whose deadline has passed or that the node's stop ends."""
        load = self._backend.limiter.load
        if trio.current_time() < outgoing.call.deadline and not outgoing.sent_to:
            await self._respond(exchange, create_refusal("leaving", load=load))
            return
        outcome = Outcome.MAY_HAVE_RUN
        reply = create_refusal("backend-timeout", outcome, status=504, load=load)
        await self._respond(exchange, reply)

    async def _respond(self, exchange: Exchange, reply: Reply) -> None:
        headers = [*reply.headers, (OUTCOME_HEADER, reply.outcome.encode())]
        if reply.error:
            headers.append((ERROR_HEADER, reply.error.encode()))
        if reply.load is not None:
            headers.append((LOAD_HEADER, encode_load(reply.load)))
        if reply.retry_allowance is not None:
            allowance = encode_allowance(reply.retry_allowance)
            headers.append((RETRIES_HEADER, allowance))
        if reply.reached:
            headers.append((REACHED_HEADER, encode_reached(reply.reached)))
        room = self._backend.get_room_header()
        if room:
            headers.append((ROOM_HEADER, room))
        await send_reply(exchange, reply, headers)


@contextlib.contextmanager
def release_reply(reply: Reply) -> Iterator[None]:
    """Releases the slot and the connection of a reply once its body has been read.

    A caller that does not read a whole body takes no slot meanwhile.
    """
    if reply.read is None:
        reply.finish()
        yield
        return
    try:
        yield
    finally:
        reply.finish()


async def send_reply(exchange: Exchange, reply: Reply, headers: Headers) -> None:
    """Sends a reply to the caller, streaming a body that is not complete yet.

    :param headers: headers of the response, without its framing.
    :raises TransferError: when either connection ends early.
    """
    if reply.read is None:
        await exchange.answer(reply.status, headers, reply.body, reply.reason)
        return
    response = Response(status=reply.status, reason=reply.reason)
    if reply.length is not None:
        response.header_values[b"content-length"] = b"%d" % reply.length
    await exchange.stream_response(response, headers, reply.read)
