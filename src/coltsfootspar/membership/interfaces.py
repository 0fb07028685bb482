"""Interfaces that the membership layer requires."""

from typing import Protocol

from coltsfootspar.wire import Address

__all__ = ["DatagramPort"]


class DatagramPort(Protocol):
    """Open datagram port; datagrams may be lost, duplicated or reordered."""

    async def send(self, address: Address, data: bytes) -> None:
        """Sends a datagram; a send error is treated as packet loss."""

    async def receive(self) -> tuple[bytes, Address]:
        """Waits for a datagram.

        :returns: the payload and the address of the sender.
        """
