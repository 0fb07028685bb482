"""Settings and callers of the tests that stop processes."""

import socket

import trio

from coltsfootspar.testing.ports import find_free_port
from coltsfootspar.wire import Address

HOST = "127.0.0.1"
TIMEOUT_SECONDS = 40


def find_free_address() -> Address:
    """Returns a TCP address that is currently free."""
    return Address(HOST, find_free_port(HOST))


def create_settings(model: type, **fields):
    """Creates settings of a node or replica on free ports, without any other process.

    :param model: class of the settings.
    :param fields: settings that only this class has.
    """
    return model(
        host=HOST,
        region="r",
        data_centre="a",
        seeds=(find_free_address(),),
        shared_key="5f" * 16,
        control=find_free_address(),
        peer_port=find_free_port(HOST),
        gossip_port=find_free_port(HOST, socket.SOCK_DGRAM),
        metrics_port=find_free_port(HOST),
        **fields,
    )


async def send_and_read(stream: trio.SocketStream, data: bytes) -> bytes:
    """Sends bytes and returns all received bytes until the connection ends."""
    received = b""
    with trio.fail_after(TIMEOUT_SECONDS):
        try:
            await stream.send_all(data)
            while chunk := await stream.receive_some():
                received += chunk
        except trio.BrokenResourceError:
            pass
        await stream.aclose()
    return received
