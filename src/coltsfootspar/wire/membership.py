"""Datagrams of the membership protocol."""

import enum
import functools
from collections.abc import Iterable

import attrs
import capnp

from coltsfootspar.exceptions import FrameError, WireError
from coltsfootspar.wire.addresses import Address, parse_address
from coltsfootspar.wire.datagrams import (
    MAX_DATAGRAM_BYTES,
    open_datagram,
    seal_datagram,
)
from coltsfootspar.wire.frames import FrameKind, Message
from coltsfootspar.wire.schemas import add_structs, create_struct, load_schema

__all__ = [
    "Contact",
    "MemberRecord",
    "MemberStatus",
    "PACKET_KINDS",
    "Packet",
    "estimate_record_bytes",
    "open_packet",
    "seal_packet",
    "select_fitting",
]

PACKET_KINDS = frozenset(
    {
        FrameKind.PROBE,
        FrameKind.PROBE_ACK,
        FrameKind.INDIRECT_PROBE,
        FrameKind.UPDATES,
        FrameKind.DIGEST,
    }
)

# Room for the fields of a packet other than its records.
_PACKET_RESERVE_BYTES = 420
# A short record has 5 words of integers and 8 of pointers, most of them zero and
# packed to a tag byte or two.
_SHORT_RECORD_BYTES = 36
_FULL_RECORD_BYTES = 72
_MAX_UINT32 = (1 << 32) - 1
_MS_PER_SECOND = 1e3
# Members are few and their addresses are decoded again and again.
_parse_address = functools.lru_cache(maxsize=8192)(parse_address)
_schema = load_schema("membership")


class MemberStatus(enum.IntEnum):
    """What is believed of a member; at one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@attrs.frozen
class Contact:
    """How long ago a data centre last answered a probe.

    :param age: seconds.
    """

    data_centre: str
    age: float


@attrs.frozen
class MemberRecord:
    """News of one member.

    A record that is not full carries only the id, the incarnation and the
    status; it says nothing to those who do not know the member.

    :param warm_in: time until the backend server takes its full share, seconds.
    :param status_age: time since the status was first believed, seconds.
    """

    node_id: str
    incarnation: int
    status: MemberStatus
    is_leaving: bool = False
    is_full: bool = False
    region: str = ""
    data_centre: str = ""
    gossip_address: Address | None = None
    peer_address: Address | None = None
    service: str = ""
    slots: int = 0
    warm_in: float = 0.0
    status_age: float = 0.0
    calls_per_second: int = 0


@attrs.frozen
class Packet:
    """One datagram of the membership protocol.

    :param sender: id of the member that sent it.
    :param sequence: joins an acknowledgement to its probe.
    :param target: id of the member that is probed.
    :param table_version: version of the table that the sender has applied.
    :param contacts: data centres that answered the sender's data centre.
    :param digest: hashes of the sender's member list, or empty.
    :param wants_reply: asks for the receiver's digest.
    """

    kind: FrameKind
    sender: str
    sequence: int = 0
    target: str = ""
    table_version: int = 0
    contacts: tuple[Contact, ...] = ()
    records: tuple[MemberRecord, ...] = ()
    digest: bytes = b""
    wants_reply: bool = False


def seal_packet(packet: Packet, shared_key: bytes) -> bytes:
    """Encodes a packet as an authenticated datagram.

    :raises FrameError: when it does not fit.
    """
    message = create_struct(
        _schema.Packet,
        sender=packet.sender,
        sequence=packet.sequence,
        tableVersion=packet.table_version,
        wantsReply=packet.wants_reply,
    )
    if packet.target:
        message.target = packet.target
    if packet.contacts:
        contacts = [_write_contact(contact) for contact in packet.contacts]
        add_structs(message, "contacts", contacts)
    if packet.records:
        records = [_write_record(record) for record in packet.records]
        add_structs(message, "records", records)
    if packet.digest:
        message.digest = packet.digest
    payload = message.to_bytes_packed()
    return seal_datagram(Message(packet.kind, payload), shared_key)


def open_packet(data: bytes, shared_key: bytes) -> Packet:
    """Checks and decodes a datagram.

    :raises FrameError: when it is malformed or lacks the proof of the key.
    """
    message = open_datagram(data, shared_key)
    if message.kind not in PACKET_KINDS:
        raise FrameError(f"datagram kind {message.kind.name} is not of membership")
    try:
        return _read_packet(
            message.kind, _schema.Packet.from_bytes_packed(message.payload)
        )
    except (capnp.KjException, ValueError, WireError) as error:
        raise FrameError("membership datagram is malformed") from error


def estimate_record_bytes(record: MemberRecord) -> int:
    """Estimates the encoded size of a record from above, bytes."""
    size = _SHORT_RECORD_BYTES + len(record.node_id.encode())
    if not record.is_full:
        return size
    texts = (record.region, record.data_centre, record.service)
    size += sum(len(text.encode()) for text in texts) + _FULL_RECORD_BYTES
    for address in (record.gossip_address, record.peer_address):
        size += len(str(address))
    return size


def select_fitting(
    records: Iterable[MemberRecord], reserved: int = 0
) -> list[MemberRecord]:
    """Takes records from the start until a datagram is full.

    :param reserved: bytes of the datagram that hold a digest.
    """
    room = MAX_DATAGRAM_BYTES - _PACKET_RESERVE_BYTES - reserved
    selected = []
    for record in records:
        room -= estimate_record_bytes(record)
        if room < 0:
            break
        selected.append(record)
    return selected


def _write_contact(contact: Contact) -> dict:
    age = _to_uint32(contact.age * _MS_PER_SECOND)
    return {"dataCentre": contact.data_centre, "ageMilliseconds": age}


def _to_uint32(value: float) -> int:
    """Returns the nearest value that the wire format holds; 0 for no number."""
    return int(min(_MAX_UINT32, value)) if value > 0 else 0


def _write_record(record: MemberRecord) -> dict:
    fields = {
        "nodeId": record.node_id,
        "incarnation": record.incarnation,
        "status": int(record.status),
        "isLeaving": record.is_leaving,
        "isFull": record.is_full,
        "statusSeconds": _to_uint32(record.status_age),
    }
    if not record.is_full:
        return fields
    fields |= {
        "region": record.region,
        "dataCentre": record.data_centre,
        "gossipAddress": str(record.gossip_address),
        "peerAddress": str(record.peer_address),
        "slots": _to_uint32(record.slots),
        "warmMilliseconds": _to_uint32(record.warm_in * _MS_PER_SECOND),
    }
    if record.service:
        fields["service"] = record.service
    if record.calls_per_second:
        fields["callsPerSecond"] = _to_uint32(record.calls_per_second)
    return fields


def _read_packet(kind: FrameKind, message) -> Packet:
    return Packet(
        kind=kind,
        sender=message.sender,
        sequence=message.sequence,
        target=message.target,
        table_version=message.tableVersion,
        contacts=tuple(
            Contact(contact.dataCentre, contact.ageMilliseconds / 1e3)
            for contact in message.contacts
        ),
        records=tuple(_read_record(record) for record in message.records),
        digest=bytes(message.digest),
        wants_reply=message.wantsReply,
    )


def _read_record(record) -> MemberRecord:
    if not record.isFull:
        return MemberRecord(
            node_id=record.nodeId,
            incarnation=record.incarnation,
            status=MemberStatus(record.status),
            is_leaving=record.isLeaving,
            status_age=record.statusSeconds,
        )
    return MemberRecord(
        node_id=record.nodeId,
        incarnation=record.incarnation,
        status=MemberStatus(record.status),
        is_leaving=record.isLeaving,
        is_full=True,
        region=record.region,
        data_centre=record.dataCentre,
        gossip_address=_parse_address(record.gossipAddress),
        peer_address=_parse_address(record.peerAddress),
        service=record.service,
        slots=record.slots,
        warm_in=record.warmMilliseconds / 1e3,
        status_age=record.statusSeconds,
        calls_per_second=record.callsPerSecond,
    )
