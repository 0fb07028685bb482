"""The replicated claims: at most one execution for each key."""

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

_KEPT_ABANDONED = 10_000
_MAX_BYTES = 1 << 30
# Memory of a record beside its key and answer, bytes.
_RECORD_BYTES = 700
_SETTLED = (ClaimStatus.FINISHED, ClaimStatus.NOT_KEPT, ClaimStatus.UNKNOWN)


@attrs.define(eq=False)
class ClaimState:
    """Records of keys.

    A record is in progress, then settled (finished, answer not kept, outcome
    unknown), then forgotten. Only a claim whose request certainly did not run
    is released, so that the key may run.

    :param nodes: highest known incarnation of each node.
    :param abandoned: claim ids that ended, so that a late duplicate of their
        claim is not granted.
    """

    records: dict[str, ClaimRecord] = attrs.field(factory=dict)
    nodes: dict[str, int] = attrs.field(factory=dict)
    abandoned: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )
    total_bytes: int = 0
    _expiries: list[tuple[int, str]] = attrs.field(factory=list)

    def copy(self) -> "ClaimState":
        """Returns a copy that later commands leave alone."""
        return ClaimState(
            self.records.copy(),
            self.nodes.copy(),
            self.abandoned.copy(),
            self.total_bytes,
            self._expiries.copy(),
        )

    @property
    def next_expiry_ms(self) -> int | None:
        """Time at which the next record expires, or None."""
        return self._expiries[0][0] if self._expiries else None

    def put(self, record: ClaimRecord) -> None:
        """Stores a record, replacing the earlier one of the key."""
        self._drop(record.key)
        self.records[record.key] = record
        self.total_bytes += _measure(record)
        heapq.heappush(self._expiries, (record.expires_ms, record.key))

    def keep_abandoned(self, claim_id: str) -> None:
        """Remembers the id of a claim that ended without a record."""
        self.abandoned[claim_id] = None
        if len(self.abandoned) > _KEPT_ABANDONED:
            self.abandoned.popitem(last=False)

    def claim(self, command: Claim, now_ms: int) -> ClaimResult:
        """Grants the key to one claim.

        :param now_ms: time of the state.
        """
        known = self.nodes.get(command.node_id, 0)
        if command.node_incarnation < known or command.claim_id in self.abandoned:
            # A late duplicate: whoever sent it no longer waits for the grant.
            return ClaimResult(ClaimStatus.REJECTED)
        self.nodes[command.node_id] = command.node_incarnation
        record = self._settle_lost(command.key, now_ms)
        if record is None:
            return self._grant(command, now_ms)
        if record.fingerprint != command.fingerprint:
            return ClaimResult(ClaimStatus.REUSED, node_id=record.node_id)
        is_own = record.claim_id == command.claim_id
        if is_own and record.status is ClaimStatus.IN_PROGRESS:
            return ClaimResult(ClaimStatus.GRANTED, node_id=record.node_id)
        return _describe(record)

    def finish(self, command: Finish, now_ms: int) -> ClaimResult:
        """Stores the answer; also for an outcome that counted as unknown."""
        record = self._find_own(command.key, command.claim_id)
        if record is None:
            return ClaimResult(ClaimStatus.REJECTED)
        if record.status in (ClaimStatus.IN_PROGRESS, ClaimStatus.UNKNOWN):
            status = ClaimStatus.FINISHED if command.is_kept else ClaimStatus.NOT_KEPT
            record = self._settle(record, status, now_ms, command.answer)
        return ClaimResult(record.status, node_id=record.node_id)

    def abandon(self, command: Abandon, now_ms: int) -> ClaimResult:
        """Releases the key, or marks its outcome as unknown."""
        self.keep_abandoned(command.claim_id)
        record = self._find_own(command.key, command.claim_id)
        if record is None:
            return ClaimResult(ClaimStatus.ABSENT)
        if record.status not in (ClaimStatus.IN_PROGRESS, ClaimStatus.UNKNOWN):
            return ClaimResult(record.status, node_id=record.node_id)
        if command.may_have_run:
            if record.status is ClaimStatus.IN_PROGRESS:
                self._settle(record, ClaimStatus.UNKNOWN, now_ms)
            return ClaimResult(ClaimStatus.UNKNOWN, node_id=record.node_id)
        self._drop(record.key)
        return ClaimResult(ClaimStatus.ABSENT)

    def expire(self, now_ms: int) -> None:
        """Marks overdue claims as unknown and forgets old records."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            expires_ms, key = heapq.heappop(self._expiries)
            record = self.records.get(key)
            if record is None or record.expires_ms != expires_ms:
                continue
            if record.status in _SETTLED:
                self._drop(key)
            else:
                self._settle(record, ClaimStatus.UNKNOWN, now_ms)

    def look_up(self, key: str) -> ClaimResult:
        """Returns the state of a key without changing it."""
        record = self.records.get(key)
        if record is None:
            return ClaimResult(ClaimStatus.ABSENT)
        if self._is_lost(record):
            return ClaimResult(ClaimStatus.UNKNOWN, node_id=record.node_id)
        return _describe(record)

    def _grant(self, command: Claim, now_ms: int) -> ClaimResult:
        if self.total_bytes >= _MAX_BYTES:
            # Forgetting a key early could let it run twice.
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

    def _find_own(self, key: str, claim_id: str) -> ClaimRecord | None:
        record = self.records.get(key)
        return record if record and record.claim_id == claim_id else None

    def _is_lost(self, record: ClaimRecord) -> bool:
        return (
            record.status is ClaimStatus.IN_PROGRESS
            and self.nodes.get(record.node_id, 0) > record.node_incarnation
        )

    def _settle_lost(self, key: str, now_ms: int) -> ClaimRecord | None:
        record = self.records.get(key)
        if record is not None and self._is_lost(record):
            return self._settle(record, ClaimStatus.UNKNOWN, now_ms)
        return record

    def _settle(
        self,
        record: ClaimRecord,
        status: ClaimStatus,
        now_ms: int,
        answer: bytes = b"",
    ) -> ClaimRecord:
        settled = attrs.evolve(
            record,
            status=status,
            answer=answer,
            expires_ms=now_ms + record.retention_ms,
        )
        self.put(settled)
        return settled

    def _drop(self, key: str) -> None:
        record = self.records.pop(key, None)
        if record is not None:
            self.total_bytes -= _measure(record)


def _measure(record: ClaimRecord) -> int:
    return _RECORD_BYTES + len(record.key) + len(record.answer)


def _describe(record: ClaimRecord) -> ClaimResult:
    return ClaimResult(record.status, record.answer, record.node_id)
