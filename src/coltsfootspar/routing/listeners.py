"""Accepts connections from other nodes and serves their calls."""

import contextlib
import ssl
from collections.abc import Callable, Iterator

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import FrameError, HandshakeError
from coltsfootspar.memory import ConnectionCount, count_allowed_descriptors
from coltsfootspar.routing.links import (
    CallHandler,
    LeavingHandler,
    dispatch_leaving_notice,
    notify_all,
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
DRAIN_POLL_SECONDS = 0.02
# Memory of a connection whose peer has not proved the key, without and with TLS.
_HANDSHAKE_BYTES = 16_384
_TLS_HANDSHAKE_BYTES = 131_072

ErrorCounter = Callable[[str], None]


@attrs.define(eq=False)
class PeerServer:
    """Serves the connections that other nodes have opened.

    :param address: address of the listener.
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
    _open_count: int = 0
    _connections: set[Connection] = attrs.field(factory=set)
    # Scopes of the handshakes in progress, oldest first.
    _handshakes: dict[trio.CancelScope, None] = attrs.field(factory=dict)

    @property
    def in_progress(self) -> int:
        """Number of requests of other nodes that have no reply yet."""
        return sum(connection.serving for connection in self._connections)

    async def announce_leaving(self) -> None:
        """Sends a LEAVING notice on all open connections."""
        await notify_all(list(self._connections), Message(FrameKind.LEAVING))

    async def drain(self) -> None:
        """Waits until all requests in progress have been answered."""
        # Polls, since a connection has no event for the end of its last request.
        # Its count includes requests whose reply is still being written.
        while self.in_progress > 0:  # noqa: ASYNC110
            await trio.sleep(DRAIN_POLL_SECONDS)

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serves an accepted stream until it ends.

        When too many connections are open, closes the oldest one whose peer has not
        proved the key; if there is none, the new one.
        """
        is_full = self._open_count >= self._max_connections
        if is_full and not self._cancel_oldest_handshake():
            logging.warning(
                "Connection refused: %d connections are open", self._open_count
            )
            self._count_error("too-many-connections")
            await trio.aclose_forcefully(stream)
            return
        self._open_count += 1
        try:
            await self._serve(stream)
        except HandshakeError as error:
            logging.warning("Connection rejected: %s", error)
            self._count_error(error.code)
        except Exception:
            # A faulty peer must not end the connections of all other nodes.
            logging.exception("Connection failed")
        finally:
            self._open_count -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    def _cancel_oldest_handshake(self) -> bool:
        """Makes room for a connection; returns false when no handshake is open."""
        scope = next(iter(self._handshakes), None)
        if scope is None:
            return False
        del self._handshakes[scope]
        scope.cancel()
        return True

    async def _serve(self, stream: trio.abc.Stream) -> None:
        if self._ssl_context is not None:
            stream = trio.SSLStream(stream, self._ssl_context, server_side=True)
        scope = trio.CancelScope()
        self._handshakes[scope] = None
        try:
            with scope, self._count_handshake(scope):
                connection = await self._shake_hands(stream)
        finally:
            self._handshakes.pop(scope, None)
        if scope.cancelled_caught:
            self._count_error("too-many-connections")
            return
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
            if connection.failure is not None:
                self._count_error(connection.failure.code)

    @contextlib.contextmanager
    def _count_handshake(self, scope: trio.CancelScope) -> Iterator[None]:
        """Counts the memory of a handshake, which may have to give way to others.

        :param scope: cancelled in that case.
        """
        account = self._limits.account
        if account is None:
            yield
            return
        has_tls = self._ssl_context is not None
        with contextlib.closing(account.open(scope.cancel)) as holding:
            holding.charge(_TLS_HANDSHAKE_BYTES if has_tls else _HANDSHAKE_BYTES)
            yield

    async def _shake_hands(self, stream: trio.abc.Stream) -> Connection:
        return await create_connection(
            stream,
            self._identity,
            is_dialer=False,
            handler=self._handle,
            notice_handler=self._handle_notice,
            limits=self._limits,
        )

    async def _handle(self, message: Message, peer: Peer) -> Message:
        if message.kind is FrameKind.CALL:
            return encode_reply(await self._call_handler(decode_call(message)))
        if self._message_handler is None:
            raise FrameError(f"messages of kind {message.kind.name} are not served")
        return await self._message_handler(message, peer)

    def _handle_notice(self, message: Message, peer: Peer) -> None:
        dispatch_leaving_notice(message, peer, self._leaving_handler)


async def serve_peers(
    address: Address,
    identity: Identity,
    call_handler: CallHandler,
    *,
    message_handler: Handler | None = None,
    leaving_handler: LeavingHandler | None = None,
    ssl_context: ssl.SSLContext | None = None,
    limits: ConnectionLimits | None = None,
    max_connections: int | None = None,
    count_error: ErrorCounter = lambda code: None,
    task_status: trio.TaskStatus[PeerServer] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the calls of other nodes until cancelled.

    ::

        server = await nursery.start(serve_peers, address, identity, pipeline.serve)

    :param address: address to listen on; port 0 selects a free port.
    :param identity: identity of this node in the handshake.
    :param call_handler: serves a call.
    :param message_handler: serves requests of all other kinds.
    :param leaving_handler: called with the id of a node that announces that it
        leaves.
    :param ssl_context: wraps the connections in TLS.
    :param limits: limits of each connection.
    :param max_connections: most open connections; None chooses them by the descriptors
        that the system allows. Peers without proof are closed for further ones.
    :param count_error: called with an error code for each connection that is
        refused, or closed because of malformed data from the peer.
    :param task_status: receives the server once it listens.
    :raises OSError: when listening on the address fails.
    """
    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    if max_connections is None:
        count = ConnectionCount(count_allowed_descriptors())
        max_connections = min(MAX_CONNECTIONS, count.most_of_peers)
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
