"""What membership needs from outside."""

from typing import Protocol

from coltsfootspar.wire import Address

__all__ = ["DatagramPort"]


class DatagramPort(Protocol):
    """An open port for datagrams, which may be lost, doubled or reordered."""

    async def send(self, address: Address, data: bytes) -> None:
        """Sends a datagram; a failure to send counts as a loss."""

    async def receive(self) -> tuple[bytes, Address]:
        """Waits for a datagram.

        :returns: its data and the sender's address.
        """
