"""What happened in a run, as the stand-ins saw it."""

from collections import Counter

import attrs

from coltsfootspar.calls import Outcome

__all__ = [
    "AdmissionEvent",
    "Attempt",
    "CallRecord",
    "GateEvent",
    "Journal",
    "LeafKey",
    "RequestRecord",
    "Violation",
]

# Trace id and position in the call tree.
LeafKey = tuple[str, str]


@attrs.define
class Attempt:
    """One attempt of a client.

    :param ended_at: time of the answer, seconds; None when there was none.
    :param is_complete: true when the whole answer of this request arrived.
    """

    trace_id: str
    started_at: float
    ended_at: float | None = None
    status: int = 0
    error: str = ""
    is_complete: bool = False


@attrs.define
class RequestRecord:
    """One request of a client with all its attempts.

    :param answered_at: time of the complete answer, seconds.
    """

    number: int
    row: str
    started_at: float
    attempts: list[Attempt] = attrs.field(factory=list)
    answered_at: float | None = None

    @property
    def latency(self) -> float | None:
        """Time from the first attempt to the complete answer, seconds."""
        if self.answered_at is None:
            return None
        return self.answered_at - self.started_at


@attrs.define
class CallRecord:
    """One call of a client or backend server, with all attempts of the nodes.

    :param ran_at: times at which a backend server began to work on it, seconds.
    """

    ran_at: list[float] = attrs.field(factory=list)
    outcome: Outcome | None = None
    ended_at: float = 0.0


@attrs.frozen
class AdmissionEvent:
    """A call that a node's admission controller decided on.

    :param code: error code of a refusal, empty when admitted.
    """

    node_id: str
    row: str
    importance: int
    arrived_at: float
    decided_at: float
    code: str = ""
    was_cancelled: bool = False


@attrs.frozen
class GateEvent:
    """A request that an entry gate decided on.

    :param code: error code of a refusal, empty when admitted.
    """

    node_id: str
    row: str
    importance: int
    at: float
    code: str = ""


@attrs.frozen
class Violation:
    """A broken invariant.

    :param name: name of the invariant.
    :param detail: what was seen.
    """

    name: str
    detail: str


@attrs.define(eq=False)
class Journal:
    """Everything that measures and invariant checks need.

    :param work: own work of the backend servers for each trace id, seconds.
    :param attempts_at: attempts that arrived at a node for each call without
        calls below it.
    :param allowances: retries that each request may spend, by trace id.
    :param calls: calls by their number.
    :param once_runs: runs for each service and idempotency key of rows marked
        ``once``.
    """

    requests: list[RequestRecord] = attrs.field(factory=list)
    work: Counter[str] = attrs.field(factory=Counter)
    attempts_at: Counter[LeafKey] = attrs.field(factory=Counter)
    allowances: dict[str, int] = attrs.field(factory=dict)
    calls: dict[int, CallRecord] = attrs.field(factory=dict)
    once_runs: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    admissions: list[AdmissionEvent] = attrs.field(factory=list)
    gates: list[GateEvent] = attrs.field(factory=list)
    violations: list[Violation] = attrs.field(factory=list)
    refusals: Counter[str] = attrs.field(factory=Counter)

    def open_call(self) -> int:
        """Records a new call.

        :returns: its number.
        """
        number = len(self.calls)
        self.calls[number] = CallRecord()
        return number

    def close_call(self, number: int, outcome: Outcome, at: float) -> None:
        """Records the outcome that the caller was told."""
        record = self.calls[number]
        record.outcome = outcome
        record.ended_at = at

    def add_violation(self, name: str, detail: str) -> None:
        """Records a broken invariant."""
        self.violations.append(Violation(name, detail))
