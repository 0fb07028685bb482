"""Commands of the replicated state, their results and what the state keeps."""

import enum

import attrs

from coltsfootspar.table import Edit
from coltsfootspar.table.columns import CellValue

__all__ = [
    "Abandon",
    "AdmitReplica",
    "Change",
    "ChangeResult",
    "ChangeStatus",
    "CheckRoutes",
    "Claim",
    "ClaimRecord",
    "ClaimResult",
    "ClaimStatus",
    "Command",
    "EditCells",
    "Entry",
    "Expire",
    "Finish",
    "NoOperation",
    "ReplaceRoutes",
    "Result",
]


@attrs.frozen
class NoOperation:
    """First entry of each leader's term; commits the entries before it."""


@attrs.frozen
class EditCells:
    """Changes the table.

    :param change_id: chosen by the operator's client, equal on every resend.
    :param operator: who makes the change.
    """

    change_id: str
    operator: str
    edits: tuple[Edit, ...]


@attrs.frozen
class Claim:
    """Asks for the right to execute a request.

    :param key: service and idempotency key.
    :param fingerprint: hash of what the request asks for.
    :param claim_id: one for each try to execute, equal on every resend.
    :param node_incarnation: larger after each restart of the node.
    :param lifetime_ms: time after which the outcome counts as unknown.
    :param retention_ms: time for which the key is kept once it is settled.
    """

    key: str
    fingerprint: bytes
    claim_id: str
    node_id: str
    node_incarnation: int
    lifetime_ms: int
    retention_ms: int


@attrs.frozen
class Finish:
    """Records the answer of a claimed request.

    :param is_kept: false when the answer is too large to be kept.
    """

    key: str
    claim_id: str
    answer: bytes
    is_kept: bool = True


@attrs.frozen
class Abandon:
    """Ends a claim without an answer.

    :param may_have_run: false releases the key; true leaves it unknown.
    """

    key: str
    claim_id: str
    may_have_run: bool = False


@attrs.frozen
class AdmitReplica:
    """Counts a replica with a new disk under its new incarnation.

    :param address: where it listens; empty when the settings of all replicas
        name the address.
    """

    replica_id: str
    incarnation: int
    address: str = ""


@attrs.frozen
class ReplaceRoutes:
    """Puts a whole route table in place of another.

    :param version: version of the new table, chosen by the operator.
    :param base_version: version that has to be in force.
    :param digest: hash of the operator's document, equal on every resend.
    :param data: the encoded table.
    """

    version: int
    base_version: int
    digest: bytes
    data: bytes


@attrs.frozen
class CheckRoutes:
    """Asks for the version of the routes, after all entries before it."""


@attrs.frozen
class Expire:
    """Lets the time of the state advance when there are no other commands."""


Command = (
    NoOperation
    | EditCells
    | Claim
    | Finish
    | Abandon
    | AdmitReplica
    | Expire
    | ReplaceRoutes
    | CheckRoutes
)


@attrs.frozen
class Entry:
    """One entry of the log.

    :param time_ms: the leader's clock, milliseconds.
    :param data: encoded command.
    """

    index: int
    term: int
    time_ms: int
    data: bytes


class ChangeStatus(enum.StrEnum):
    """What became of a change of the table."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    INVALID = "invalid"


@attrs.frozen
class ChangeResult:
    """Result of :class:`EditCells`.

    :param version: the new table version; after a conflict the present version
        of the cell.
    :param code: error code, empty when applied.
    :param value: present value of the cell after a conflict.
    """

    status: ChangeStatus
    version: int = 0
    code: str = ""
    message: str = ""
    value: CellValue | None = None


class ClaimStatus(enum.StrEnum):
    """State of a key, or what became of a command about it."""

    GRANTED = "granted"
    IN_PROGRESS = "in-progress"
    FINISHED = "finished"
    NOT_KEPT = "not-kept"
    UNKNOWN = "unknown"
    REUSED = "reused"
    ABSENT = "absent"
    REJECTED = "rejected"
    FULL = "full"


@attrs.frozen
class ClaimResult:
    """Result of the commands about claims.

    :param answer: the kept answer of a finished key.
    :param node_id: node that holds the claim.
    """

    status: ClaimStatus
    answer: bytes = b""
    node_id: str = ""


Result = ChangeResult | ClaimResult | None


@attrs.frozen
class Change:
    """An applied change, for the operators' history.

    :param version: table version that it made.
    :param time_ms: the leader's clock, milliseconds.
    """

    version: int
    time_ms: int
    change_id: str
    operator: str
    edits: tuple[Edit, ...]


@attrs.frozen
class ClaimRecord:
    """What is known of a key.

    :param expires_ms: when a claim in progress counts as unknown, or when a
        settled one is forgotten; milliseconds on the leader's clock.
    """

    key: str
    status: ClaimStatus
    fingerprint: bytes
    claim_id: str
    node_id: str
    node_incarnation: int
    expires_ms: int
    retention_ms: int
    answer: bytes = b""
