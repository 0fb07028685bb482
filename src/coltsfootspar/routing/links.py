"""Sends calls to other nodes, over one connection to each of them."""

import ssl
from collections.abc import Awaitable, Callable

import attrs
import trio
from absl import logging

from coltsfootspar.calls import CallReply, CallRequest
from coltsfootspar.exceptions import FrameError, LinkError, WireError
from coltsfootspar.wire import (
    Address,
    Connection,
    ConnectionLimits,
    FrameKind,
    Identity,
    Message,
    Peer,
    create_connection,
    decode_reply,
    encode_call,
)

__all__ = [
    "CallHandler",
    "LeavingHandler",
    "OpenStream",
    "PeerLinks",
    "ResolveAddress",
    "create_peer_links",
    "dispatch_leaving_notice",
    "notify_all",
    "open_tcp",
]

DIAL_TIMEOUT_SECONDS = 0.5
# For this long after a failed dial, calls to the node fail without a new one.
REDIAL_DELAY_SECONDS = 0.2
# Releases the connection and the task of a node that is no longer called.
IDLE_TIMEOUT_SECONDS = 300.0

CallHandler = Callable[[CallRequest], Awaitable[CallReply]]
LeavingHandler = Callable[[str], None]
ResolveAddress = Callable[[str], Address | None]
OpenStream = Callable[[Address], Awaitable[trio.abc.Stream]]


async def open_tcp(address: Address) -> trio.abc.Stream:
    """Opens a TCP connection.

    :raises OSError: when the connection cannot be made.
    """
    return await trio.open_tcp_stream(address.host, address.port)


def dispatch_leaving_notice(
    message: Message, peer: Peer, handler: LeavingHandler | None
) -> None:
    """Calls a handler with the id of a peer that sent a LEAVING notice.

    Ignores messages of other kinds.

    :param message: notice received on a connection.
    :param peer: process that sent it.
    :param handler: called with the id; None to ignore the notice.
    """
    if message.kind is FrameKind.LEAVING and handler is not None:
        handler(peer.process_id)


@attrs.define(eq=False)
class _Dial:
    """An attempt to connect, shared by all calls that wait for it."""

    done: trio.Event = attrs.field(factory=trio.Event)
    connection: Connection | None = None
    error: str = ""

    async def wait(self) -> Connection:
        """Waits until the connection is open.

        :raises LinkError: when dialing failed.
        """
        await self.done.wait()
        if self.connection is None:
            raise LinkError(self.error, may_have_run=False, code="unreachable")
        return self.connection


@attrs.define(eq=False)
class _PeerConnection:
    """Manages at most one connection to a node, dialed when a call needs it."""

    _node_id: str
    _links: "PeerLinks"
    connection: Connection | None = None
    _dial: _Dial | None = None
    _dial_requested: trio.Event = attrs.field(factory=trio.Event)
    _failed_dial: _Dial | None = None
    _redial_at: float = 0.0
    _last_used_at: float = attrs.field(factory=trio.current_time)

    async def connect(self) -> Connection:
        """Returns the open connection or waits for a new one.

        :raises LinkError: when dialing fails or has failed a moment ago.
        """
        self._last_used_at = trio.current_time()
        connection = self.connection
        if connection is not None and not connection.is_closed:
            return connection
        if self._failed_dial is not None and self._last_used_at < self._redial_at:
            return await self._failed_dial.wait()
        if self._dial is None:
            self._dial = _Dial()
            self._dial_requested.set()
        return await self._dial.wait()

    async def run(self) -> None:
        """Dials on request and runs the connection; ends after the idle timeout."""
        try:
            while await self._wait_for_dial_request():
                await self._open_connection()
                if self.connection is not None:
                    await self._run_connection(self.connection)
                    self.connection = None
        finally:
            self._links.remove_peer(self._node_id, self)
            self._finish_dial(error="peer links are closed")

    async def _wait_for_dial_request(self) -> bool:
        with trio.move_on_after(self._links.idle_timeout):
            await self._dial_requested.wait()
        self._dial_requested = trio.Event()
        return self._dial is not None

    async def _open_connection(self) -> None:
        error = (
            f"node {self._node_id} did not accept a connection "
            f"within {DIAL_TIMEOUT_SECONDS:g} s"
        )
        with trio.move_on_after(DIAL_TIMEOUT_SECONDS):
            try:
                self.connection = await self._links.dial(self._node_id)
            except (OSError, WireError, trio.BrokenResourceError) as failure:
                error = f"node {self._node_id} cannot be reached: {failure}"
        if self.connection is None:
            logging.warning("No connection: %s", error)
        self._finish_dial(connection=self.connection, error=error)

    def _finish_dial(
        self, *, connection: Connection | None = None, error: str = ""
    ) -> None:
        dial, self._dial = self._dial, None
        if dial is None:
            return
        dial.connection = connection
        dial.error = error
        self._failed_dial = dial if connection is None else None
        self._redial_at = trio.current_time() + REDIAL_DELAY_SECONDS
        dial.done.set()

    async def _run_connection(self, connection: Connection) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_when_idle, connection)
            try:
                await connection.run()
            except Exception:
                # A faulty peer must not end the connections to all other nodes.
                logging.exception("Connection to %s failed", self._node_id)
            nursery.cancel_scope.cancel()

    async def _close_when_idle(self, connection: Connection) -> None:
        while True:
            await trio.sleep(self._links.idle_timeout)
            idle = trio.current_time() - self._last_used_at
            if idle >= self._links.idle_timeout and connection.outstanding == 0:
                await connection.close("connection is idle")


@attrs.define(eq=False)
class PeerLinks:
    """Manages the connections to other nodes; :meth:`run` has to be running.

    ::

        links = create_peer_links(identity, members.find_address)
        await nursery.start(links.run)
        reply = await links.call("node-2", request)
    """

    _identity: Identity
    _resolve_address: ResolveAddress
    _local_handler: CallHandler | None
    _leaving_handler: LeavingHandler | None
    _ssl_context: ssl.SSLContext | None
    _limits: ConnectionLimits
    _open_stream: OpenStream
    idle_timeout: float
    _nursery: trio.Nursery | None = None
    _peers: dict[str, _PeerConnection] = attrs.field(factory=dict)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the connections until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                await trio.sleep_forever()
        finally:
            self._nursery = None

    async def call(self, node_id: str, request: CallRequest) -> CallReply:
        """Sends a call to a node and waits for its reply.

        Cancelling the wait cancels the call at the node.

        :raises LinkError: when no complete reply arrived.
        """
        if node_id == self._identity.process_id and self._local_handler is not None:
            return await self._local_handler(request)
        if len(request.body) > self._limits.message_bytes:
            raise LinkError(
                f"body of {len(request.body)} bytes exceeds the limit of "
                f"{self._limits.message_bytes} bytes",
                may_have_run=False,
                code="too-large",
            )
        connection = await self._connect(node_id)
        # Encoded after dialing, since the deadline is sent as the remaining time.
        try:
            message = encode_call(request)
            reply = await connection.request(message)
        except FrameError as error:
            raise LinkError(str(error), may_have_run=False) from error
        try:
            return decode_reply(reply)
        except FrameError as error:
            raise LinkError(str(error), may_have_run=True) from error

    async def request(self, node_id: str, message: Message) -> Message:
        """Sends a message other than a call and waits for its reply.

        :raises LinkError: when no complete reply arrived.
        """
        connection = await self._connect(node_id)
        return await connection.request(message)

    async def announce_leaving(self) -> None:
        """Sends a LEAVING notice on all open connections."""
        open_connections = [
            peer.connection
            for peer in self._peers.values()
            if peer.connection is not None
        ]
        await notify_all(open_connections, Message(FrameKind.LEAVING))

    def reconnect(self, node_id: str) -> None:
        """Closes the connection to a node whose address has changed, if there is one.

        The next request opens a connection to the new address.
        """
        peer = self._peers.get(node_id)
        if peer is not None and peer.connection is not None:
            self._nursery.start_soon(peer.connection.close, "address has changed")

    def remove_peer(self, node_id: str, peer: "_PeerConnection") -> None:
        """Removes a peer whose task has ended.

        :param peer: not removed when another task has replaced it.
        """
        if self._peers.get(node_id) is peer:
            del self._peers[node_id]

    async def dial(self, node_id: str) -> Connection:
        """Opens a connection to a node.

        :raises OSError: when no connection can be made.
        :raises WireError: when the address is not known, the handshake fails or
            another node answers.
        """
        address = self._resolve_address(node_id)
        if address is None:
            raise WireError("its address is not known", code="no-address")
        stream = await self._open_stream(address)
        try:
            return await self._perform_handshake(node_id, address, stream)
        except BaseException:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
            raise

    async def _perform_handshake(
        self, node_id: str, address: Address, stream: trio.abc.Stream
    ) -> Connection:
        if self._ssl_context is not None:
            stream = trio.SSLStream(
                stream, self._ssl_context, server_hostname=address.host
            )
        connection = await create_connection(
            stream,
            self._identity,
            is_dialer=True,
            notice_handler=self._handle_notice,
            limits=self._limits,
        )
        if connection.peer.process_id != node_id:
            # The address of a failed node may have been reassigned to another.
            peer_id = connection.peer.process_id
            raise WireError(f"{address} belongs to {peer_id}", code="wrong-peer")
        return connection

    async def _connect(self, node_id: str) -> Connection:
        peer = self._peers.get(node_id)
        if peer is None:
            if self._nursery is None:
                raise LinkError("peer links are closed", may_have_run=False)
            peer = self._peers[node_id] = _PeerConnection(node_id, self)
            self._nursery.start_soon(peer.run)
        return await peer.connect()

    def _handle_notice(self, message: Message, peer: Peer) -> None:
        dispatch_leaving_notice(message, peer, self._leaving_handler)


async def notify_all(connections: list[Connection], message: Message) -> None:
    """Sends a notice on all connections at the same time.

    Logs a failure without raising an error.
    """

    async def notify(connection: Connection) -> None:
        try:
            await connection.notify(message)
        except LinkError as error:
            peer_id = connection.peer.process_id
            logging.info("Notice to %s was not sent: %s", peer_id, error)

    async with trio.open_nursery() as nursery:
        for connection in connections:
            nursery.start_soon(notify, connection)


def create_peer_links(
    identity: Identity,
    resolve_address: ResolveAddress,
    *,
    local_handler: CallHandler | None = None,
    leaving_handler: LeavingHandler | None = None,
    ssl_context: ssl.SSLContext | None = None,
    limits: ConnectionLimits | None = None,
    open_stream: OpenStream = open_tcp,
    idle_timeout: float = IDLE_TIMEOUT_SECONDS,
) -> PeerLinks:
    """Creates the links of a node.

    :param identity: identity of this node in the handshake.
    :param resolve_address: returns the address of a node's peer listener, or None
        when it is not known.
    :param local_handler: serves calls to this node itself, without a connection.
    :param leaving_handler: called with the id of a node that announces that it
        leaves.
    :param ssl_context: wraps the connections in TLS.
    :param limits: limits of each connection.
    :param open_stream: opens a byte stream to an address.
    :param idle_timeout: time without calls after which a connection is closed,
        seconds.
    """
    return PeerLinks(
        identity,
        resolve_address,
        local_handler,
        leaving_handler,
        ssl_context,
        limits or ConnectionLimits(),
        open_stream,
        idle_timeout,
    )
