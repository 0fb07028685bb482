"""Transport of membership datagrams within the send rate limit."""

import random
from collections.abc import Sequence

import attrs
import trio
from absl import logging

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

# IPv4 and UDP headers of a datagram.
_HEADER_BYTES = 28


@attrs.define
class TransportCounters:
    """Datagram counts since the start of the process.

    :param sent_bytes: bytes sent, IPv4 and UDP headers included.
    :param rejected: received datagrams that were malformed, failed authentication
        or claimed to come from this node.
    :param over_budget: datagrams not sent because the rate limit was reached.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    rejected: int = 0
    over_budget: int = 0


@attrs.define(eq=False)
class Transport:
    """Sends and receives datagrams with common fields and piggybacked updates.

    :param budget: send rate limit.
    :param random: random numbers for the selection of members.
    :param table_version: table version announced in each datagram.
    """

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
        """Sends a small packet at once, even if it exceeds the rate limit.

        Updates are piggybacked only within the rate limit.

        :param address: address of the receiver.
        :param node_id: id of the receiver; if it is not known as alive, its status
            is included so that it can refute it.
        :param reply_to: packet that is acknowledged; if it has a record of this
            node, the current record is included to refute it.
        :param fields: further fields of the packet.
        """
        records = self._select_suspicion(node_id)
        if reply_to is not None:
            records += self._select_refutation(reply_to)
        combined = self._add_piggybacked(records)
        piggybacked_bytes = sum(
            estimate_record_bytes(record) for record in combined[len(records) :]
        )
        if piggybacked_bytes and self.budget.try_acquire(piggybacked_bytes):
            self._record_sent(combined)
            records = combined
        else:
            piggybacked_bytes = 0
        data = self._seal(kind, records, fields)
        self.budget.charge(max(0, len(data) + _HEADER_BYTES - piggybacked_bytes))
        await self._transmit(address, data)

    async def send_records(
        self, addresses: Sequence[Address], records: Sequence[MemberRecord]
    ) -> int:
        """Sends the same records, which must fit one datagram, to each address.

        :returns: number of datagrams sent before the rate limit was reached.
        """
        data = self._seal(FrameKind.UPDATES, records, {})
        for count, address in enumerate(addresses):
            if not self.budget.try_acquire(len(data) + _HEADER_BYTES):
                self.counters.over_budget += 1
                return count
            await self._transmit(address, data)
        return len(addresses)

    async def send_records_throttled(
        self, address: Address, records: Sequence[MemberRecord], reserve: float
    ) -> None:
        """Sends records as soon as the rate limit allows it.

        :param reserve: bytes of the burst that must remain for other traffic.
        """
        data = self._seal(FrameKind.UPDATES, records, {})
        await self.budget.acquire(len(data) + _HEADER_BYTES, reserve)
        await self._transmit(address, data)

    async def send_digest(self, address: Address, *, wants_reply: bool) -> bool:
        """Sends the digest of the member list.

        :param wants_reply: whether to request the digest of the receiver.
        :returns: False if the rate limit did not allow it.
        """
        own = self.view.member_list.own.make_record(trio.current_time())
        digest = self.view.member_list.compute_digest()
        fields = {"digest": digest, "wants_reply": wants_reply}
        data = self._seal(FrameKind.DIGEST, [own], fields)
        if not self.budget.try_acquire(len(data) + _HEADER_BYTES):
            self.counters.over_budget += 1
            return False
        await self._transmit(address, data)
        return True

    async def receive(self) -> tuple[Packet, Address]:
        """Waits for the next valid packet from another member.

        :returns: the packet and the address of the sender.
        """
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

    def _select_suspicion(self, node_id: str) -> list[MemberRecord]:
        member: Member | None = self.view.member_list.get(node_id)
        if member is None or member.status is MemberStatus.ALIVE:
            return []
        return [member.make_record(trio.current_time(), is_full=False)]

    def _select_refutation(self, packet: Packet) -> list[MemberRecord]:
        own = self.view.member_list.own
        if all(record.node_id != own.node_id for record in packet.records):
            return []
        return [own.make_record(trio.current_time())]

    def _add_piggybacked(self, required: list[MemberRecord]) -> list[MemberRecord]:
        view = self.view
        now = trio.current_time()
        members = (
            view.member_list.get(node_id)
            for node_id in view.outbox.iterate_least_sent()
        )
        piggybacked = (member.make_update(now) for member in members if member)
        return select_fitting([*required, *piggybacked])

    def _record_sent(self, records: Sequence[MemberRecord]) -> None:
        node_ids = [record.node_id for record in records]
        self.view.outbox.record_sent(node_ids, self.view.transmission_limit)

    def _seal(
        self, kind: FrameKind, records: Sequence[MemberRecord], fields: dict
    ) -> bytes:
        """Encodes a packet.

        :returns: the datagram, empty when the packet cannot be encoded.
        """
        packet = Packet(
            kind=kind,
            sender=self.view.member_list.own_id,
            table_version=self.table_version,
            contacts=self.view.contacts.export(trio.current_time()),
            records=tuple(records),
            **fields,
        )
        try:
            return seal_packet(packet, self._shared_key)
        except Exception:
            # What cannot be encoded must not end the process and its requests.
            logging.exception("A datagram of kind %s is not sent", kind.name)
            return b""

    async def _transmit(self, address: Address, data: bytes) -> None:
        if not data:
            return
        self.counters.sent += 1
        self.counters.sent_bytes += len(data) + _HEADER_BYTES
        await self._port.send(address, data)
