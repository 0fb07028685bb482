"""Single requests to peers whose process id is not known yet."""

import trio
from absl import logging

from coltsfootspar.exceptions import WireError
from coltsfootspar.wire import Address, Identity, Message, create_connection

__all__ = ["send_single_request"]


async def send_single_request(
    address: Address, identity: Identity, message: Message, timeout: float
) -> Message | None:
    """Sends one request over a new connection and closes the connection afterwards.

    :param identity: identity of the sender.
    :param timeout: timeout for connect, handshake and reply together, seconds.
    :returns: None when the connection fails or no reply arrives in time.
    """
    replies = []
    with trio.move_on_after(timeout):
        try:
            async with await trio.open_tcp_stream(address.host, address.port) as stream:
                connection = await create_connection(stream, identity, is_dialer=True)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(connection.run)
                    replies.append(await connection.request(message))
                    nursery.cancel_scope.cancel()
        except* (OSError, WireError, trio.BrokenResourceError) as group:
            logging.debug("No reply from %s: %s", address, group.exceptions[0])
    return replies[0] if replies else None
