"""The replicated claims, which give at most one execution for each key."""

import collections
import heapq

import attrs

from coltsfootspar.replication.commands import (
    Abandon,
    Claim,
    ClaimRecord,
    ClaimResult,
    ClaimStatus,
    Finish,
)

__all__ = ["ClaimState"]

_MAX_ABANDONED_CLAIMS = 10_000
_MAX_TOTAL_BYTES = 1 << 30
# Memory of a record without its key and answer, bytes.
_RECORD_OVERHEAD_BYTES = 700
_ENDED_STATUSES = (ClaimStatus.FINISHED, ClaimStatus.NOT_KEPT, ClaimStatus.UNKNOWN)


@attrs.define(eq=False)
class ClaimState:
    """One record for each claimed key.

    A record is in progress until its claim ends as finished, as finished with an
    answer that is not kept, or with an unknown outcome. It is removed after the
    retention time. A key is released, so that another claim may run it, only when
    the request certainly did not run.

    :param node_incarnations: highest known incarnation of each node.
    :param abandoned: ids of abandoned claims, oldest first, so that a late
        duplicate of such a claim is not granted.
    :param total_bytes: estimated memory of all records, bytes.
    """

    records: dict[str, ClaimRecord] = attrs.field(factory=dict)
    node_incarnations: dict[str, int] = attrs.field(factory=dict)
    abandoned: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )
    total_bytes: int = 0
    _expiries: list[tuple[int, str]] = attrs.field(factory=list)

    def copy(self) -> "ClaimState":
        """Returns a copy that later commands do not change."""
        return ClaimState(
            self.records.copy(),
            self.node_incarnations.copy(),
            self.abandoned.copy(),
            self.total_bytes,
            self._expiries.copy(),
        )

    @property
    def next_expiry_ms(self) -> int | None:
        """Earliest time at which a record may expire, milliseconds, or None."""
        return self._expiries[0][0] if self._expiries else None

    def put(self, record: ClaimRecord) -> None:
        """Stores a record in place of the earlier one of its key."""
        self._remove(record.key)
        self.records[record.key] = record
        self.total_bytes += _estimate_bytes(record)
        heapq.heappush(self._expiries, (record.expires_ms, record.key))

    def add_abandoned(self, claim_id: str) -> None:
        """Stores the id of an abandoned claim; evicts the oldest beyond the limit."""
        self.abandoned[claim_id] = None
        if len(self.abandoned) > _MAX_ABANDONED_CLAIMS:
            self.abandoned.popitem(last=False)

    def claim(self, command: Claim, now_ms: int) -> ClaimResult:
        """Grants a key to a claim unless another claim has it.

        :param now_ms: time of the state, milliseconds.
        """
        known_incarnation = self.node_incarnations.get(command.node_id, 0)
        if (
            command.node_incarnation < known_incarnation
            or command.claim_id in self.abandoned
        ):
            # A late duplicate, whose sender no longer waits for the result.
            return ClaimResult(ClaimStatus.REJECTED)
        self.node_incarnations[command.node_id] = command.node_incarnation
        record = self._end_orphaned_claim(command.key, now_ms)
        if record is None:
            return self._grant(command, now_ms)
        if record.fingerprint != command.fingerprint:
            return ClaimResult(ClaimStatus.REUSED, node_id=record.node_id)
        is_same_claim = record.claim_id == command.claim_id
        if is_same_claim and record.status is ClaimStatus.IN_PROGRESS:
            return ClaimResult(ClaimStatus.GRANTED, node_id=record.node_id)
        return _create_result(record)

    def finish(self, command: Finish, now_ms: int) -> ClaimResult:
        """Stores the answer, also when the outcome was marked as unknown before.

        :param now_ms: time of the state, milliseconds.
        """
        record = self._find_record_of_claim(command.key, command.claim_id)
        if record is None:
            return ClaimResult(ClaimStatus.REJECTED)
        if record.status in (ClaimStatus.IN_PROGRESS, ClaimStatus.UNKNOWN):
            status = ClaimStatus.FINISHED if command.is_kept else ClaimStatus.NOT_KEPT
            record = self._end_claim(record, status, now_ms, command.answer)
        return ClaimResult(record.status, node_id=record.node_id)

    def abandon(self, command: Abandon, now_ms: int) -> ClaimResult:
        """Releases the key, or marks its outcome as unknown if it may have run.

        :param now_ms: time of the state, milliseconds.
        """
        self.add_abandoned(command.claim_id)
        record = self._find_record_of_claim(command.key, command.claim_id)
        if record is None:
            return ClaimResult(ClaimStatus.ABSENT)
        if record.status not in (ClaimStatus.IN_PROGRESS, ClaimStatus.UNKNOWN):
            return ClaimResult(record.status, node_id=record.node_id)
        if command.may_have_run:
            if record.status is ClaimStatus.IN_PROGRESS:
                self._end_claim(record, ClaimStatus.UNKNOWN, now_ms)
            return ClaimResult(ClaimStatus.UNKNOWN, node_id=record.node_id)
        self._remove(record.key)
        return ClaimResult(ClaimStatus.ABSENT)

    def expire(self, now_ms: int) -> None:
        """Marks expired claims as unknown and removes expired records of ended ones.

        :param now_ms: time of the state, milliseconds.
        """
        while self._expiries and self._expiries[0][0] <= now_ms:
            expires_ms, key = heapq.heappop(self._expiries)
            record = self.records.get(key)
            if record is None or record.expires_ms != expires_ms:
                continue
            if record.status in _ENDED_STATUSES:
                self._remove(key)
            else:
                self._end_claim(record, ClaimStatus.UNKNOWN, now_ms)

    def look_up(self, key: str) -> ClaimResult:
        """Returns the status of a key without changing its record."""
        record = self.records.get(key)
        if record is None:
            return ClaimResult(ClaimStatus.ABSENT)
        if self._is_orphaned(record):
            return ClaimResult(ClaimStatus.UNKNOWN, node_id=record.node_id)
        return _create_result(record)

    def _grant(self, command: Claim, now_ms: int) -> ClaimResult:
        if self.total_bytes >= _MAX_TOTAL_BYTES:
            # Evicting a record early could let its key run twice.
            return ClaimResult(ClaimStatus.FULL)
        self.put(
            ClaimRecord(
                command.key,
                ClaimStatus.IN_PROGRESS,
                command.fingerprint,
                command.claim_id,
                command.node_id,
                command.node_incarnation,
                now_ms + command.lifetime_ms,
                command.retention_ms,
            )
        )
        return ClaimResult(ClaimStatus.GRANTED, node_id=command.node_id)

    def _find_record_of_claim(self, key: str, claim_id: str) -> ClaimRecord | None:
        record = self.records.get(key)
        return record if record and record.claim_id == claim_id else None

    def _is_orphaned(self, record: ClaimRecord) -> bool:
        return (
            record.status is ClaimStatus.IN_PROGRESS
            and self.node_incarnations.get(record.node_id, 0) > record.node_incarnation
        )

    def _end_orphaned_claim(self, key: str, now_ms: int) -> ClaimRecord | None:
        record = self.records.get(key)
        if record is not None and self._is_orphaned(record):
            return self._end_claim(record, ClaimStatus.UNKNOWN, now_ms)
        return record

    def _end_claim(
        self,
        record: ClaimRecord,
        status: ClaimStatus,
        now_ms: int,
        answer: bytes = b"",
    ) -> ClaimRecord:
        ended_record = attrs.evolve(
            record,
            status=status,
            answer=answer,
            expires_ms=now_ms + record.retention_ms,
        )
        self.put(ended_record)
        return ended_record

    def _remove(self, key: str) -> None:
        record = self.records.pop(key, None)
        if record is not None:
            self.total_bytes -= _estimate_bytes(record)


def _estimate_bytes(record: ClaimRecord) -> int:
    return _RECORD_OVERHEAD_BYTES + len(record.key) + len(record.answer)


def _create_result(record: ClaimRecord) -> ClaimResult:
    return ClaimResult(record.status, record.answer, record.node_id)
