"""Free ports for tests that listen on loopback."""

import itertools
import os
import socket

__all__ = ["find_free_port"]

# Below the range from which the system takes the ports of outgoing connections, so
# that no connection takes a port between the search and its use.
_FIRST_PORT = 20_000
_PORTS_OF_A_WORKER = 1_000
_WORKERS = 12


def _iterate_ports():
    """Yields the ports of this pytest worker, again and again."""
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
    first = _FIRST_PORT + int(worker) % _WORKERS * _PORTS_OF_A_WORKER
    return itertools.cycle(range(first, first + _PORTS_OF_A_WORKER))


_ports = _iterate_ports()


def find_free_port(host: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Returns a port that no process uses and this function has not returned lately.

    :param host: address at which the port is free.
    :param kind: stream for TCP, datagram for UDP.
    :raises OSError: when all ports are in use.
    """
    for port in itertools.islice(_ports, _PORTS_OF_A_WORKER):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
            return port
    raise OSError("no free port")
