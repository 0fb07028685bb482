"""In-memory links with delay, loss, duplication and cuts."""

import random
from collections.abc import Awaitable, Callable

import attrs
import trio

from coltsfootspar.exceptions import LinkError
from coltsfootspar.wire import Address, Message

__all__ = ["FakeNetwork", "FakePort", "LinkState", "create_network"]

# The time after which a real connection reports that its peer is silent.
_SILENCE_SECONDS = 1.5
_PORT_BACKLOG = 10_000

RequestHandler = Callable[[str, Message], Awaitable[Message]]


@attrs.frozen
class LinkState:
    """One direction of a link.

    :param delay: one-way delay, seconds.
    :param jitter: largest random extra delay, seconds.
    :param loss: share of messages that are lost, 0 to 1.
    :param duplication: share of messages that arrive twice, 0 to 1.
    :param is_cut: true when nothing passes.
    """

    delay: float = 0.0
    jitter: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0
    is_cut: bool = False


@attrs.define(eq=False)
class FakePort:
    """Datagram port on a fake network."""

    address: Address
    _network: "FakeNetwork"
    _sender: trio.MemorySendChannel
    _receiver: trio.MemoryReceiveChannel

    async def send(self, address: Address, data: bytes) -> None:
        """Sends a datagram; it may be lost, delayed, reordered or doubled."""
        await trio.lowlevel.checkpoint()
        self._network.transmit(self.address, address, data)

    async def receive(self) -> tuple[bytes, Address]:
        """Waits for a datagram.

        :returns: its data and the sender's address.
        """
        return await self._receiver.receive()


@attrs.define(eq=False)
class FakeNetwork:
    """Links between named processes, and datagrams between addresses.

    The state of a link applies to one direction. Datagram ports are named by
    the text form of their address.
    """

    _random: random.Random
    _nursery: trio.Nursery
    default: LinkState = attrs.field(factory=LinkState)
    sent: int = 0
    sent_bytes: dict[str, int] = attrs.field(factory=dict)
    _links: dict[tuple[str, str], LinkState] = attrs.field(factory=dict)
    _handlers: dict[str, RequestHandler] = attrs.field(factory=dict)
    _ports: dict[Address, FakePort] = attrs.field(factory=dict)

    def set_link(self, source: str, target: str, state: LinkState) -> None:
        """Sets one direction of a link."""
        self._links[source, target] = state

    def get_link(self, source: str, target: str) -> LinkState:
        """Returns the state of one direction."""
        return self._links.get((source, target), self.default)

    def cut(self, group: set[str], others: set[str]) -> None:
        """Cuts all links between two groups in both directions."""
        self._set_cut(group, others, True)

    def heal(self, group: set[str], others: set[str]) -> None:
        """Undoes :meth:`cut`."""
        self._set_cut(group, others, False)

    def _set_cut(self, group: set[str], others: set[str], is_cut: bool) -> None:
        for a in group:
            for b in others - {a}:
                for pair in ((a, b), (b, a)):
                    state = attrs.evolve(self.get_link(*pair), is_cut=is_cut)
                    self._links[pair] = state

    def attach(self, name: str, handler: RequestHandler | None) -> None:
        """Sets who answers requests to a process; None when it is down."""
        if handler is None:
            self._handlers.pop(name, None)
        else:
            self._handlers[name] = handler

    async def request(self, source: str, target: str, message: Message) -> Message:
        """Sends a request over a connection and waits for the reply.

        :raises LinkError: when the target is down or either direction fails.
        """
        handler = self._handlers.get(target)
        if handler is None:
            await trio.sleep(self.get_link(source, target).delay)
            raise LinkError(f"{target} is down", may_have_run=False)
        if not await self._pass(source, target):
            await trio.sleep(_SILENCE_SECONDS)
            raise LinkError(f"{target} is silent", may_have_run=True)
        handler = self._handlers.get(target)
        if handler is None:
            raise LinkError(f"{target} went down", may_have_run=True)
        if self._draw(self.get_link(source, target).duplication):
            self._nursery.start_soon(self._run_duplicate, handler, source, message)
        reply = await handler(source, message)
        if not await self._pass(target, source):
            await trio.sleep(_SILENCE_SECONDS)
            raise LinkError(f"{target} is silent", may_have_run=True)
        if self._handlers.get(target) is not handler:
            raise LinkError(f"{target} went down", may_have_run=True)
        return reply

    def open_port(self, address: Address) -> FakePort:
        """Opens a datagram port, replacing an earlier one of the address."""
        sender, receiver = trio.open_memory_channel(_PORT_BACKLOG)
        port = FakePort(address, self, sender, receiver)
        self._ports[address] = port
        return port

    def close_port(self, address: Address) -> None:
        """Closes a datagram port; datagrams to it are lost."""
        self._ports.pop(address, None)

    def transmit(self, source: Address, target: Address, data: bytes) -> None:
        """Carries one datagram."""
        self.sent += 1
        name = str(source)
        self.sent_bytes[name] = self.sent_bytes.get(name, 0) + len(data)
        link = self.get_link(name, str(target))
        if link.is_cut or self._draw(link.loss):
            return
        copies = 2 if self._draw(link.duplication) else 1
        for _ in range(copies):
            self._nursery.start_soon(
                self._deliver, source, target, data, self._draw_delay(link)
            )

    async def _deliver(
        self, source: Address, target: Address, data: bytes, delay: float
    ) -> None:
        await trio.sleep(delay)
        port = self._ports.get(target)
        if port is not None:
            try:
                port._sender.send_nowait((data, source))
            except trio.WouldBlock:
                return

    async def _run_duplicate(
        self, handler: RequestHandler, source: str, message: Message
    ) -> None:
        await trio.sleep(self._draw_delay(self.default))
        try:
            await handler(source, message)
        except Exception:
            # Nobody waits for the reply to a duplicate.
            return

    async def _pass(self, source: str, target: str) -> bool:
        link = self.get_link(source, target)
        await trio.sleep(self._draw_delay(link))
        now = self.get_link(source, target)
        return not (now.is_cut or self._draw(now.loss))

    def _draw(self, share: float) -> bool:
        return share > 0 and self._random.random() < share

    def _draw_delay(self, link: LinkState) -> float:
        return link.delay + link.jitter * self._random.random()


def create_network(nursery: trio.Nursery, seed: int) -> FakeNetwork:
    """Creates a network without delays or losses.

    :param nursery: carries the messages in flight.
    :param seed: seed of losses, duplicates and jitter.
    """
    return FakeNetwork(random.Random(seed), nursery)
