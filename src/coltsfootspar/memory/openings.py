"""Count of the accepted connections of a process, kept below its descriptors."""

import resource
from collections.abc import Callable
from typing import Protocol

import attrs
import trio

__all__ = ["ConnectionCount", "Openable", "count_allowed_descriptors"]

# Shares of the descriptors: for accepted connections, and for those of peers besides.
# The rest is for connections to peers and backend servers and for files.
_ACCEPTED_SHARE = 0.5
_PEER_SHARE = 0.2
# Share of the idle connections that are closed at once, so that a crowd of new ones
# does not search for an idle one each time.
_CLOSED_SHARE = 0.05
# Connections above their share while those that make room are being closed.
_CLOSING_SHARE = 0.02
# Of a system without a limit.
_MANY_DESCRIPTORS = 1 << 20


def count_allowed_descriptors() -> int:
    """Returns the most descriptors that the system allows this process."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return _MANY_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit


class Openable(Protocol):
    """An accepted connection.

    :param is_idle: true while no byte of a request has been received.
    :param waiting_since: start of the idle time, trio clock, seconds.
    """

    is_idle: bool
    waiting_since: float

    def close_idle(self) -> bool:
        """Closes the connection unless a request has started.

        :returns: true when it is being closed.
        """

    def close_stalled(self, now: float) -> bool:
        """Closes the connection if its peer makes no progress with a request.

        :param now: trio clock, seconds.
        :returns: true when it is being closed.
        """


@attrs.define(eq=False)
class ConnectionCount:
    """Accepted connections of all servers of a process.

    :param descriptors: most open descriptors of the process.
    :param refused: connections closed at once for lack of room.
    :param closed_idle: idle connections closed to make room.
    :param closed_stalled: connections closed to make room whose peers stopped in a
        request or do not read their answers.
    """

    descriptors: int
    refused: int = 0
    closed_idle: int = 0
    closed_stalled: int = 0
    _connections: set[Openable] = attrs.field(factory=set)

    @property
    def most_of_peers(self) -> int:
        """Most connections that a server for peers alone accepts."""
        return int(self.descriptors * _PEER_SHARE)

    def has_room(self, *, is_peer: bool) -> bool:
        """Tells whether a connection may stay open; closes idle ones in its favour.

        :param is_peer: true for a connection of another process of the deployment.
        """
        share = _ACCEPTED_SHARE + (_PEER_SHARE if is_peer else 0.0)
        most = int(self.descriptors * share)
        if len(self._connections) < most:
            return True
        if self._close_longest_idle():
            return True
        # These end only once they have been answered.
        most += int(self.descriptors * _CLOSING_SHARE)
        if self._close_stalled() and len(self._connections) < most:
            return True
        self.refused += 1
        return False

    def add(self, connection: Openable) -> None:
        """Adds an accepted connection."""
        self._connections.add(connection)

    def discard(self, connection: Openable) -> None:
        """Removes a connection that has ended."""
        self._connections.discard(connection)

    def _close_longest_idle(self) -> int:
        """Closes some idle connections and returns their number."""
        idle = [connection for connection in self._connections if connection.is_idle]
        idle.sort(key=lambda connection: connection.waiting_since)
        closed = _close_some(idle, lambda connection: connection.close_idle())
        self.closed_idle += closed
        return closed

    def _close_stalled(self) -> int:
        """Closes some stalled connections and returns their number."""
        now = trio.current_time()
        connections = list(self._connections)
        closed = _close_some(
            connections, lambda connection: connection.close_stalled(now)
        )
        self.closed_stalled += closed
        return closed


def _close_some(connections: list[Openable], close: Callable[[Openable], bool]) -> int:
    """Closes a share of connections, and returns the number of those closed.

    :param close: closes a connection if it may; returns whether it does.
    """
    wanted = 1 + int(len(connections) * _CLOSED_SHARE)
    closed = 0
    for connection in connections:
        if closed == wanted:
            break
        closed += close(connection)
    return closed
