"""Error classes of all layers.

Each layer has its own base class. A layer that catches an error of the layer
below raises one of its own ``from`` it. Every error has a ``code``, which is
part of the documented interface: it appears in HTTP headers, in logs and in the
exit message of the programs.
"""

__all__ = [
    "ColtsfootsparError",
    "OutcomeError",
    "SettingsError",
    "TableError",
    "CellError",
    "ConflictError",
    "WireError",
    "FrameError",
    "HandshakeError",
    "LinkError",
    "AdmissionError",
    "RefusedError",
    "BackendError",
    "RoutingError",
    "NoCandidateError",
    "AttemptsExhaustedError",
    "DeadlineError",
    "MembershipError",
    "ClientError",
    "ServerError",
    "UnreachableError",
    "StorageError",
    "CorruptLogError",
    "ReplicationError",
    "NotLeaderError",
    "NoQuorumError",
    "ClaimError",
    "WebError",
    "MalformedRequestError",
    "TooLargeError",
    "OutOfMemoryError",
    "TransferError",
    "BenchError",
]


class ColtsfootsparError(Exception):
    """Base class of all errors.

    :param message: text for people, without a trailing period.
    :param code: stable identifier; the class attribute applies when omitted.
    """

    code = "internal"

    def __init__(self, message: str, *, code: str | None = None):
        super().__init__(message)
        if code is not None:
            self.code = code


class OutcomeError(ColtsfootsparError):
    """Base class of errors that say whether a request may have run.

    :param may_have_run: false only when the request certainly did not run.
    """

    def __init__(self, message: str, *, may_have_run: bool, code: str | None = None):
        super().__init__(message, code=code)
        self.may_have_run = may_have_run


class SettingsError(ColtsfootsparError):
    """One or more settings are missing or outside their range.

    :param problems: one line for each problem, each naming its key.
    """

    code = "settings"

    def __init__(self, problems: list[str]):
        super().__init__("\n".join(problems))
        self.problems = problems


class TableError(ColtsfootsparError):
    """The table or an edit of it is not valid."""

    code = "table"


class CellError(TableError):
    """A cell value has the wrong type or is outside its range."""

    code = "cell-value"


class ConflictError(TableError):
    """The expected version of a cell is not its present version.

    :param value: present value of the cell.
    :param version: present version of the cell.
    """

    code = "conflict"

    def __init__(self, message: str, *, value: object, version: int):
        super().__init__(message)
        self.value = value
        self.version = version


class WireError(ColtsfootsparError):
    """Base class of the errors of the inner protocol."""

    code = "wire"


class FrameError(WireError):
    """A frame or datagram is malformed or larger than allowed."""

    code = "frame"


class HandshakeError(WireError):
    """The peer is not of this deployment or shares no protocol version."""

    code = "handshake"


class LinkError(OutcomeError, WireError):
    """A peer could not be reached or its connection ended.

    :param may_have_run: true once the request may have reached the peer.
    """

    code = "link"


class AdmissionError(ColtsfootsparError):
    """Base class of the errors of admission."""

    code = "admission"


class RefusedError(AdmissionError):
    """A request was refused before it ran.

    :param retry_after: time after which a new try makes sense, seconds.
    :param below: true when the refusal comes from deeper in the call tree.
    """

    code = "overload"

    def __init__(
        self,
        message: str,
        *,
        code: str | None = None,
        retry_after: float = 1.0,
        below: bool = False,
    ):
        super().__init__(message, code=code)
        self.retry_after = retry_after
        self.below = below


class BackendError(OutcomeError):
    """The backend server did not give a whole answer.

    :param may_have_run: false only when no byte of the request can have
        reached the backend server.
    """

    code = "backend"


class RoutingError(OutcomeError):
    """A call got no whole answer from any backend server.

    :param may_have_run: false only when no attempt can have run.
    """

    code = "routing"


class NoCandidateError(RoutingError):
    """No reachable backend server offers the service."""

    code = "no-backend-server"


class AttemptsExhaustedError(RoutingError):
    """The last attempt that the allowance or the budget permits has failed."""

    code = "attempts-exhausted"


class DeadlineError(RoutingError):
    """The deadline of the request passed before a whole answer arrived."""

    code = "deadline"


class MembershipError(ColtsfootsparError):
    """The member list cannot be joined or read."""

    code = "membership"


class ClientError(ColtsfootsparError):
    """Base class of the errors of the operators' client."""

    code = "client"


class ServerError(ClientError):
    """The admin interface answered with an error.

    :param status: HTTP status.
    :param may_have_run: true when a change may still be applied.
    """

    code = "server"

    def __init__(
        self,
        message: str,
        *,
        status: int,
        code: str | None = None,
        may_have_run: bool = False,
    ):
        super().__init__(message, code=code)
        self.status = status
        self.may_have_run = may_have_run


class UnreachableError(OutcomeError, ClientError):
    """The admin interface cannot be reached or its replies are lost.

    :param may_have_run: true when a request may have reached it.
    """

    code = "not-reachable"


class StorageError(ColtsfootsparError):
    """The data folder cannot be read or written."""

    code = "storage"


class CorruptLogError(StorageError):
    """A record inside the log or a snapshot is damaged.

    :param path: file that holds the record.
    :param offset: position of the record, bytes.
    """

    code = "corrupt-log"

    def __init__(self, message: str, *, path: str, offset: int):
        super().__init__(message)
        self.path = path
        self.offset = offset


class ReplicationError(ColtsfootsparError):
    """Base class of the errors of the replicated state."""

    code = "replication"


class NotLeaderError(ReplicationError):
    """The replica is not the leader.

    :param leader_id: replica believed to be the leader, or None.
    """

    code = "not-leader"

    def __init__(self, message: str, *, leader_id: str | None):
        super().__init__(message)
        self.leader_id = leader_id


class NoQuorumError(OutcomeError, ReplicationError):
    """No majority of the replicas answered in time.

    :param may_have_run: true when the command may still be committed.
    """

    code = "no-quorum"


class ClaimError(OutcomeError):
    """An at-most-once request may not be run.

    :param may_have_run: true when an earlier request with the key may have run.
    """

    code = "claim"


class WebError(ColtsfootsparError):
    """Base class of the errors of the HTTP layer."""

    code = "web"


class MalformedRequestError(WebError):
    """The peer does not speak valid HTTP."""

    code = "malformed-http"


class TooLargeError(WebError):
    """Headers or body are larger than the settings allow."""

    code = "too-large"


class OutOfMemoryError(WebError):
    """Body is dropped because the process holds too much already."""

    code = "no-memory"


class TransferError(OutcomeError, WebError):
    """An HTTP server gave no whole response.

    :param may_have_run: false only when no byte of the request was sent.
    """

    code = "transfer"


class BenchError(ColtsfootsparError):
    """A scenario is not valid or a measurement could not be made."""

    code = "bench"
