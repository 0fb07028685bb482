"""Failure detection by probes within the local data centre, as in SWIM."""

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

_MAX_SEQUENCE = 0xFFFFFFFF
# Sequence number of probes whose acknowledgement is ignored.
_NO_SEQUENCE = 0
# Members probed at once to confirm suspicions or to look for a majority.
_MAX_CONFIRMING_PROBES = 8


@attrs.define(eq=False)
class _PendingProbe:
    target: str
    acknowledged: trio.Event = attrs.field(factory=trio.Event)


@attrs.define(eq=False)
class Prober:
    """Probes one member per period and acknowledges the probes of others."""

    _view: View
    _transport: Transport
    _timers: TimerService
    _sequences: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    _pending: dict[int, _PendingProbe] = attrs.field(factory=dict)
    _probe_order: list[str] = attrs.field(factory=list)

    async def run(self, nursery: trio.Nursery) -> None:
        """Starts one probe per period, until cancelled.

        :param nursery: nursery that runs the probes.
        """
        limits = self._view.limits
        async for _ in self._timers.subscribe(limits.probe_period):
            member = self._select_next()
            if member is not None:
                nursery.start_soon(self._probe, member)

    async def ping(self, member: Member, timeout: float) -> bool:
        """Probes a member directly.

        :param timeout: time to wait for the acknowledgement, seconds.
        :returns: whether the member acknowledged the probe in time.
        """
        sequence = self._register(member.node_id)
        try:
            await self._send_probe(member, sequence)
            return await self._wait_for_ack(sequence, timeout)
        finally:
            del self._pending[sequence]

    async def reply(self, packet: Packet, address: Address) -> None:
        """Acknowledges a probe that names this node as its target."""
        # The address of a former member may have been reused by another one.
        if packet.target in ("", self._view.member_list.own_id):
            await self._send_ack(packet, address, self._view.member_list.own_id)

    async def probe_suspects(self, suspects: list[Member]) -> None:
        """Probes suspects, so that they can refute if earlier updates were lost.

        :param suspects: members whose suspicion timeout is about to expire.
        """
        count = min(_MAX_CONFIRMING_PROBES, len(suspects))
        for member in self._transport.random.sample(suspects, count):
            # The acknowledgement is ignored: only a record with a higher
            # incarnation ends a suspicion.
            await self._send_probe(member, _NO_SEQUENCE)

    async def handle_indirect_probe(self, packet: Packet, address: Address) -> None:
        """Probes a member on behalf of the sender and forwards the acknowledgement."""
        member = self._view.member_list.get(packet.target)
        if member is None:
            return
        if await self.ping(member, self._view.limits.probe_timeout):
            await self._send_ack(packet, address, member.node_id)

    def handle_ack(self, packet: Packet) -> None:
        """Completes the pending probe that a packet acknowledges."""
        pending = self._pending.get(packet.sequence)
        if pending is not None and pending.target == packet.target:
            self._view.last_ack_at = trio.current_time()
            pending.acknowledged.set()

    async def reaches_majority(self) -> bool:
        """Probes a random sample of the local data centre, suspects included.

        Shortly after a partition only few members of the other side are suspected,
        so the number of suspects does not yet show which side has the majority.

        :returns: whether the majority of the sample, with this node, is reachable.
        """
        local_peers = self._view.member_list.list_local_peers()
        count = min(_MAX_CONFIRMING_PROBES, len(local_peers))
        reachable = []

        async def probe(member: Member) -> None:
            if await self.ping(member, self._view.limits.probe_timeout):
                reachable.append(member)

        async with trio.open_nursery() as nursery:
            for member in self._transport.random.sample(local_peers, count):
                nursery.start_soon(probe, member)
        # This node counts as reachable.
        return 2 * (len(reachable) + 1) > count + 1

    async def _probe(self, member: Member) -> None:
        is_acknowledged = await self._is_alive(member)
        if not is_acknowledged and not self._view.is_isolated:
            self._view.suspect(member)

    async def _is_alive(self, member: Member) -> bool:
        limits = self._view.limits
        sequence = self._register(member.node_id)
        try:
            await self._send_probe(member, sequence)
            if await self._wait_for_ack(sequence, limits.probe_timeout):
                return True
            await self._send_probe(member, sequence)
            await self._request_indirect_probes(member, sequence)
            remaining = limits.probe_deadline - limits.probe_timeout
            return await self._wait_for_ack(sequence, remaining)
        finally:
            del self._pending[sequence]

    async def _request_indirect_probes(self, member: Member, sequence: int) -> None:
        intermediaries = [
            other
            for other in self._view.member_list.list_local_peers()
            if other.node_id != member.node_id and other.status is MemberStatus.ALIVE
        ]
        count = min(self._view.limits.indirect_probes, len(intermediaries))
        for intermediary in self._transport.random.sample(intermediaries, count):
            await self._transport.send_probe(
                FrameKind.INDIRECT_PROBE,
                intermediary.gossip_address,
                intermediary.node_id,
                sequence=sequence,
                target=member.node_id,
            )

    def _select_next(self) -> Member | None:
        """Selects the next member of a random permutation of the members.

        A new permutation starts after the last member, so the time until each
        member is probed is bounded.
        """
        for _ in range(2):
            while self._probe_order:
                member = self._view.member_list.get(self._probe_order.pop())
                if member is not None and member.is_present:
                    return member
            local_peers = self._view.member_list.list_local_peers()
            self._probe_order = [member.node_id for member in local_peers]
            self._transport.random.shuffle(self._probe_order)
        return None

    def _register(self, target: str) -> int:
        sequence = next(self._sequences) & _MAX_SEQUENCE
        self._pending[sequence] = _PendingProbe(target)
        return sequence

    async def _wait_for_ack(self, sequence: int, timeout: float) -> bool:
        acknowledged = self._pending[sequence].acknowledged
        with trio.move_on_after(timeout):
            await acknowledged.wait()
        return acknowledged.is_set()

    async def _send_probe(self, member: Member, sequence: int) -> None:
        await self._transport.send_probe(
            FrameKind.PROBE,
            member.gossip_address,
            member.node_id,
            sequence=sequence,
            target=member.node_id,
        )

    async def _send_ack(self, packet: Packet, address: Address, target: str) -> None:
        await self._transport.send_probe(
            FrameKind.PROBE_ACK,
            address,
            packet.sender,
            packet,
            sequence=packet.sequence,
            target=target,
        )
