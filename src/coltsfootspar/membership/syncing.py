"""Comparison of whole member lists, for newcomers and after partitions."""

import attrs
import trio

from coltsfootspar.membership.members import Member
from coltsfootspar.membership.transport import Transport
from coltsfootspar.membership.view import View
from coltsfootspar.wire import Address
from coltsfootspar.wire.membership import MemberRecord, Packet, select_fitting

__all__ = ["Synchronizer"]

_JITTER = 0.3
# Differing buckets up to which two lists count as the same: news that are under
# way, among them the own record of a newcomer.
_TOLERATED_DIFFERENCES = 4
# Datagrams sent for one digest; the next digest asks for the rest.
_MAX_PIECES = 8
_MAX_QUEUED = 4
# Share of the burst that list pieces leave to probes and news.
_RESERVE_SHARE = 0.5


@attrs.frozen
class _Job:
    address: Address
    members: list[Member]


@attrs.define(eq=False)
class Synchronizer:
    """Sends digests, and the members in buckets that differ.

    :param seeds: gossip addresses through which the node joins.
    """

    _view: View
    _transport: Transport
    seeds: tuple[Address, ...]
    _jobs: list[_Job] = attrs.field(factory=list)
    _differs: bool = False
    _queued: trio.Event = attrs.field(factory=trio.Event)

    async def run(self) -> None:
        """Joins through the seeds, then compares lists periodically."""
        await self._join()
        limits = self._view.limits
        while True:
            await self._pause(
                limits.diverged_sync_period if self._differs else limits.sync_period
            )
            await self._ask_some()

    async def run_pieces(self) -> None:
        """Sends the pieces of lists that others asked for."""
        while True:
            while not self._jobs:
                self._queued = trio.Event()
                await self._queued.wait()
            await self._send_pieces(self._jobs.pop(0))

    async def ask(self, address: Address) -> None:
        """Compares the list with that of one member."""
        await self._transport.send_digest(address, wants_reply=True)

    async def answer(self, packet: Packet, address: Address) -> None:
        """Answers a digest.

        :raises FrameError: when the digest is malformed.
        """
        buckets, members = self._view.member_list.find_differing_members(packet.digest)
        self._differs = bool(buckets)
        if len(buckets) <= _TOLERATED_DIFFERENCES:
            self._view.is_synced = True
        if packet.wants_reply:
            await self._transport.send_digest(address, wants_reply=False)
        is_waiting = any(job.address == address for job in self._jobs)
        if members and not is_waiting and len(self._jobs) < _MAX_QUEUED:
            self._jobs.append(_Job(address, members))
            self._queued.set()

    async def _join(self) -> None:
        own = self._view.member_list.own.gossip_address
        if all(seed == own for seed in self.seeds):
            self._view.is_synced = True
        while not self._view.is_synced:
            await self._ask_some()
            await self._pause(self._view.limits.join_period)

    async def _ask_some(self) -> None:
        for address in self._select_addresses():
            await self._transport.send_digest(address, wants_reply=True)

    async def _pause(self, period: float) -> None:
        await trio.sleep(period * (1 + _JITTER * self._transport.random.random()))

    def _select_addresses(self) -> list[Address]:
        """Selects a neighbour, and a seed or member that is out of contact."""
        choices = (
            [
                member.gossip_address
                for member in self._view.member_list.list_local_peers()
            ],
            self._list_lost(),
        )
        return [self._transport.random.choice(group) for group in choices if group]

    def _list_lost(self) -> list[Address]:
        """Lists who would not be heard of again after a partition."""
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

    async def _send_pieces(self, job: _Job) -> None:
        # A random start lets the answers of several members complete each other.
        start = self._transport.random.randrange(len(job.members))
        members = job.members[start:] + job.members[:start]
        for _ in range(_MAX_PIECES):
            piece = self._cut_piece(members)
            if not piece:
                return
            reserve = self._view.limits.burst * _RESERVE_SHARE
            await self._transport.send_records_later(job.address, piece, reserve)
            members = members[len(piece) :]

    def _cut_piece(self, members: list[Member]) -> list[MemberRecord]:
        now = trio.current_time()
        return select_fitting(member.make_record(now) for member in members)
