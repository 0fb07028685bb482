"""Encoding of the messages that replicas and their clients exchange."""

from typing import Any

from coltsfootspar.replication.commands import (
    ChangeResult,
    ClaimResult,
    ClaimStatus,
    Command,
)
from coltsfootspar.replication.messages import (
    AppendReply,
    AppendRequest,
    HistoryReply,
    InstallReply,
    InstallRequest,
    JoinReply,
    JoinRequest,
    ProposeReply,
    ProposeStatus,
    ReplicaStatus,
    TableReply,
    VoteReply,
    VoteRequest,
)
from coltsfootspar.wire.frames import FrameKind, Message
from coltsfootspar.wire.replication.commands import (
    SCHEMA,
    decode_command,
    decode_entries,
    decode_payload,
    encode_command,
    encode_entries,
    fill_change,
    fill_change_result,
    read_change,
    read_change_result,
    read_claim_result,
)
from coltsfootspar.wire.replication.state import fill_seat, read_seat
from coltsfootspar.wire.schemas import create_struct, fill_list

__all__ = [
    "decode_append",
    "decode_append_reply",
    "decode_history",
    "decode_history_request",
    "decode_install",
    "decode_install_reply",
    "decode_join",
    "decode_join_reply",
    "decode_look_up",
    "decode_look_up_reply",
    "decode_propose",
    "decode_propose_reply",
    "decode_status",
    "decode_table_reply",
    "decode_table_request",
    "decode_vote",
    "decode_vote_reply",
    "encode_append",
    "encode_append_reply",
    "encode_history",
    "encode_history_request",
    "encode_install",
    "encode_install_reply",
    "encode_join",
    "encode_join_reply",
    "encode_look_up",
    "encode_look_up_reply",
    "encode_propose",
    "encode_propose_reply",
    "encode_status",
    "encode_table_reply",
    "encode_table_request",
    "encode_vote",
    "encode_vote_reply",
]


# Messages between replicas


def encode_vote(kind: FrameKind, request: VoteRequest) -> Message:
    """Encodes a vote request as a message of ``VOTE``, ``PRE_VOTE`` or ``CAMPAIGN``."""
    payload = create_struct(
        SCHEMA.VoteRequest,
        term=request.term,
        candidateId=request.candidate_id,
        lastIndex=request.last_index,
        lastTerm=request.last_term,
    )
    return Message(kind, payload.to_bytes())


def decode_vote(message: Message) -> VoteRequest:
    """Decodes a vote request."""
    return decode_payload(
        SCHEMA.VoteRequest,
        message.payload,
        lambda r: VoteRequest(r.term, r.candidateId, r.lastIndex, r.lastTerm),
    )


def encode_vote_reply(reply: VoteReply) -> Message:
    """Encodes the reply to a vote request."""
    payload = create_struct(
        SCHEMA.VoteReply,
        term=reply.term,
        isGranted=reply.is_granted,
        incarnation=reply.incarnation,
    )
    return Message(FrameKind.VOTE_REPLY, payload.to_bytes())


def decode_vote_reply(message: Message) -> VoteReply:
    """Decodes the reply to a vote request."""
    return decode_payload(
        SCHEMA.VoteReply,
        message.payload,
        lambda r: VoteReply(r.term, r.isGranted, r.incarnation),
    )


def encode_append(request: AppendRequest) -> Message:
    """Encodes an append request; the entries are the body."""
    payload = create_struct(
        SCHEMA.AppendRequest,
        term=request.term,
        leaderId=request.leader_id,
        previousIndex=request.previous_index,
        previousTerm=request.previous_term,
        commitIndex=request.commit_index,
        clusterId=request.cluster_id,
    )
    body = encode_entries(request.entries)
    return Message(FrameKind.APPEND, payload.to_bytes(), body)


def decode_append(message: Message) -> AppendRequest:
    """Decodes an append request."""
    entries = decode_entries(message.body)
    return decode_payload(
        SCHEMA.AppendRequest,
        message.payload,
        lambda r: AppendRequest(
            r.term,
            r.leaderId,
            r.previousIndex,
            r.previousTerm,
            r.commitIndex,
            r.clusterId,
            entries,
        ),
    )


def encode_append_reply(reply: AppendReply) -> Message:
    """Encodes the reply to an append request."""
    payload = create_struct(
        SCHEMA.AppendReply,
        term=reply.term,
        isAccepted=reply.is_accepted,
        matchIndex=reply.match_index,
        nextIndex=reply.next_index,
        incarnation=reply.incarnation,
        isAdmitted=reply.is_admitted,
        address=reply.address,
    )
    return Message(FrameKind.APPEND_REPLY, payload.to_bytes())


def decode_append_reply(message: Message) -> AppendReply:
    """Decodes the reply to an append request."""
    return decode_payload(
        SCHEMA.AppendReply,
        message.payload,
        lambda r: AppendReply(
            r.term,
            r.isAccepted,
            r.matchIndex,
            r.nextIndex,
            r.incarnation,
            r.isAdmitted,
            r.address,
        ),
    )


def encode_install(request: InstallRequest) -> Message:
    """Encodes a part of a snapshot; its bytes are the body."""
    payload = create_struct(
        SCHEMA.InstallRequest,
        term=request.term,
        leaderId=request.leader_id,
        snapshotIndex=request.snapshot_index,
        snapshotTerm=request.snapshot_term,
        offset=request.offset,
        size=request.size,
        clusterId=request.cluster_id,
    )
    return Message(FrameKind.INSTALL_SNAPSHOT, payload.to_bytes(), request.data)


def decode_install(message: Message) -> InstallRequest:
    """Decodes a part of a snapshot."""
    return decode_payload(
        SCHEMA.InstallRequest,
        message.payload,
        lambda r: InstallRequest(
            r.term,
            r.leaderId,
            r.snapshotIndex,
            r.snapshotTerm,
            r.offset,
            r.size,
            r.clusterId,
            message.body,
        ),
    )


def encode_install_reply(reply: InstallReply) -> Message:
    """Encodes the reply to a part of a snapshot."""
    payload = create_struct(
        SCHEMA.InstallReply,
        term=reply.term,
        nextOffset=reply.next_offset,
        isInstalled=reply.is_installed,
    )
    return Message(FrameKind.INSTALL_SNAPSHOT_REPLY, payload.to_bytes())


def decode_install_reply(message: Message) -> InstallReply:
    """Decodes the reply to a part of a snapshot."""
    return decode_payload(
        SCHEMA.InstallReply,
        message.payload,
        lambda r: InstallReply(r.term, r.nextOffset, r.isInstalled),
    )


# Messages of clients


def encode_propose(command: Command) -> Message:
    """Encodes a proposal; the command is the body."""
    return Message(FrameKind.PROPOSE, body=encode_command(command))


def decode_propose(message: Message) -> Command:
    """Decodes a proposal."""
    return decode_command(message.body)


def encode_propose_reply(reply: ProposeReply) -> Message:
    """Encodes the reply to a proposal; a kept answer is the body."""
    payload = SCHEMA.ProposeReply.new_message()
    payload.status = reply.status.value
    payload.leaderId = reply.leader_id
    payload.message = reply.message
    body = b""
    if isinstance(reply.result, ChangeResult):
        fill_change_result(payload.init("change"), reply.result)
    elif isinstance(reply.result, ClaimResult):
        body = reply.result.answer
        claim = payload.init("claim")
        claim.status = reply.result.status.value
        claim.nodeId = reply.result.node_id
    return Message(FrameKind.PROPOSE_REPLY, payload.to_bytes(), body)


def decode_propose_reply(message: Message) -> ProposeReply:
    """Decodes the reply to a proposal."""

    def read(reader: Any) -> ProposeReply:
        result = None
        if reader.which() == "change":
            result = read_change_result(reader.change)
        elif reader.which() == "claim":
            claim = read_claim_result(reader.claim)
            result = ClaimResult(claim.status, message.body, claim.node_id)
        status = ProposeStatus(reader.status)
        return ProposeReply(status, reader.leaderId, reader.message, result)

    return decode_payload(SCHEMA.ProposeReply, message.payload, read)


def encode_table_request(
    after_version: int, wait_ms: int, kind: FrameKind = FrameKind.WATCH_TABLE
) -> Message:
    """Encodes a watch of the table or of the routes."""
    payload = create_struct(
        SCHEMA.TableRequest, afterVersion=after_version, waitMs=wait_ms
    )
    return Message(kind, payload.to_bytes())


def decode_table_request(message: Message) -> tuple[int, int]:
    """Decodes a watch of the table.

    :returns: the version that the client has and the longest wait, ms.
    """
    return decode_payload(
        SCHEMA.TableRequest, message.payload, lambda r: (r.afterVersion, r.waitMs)
    )


def encode_table_reply(reply: TableReply, kind: FrameKind = FrameKind.TABLE) -> Message:
    """Encodes the table or the routes; the data is the body."""
    payload = create_struct(
        SCHEMA.TableReply,
        version=reply.version,
        hasTable=bool(reply.table_data),
        isCurrent=reply.is_current,
    )
    return Message(kind, payload.to_bytes(), reply.table_data)


def decode_table_reply(message: Message) -> TableReply:
    """Decodes the reply to a read or a watch of the table."""
    return decode_payload(
        SCHEMA.TableReply,
        message.payload,
        lambda r: TableReply(
            r.version, r.isCurrent, message.body if r.hasTable else b""
        ),
    )


def encode_history_request(limit: int, before_version: int) -> Message:
    """Encodes a request for changes.

    :param before_version: only older changes, 0 for the latest.
    """
    payload = create_struct(
        SCHEMA.HistoryRequest, limit=limit, beforeVersion=before_version
    )
    return Message(FrameKind.HISTORY, payload.to_bytes())


def decode_history_request(message: Message) -> tuple[int, int]:
    """Decodes a request for changes.

    :returns: limit and version.
    """
    return decode_payload(
        SCHEMA.HistoryRequest, message.payload, lambda r: (r.limit, r.beforeVersion)
    )


def encode_history(reply: HistoryReply) -> Message:
    """Encodes changes; they are the body, which may be large."""
    payload = create_struct(
        SCHEMA.HistoryReply, version=reply.version, isCurrent=reply.is_current
    )
    fill_list(payload, "changes", reply.changes, fill_change)
    return Message(FrameKind.HISTORY_REPLY, body=payload.to_bytes())


def decode_history(message: Message) -> HistoryReply:
    """Decodes changes."""
    return decode_payload(
        SCHEMA.HistoryReply,
        message.body,
        lambda r: HistoryReply(
            r.version, r.isCurrent, tuple(read_change(c) for c in r.changes)
        ),
    )


def encode_look_up(key: str, wait_ms: int) -> Message:
    """Encodes a question for the state of a key."""
    payload = create_struct(SCHEMA.LookUpRequest, key=key, waitMs=wait_ms)
    return Message(FrameKind.LOOK_UP_CLAIM, payload.to_bytes())


def decode_look_up(message: Message) -> tuple[str, int]:
    """Decodes a question for the state of a key.

    :returns: the key and the longest wait while it is in progress, ms.
    """
    return decode_payload(
        SCHEMA.LookUpRequest, message.payload, lambda r: (r.key, r.waitMs)
    )


def encode_look_up_reply(result: ClaimResult) -> Message:
    """Encodes the state of a key; a kept answer is the body."""
    payload = create_struct(
        SCHEMA.ClaimResult, status=result.status.value, nodeId=result.node_id
    )
    return Message(FrameKind.LOOK_UP_CLAIM_REPLY, payload.to_bytes(), result.answer)


def decode_look_up_reply(message: Message) -> ClaimResult:
    """Decodes the state of a key."""
    return decode_payload(
        SCHEMA.ClaimResult,
        message.payload,
        lambda r: ClaimResult(ClaimStatus(r.status), message.body, r.nodeId),
    )


def encode_status(status: ReplicaStatus) -> Message:
    """Encodes the state of a replica."""
    payload = create_struct(
        SCHEMA.StatusReply,
        replicaId=status.replica_id,
        role=status.role,
        term=status.term,
        leaderId=status.leader_id,
        lastIndex=status.last_index,
        commitIndex=status.commit_index,
        snapshotIndex=status.snapshot_index,
        tableVersion=status.table_version,
        claims=status.claims,
        isAdmitted=status.is_admitted,
        isCurrent=status.is_current,
        incarnation=status.incarnation,
    )
    return Message(FrameKind.STATUS_REPLY, payload.to_bytes())


def decode_status(message: Message) -> ReplicaStatus:
    """Decodes the state of a replica."""
    return decode_payload(
        SCHEMA.StatusReply,
        message.payload,
        lambda r: ReplicaStatus(
            replica_id=r.replicaId,
            role=r.role,
            term=r.term,
            leader_id=r.leaderId,
            last_index=r.lastIndex,
            commit_index=r.commitIndex,
            snapshot_index=r.snapshotIndex,
            table_version=r.tableVersion,
            claims=r.claims,
            is_admitted=r.isAdmitted,
            is_current=r.isCurrent,
            incarnation=r.incarnation,
        ),
    )


def encode_join(request: JoinRequest) -> Message:
    """Encodes the request of a process that has no seat."""
    payload = SCHEMA.JoinRequest.new_message()
    payload.address = request.address
    payload.processId = request.process_id
    payload.isLeaving = request.is_leaving
    return Message(FrameKind.JOIN, payload.to_bytes())


def decode_join(message: Message) -> JoinRequest:
    """Decodes the request of a process that has no seat."""
    return decode_payload(
        SCHEMA.JoinRequest,
        message.payload,
        lambda r: JoinRequest(r.address, r.processId, r.isLeaving),
    )


def encode_join_reply(reply: JoinReply) -> Message:
    """Encodes the reply to a process that has no seat."""
    payload = SCHEMA.JoinReply.new_message()
    payload.replicaId = reply.replica_id
    payload.leaderAddress = reply.leader_address
    payload.index = reply.index
    payload.hasLeft = reply.has_left
    payload.hasIncarnations = bool(reply.incarnations)

    def fill_held_seat(builder: Any, pair: tuple[str, str]) -> None:
        fill_seat(builder, pair)
        builder.incarnation = reply.incarnations.get(pair[0], 0)

    fill_list(payload, "seats", tuple(reply.seats.items()), fill_held_seat)
    fill_list(payload, "holders", tuple(reply.holders.items()), _fill_holder)
    return Message(FrameKind.JOIN_REPLY, payload.to_bytes())


def _fill_holder(builder: Any, holder: tuple[str, str | None]) -> None:
    builder.replicaId = holder[0]
    builder.address = holder[1] or ""
    builder.isUnknown = holder[1] is None


def _read_holder(reader: Any) -> tuple[str, str | None]:
    return reader.replicaId, None if reader.isUnknown else reader.address


def _read_join_reply(reader: Any) -> JoinReply:
    incarnations = {}
    if reader.hasIncarnations:
        incarnations = {seat.replicaId: seat.incarnation for seat in reader.seats}
    return JoinReply(
        reader.replicaId,
        reader.leaderAddress,
        dict(read_seat(seat) for seat in reader.seats),
        reader.index,
        reader.hasLeft,
        dict(_read_holder(holder) for holder in reader.holders),
        incarnations,
    )


def decode_join_reply(message: Message) -> JoinReply:
    """Decodes the reply to a process that has no seat."""
    return decode_payload(SCHEMA.JoinReply, message.payload, _read_join_reply)
