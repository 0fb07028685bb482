"""Crowds of clients whose requests are odd: heads of short lines, chunks, silence."""

import contextlib
import enum
from collections.abc import Iterator

import attrs
import trio

from coltsfootspar.testing.crowds import hold_reading, hold_silent
from coltsfootspar.wire import Address

__all__ = [
    "HEAD_BYTES",
    "LineShape",
    "OddCrowd",
    "OddKind",
    "create_lines",
]

# Just below the longest head that clients may send.
HEAD_BYTES = 16_000
_HEADS = 5
_HEADS_AHEAD = 40
_TURN_SECONDS = 0.2
_BODY_BYTES = 100_000
_MISSING_BYTES = 5_000
_TINY_CHUNKS = 30_000
_EXTENSION_BYTES = 60_000
_EXTENDED_CHUNKS = 3
_TRAILER_BYTES = 60_000
_SLOW_REQUESTS_AHEAD = 16
_REQUESTS_AHEAD = 64
_PIECE_BYTES = 16_384


class OddKind(enum.Enum):
    """What each client of a crowd does; all keep their connections open."""

    HEADS_IN_TURN = "heads-in-turn"
    HEADS_AT_ONCE = "heads-at-once"
    HEADS_AHEAD = "heads-ahead"
    HEAD_STOPS = "head-stops"
    BODY_STOPS = "body-stops-behind-head"
    TINY_CHUNKS = "chunks-of-one-byte-stop"
    EXTENSIONS = "chunk-extension-stops"
    TRAILERS = "trailer-stops"
    SILENT = "silent"
    SLOW_READER = "slow-reader"
    SLOW_READER_AHEAD = "slow-reader-ahead"
    REQUESTS_AHEAD = "requests-ahead"


class LineShape(enum.Enum):
    """Header lines that fill a head."""

    TINY = "tiny"
    DISTINCT = "distinct"


@attrs.frozen
class OddCrowd:
    """Clients that connect at once and do what their kinds say.

    :param kinds: kinds of the clients, in turn.
    :param head: request line and headers of a request with a body, without framing
        and the blank line.
    :param large: request whose answer is large.
    :param clients: connections.
    :param settle_seconds: time after which clients that are not read stop sending.
    """

    kinds: tuple[OddKind, ...]
    head: bytes
    large: bytes
    clients: int
    settle_seconds: float = 15.0

    async def press(
        self,
        address: Address,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Sends from all clients and keeps their connections open until cancelled.

        Reports as started when all have sent what they send, were answered or closed,
        or have waited for the server for too long.
        """
        async with trio.open_nursery() as connections:
            with trio.move_on_after(self.settle_seconds):
                async with trio.open_nursery() as senders:
                    for index in range(self.clients):
                        await self._start_client(index, address, connections, senders)
            task_status.started()
            await trio.sleep_forever()

    async def _start_client(
        self,
        index: int,
        address: Address,
        connections: trio.Nursery,
        senders: trio.Nursery,
    ) -> None:
        kind = self.kinds[index % len(self.kinds)]
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except OSError:
            return
        if kind in (OddKind.SLOW_READER, OddKind.SLOW_READER_AHEAD):
            connections.start_soon(hold_silent, stream)
        else:
            connections.start_soon(hold_reading, stream)
        senders.start_soon(self._send, kind, index, stream)

    async def _send(self, kind: OddKind, index: int, stream: trio.SocketStream) -> None:
        pause = _TURN_SECONDS if kind is OddKind.HEADS_IN_TURN else 0.0
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            for piece in self._iterate_pieces(kind, index):
                await stream.send_all(piece)
                await trio.sleep(pause)

    def _iterate_pieces(self, kind: OddKind, index: int) -> Iterator[bytes]:
        shapes = list(LineShape)
        lines = create_lines(shapes[index // len(self.kinds) % len(shapes)])
        odd_head = self.head + lines
        whole = odd_head + b"Content-Length: 0\r\n\r\n"
        match kind:
            case OddKind.HEADS_IN_TURN | OddKind.HEADS_AT_ONCE:
                for _ in range(_HEADS):
                    yield whole
            case OddKind.HEADS_AHEAD:
                for _ in range(_HEADS_AHEAD):
                    yield whole
            case OddKind.HEAD_STOPS:
                yield odd_head
            case OddKind.BODY_STOPS:
                yield odd_head + b"Content-Length: %d\r\n\r\n" % _BODY_BYTES
                yield b"x" * (_BODY_BYTES - _MISSING_BYTES)
            case OddKind.TINY_CHUNKS | OddKind.EXTENSIONS | OddKind.TRAILERS:
                yield odd_head + b"Transfer-Encoding: chunked\r\n\r\n"
                yield from _split(_create_chunks(kind))
            case OddKind.SLOW_READER:
                yield self.large
            case OddKind.SLOW_READER_AHEAD:
                yield self.large * _SLOW_REQUESTS_AHEAD
            case OddKind.REQUESTS_AHEAD:
                yield (self.head + b"Content-Length: 0\r\n\r\n") * _REQUESTS_AHEAD


def create_lines(shape: LineShape, length: int = HEAD_BYTES) -> bytes:
    """Returns header lines.

    :param length: their size, bytes.
    """
    if shape is LineShape.TINY:
        return b"a:\r\n" * (length // 4)
    return b"".join(b"x%04x: %s\r\n" % (i, b"v" * 23) for i in range(length // 32))


def _create_chunks(kind: OddKind) -> bytes:
    chunk = b"1\r\nx\r\n"
    if kind is OddKind.TINY_CHUNKS:
        return chunk * _TINY_CHUNKS
    if kind is OddKind.TRAILERS:
        return chunk + b"0\r\ntrailer: " + b"t" * _TRAILER_BYTES
    extended = b"1;" + b"e" * _EXTENSION_BYTES
    return (extended + b"\r\nx\r\n") * _EXTENDED_CHUNKS + extended


def _split(data: bytes) -> Iterator[bytes]:
    for start in range(0, len(data), _PIECE_BYTES):
        yield data[start : start + _PIECE_BYTES]
