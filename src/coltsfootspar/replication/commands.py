"""Commands of the replicated state machine, their results and stored records."""

import enum

import attrs

from coltsfootspar.table import Edit
from coltsfootspar.table.columns import CellValue

__all__ = [
    "MAX_COMMAND_BYTES",
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

MAX_COMMAND_BYTES = 8 << 20


@attrs.frozen
class NoOperation:
    """Changes nothing.

    Each leader appends it as the first entry of its term, to commit the entries
    of earlier terms before it.
    """


@attrs.frozen
class EditCells:
    """Changes cells of the table.

    :param change_id: chosen by the operator's client, the same on every resend.
    :param operator: name of the operator who makes the change.
    """

    change_id: str
    operator: str
    edits: tuple[Edit, ...]


@attrs.frozen
class Claim:
    """Asks for the right to execute a request.

    :param key: service and idempotency key.
    :param fingerprint: hash of the request, to detect another request with the
        same key.
    :param claim_id: unique for each attempt to execute, the same on every resend.
    :param node_incarnation: grows with each restart of the node.
    :param lifetime_ms: time after which an unfinished claim has an unknown
        outcome, milliseconds.
    :param retention_ms: time for which the record is kept after its claim has
        ended, milliseconds.
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
    """Stores the answer of a claimed request.

    :param is_kept: false when the answer is too large to be stored.
    """

    key: str
    claim_id: str
    answer: bytes
    is_kept: bool = True


@attrs.frozen
class Abandon:
    """Ends a claim without an answer.

    :param may_have_run: false releases the key, true marks its outcome as unknown.
    """

    key: str
    claim_id: str
    may_have_run: bool = False


@attrs.frozen
class AdmitReplica:
    """Admits a replica with a new disk to the quorum under its new incarnation.

    With the incarnation that the replica has already, it records the address only.

    :param address: address at which it listens; empty when the settings of all
        replicas name it.
    """

    replica_id: str
    incarnation: int
    address: str = ""


@attrs.frozen
class ReplaceRoutes:
    """Replaces the whole route table.

    :param version: version of the new table, chosen by the operator.
    :param base_version: version that must be active for the change to apply.
    :param digest: hash of the operator's document, the same on every resend.
    :param data: the encoded table; it holds keys of organisations.
    """

    version: int
    base_version: int
    digest: bytes
    data: bytes = attrs.field(repr=False)


@attrs.frozen
class CheckRoutes:
    """Reads the active version of the routes.

    The read is linearizable because it is an entry of the log.
    """


@attrs.frozen
class Expire:
    """Advances the time of the state when there are no other commands.

    Claims and their records then expire in time.
    """


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
    """One entry of the replicated log.

    :param time_ms: the leader's clock when it appended the entry, milliseconds.
    :param data: encoded command.
    """

    index: int
    term: int
    time_ms: int
    data: bytes


class ChangeStatus(enum.StrEnum):
    """Outcome of a change of the table or of the routes."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    INVALID = "invalid"


@attrs.frozen
class ChangeResult:
    """Result of :class:`EditCells`, :class:`ReplaceRoutes` and :class:`CheckRoutes`.

    :param version: the new version of the table or of the routes; after a
        conflict the present version of the cell or of the routes.
    :param code: error code, empty when applied.
    :param value: present value of the cell after a conflict.
    """

    status: ChangeStatus
    version: int = 0
    code: str = ""
    message: str = ""
    value: CellValue | None = None


class ClaimStatus(enum.StrEnum):
    """Status of a key, or outcome of a command on its claim."""

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
    """Result of :class:`Claim`, :class:`Finish` and :class:`Abandon`, or of a lookup.

    :param answer: stored answer of a finished key.
    :param node_id: node that made the claim.
    """

    status: ClaimStatus
    answer: bytes = b""
    node_id: str = ""


Result = ChangeResult | ClaimResult | None


@attrs.frozen
class Change:
    """An applied change in the history of the table.

    :param version: table version that the change created.
    :param time_ms: the leader's clock when it appended the change, milliseconds.
    """

    version: int
    time_ms: int
    change_id: str
    operator: str
    edits: tuple[Edit, ...]


@attrs.frozen
class ClaimRecord:
    """Stored record of a claimed key.

    :param expires_ms: time on the leader's clock at which the outcome of a claim
        in progress becomes unknown, or the record of an ended claim is removed;
        milliseconds.
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
