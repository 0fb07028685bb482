"""Single requests to processes whose id is not known yet."""

import trio
from absl import logging

from coltsfootspar.exceptions import WireError
from coltsfootspar.wire import Address, Identity, Message, create_connection

__all__ = ["ask_address"]


async def ask_address(
    address: Address, identity: Identity, message: Message, seconds: float
) -> Message | None:
    """Sends one request over a connection of its own.

    :param seconds: time for connection and reply.
    :returns: None when there is no reply in time.
    """
    replies = []
    with trio.move_on_after(seconds):
        try:
            async with await trio.open_tcp_stream(address.host, address.port) as stream:
                connection = await create_connection(stream, identity, is_dialer=True)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(connection.run)
                    replies.append(await connection.request(message))
                    nursery.cancel_scope.cancel()
        except* (OSError, WireError, trio.BrokenResourceError) as group:
            logging.debug("No answer of %s: %s", address, group.exceptions[0])
    return replies[0] if replies else None
