"""Notices of input on connections whose tasks are busy."""

import select
from collections.abc import Callable

import attrs

from coltsfootspar.relay.sockets import wait_readable

__all__ = ["InputWatcher", "create_input_watcher"]


@attrs.define(eq=False)
class InputWatcher:
    """Tells connections that input has arrived while they serve a request.

    A task that waits for input on each of them would cost a multiple of the system
    call that arms the watch.
    """

    _epoll: select.epoll
    _callbacks: dict[int, Callable[[], None]] = attrs.field(factory=dict)

    def add(self, descriptor: int, on_input: Callable[[], None]) -> None:
        """Adds a connection, unarmed.

        :param on_input: called once for each time that the watch was armed.
        """
        self._callbacks[descriptor] = on_input
        self._epoll.register(descriptor, select.EPOLLONESHOT)

    def remove(self, descriptor: int) -> None:
        """Removes a connection before its socket is closed."""
        del self._callbacks[descriptor]
        self._epoll.unregister(descriptor)

    def arm(self, descriptor: int) -> None:
        """Watches for the next input on a connection."""
        self._epoll.modify(descriptor, select.EPOLLIN | select.EPOLLONESHOT)

    def disarm(self, descriptor: int) -> None:
        """Ends the watch on a connection."""
        self._epoll.modify(descriptor, select.EPOLLONESHOT)

    async def run(self) -> None:
        """Calls the connections that have input, until cancelled."""
        while True:
            await wait_readable(self._epoll.fileno())
            for descriptor, _ in self._epoll.poll(0):
                self._callbacks[descriptor]()

    def close(self) -> None:
        """Releases the descriptor of the watch."""
        self._epoll.close()


def create_input_watcher() -> InputWatcher:
    """Creates a watcher without connections."""
    return InputWatcher(select.epoll())
