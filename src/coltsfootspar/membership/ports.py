"""UDP port for membership datagrams."""

import contextlib
import errno
import ipaddress
from collections.abc import AsyncIterator

import attrs
import trio

from coltsfootspar.exceptions import MembershipError
from coltsfootspar.wire import MAX_DATAGRAM_BYTES, Address

__all__ = ["UdpPort", "open_udp_port"]

# One byte above the maximum, so that an oversized datagram can be detected.
_MAX_RECEIVE_BYTES = MAX_DATAGRAM_BYTES + 1
_CLOSED_ERRNOS = (errno.EBADF, errno.ENOTSOCK)


@attrs.define(eq=False)
class UdpPort:
    """Datagram port on a UDP socket.

    :param address: address to which the socket is bound.
    :param send_errors: number of datagrams that the operating system rejected.
    """

    address: Address
    _socket: trio.socket.SocketType
    send_errors: int = 0

    async def send(self, address: Address, data: bytes) -> None:
        """Sends a datagram; a send error is counted and treated as packet loss."""
        try:
            await self._socket.sendto(data, (address.host, address.port))
        except OSError:
            self.send_errors += 1

    async def receive(self) -> tuple[bytes, Address]:
        """Waits for a datagram.

        :returns: the payload and the address of the sender.
        :raises MembershipError: when the socket is closed.
        """
        while True:
            try:
                data, source = await self._socket.recvfrom(_MAX_RECEIVE_BYTES)
            except trio.ClosedResourceError as error:
                raise MembershipError("UDP port is closed", code="port") from error
            except OSError as error:
                # Linux reports here that an earlier send was refused (ECONNREFUSED).
                if error.errno in _CLOSED_ERRNOS:
                    raise MembershipError("UDP port is closed", code="port") from error
                continue
            return data, Address(source[0], source[1])


@contextlib.asynccontextmanager
async def open_udp_port(address: Address) -> AsyncIterator[UdpPort]:
    """Opens a UDP port; port 0 selects a free port.

    :raises MembershipError: when the address cannot be bound.
    """
    is_v6 = ipaddress.ip_address(address.host).version == 6
    family = trio.socket.AF_INET6 if is_v6 else trio.socket.AF_INET
    with trio.socket.socket(family, trio.socket.SOCK_DGRAM) as socket:
        try:
            await socket.bind((address.host, address.port))
        except OSError as error:
            raise MembershipError(
                f"cannot bind UDP {address}: {error}", code="port"
            ) from error
        host, port = socket.getsockname()[:2]
        yield UdpPort(Address(host, port), socket)
