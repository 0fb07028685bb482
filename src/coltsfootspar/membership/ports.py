"""UDP port for membership datagrams.

The port uses a plain socket instead of a trio one: an operation that can complete
immediately then costs no pass through the scheduler.
"""

import contextlib
import errno
import ipaddress
import socket
from collections.abc import AsyncIterator

import attrs
import trio

from coltsfootspar.exceptions import MembershipError
from coltsfootspar.wire import MAX_DATAGRAM_BYTES, Address

__all__ = ["UdpPort", "open_udp_port"]

# One byte above the maximum, so that an oversized datagram can be detected.
_MAX_RECEIVE_BYTES = MAX_DATAGRAM_BYTES + 1
# Datagrams received in a row before other tasks run.
_MAX_IMMEDIATE_DATAGRAMS = 32
_CLOSED_ERRNOS = (errno.EBADF, errno.ENOTSOCK)


@attrs.define(eq=False)
class UdpPort:
    """Datagram port on a UDP socket.

    :param address: address to which the socket is bound.
    :param send_errors: number of datagrams that the operating system rejected.
    """

    address: Address
    _socket: socket.socket
    send_errors: int = 0
    _immediate_datagrams: int = 0

    async def send(self, address: Address, data: bytes) -> None:
        """Sends a datagram; a send error is counted and treated as packet loss."""
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError:
            self.send_errors += 1

    async def receive(self) -> tuple[bytes, Address]:
        """Waits for a datagram.

        :returns: the payload and the address of the sender.
        :raises MembershipError: when the socket is closed.
        """
        self._immediate_datagrams += 1
        if self._immediate_datagrams > _MAX_IMMEDIATE_DATAGRAMS:
            self._immediate_datagrams = 0
            await trio.lowlevel.checkpoint()
        while True:
            try:
                data, source = self._socket.recvfrom(_MAX_RECEIVE_BYTES)
            except BlockingIOError:
                self._immediate_datagrams = 0
                await self._wait_readable()
            except OSError as error:
                # Linux reports here that an earlier send was refused (ECONNREFUSED).
                if error.errno in _CLOSED_ERRNOS:
                    raise MembershipError("UDP port is closed", code="port") from error
                # Such reports must not keep other tasks from running.
                await trio.lowlevel.checkpoint()
            else:
                return data, Address(source[0], source[1])

    async def _wait_readable(self) -> None:
        try:
            await trio.lowlevel.wait_readable(self._socket)
        except (trio.ClosedResourceError, ValueError) as error:
            raise MembershipError("UDP port is closed", code="port") from error

    def close(self) -> None:
        """Closes the socket and ends a wait for a datagram."""
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()


@contextlib.asynccontextmanager
async def open_udp_port(address: Address) -> AsyncIterator[UdpPort]:
    """Opens a UDP port; port 0 selects a free port.

    :raises MembershipError: when the address cannot be bound.
    """
    is_v6 = ipaddress.ip_address(address.host).version == 6
    family = socket.AF_INET6 if is_v6 else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    sock.setblocking(False)
    try:
        sock.bind((address.host, address.port))
    except OSError as error:
        sock.close()
        raise MembershipError(
            f"cannot bind UDP {address}: {error}", code="port"
        ) from error
    host, bound_port = sock.getsockname()[:2]
    port = UdpPort(Address(host, bound_port), sock)
    try:
        yield port
    finally:
        port.close()
