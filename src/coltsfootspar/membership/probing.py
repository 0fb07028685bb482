"""Probes of the members of the own data centre."""

import itertools

import attrs
import trio

from coltsfootspar.membership.members import Member
from coltsfootspar.membership.transport import Transport
from coltsfootspar.membership.view import View
from coltsfootspar.timers import TimerService
from coltsfootspar.wire import Address, FrameKind
from coltsfootspar.wire.membership import MemberStatus, Packet

__all__ = ["Prober"]

_JITTER = 0.1
_MAX_SEQUENCE = 0xFFFFFFFF
_NO_SEQUENCE = 0
# Members that are probed at once to confirm suspicions.
_MAX_CHECKS = 8


@attrs.define(eq=False)
class _Pending:
    target: str
    answered: trio.Event = attrs.field(factory=trio.Event)


@attrs.define(eq=False)
class Prober:
    """Probes one member each period, and answers the probes of others."""

    _view: View
    _transport: Transport
    _timers: TimerService
    _sequences: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    _pending: dict[int, _Pending] = attrs.field(factory=dict)
    _order: list[str] = attrs.field(factory=list)

    async def run(self, nursery: trio.Nursery) -> None:
        """Starts a probe each period.

        :param nursery: runs the probes.
        """
        limits = self._view.limits
        async for _ in self._timers.subscribe(limits.probe_period, _JITTER):
            member = self._select_next()
            if member is not None:
                nursery.start_soon(self._probe, member)

    async def ping(self, member: Member, timeout: float) -> bool:
        """Probes a member directly.

        :param timeout: seconds.
        :returns: whether it answered.
        """
        sequence = self._open(member.node_id)
        try:
            await self._send(member, sequence)
            return await self._wait(sequence, timeout)
        finally:
            del self._pending[sequence]

    async def answer(self, packet: Packet, address: Address) -> None:
        """Answers a probe that is meant for the own node."""
        # The address of a member that is gone may belong to another one now.
        if packet.target in ("", self._view.member_list.own_id):
            await self._acknowledge(packet, address, self._view.member_list.own_id)

    async def check_suspects(self, suspects: list[Member]) -> None:
        """Lets suspects refute in case the news of that has been lost.

        :param suspects: members whose suspicion ends soon.
        """
        count = min(_MAX_CHECKS, len(suspects))
        for member in self._transport.random.sample(suspects, count):
            # The answer is of no use: only a later incarnation ends a suspicion.
            await self._send(member, _NO_SEQUENCE)

    async def answer_indirect(self, packet: Packet, address: Address) -> None:
        """Probes a member for another one and passes on the answer."""
        member = self._view.member_list.get(packet.target)
        if member is None:
            return
        if await self.ping(member, self._view.limits.probe_timeout):
            await self._acknowledge(packet, address, member.node_id)

    def record_answer(self, packet: Packet) -> None:
        """Ends the wait for an answer."""
        pending = self._pending.get(packet.sequence)
        if pending is not None and pending.target == packet.target:
            self._view.last_ack_at = trio.current_time()
            pending.answered.set()

    async def reaches_majority(self) -> bool:
        """Probes some random members, suspects included.

        Shortly after a split few of the other part are suspected yet, so that
        their number does not show which part is the larger one.
        """
        local_peers = self._view.member_list.list_local_peers()
        count = min(_MAX_CHECKS, len(local_peers))
        answers = []

        async def ask(member: Member) -> None:
            if await self.ping(member, self._view.limits.probe_timeout):
                answers.append(member)

        async with trio.open_nursery() as nursery:
            for member in self._transport.random.sample(local_peers, count):
                nursery.start_soon(ask, member)
        # The own node counts as one that answers.
        return 2 * (len(answers) + 1) > count + 1

    async def _probe(self, member: Member) -> None:
        is_answered = await self._is_alive(member)
        if not is_answered and not self._view.is_isolated:
            self._view.suspect(member)

    async def _is_alive(self, member: Member) -> bool:
        limits = self._view.limits
        sequence = self._open(member.node_id)
        try:
            await self._send(member, sequence)
            if await self._wait(sequence, limits.probe_timeout):
                return True
            await self._send(member, sequence)
            await self._ask_others(member, sequence)
            rest = limits.probe_deadline - limits.probe_timeout
            return await self._wait(sequence, rest)
        finally:
            del self._pending[sequence]

    async def _ask_others(self, member: Member, sequence: int) -> None:
        helpers = [
            other
            for other in self._view.member_list.list_local_peers()
            if other.node_id != member.node_id and other.status is MemberStatus.ALIVE
        ]
        count = min(self._view.limits.indirect_probes, len(helpers))
        for helper in self._transport.random.sample(helpers, count):
            await self._transport.send_probe(
                FrameKind.INDIRECT_PROBE,
                helper.gossip_address,
                helper.node_id,
                sequence=sequence,
                target=member.node_id,
            )

    def _select_next(self) -> Member | None:
        """Goes through all members in a random order, then through another.

        So the time until each member is probed is bounded.
        """
        for _ in range(2):
            while self._order:
                member = self._view.member_list.get(self._order.pop())
                if member is not None and member.is_present:
                    return member
            local_peers = self._view.member_list.list_local_peers()
            self._order = [member.node_id for member in local_peers]
            self._transport.random.shuffle(self._order)
        return None

    def _open(self, target: str) -> int:
        sequence = next(self._sequences) & _MAX_SEQUENCE
        self._pending[sequence] = _Pending(target)
        return sequence

    async def _wait(self, sequence: int, timeout: float) -> bool:
        answered = self._pending[sequence].answered
        with trio.move_on_after(timeout):
            await answered.wait()
        return answered.is_set()

    async def _send(self, member: Member, sequence: int) -> None:
        await self._transport.send_probe(
            FrameKind.PROBE,
            member.gossip_address,
            member.node_id,
            sequence=sequence,
            target=member.node_id,
        )

    async def _acknowledge(self, packet: Packet, address: Address, target: str) -> None:
        await self._transport.send_probe(
            FrameKind.PROBE_ACK,
            address,
            packet.sender,
            packet,
            sequence=packet.sequence,
            target=target,
        )
