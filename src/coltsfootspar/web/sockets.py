"""State of connections, and options that reveal those whose path has failed."""

import select
import socket

import trio

__all__ = ["is_readable", "set_socket_options"]

_KEEPALIVE_IDLE_SECONDS = 1
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 1
_UNACKNOWLEDGED_MILLISECONDS = 1_500


def set_socket_options(stream: trio.SocketStream) -> None:
    """Lets the kernel end a connection that is silent for 2 s.

    A server that works on a long request sends nothing, and a connection that a
    device between the two ends has dropped looks the same. TCP keep-alive tells
    them apart without a message of HTTP.
    """
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        ("TCP_KEEPIDLE", _KEEPALIVE_IDLE_SECONDS),
        ("TCP_KEEPINTVL", _KEEPALIVE_INTERVAL_SECONDS),
        ("TCP_KEEPCNT", _KEEPALIVE_PROBES),
        ("TCP_USER_TIMEOUT", _UNACKNOWLEDGED_MILLISECONDS),
    ):
        if hasattr(socket, option):
            stream.setsockopt(socket.IPPROTO_TCP, getattr(socket, option), value)


def is_readable(stream: trio.SocketStream) -> bool:
    """Tells whether data waits unread, or the peer has closed the connection."""
    poller = select.poll()
    poller.register(stream.socket.fileno(), select.POLLIN)
    return bool(poller.poll(0))
