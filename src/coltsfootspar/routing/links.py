"""Calls to other nodes over one connection for each."""

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
    "notify_all",
    "open_tcp",
    "pass_leaving_notice",
]

DIAL_TIMEOUT = 0.5
# Calls to a node that has just refused a connection fail at once.
DIAL_PAUSE = 0.2
# A node that is no longer called costs neither a connection nor a task.
IDLE_TIMEOUT = 300.0

CallHandler = Callable[[CallRequest], Awaitable[CallReply]]
LeavingHandler = Callable[[str], None]
ResolveAddress = Callable[[str], Address | None]
OpenStream = Callable[[Address], Awaitable[trio.abc.Stream]]


async def open_tcp(address: Address) -> trio.abc.Stream:
    """Opens a TCP connection.

    :raises OSError: when the peer does not accept it.
    """
    return await trio.open_tcp_stream(address.host, address.port)


def pass_leaving_notice(
    message: Message, peer: Peer, handler: LeavingHandler | None
) -> None:
    """Passes the node id of a LEAVING notice to a callback.

    :param handler: None when nobody wants to know.
    """
    if message.kind is FrameKind.LEAVING and handler is not None:
        handler(peer.process_id)


@attrs.define(eq=False)
class _Dial:
    """An attempt to connect that several calls may wait for."""

    done: trio.Event = attrs.field(factory=trio.Event)
    connection: Connection | None = None
    error: str = ""

    async def wait(self) -> Connection:
        """Waits for the connection.

        :raises LinkError: when dialing failed.
        """
        await self.done.wait()
        if self.connection is None:
            raise LinkError(self.error, may_have_run=False, code="unreachable")
        return self.connection


@attrs.define(eq=False)
class _PeerTask:
    """Keeps at most one connection to a node, dialed when a call needs it."""

    _node_id: str
    _links: "PeerLinks"
    connection: Connection | None = None
    _dial: _Dial | None = None
    _wanted: trio.Event = attrs.field(factory=trio.Event)
    _last_failure: _Dial | None = None
    _dial_at: float = 0.0
    _used_at: float = attrs.field(factory=trio.current_time)

    async def connect(self) -> Connection:
        """Returns the open connection or waits for a new one.

        :raises LinkError: when dialing failed.
        """
        self._used_at = trio.current_time()
        connection = self.connection
        if connection is not None and not connection.is_closed:
            return connection
        if self._last_failure is not None and self._used_at < self._dial_at:
            return await self._last_failure.wait()
        if self._dial is None:
            self._dial = _Dial()
            self._wanted.set()
        return await self._dial.wait()

    async def run(self) -> None:
        """Dials when wanted and runs the connection, until it is idle."""
        try:
            while await self._wait_wanted():
                await self._open_connection()
                if self.connection is not None:
                    await self._run_connection(self.connection)
                    self.connection = None
        finally:
            self._links.forget(self._node_id, self)
            self._finish_dial(error="links are closed")

    async def _wait_wanted(self) -> bool:
        with trio.move_on_after(self._links.idle_timeout):
            await self._wanted.wait()
        self._wanted = trio.Event()
        return self._dial is not None

    async def _open_connection(self) -> None:
        error = f"node {self._node_id} did not accept in {DIAL_TIMEOUT:g} s"
        with trio.move_on_after(DIAL_TIMEOUT):
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
        self._last_failure = dial if connection is None else None
        self._dial_at = trio.current_time() + DIAL_PAUSE
        dial.done.set()

    async def _run_connection(self, connection: Connection) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_when_idle, connection)
            try:
                await connection.run()
            except Exception:
                # A faulty peer must not end the connections to all others.
                logging.exception("Connection to %s failed", self._node_id)
            nursery.cancel_scope.cancel()

    async def _close_when_idle(self, connection: Connection) -> None:
        while True:
            await trio.sleep(self._links.idle_timeout)
            idle = trio.current_time() - self._used_at
            if idle >= self._links.idle_timeout and connection.outstanding == 0:
                await connection.close("connection is idle")


@attrs.define(eq=False)
class PeerLinks:
    """Connections to other nodes; :meth:`run` has to be running.

    ::

        links = create_peer_links(identity, members.find_address)
        await nursery.start(links.run)
        reply = await links.call("node-2", request)
    """

    _identity: Identity
    _resolve_address: ResolveAddress
    _own_handler: CallHandler | None
    _leaving_handler: LeavingHandler | None
    _ssl_context: ssl.SSLContext | None
    _limits: ConnectionLimits
    _open_stream: OpenStream
    idle_timeout: float
    _nursery: trio.Nursery | None = None
    _peers: dict[str, _PeerTask] = attrs.field(factory=dict)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keeps the connections until cancelled."""
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

        :raises LinkError: when no whole reply arrived.
        """
        if node_id == self._identity.process_id and self._own_handler is not None:
            return await self._own_handler(request)
        if len(request.body) > self._limits.message_bytes:
            raise LinkError(
                f"body of {len(request.body)} bytes exceeds "
                f"{self._limits.message_bytes}",
                may_have_run=False,
                code="too-large",
            )
        connection = await self._connect(node_id)
        # Encoded after dialing: the deadline travels as remaining time.
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
        """Sends a message of another kind and waits for its reply.

        :raises LinkError: when no whole reply arrived.
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

    def forget(self, node_id: str, peer: "_PeerTask") -> None:
        """Drops a peer whose task has ended."""
        if self._peers.get(node_id) is peer:
            del self._peers[node_id]

    async def dial(self, node_id: str) -> Connection:
        """Opens a connection to a node.

        :raises OSError: when no connection can be made.
        :raises WireError: when the handshake fails.
        """
        address = self._resolve_address(node_id)
        if address is None:
            raise WireError("its address is not known", code="no-address")
        stream = await self._open_stream(address)
        try:
            return await self._greet(node_id, address, stream)
        except BaseException:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
            raise

    async def _greet(
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
            notice_handler=self._take_notice,
            limits=self._limits,
        )
        if connection.peer.process_id != node_id:
            # Another node may have been given the address of a lost one.
            name = connection.peer.process_id
            raise WireError(f"{address} belongs to {name}", code="wrong-peer")
        return connection

    async def _connect(self, node_id: str) -> Connection:
        peer = self._peers.get(node_id)
        if peer is None:
            if self._nursery is None:
                raise LinkError("links are closed", may_have_run=False)
            peer = self._peers[node_id] = _PeerTask(node_id, self)
            self._nursery.start_soon(peer.run)
        return await peer.connect()

    def _take_notice(self, message: Message, peer: Peer) -> None:
        pass_leaving_notice(message, peer, self._leaving_handler)


async def notify_all(connections: list[Connection], message: Message) -> None:
    """Sends a notice on each connection at the same time."""

    async def notify(connection: Connection) -> None:
        try:
            await connection.notify(message)
        except LinkError as error:
            name = connection.peer.process_id
            logging.info("Notice to %s was not sent: %s", name, error)

    async with trio.open_nursery() as nursery:
        for connection in connections:
            nursery.start_soon(notify, connection)


def create_peer_links(
    identity: Identity,
    resolve_address: ResolveAddress,
    *,
    own_handler: CallHandler | None = None,
    leaving_handler: LeavingHandler | None = None,
    ssl_context: ssl.SSLContext | None = None,
    limits: ConnectionLimits | None = None,
    open_stream: OpenStream = open_tcp,
    idle_timeout: float = IDLE_TIMEOUT,
) -> PeerLinks:
    """Creates the links of a node.

    :param identity: what this node says of itself.
    :param resolve_address: finds the peer listener of a node, None when unknown.
    :param own_handler: serves calls to this node itself, without a connection.
    :param leaving_handler: takes the id of a node that announces its leaving.
    :param ssl_context: wraps the connections in TLS.
    :param limits: limits of each connection.
    :param open_stream: opens a byte stream to an address.
    :param idle_timeout: a connection without calls for this time is closed,
        seconds.
    """
    return PeerLinks(
        identity,
        resolve_address,
        own_handler,
        leaving_handler,
        ssl_context,
        limits or ConnectionLimits(),
        open_stream,
        idle_timeout,
    )
