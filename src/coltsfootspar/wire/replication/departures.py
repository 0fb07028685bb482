"""Encoding of the messages about departures of backend servers."""

from typing import Any

from coltsfootspar.replication.messages import (
    Departure,
    DeparturesReply,
    Group,
    NoteDeparturesRequest,
)
from coltsfootspar.wire.frames import FrameKind, Message
from coltsfootspar.wire.replication.commands import SCHEMA, decode_payload
from coltsfootspar.wire.replication.state import fill_incarnation, read_incarnation
from coltsfootspar.wire.schemas import fill_list

__all__ = [
    "decode_departures",
    "decode_note_departures",
    "encode_departures",
    "encode_note_departures",
]


def _fill_departure(builder: Any, departure: Departure) -> None:
    builder.instanceId = departure.instance_id
    builder.startedMs = departure.started_ms
    builder.sequence = departure.sequence
    builder.hasDeregistered = departure.has_deregistered


def _read_departures(reader: Any) -> tuple[Departure, ...]:
    return tuple(
        Departure(d.instanceId, d.startedMs, d.sequence, d.hasDeregistered)
        for d in reader.departures
    )


def encode_note_departures(request: NoteDeparturesRequest) -> Message:
    """Encodes a request to keep departures."""
    payload = SCHEMA.NoteDepartures.new_message()
    payload.nodeId = request.node_id
    fill_list(payload, "departures", request.departures, _fill_departure)
    return Message(FrameKind.NOTE_DEPARTURES, payload.to_bytes())


def decode_note_departures(message: Message) -> NoteDeparturesRequest:
    """Decodes a request to keep departures."""
    return decode_payload(
        SCHEMA.NoteDepartures,
        message.payload,
        lambda r: NoteDeparturesRequest(r.nodeId, _read_departures(r)),
    )


def encode_departures(reply: DeparturesReply) -> Message:
    """Encodes the departures that a replica keeps; the copies are the body."""
    payload = SCHEMA.Departures.new_message()
    fill_list(payload, "departures", reply.departures, _fill_departure)
    payload.isPartial = reply.is_partial
    payload.hasCopies = reply.copies is not None
    if reply.group is not None:
        _fill_group(payload.init("group"), reply.group)
    body = b"" if reply.copies is None else _encode_copies(reply.copies)
    return Message(FrameKind.DEPARTURES, payload.to_bytes(), body)


def decode_departures(message: Message) -> DeparturesReply:
    """Decodes the departures that a replica keeps."""

    def read(reader: Any) -> DeparturesReply:
        return DeparturesReply(
            _read_departures(reader),
            reader.isPartial,
            _decode_copies(message.body) if reader.hasCopies else None,
            # Earlier versions describe no group, which reads as one without replicas.
            _read_group(reader.group) if len(reader.group.replicas) else None,
        )

    return decode_payload(SCHEMA.Departures, message.payload, read)


def _fill_group(builder: Any, group: Group) -> None:
    builder.term = group.term
    builder.index = group.index
    builder.incarnation = group.incarnation
    pairs = tuple(group.incarnations.items())
    fill_list(builder, "replicas", pairs, fill_incarnation)


def _read_group(reader: Any) -> Group:
    incarnations = dict(read_incarnation(replica) for replica in reader.replicas)
    return Group(reader.term, reader.index, reader.incarnation, incarnations)


def _encode_copies(copies: dict[str, tuple[Departure, ...]]) -> bytes:
    def fill(builder: Any, item: tuple[str, tuple[Departure, ...]]) -> None:
        builder.nodeId = item[0]
        fill_list(builder, "departures", item[1], _fill_departure)

    payload = SCHEMA.DepartureCopies.new_message()
    fill_list(payload, "nodes", tuple(copies.items()), fill)
    return payload.to_bytes()


def _decode_copies(data: bytes) -> dict[str, tuple[Departure, ...]]:
    return decode_payload(
        SCHEMA.DepartureCopies,
        data,
        lambda r: {node.nodeId: _read_departures(node) for node in r.nodes},
    )
