"""Non-blocking TCP sockets: opening, options, sending and receiving.

The relay uses plain sockets instead of trio streams: an operation that can complete
immediately then costs one system call and no pass through the scheduler.
"""

import errno
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Iterable

import trio
from absl import logging

from coltsfootspar.exceptions import TransferError
from coltsfootspar.wire import Address

__all__ = [
    "RECEIVE_BYTES",
    "accept",
    "connect",
    "count_unread",
    "find_closed",
    "find_readable",
    "is_refusing",
    "set_user_timeout",
    "listen",
    "peek",
    "receive",
    "send_all",
    "send_some",
    "wait_readable",
]

# A connection is closed when sent data stays unacknowledged for this time. An
# established connection may stop working for good while new ones still work.
USER_TIMEOUT_MS = 1_500
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
BACKLOG = 1024
RECEIVE_BYTES = 65_536

# For use where input is not likely to be available yet: trying to read first would
# cost another system call.
wait_readable = trio.lowlevel.wait_readable


def _set_options(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def set_user_timeout(sock: socket.socket, *, allows_slow_reader: bool) -> None:
    """Sets or clears the timeout for unacknowledged data.

    :param allows_slow_reader: true clears it: a peer that leaves a long body unread
        for a while looks the same as a dead connection.
    """
    limit = 0 if allows_slow_reader else USER_TIMEOUT_MS
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit)


async def connect(address: Address, timeout: float) -> socket.socket:
    """Opens a connection.

    :param timeout: seconds.
    :raises TransferError: when the connection is refused or times out, or the process
        has no descriptor left.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise TransferError(
            str(error), may_have_run=False, code="unreachable"
        ) from error
    try:
        _set_options(sock)
        set_user_timeout(sock, allows_slow_reader=False)
        try:
            code = await _try_connect(sock, address, timeout)
        except OSError as error:
            # For example an address of another family.
            raise TransferError(
                f"{address}: {error}", may_have_run=False, code="unreachable"
            ) from error
        if code != 0:
            reason = errno.errorcode.get(code, code)
            text = f"{address} did not accept a connection: {reason}"
            raise TransferError(text, may_have_run=False, code="unreachable")
    except BaseException:
        sock.close()
        raise
    return sock


async def _try_connect(sock: socket.socket, address: Address, timeout: float) -> int:
    """Connects a non-blocking socket.

    :returns: error number; ``EINPROGRESS`` when the time is over, 0 for success.
    """
    code = sock.connect_ex((address.host, address.port))
    if code == errno.EINPROGRESS:
        with trio.move_on_after(timeout):
            await trio.lowlevel.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return code


def listen(address: Address) -> socket.socket:
    """Opens a listening socket.

    :raises OSError: when the address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind((address.host, address.port))
    sock.listen(BACKLOG)
    return sock


async def accept(listener: socket.socket) -> tuple[socket.socket, str]:
    """Accepts the next connection.

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


async def receive(sock: socket.socket, size: int = RECEIVE_BYTES) -> bytes:
    """Receives data; empty when the peer has closed the connection.

    Does not let other tasks run while data is available: a loop over a body must do
    so itself, before it receives more, so that a cancellation loses no data.

    :param size: most bytes.
    :raises TransferError: when the connection was reset or timed out.
    """
    while True:
        try:
            return sock.recv(size)
        except BlockingIOError:
            await wait_readable(sock)
        except OSError as error:
            raise TransferError(str(error), may_have_run=True, code="reset") from error


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Sends all of the data.

    :raises TransferError: when the connection was reset or timed out.
    """
    rest = data
    while rest:
        try:
            sent = sock.send(rest)
        except BlockingIOError:
            await trio.lowlevel.wait_writable(sock)
            continue
        except OSError as error:
            raise TransferError(str(error), may_have_run=True, code="reset") from error
        if sent == len(rest):
            return
        rest = memoryview(rest)[sent:]


def send_some(sock: socket.socket, data: bytes) -> int:
    """Sends as much as the system takes at once.

    :returns: bytes sent.
    :raises TransferError: when the connection was reset or timed out.
    """
    try:
        return sock.send(data)
    except BlockingIOError:
        return 0
    except OSError as error:
        raise TransferError(str(error), may_have_run=True, code="reset") from error


def count_unread(sock: socket.socket) -> int:
    """Returns the bytes that were sent and that the peer's system has not taken.

    :returns: 0 when there are none, or the system does not tell.
    """
    try:
        value = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return struct.unpack("i", value)[0]


def peek(sock: socket.socket) -> bytes | None:
    """Returns the next byte without consuming it.

    :returns: None when no data is available; empty when the peer has closed or reset
        the connection.
    """
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def find_readable(descriptors: Iterable[int]) -> list[int]:
    """Returns the connections that are readable, in one system call.

    A connection that the peer has closed is readable, too.

    :param descriptors: file descriptors of open connections.
    """
    poller = select.poll()
    for descriptor in descriptors:
        poller.register(descriptor, select.POLLIN)
    return [descriptor for descriptor, _ in poller.poll(0)]


def find_closed(descriptors: Iterable[int]) -> list[int]:
    """Returns the connections that their peers have closed, in one system call.

    Finds them even if there is unread input.

    :param descriptors: file descriptors of open connections.
    """
    poller = select.poll()
    for descriptor in descriptors:
        poller.register(descriptor, select.POLLRDHUP)
    return [descriptor for descriptor, _ in poller.poll(0)]


async def is_refusing(address: Address, timeout: float) -> bool:
    """Tells whether a host refuses connections because no process listens there.

    :param timeout: seconds; a host that does not respond in time is not refusing.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        logging.warning("Host not probed: %s", error)
        return False
    with sock:
        sock.setblocking(False)
        code = await _try_connect(sock, address, timeout)
        return code == errno.ECONNREFUSED
