"""Sending and receiving membership datagrams within the rate budget."""

import random
from collections.abc import Sequence

import attrs
import trio

from coltsfootspar.exceptions import FrameError
from coltsfootspar.membership.budget import RateBudget
from coltsfootspar.membership.interfaces import DatagramPort
from coltsfootspar.membership.members import Member
from coltsfootspar.membership.view import View
from coltsfootspar.wire import Address, FrameKind
from coltsfootspar.wire.membership import (
    MemberRecord,
    MemberStatus,
    Packet,
    estimate_record_bytes,
    open_packet,
    seal_packet,
    select_fitting,
)

__all__ = ["Transport", "TransportCounters"]

# IPv4 and UDP headers.
_HEADER_BYTES = 28


@attrs.define
class TransportCounters:
    """Counts since the start.

    :param rejected: datagrams that were garbled or lack the proof of the key.
    :param postponed: datagrams that did not fit the rate budget.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    rejected: int = 0
    postponed: int = 0


@attrs.define(eq=False)
class Transport:
    """Datagrams with the common fields and piggybacked news."""

    view: View
    _port: DatagramPort
    _shared_key: bytes = attrs.field(repr=False)
    budget: RateBudget
    random: random.Random
    table_version: int = 0
    counters: TransportCounters = attrs.field(factory=TransportCounters)

    async def send_probe(
        self,
        kind: FrameKind,
        address: Address,
        node_id: str = "",
        reply_to: Packet | None = None,
        **fields: object,
    ) -> None:
        """Sends a small packet that must not wait for the budget.

        News are piggybacked as far as the budget allows.

        :param node_id: receiver; doubts about it are sent along, so that it can
            refute them.
        :param reply_to: packet that is answered; doubts in it are refuted.
        """
        records = self._select_doubts(node_id)
        if reply_to is not None:
            records += self._select_refutation(reply_to)
        loaded = self._select_news(records)
        extra = sum(estimate_record_bytes(record) for record in loaded[len(records) :])
        if extra and self.budget.try_take(extra):
            self._record_sent(loaded)
            records = loaded
        else:
            extra = 0
        data = self._seal(kind, records, fields)
        self.budget.charge(max(0, len(data) + _HEADER_BYTES - extra))
        await self._transmit(address, data)

    async def send_records(
        self, addresses: Sequence[Address], records: Sequence[MemberRecord]
    ) -> int:
        """Sends news that fit into one datagram to some members.

        :returns: how many of the members the budget allowed.
        """
        data = self._seal(FrameKind.UPDATES, records, {})
        for count, address in enumerate(addresses):
            if not self.budget.try_take(len(data) + _HEADER_BYTES):
                self.counters.postponed += 1
                return count
            await self._transmit(address, data)
        return len(addresses)

    async def send_records_later(
        self, address: Address, records: Sequence[MemberRecord], reserve: float
    ) -> None:
        """Sends records once the budget allows it.

        :param reserve: bytes of the budget left to other traffic.
        """
        data = self._seal(FrameKind.UPDATES, records, {})
        await self.budget.wait_take(len(data) + _HEADER_BYTES, reserve)
        await self._transmit(address, data)

    async def send_digest(self, address: Address, *, wants_reply: bool) -> bool:
        """Sends the digest of the member list.

        :returns: False when the budget did not allow it.
        """
        own = self.view.member_list.own.make_record(trio.current_time())
        digest = self.view.member_list.compute_digest()
        fields = {"digest": digest, "wants_reply": wants_reply}
        data = self._seal(FrameKind.DIGEST, [own], fields)
        if not self.budget.try_take(len(data) + _HEADER_BYTES):
            self.counters.postponed += 1
            return False
        await self._transmit(address, data)
        return True

    async def receive(self) -> tuple[Packet, Address]:
        """Waits for the next valid packet of another member."""
        while True:
            data, address = await self._port.receive()
            try:
                packet = open_packet(data, self._shared_key)
            except FrameError:
                self.counters.rejected += 1
                continue
            if packet.sender in ("", self.view.member_list.own_id):
                self.counters.rejected += 1
                continue
            self.counters.received += 1
            return packet, address

    def _select_doubts(self, node_id: str) -> list[MemberRecord]:
        member: Member | None = self.view.member_list.get(node_id)
        if member is None or member.status is MemberStatus.ALIVE:
            return []
        return [member.make_record(trio.current_time(), is_full=False)]

    def _select_refutation(self, packet: Packet) -> list[MemberRecord]:
        own = self.view.member_list.own
        if all(record.node_id != own.node_id for record in packet.records):
            return []
        return [own.make_record(trio.current_time())]

    def _select_news(self, first: list[MemberRecord]) -> list[MemberRecord]:
        view = self.view
        now = trio.current_time()
        members = (
            view.member_list.get(node_id)
            for node_id in view.outbox.iterate_least_sent()
        )
        news = (member.make_update(now) for member in members if member)
        return select_fitting([*first, *news])

    def _record_sent(self, records: Sequence[MemberRecord]) -> None:
        node_ids = [record.node_id for record in records]
        self.view.outbox.record_sent(node_ids, self.view.transmission_limit)

    def _seal(
        self, kind: FrameKind, records: Sequence[MemberRecord], fields: dict
    ) -> bytes:
        packet = Packet(
            kind=kind,
            sender=self.view.member_list.own_id,
            table_version=self.table_version,
            contacts=self.view.contacts.export(trio.current_time()),
            records=tuple(records),
            **fields,
        )
        return seal_packet(packet, self._shared_key)

    async def _transmit(self, address: Address, data: bytes) -> None:
        self.counters.sent += 1
        self.counters.sent_bytes += len(data) + _HEADER_BYTES
        await self._port.send(address, data)
