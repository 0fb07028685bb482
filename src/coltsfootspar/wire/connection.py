"""Multiplexed connections: requests, replies, cancellation and heartbeats."""

import contextlib
import itertools
from collections.abc import Awaitable, Callable

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import ColtsfootsparError, FrameError, LinkError
from coltsfootspar.memory import Holding, MemoryAccount
from coltsfootspar.wire.frames import (
    BODY_CHUNK_BYTES,
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_FRAME_BYTES,
    Frame,
    FrameDecoder,
    FrameFlag,
    FrameKind,
    Message,
    encode_frame,
)
from coltsfootspar.wire.handshake import Identity, Peer, shake_hands
from coltsfootspar.wire.locks import hold_lock
from coltsfootspar.wire.schemas import create_struct, decode_struct, load_schema

__all__ = [
    "Connection",
    "ConnectionLimits",
    "Handler",
    "NoticeHandler",
    "create_connection",
]

_RECEIVE_BYTES = 64 << 10
# Copies of a long body of a request while it is received, decoded and served.
_BODY_COPIES = 3
_schema = load_schema("wire")


@attrs.frozen
class ConnectionLimits:
    """Limits of one connection.

    :param heartbeat: time between two pings while requests are outstanding,
        seconds.
    :param silence: a connection with outstanding requests that receives nothing
        for this time is closed, seconds.
    :param idle_heartbeat: time between two pings on an idle connection, seconds;
        keeps the state of devices between the two ends alive.
    :param message_bytes: largest body of a message.
    :param requests: most requests of the peer in progress.
    :param account: memory held for the connections of the process; None counts no
        messages.
    """

    heartbeat: float = 0.75
    silence: float = 1.5
    idle_heartbeat: float = 5.0
    message_bytes: int = 16 << 20
    requests: int = 2048
    account: MemoryAccount | None = None


Handler = Callable[[Message, Peer], Awaitable[Message]]
NoticeHandler = Callable[[Message, Peer], None]


@attrs.define(eq=False)
class _Pending:
    done: trio.Event = attrs.field(factory=trio.Event)
    reply: Message | None = None
    error: LinkError | None = None
    is_written: bool = False


@attrs.define(eq=False)
class _Partial:
    """A message of which the body has not been received completely.

    :param received_bytes: size of the body received so far.
    :param holding: memory held for a body of several frames.
    :param is_dropped: true once the message had to give way to others.
    """

    kind: FrameKind
    flags: FrameFlag
    payload: bytes
    body: bytearray = attrs.field(factory=bytearray)
    received_bytes: int = 0
    holding: Holding | None = None
    is_dropped: bool = False

    def add(self, data: bytes) -> None:
        """Adds a part of the body, unless the message was dropped."""
        self.received_bytes += len(data)
        if self.is_dropped:
            return
        self.body += data
        if self.holding is not None:
            self.holding.charge(_BODY_COPIES * len(data))

    def drop(self) -> None:
        """Frees the body; the rest of it is ignored."""
        self.is_dropped = True
        self.body = bytearray()

    def close(self) -> None:
        """Counts the message no longer."""
        if self.holding is not None:
            self.holding.close()


@attrs.define(eq=False)
class Connection:
    """One connection to a peer process after the handshake.

    Both ends may send requests. :meth:`run` has to be running.

    :param peer: the other end.
    :param failure: set when the peer sent something malformed.
    """

    peer: Peer
    _stream: trio.abc.Stream
    _decoder: FrameDecoder
    _handler: Handler | None
    _notice_handler: NoticeHandler | None
    _limits: ConnectionLimits
    _send_lock: trio.Lock = attrs.field(factory=trio.Lock)
    _ids: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    _pending: dict[int, _Pending] = attrs.field(factory=dict)
    _partials: dict[tuple[int, bool], _Partial] = attrs.field(factory=dict)
    _serving: dict[int, trio.CancelScope] = attrs.field(factory=dict)
    # Memory held for the requests that are being served, by correlation.
    _holdings: dict[int, Holding] = attrs.field(factory=dict)
    _requested: trio.Event = attrs.field(factory=trio.Event)
    _last_received: float = attrs.field(factory=trio.current_time)
    failure: FrameError | None = None
    _closed: bool = False

    @property
    def is_closed(self) -> bool:
        """True once no more requests can be sent."""
        return self._closed

    @property
    def outstanding(self) -> int:
        """Requests that wait for a reply."""
        return len(self._pending)

    @property
    def serving(self) -> int:
        """Requests of the peer that are in progress."""
        return len(self._serving)

    async def request(self, message: Message) -> Message:
        """Sends a request and waits for its reply.

        A cancelled wait sends a cancellation to the peer.

        :raises LinkError: when the connection ends first; ``may_have_run`` is
            false only when nothing of the request was handed to the stream.
        """
        if self._closed:
            raise LinkError("connection is closed", may_have_run=False)
        correlation = next(self._ids) & 0xFFFFFFFF
        pending = _Pending()
        self._pending[correlation] = pending
        self._requested.set()
        try:
            await self._send_message(message, FrameFlag.NONE, correlation, pending)
            await pending.done.wait()
        except trio.Cancelled:
            self._pending.pop(correlation, None)
            if pending.is_written:
                with trio.CancelScope(shield=True):
                    await self._send_control(FrameKind.CANCEL, correlation)
            raise
        finally:
            self._pending.pop(correlation, None)
            self._drop_partial(correlation, is_reply=True)
        if pending.error is not None:
            raise pending.error
        return pending.reply

    async def notify(self, message: Message) -> None:
        """Sends a message that has no reply.

        :raises LinkError: when the connection is closed.
        """
        await self._send_message(message, FrameFlag.NONE, 0, _Pending())

    async def run(self) -> None:
        """Receives frames until the connection ends, then fails what waits."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_heartbeats)
                await self._receive_frames(nursery)
                nursery.cancel_scope.cancel()
        finally:
            await self.close()

    async def close(self, reason: str = "connection ended") -> None:
        """Closes the stream; outstanding requests end with an error."""
        self._closed = True
        self._fail_pending(reason)
        for scope in self._serving.values():
            scope.cancel()
        for correlation, is_reply in list(self._partials):
            self._drop_partial(correlation, is_reply=is_reply)
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await trio.aclose_forcefully(self._stream)

    def _fail_pending(self, reason: str) -> None:
        for pending in self._pending.values():
            if not pending.done.is_set():
                pending.error = LinkError(reason, may_have_run=pending.is_written)
                pending.done.set()

    async def _send_message(
        self,
        message: Message,
        flags: FrameFlag,
        correlation: int,
        pending: _Pending,
    ) -> None:
        body = message.body
        more = FrameFlag.MORE if body else FrameFlag.NONE
        head = encode_frame(message.kind, flags | more, correlation, message.payload)
        if body and len(body) <= BODY_CHUNK_BYTES:
            # One write for a small body: most messages take this way.
            head += encode_frame(FrameKind.BODY, flags, correlation, body)
            body = b""
        await self._send_bytes(head, pending)
        for start in range(0, len(body), BODY_CHUNK_BYTES):
            chunk = body[start : start + BODY_CHUNK_BYTES]
            is_last = start + BODY_CHUNK_BYTES >= len(body)
            chunk_flags = flags if is_last else flags | FrameFlag.MORE
            frame = encode_frame(FrameKind.BODY, chunk_flags, correlation, chunk)
            await self._send_bytes(frame, pending)

    async def _send_bytes(self, data: bytes, pending: _Pending) -> None:
        async with hold_lock(self._send_lock):
            if self._closed:
                raise LinkError("connection is closed", may_have_run=pending.is_written)
            pending.is_written = True
            try:
                with trio.CancelScope(shield=True) as scope:
                    # A frame that is cut short would garble all that follow, so
                    # cancellation waits; a peer that takes nothing is silent.
                    scope.deadline = trio.current_time() + self._limits.silence
                    await self._stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                await self.close("peer closed the connection")
                raise LinkError(str(error), may_have_run=True) from error
            if scope.cancelled_caught:
                await self.close("peer takes no data")
                raise LinkError("peer takes no data", may_have_run=True)

    async def _send_heartbeats(self) -> None:
        limits = self._limits
        unanswered_ping: float | None = None
        while not self._closed:
            await self._pause_heartbeats(is_waiting=unanswered_ping is not None)
            now = trio.current_time()
            if unanswered_ping is not None and self._last_received >= unanswered_ping:
                unanswered_ping = None
            if unanswered_ping is not None:
                if now - unanswered_ping >= limits.silence - limits.heartbeat:
                    await self.close(f"no data for {limits.silence:g} s")
                continue
            pause = limits.heartbeat if self._pending else limits.idle_heartbeat
            if now - self._last_received >= pause:
                unanswered_ping = now
                await self._send_control(FrameKind.PING, 0)

    async def _pause_heartbeats(self, *, is_waiting: bool) -> None:
        limits = self._limits
        if is_waiting or self._pending or self._requested.is_set():
            self._requested = trio.Event()
            await trio.sleep(limits.heartbeat)
            return
        # Hundreds of idle connections must not wake the process twice a second.
        with trio.move_on_after(limits.idle_heartbeat):
            await self._requested.wait()

    async def _send_control(self, kind: FrameKind, correlation: int) -> None:
        with contextlib.suppress(LinkError):
            frame = encode_frame(kind, FrameFlag.NONE, correlation)
            await self._send_bytes(frame, _Pending())

    async def _receive_frames(self, nursery: trio.Nursery) -> None:
        try:
            await self._read_stream(nursery)
        except FrameError as error:
            logging.warning("Closing connection to %s: %s", self.peer, error)
            self.failure = error
            await self.close(str(error))

    async def _read_stream(self, nursery: trio.Nursery) -> None:
        while not self._closed:
            while (frame := self._decoder.take_frame()) is not None:
                await self._dispatch(frame, nursery)
            try:
                data = await self._stream.receive_some(_RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            self._last_received = trio.current_time()
            self._decoder.feed(data)
            # It would stay in memory while the next bytes are waited for.
            del data

    async def _dispatch(self, frame: Frame, nursery: trio.Nursery) -> None:
        if frame.kind is FrameKind.PING:
            # Not awaited here: a peer that takes no data must not stop us reading.
            nursery.start_soon(self._send_control, FrameKind.PONG, 0)
        elif frame.kind is FrameKind.CANCEL:
            scope = self._serving.get(frame.correlation)
            if scope is not None:
                scope.cancel()
            self._drop_partial(frame.correlation, is_reply=False)
        elif frame.kind is not FrameKind.PONG and not self._is_late(frame):
            whole = self._assemble(frame, nursery)
            if whole is not None:
                self._deliver(frame, whole, nursery)

    def _is_late(self, frame: Frame) -> bool:
        """True for a part of a reply that nobody waits for any more."""
        is_reply = bool(frame.flags & FrameFlag.REPLY)
        return is_reply and frame.correlation not in self._pending

    def _drop_partial(self, correlation: int, *, is_reply: bool) -> None:
        partial = self._partials.pop((correlation, is_reply), None)
        if partial is not None:
            partial.close()

    def _open_holding(self, partial: _Partial) -> None:
        """Begins to count a message; a request may give way to others."""
        account = self._limits.account
        if account is None:
            return
        partial.holding = account.open(partial.drop)
        partial.holding.is_settled = bool(partial.flags & FrameFlag.REPLY)

    def _assemble(self, frame: Frame, nursery: trio.Nursery) -> Message | None:
        key = (frame.correlation, bool(frame.flags & FrameFlag.REPLY))
        has_more = bool(frame.flags & FrameFlag.MORE)
        if frame.kind is not FrameKind.BODY:
            if not has_more:
                return Message(frame.kind, frame.payload)
            self._drop_partial(frame.correlation, is_reply=key[1])
            self._partials[key] = _Partial(frame.kind, frame.flags, frame.payload)
            return None
        partial = self._partials.get(key)
        if partial is None:
            raise FrameError("body frame without a message")
        if has_more and partial.holding is None:
            self._open_holding(partial)
        partial.add(frame.payload)
        if partial.received_bytes > self._limits.message_bytes:
            raise FrameError(f"message exceeds {self._limits.message_bytes} bytes")
        if has_more:
            return None
        del self._partials[key]
        return self._complete(frame, partial, nursery)

    def _complete(
        self, frame: Frame, partial: _Partial, nursery: trio.Nursery
    ) -> Message | None:
        """Returns a message whose body is complete; refuses one that was dropped."""
        if partial.is_dropped:
            partial.close()
            self._refuse(frame, "no memory for the body", nursery)
            return None
        if partial.flags & FrameFlag.REPLY or not frame.correlation:
            partial.close()
        elif partial.holding is not None:
            partial.holding.is_settled = True
            self._holdings[frame.correlation] = partial.holding
        return Message(partial.kind, partial.payload, bytes(partial.body))

    def _refuse(self, frame: Frame, reason: str, nursery: trio.Nursery) -> None:
        """Tells the peer that a request has not run."""
        self._release(frame.correlation)
        error = _create_error_message("busy", reason, False)
        nursery.start_soon(self._reply, error, frame.correlation)

    def _release(self, correlation: int) -> None:
        holding = self._holdings.pop(correlation, None)
        if holding is not None:
            holding.close()

    def _deliver(self, frame: Frame, message: Message, nursery: trio.Nursery) -> None:
        if frame.flags & FrameFlag.REPLY:
            self._resolve(frame.correlation, message)
        elif frame.correlation == 0:
            if self._notice_handler is not None:
                self._notice_handler(message, self.peer)
        elif len(self._serving) >= self._limits.requests:
            self._refuse(frame, "too many requests", nursery)
        else:
            scope = trio.CancelScope()
            self._serving[frame.correlation] = scope
            nursery.start_soon(self._serve, message, frame.correlation, scope)

    def _resolve(self, correlation: int, message: Message) -> None:
        pending = self._pending.get(correlation)
        if pending is None or pending.done.is_set():
            # The caller has given up; a late reply belongs to nobody else,
            # since correlation ids are not reused.
            return
        if message.kind is FrameKind.ERROR:
            error = decode_struct(_schema.Error, message.payload)
            pending.error = LinkError(
                error.message, may_have_run=error.mayHaveRun, code=error.code
            )
        else:
            pending.reply = message
        pending.done.set()

    async def _serve(
        self, message: Message, correlation: int, scope: trio.CancelScope
    ) -> None:
        try:
            with scope:
                reply = await self._handle(message)
                await self._reply(reply, correlation)
        finally:
            self._serving.pop(correlation, None)
            self._release(correlation)

    async def _handle(self, message: Message) -> Message:
        if self._handler is None:
            return _create_error_message("no-handler", "peer serves nothing", False)
        try:
            return await self._handler(message, self.peer)
        except FrameError as error:
            return _create_error_message(error.code, str(error), False)
        except ColtsfootsparError as error:
            return _create_error_message(error.code, str(error), True)
        except Exception:
            # One faulty request must not end the calls of all others.
            logging.exception("Request of kind %s failed", message.kind.name)
            return _create_error_message("internal", "internal error", True)

    async def _reply(self, message: Message, correlation: int) -> None:
        with contextlib.suppress(LinkError):
            await self._send_message(message, FrameFlag.REPLY, correlation, _Pending())


def _create_error_message(code: str, text: str, may_have_run: bool) -> Message:
    payload = create_struct(
        _schema.Error, code=code, message=text, mayHaveRun=may_have_run
    ).to_bytes()
    return Message(FrameKind.ERROR, payload)


async def create_connection(
    stream: trio.abc.Stream,
    identity: Identity,
    *,
    is_dialer: bool,
    handler: Handler | None = None,
    notice_handler: NoticeHandler | None = None,
    limits: ConnectionLimits | None = None,
) -> Connection:
    """Does the handshake on a new stream.

    :param handler: serves the requests of the peer.
    :param notice_handler: takes messages that have no reply.
    :returns: a connection whose :meth:`Connection.run` the caller starts.
    :raises HandshakeError: when the peer does not belong to the deployment.
    """
    decoder = FrameDecoder(MAX_HANDSHAKE_FRAME_BYTES)
    peer = await shake_hands(stream, identity, decoder, is_dialer=is_dialer)
    decoder.max_frame_bytes = MAX_FRAME_BYTES
    return Connection(
        peer, stream, decoder, handler, notice_handler, limits or ConnectionLimits()
    )
