"""Sockets: sending, receiving and what is set on each connection.

The relay uses sockets and not trio streams: a call that can proceed at once then
costs one system call and no pass through the scheduler.
"""

import errno
import select
import socket
from collections.abc import Iterable

import trio

from coltsfootspar.exceptions import TransferError
from coltsfootspar.wire import Address

__all__ = [
    "accept",
    "connect",
    "find_readable",
    "limit_silence",
    "listen",
    "peek",
    "receive",
    "send_all",
    "wait_readable",
]

# A connection whose peer confirms nothing for this time is closed. Open
# connections may go silent for good while new ones work.
UNCONFIRMED_MS = 1_500
PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBES = 2
BACKLOG = 1024
_RECEIVE_BYTES = 65_536

# Waits for input where it is not likely to be there: trying first would cost one
# more system call.
wait_readable = trio.lowlevel.wait_readable


def _set_options(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)


def limit_silence(sock: socket.socket, *, reads_slowly: bool) -> None:
    """Sets whether unconfirmed bytes end the connection soon.

    :param reads_slowly: true when the peer may leave long bodies unread for a
        while, which looks the same.
    """
    limit = 0 if reads_slowly else UNCONFIRMED_MS
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit)


async def connect(address: Address, timeout: float) -> socket.socket:
    """Opens a connection.

    :param timeout: longest wait, seconds.
    :raises TransferError: when the peer does not accept it in time.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _set_options(sock)
        limit_silence(sock, reads_slowly=False)
        code = sock.connect_ex((address.host, address.port))
        if code == errno.EINPROGRESS:
            with trio.move_on_after(timeout):
                await trio.lowlevel.wait_writable(sock)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code != 0:
            text = f"{address} did not accept a connection: {errno.errorcode[code]}"
            raise TransferError(text, may_have_run=False, code="unreachable")
    except BaseException:
        sock.close()
        raise
    return sock


def listen(address: Address) -> socket.socket:
    """Opens a listening socket.

    :raises OSError: when the address cannot be listened on.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind((address.host, address.port))
    sock.listen(BACKLOG)
    return sock


async def accept(listener: socket.socket) -> tuple[socket.socket, str]:
    """Waits for a connection.

    :returns: the connection and the IP address of its peer.
    """
    while True:
        try:
            sock, (host, _) = listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            await wait_readable(listener)
        else:
            _set_options(sock)
            return sock, host


async def receive(sock: socket.socket) -> bytes:
    """Waits for bytes; empty when the peer has closed the connection.

    :raises TransferError: when the connection was reset.
    """
    while True:
        try:
            return sock.recv(_RECEIVE_BYTES)
        except BlockingIOError:
            await wait_readable(sock)
        except OSError as error:
            raise TransferError(str(error), may_have_run=True, code="reset") from error


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Sends all bytes.

    :raises TransferError: when the connection was reset.
    """
    rest = memoryview(data)
    while rest:
        try:
            rest = rest[sock.send(rest) :]
        except BlockingIOError:
            await trio.lowlevel.wait_writable(sock)
        except OSError as error:
            raise TransferError(str(error), may_have_run=True, code="reset") from error


def peek(sock: socket.socket) -> bytes | None:
    """Returns the next byte without taking it.

    :returns: None when nothing has arrived; empty when the peer has closed or
        reset the connection.
    """
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def find_readable(descriptors: Iterable[int]) -> list[int]:
    """Finds the connections with bytes or an end to be read, in one system call.

    :param descriptors: file descriptors of open connections.
    """
    poller = select.poll()
    for descriptor in descriptors:
        poller.register(descriptor, select.POLLIN)
    return [descriptor for descriptor, _ in poller.poll(0)]
