"""Crowds of clients that keep to no rules, and what a process holds for them."""

import contextlib
import enum
import fcntl
import pathlib
import tempfile
from collections.abc import Iterator

import attrs
import trio

from coltsfootspar.wire import Address

__all__ = [
    "Crowd",
    "CrowdKind",
    "count_descriptors",
    "hold_reading",
    "hold_silent",
    "lock_machine",
    "read_peak_memory",
    "send_ordinary",
]

_LOCK = pathlib.Path(tempfile.gettempdir()) / "coltsfootspar-crowds.lock"
_FAR_OVER_BYTES = 1 << 40
_PIECE_BYTES = 16_384
_LARGE_CHUNK_BYTES = 65_536
# Most that one client sends of a body that never ends.
_MAX_SENT_BYTES = 4_000_000
_ATTEMPTS = 20
_ATTEMPT_SECONDS = 5.0
_PAUSE_SECONDS = 0.5


class CrowdKind(enum.Enum):
    """What each client of a crowd sends."""

    WHOLE = "whole"
    SHORT = "stops-short"
    SHORT_LARGE_CHUNKS = "large-chunks-stop-short"
    SHORT_TINY_CHUNKS = "tiny-chunks-stop-short"
    OVER_ANNOUNCED = "far-over-announced"
    OVER_SENT = "far-over-sent"
    ANSWER_UNREAD = "answer-unread"


@attrs.frozen
class Crowd:
    """Clients that connect at once, send a body each, and stay open.

    :param head: request line and headers, without framing and the blank line.
    :param clients: connections.
    :param body_bytes: size of the body of each client.
    :param missing_bytes: bytes that a client that stops short leaves out.
    :param settle_seconds: time after which clients that are not read stop sending.
    """

    kind: CrowdKind
    head: bytes
    clients: int
    body_bytes: int
    missing_bytes: int = 5_000
    settle_seconds: float = 15.0

    async def press(self, address: Address, *, task_status: trio.TaskStatus) -> None:
        """Sends from all clients and keeps their connections open until cancelled.

        Reports as started when all have sent what they send, were answered or closed,
        or have waited for the server for too long.
        """
        async with trio.open_nursery() as connections:
            with trio.move_on_after(self.settle_seconds):
                async with trio.open_nursery() as senders:
                    for _ in range(self.clients):
                        stream = await trio.open_tcp_stream(address.host, address.port)
                        is_unread = self.kind is CrowdKind.ANSWER_UNREAD
                        hold = hold_silent if is_unread else hold_reading
                        connections.start_soon(hold, stream)
                        senders.start_soon(self._send, stream)
            task_status.started()
            await trio.sleep_forever()

    async def _send(self, stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            for piece in self._iterate_pieces():
                await stream.send_all(piece)

    def _iterate_pieces(self) -> Iterator[bytes]:
        length = self.body_bytes
        match self.kind:
            case CrowdKind.WHOLE | CrowdKind.ANSWER_UNREAD:
                yield self._create_head(b"Content-Length: %d" % length)
                yield b"x" * length
            case CrowdKind.SHORT:
                yield self._create_head(b"Content-Length: %d" % length)
                yield from _split(length - self.missing_bytes)
            case CrowdKind.SHORT_LARGE_CHUNKS:
                yield self._create_head(b"Transfer-Encoding: chunked")
                chunk = _encode_chunk(_LARGE_CHUNK_BYTES)
                for _ in range((length - self.missing_bytes) // _LARGE_CHUNK_BYTES):
                    yield chunk
            case CrowdKind.SHORT_TINY_CHUNKS:
                yield self._create_head(b"Transfer-Encoding: chunked")
                chunks = _encode_chunk(3) * 2_000
                for _ in range((length - self.missing_bytes) // 6_000):
                    yield chunks
            case CrowdKind.OVER_ANNOUNCED:
                yield self._create_head(b"Content-Length: %d" % _FAR_OVER_BYTES)
                yield from _split(_MAX_SENT_BYTES)
            case CrowdKind.OVER_SENT:
                yield self._create_head(b"Transfer-Encoding: chunked")
                chunk = _encode_chunk(_LARGE_CHUNK_BYTES)
                for _ in range(_MAX_SENT_BYTES // _LARGE_CHUNK_BYTES):
                    yield chunk

    def _create_head(self, framing: bytes) -> bytes:
        return self.head + framing + b"\r\n\r\n"


async def hold_reading(stream: trio.SocketStream) -> None:
    """Reads what the server answers and keeps the connection open."""
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        while await stream.receive_some():
            pass
    await trio.sleep_forever()


async def hold_silent(stream: trio.SocketStream) -> None:
    """Keeps a connection open and reads nothing."""
    async with stream:
        await trio.sleep_forever()


def _split(length: int) -> Iterator[bytes]:
    while length > 0:
        size = min(_PIECE_BYTES, length)
        yield b"x" * size
        length -= size


def _encode_chunk(length: int) -> bytes:
    return b"%x\r\n%s\r\n" % (length, b"x" * length)


@contextlib.contextmanager
def lock_machine() -> Iterator[None]:
    """Lets only one such test run at a time."""
    with _LOCK.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


async def send_ordinary(address: Address, data: bytes) -> bytes:
    """Sends a request, again after a refusal, and returns the last answer.

    :param data: request that closes its connection.
    """
    answer = b""
    for _ in range(_ATTEMPTS):
        answer = await _send_once(address, data)
        if b" 200 " in answer[:20]:
            break
        await trio.sleep(_PAUSE_SECONDS)
    return answer


async def _send_once(address: Address, data: bytes) -> bytes:
    answer = b""
    with (
        contextlib.suppress(OSError, trio.BrokenResourceError),
        trio.move_on_after(_ATTEMPT_SECONDS),
    ):
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            await stream.send_all(data)
            while piece := await stream.receive_some():
                answer += piece
    return answer


def read_peak_memory(process_id: int) -> int:
    """Returns the largest resident size of a process so far, bytes."""
    for line in pathlib.Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise OSError("the system does not tell the resident size")


def count_descriptors(process_id: int) -> int:
    """Returns the number of open descriptors of a process."""
    return sum(1 for _ in pathlib.Path(f"/proc/{process_id}/fd").iterdir())
