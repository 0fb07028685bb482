"""Anti-entropy synchronization of member lists, on join and after partitions."""

import attrs
import trio

from coltsfootspar.membership.members import Member
from coltsfootspar.membership.transport import Transport
from coltsfootspar.membership.view import View
from coltsfootspar.wire import Address
from coltsfootspar.wire.membership import MemberRecord, Packet, select_fitting

__all__ = ["Synchronizer"]

_JITTER_SHARE = 0.3
# Differing buckets up to which two lists count as synchronized. They cover updates
# in flight, such as the record of a joining node.
_MAX_SYNCED_DIFFERENCES = 4
# Datagrams sent in response to one digest; the next digest requests the rest.
_MAX_DATAGRAMS_PER_DIGEST = 8
_MAX_QUEUED_TRANSFERS = 4
# Share of the burst that list transfers leave to probes and updates.
_RESERVED_BURST_SHARE = 0.5


@attrs.frozen
class _Transfer:
    address: Address
    members: list[Member]


@attrs.define(eq=False)
class Synchronizer:
    """Exchanges digests, and sends the members of buckets that differ.

    :param seeds: gossip addresses through which the node joins, and rejoins after
        a partition.
    """

    _view: View
    _transport: Transport
    seeds: tuple[Address, ...]
    _transfers: list[_Transfer] = attrs.field(factory=list)
    _is_diverged: bool = False
    _transfer_queued: trio.Event = attrs.field(factory=trio.Event)

    async def run(self) -> None:
        """Joins through the seeds, then sends digests periodically until cancelled."""
        await self._join()
        limits = self._view.limits
        while True:
            await self._sleep_with_jitter(
                limits.diverged_sync_period if self._is_diverged else limits.sync_period
            )
            await self._request_syncs()

    async def run_transfers(self) -> None:
        """Sends the queued list transfers to other members, until cancelled."""
        while True:
            while not self._transfers:
                self._transfer_queued = trio.Event()
                await self._transfer_queued.wait()
            await self._send_transfer(self._transfers.pop(0))

    async def request_sync(self, address: Address) -> None:
        """Sends a digest to one member and requests its digest in return."""
        await self._transport.send_digest(address, wants_reply=True)

    async def reply(self, packet: Packet, address: Address) -> None:
        """Replies to a digest and queues the members that differ.

        :raises FrameError: when the digest is malformed.
        """
        buckets, members = self._view.member_list.find_differing_members(packet.digest)
        self._is_diverged = bool(buckets)
        if len(buckets) <= _MAX_SYNCED_DIFFERENCES:
            self._view.is_synced = True
        if packet.wants_reply:
            await self._transport.send_digest(address, wants_reply=False)
        is_queued = any(transfer.address == address for transfer in self._transfers)
        if members and not is_queued and len(self._transfers) < _MAX_QUEUED_TRANSFERS:
            self._transfers.append(_Transfer(address, members))
            self._transfer_queued.set()

    async def _join(self) -> None:
        own = self._view.member_list.own.gossip_address
        if all(seed == own for seed in self.seeds):
            self._view.is_synced = True
        while not self._view.is_synced:
            await self._request_syncs()
            await self._sleep_with_jitter(self._view.limits.join_period)

    async def _request_syncs(self) -> None:
        for address in self._select_addresses():
            await self._transport.send_digest(address, wants_reply=True)

    async def _sleep_with_jitter(self, period: float) -> None:
        await trio.sleep(period * (1 + _JITTER_SHARE * self._transport.random.random()))

    def _select_addresses(self) -> list[Address]:
        """Selects a local peer, and a seed or member that is out of contact."""
        candidate_groups = (
            [
                member.gossip_address
                for member in self._view.member_list.list_local_peers()
            ],
            self._list_out_of_contact(),
        )
        return [
            self._transport.random.choice(group) for group in candidate_groups if group
        ]

    def _list_out_of_contact(self) -> list[Address]:
        """Lists dead members and unknown seeds, which gossip would not reach again."""
        member_list = self._view.member_list
        own = member_list.own
        present = {member.gossip_address for member in member_list if member.is_present}
        dead = [
            member.gossip_address
            for member in member_list
            if not member.is_present and member.data_centre == own.data_centre
        ]
        return dead + [
            seed
            for seed in self.seeds
            if seed != own.gossip_address
            and (seed not in present or not self._view.is_synced)
        ]

    async def _send_transfer(self, transfer: _Transfer) -> None:
        # A random offset lets transfers from several members complement each other.
        start = self._transport.random.randrange(len(transfer.members))
        members = transfer.members[start:] + transfer.members[:start]
        for _ in range(_MAX_DATAGRAMS_PER_DIGEST):
            batch = self._select_batch(members)
            if not batch:
                return
            reserve = self._view.limits.burst * _RESERVED_BURST_SHARE
            await self._transport.send_records_throttled(
                transfer.address, batch, reserve
            )
            members = members[len(batch) :]

    def _select_batch(self, members: list[Member]) -> list[MemberRecord]:
        now = trio.current_time()
        return select_fitting(member.make_record(now) for member in members)
