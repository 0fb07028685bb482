"""Accepts the connections of other nodes."""

import ssl
from collections.abc import Callable

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import FrameError, HandshakeError
from coltsfootspar.routing.links import (
    CallHandler,
    LeavingHandler,
    notify_all,
    pass_leaving_notice,
)
from coltsfootspar.wire import (
    Address,
    Connection,
    ConnectionLimits,
    FrameKind,
    Handler,
    Identity,
    Message,
    Peer,
    create_connection,
    decode_call,
    encode_reply,
)

__all__ = ["PeerServer", "serve_peers"]

MAX_CONNECTIONS = 2048
DRAIN_POLL = 0.02

ErrorCounter = Callable[[str], None]


@attrs.define(eq=False)
class PeerServer:
    """Connections that other nodes have opened.

    :param address: address that it listens on.
    """

    address: Address
    _identity: Identity
    _call_handler: CallHandler
    _message_handler: Handler | None
    _leaving_handler: LeavingHandler | None
    _ssl_context: ssl.SSLContext | None
    _limits: ConnectionLimits
    _max_connections: int
    _count_error: ErrorCounter
    _accepted: int = 0
    _connections: set[Connection] = attrs.field(factory=set)

    @property
    def in_progress(self) -> int:
        """Requests of other nodes without a reply."""
        return sum(connection.serving for connection in self._connections)

    async def announce_leaving(self) -> None:
        """Sends a LEAVING notice on all open connections."""
        await notify_all(list(self._connections), Message(FrameKind.LEAVING))

    async def drain(self) -> None:
        """Waits until all requests in progress have been answered."""
        # The connections count their requests, replies being written included,
        # and have no event for the last one.
        while self.in_progress > 0:  # noqa: ASYNC110
            await trio.sleep(DRAIN_POLL)

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serves one accepted stream until it ends."""
        if self._accepted >= self._max_connections:
            logging.warning("Connection refused: %d are open", self._accepted)
            self._count_error("too-many-connections")
            await trio.aclose_forcefully(stream)
            return
        self._accepted += 1
        try:
            await self._serve(stream)
        except HandshakeError as error:
            logging.warning("Connection rejected: %s", error)
            self._count_error(error.code)
        except Exception:
            # A faulty peer must not end the connections of all others.
            logging.exception("Connection failed")
        finally:
            self._accepted -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        if self._ssl_context is not None:
            stream = trio.SSLStream(stream, self._ssl_context, server_side=True)
        connection = await create_connection(
            stream,
            self._identity,
            is_dialer=False,
            handler=self._handle,
            notice_handler=self._take_notice,
            limits=self._limits,
        )
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
            if connection.failure is not None:
                self._count_error(connection.failure.code)

    async def _handle(self, message: Message, peer: Peer) -> Message:
        if message.kind is FrameKind.CALL:
            return encode_reply(await self._call_handler(decode_call(message)))
        if self._message_handler is None:
            raise FrameError(f"messages of kind {message.kind.name} are not served")
        return await self._message_handler(message, peer)

    def _take_notice(self, message: Message, peer: Peer) -> None:
        pass_leaving_notice(message, peer, self._leaving_handler)


async def serve_peers(
    address: Address,
    identity: Identity,
    call_handler: CallHandler,
    *,
    message_handler: Handler | None = None,
    leaving_handler: LeavingHandler | None = None,
    ssl_context: ssl.SSLContext | None = None,
    limits: ConnectionLimits | None = None,
    max_connections: int = MAX_CONNECTIONS,
    count_error: ErrorCounter = lambda code: None,
    task_status: trio.TaskStatus[PeerServer] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the calls of other nodes until cancelled.

    ::

        server = await nursery.start(serve_peers, address, identity, pipeline.serve)

    :param address: address to listen on; port 0 takes a free one.
    :param identity: what this node says of itself.
    :param call_handler: serves a call.
    :param message_handler: serves requests of all other kinds.
    :param leaving_handler: takes the id of a node that announces its leaving.
    :param ssl_context: wraps the connections in TLS.
    :param limits: limits of each connection.
    :param max_connections: further connections are closed at once.
    :param count_error: called with an error code for each connection that is
        refused or ended for what the peer sent.
    :raises OSError: when the address cannot be listened on.
    """
    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    port = listeners[0].socket.getsockname()[1]
    server = PeerServer(
        Address(address.host, port),
        identity,
        call_handler,
        message_handler,
        leaving_handler,
        ssl_context,
        limits or ConnectionLimits(),
        max_connections,
        count_error,
    )
    task_status.started(server)
    await trio.serve_listeners(server.accept, listeners)
