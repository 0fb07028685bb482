"""Requests and replies as the parts of a node hand them to each other."""

import enum
from collections.abc import Iterable

import attrs

from coltsfootspar.calls.context import CallContext, Priority

__all__ = [
    "CallReply",
    "CallRequest",
    "Header",
    "Outcome",
    "OverloadSignal",
    "Refusal",
    "find_header",
]

Header = tuple[bytes, bytes]


class Outcome(enum.StrEnum):
    """Whether a request ran at a backend server."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


@attrs.frozen
class CallRequest:
    """One call to a service.

    :param service: name of the service.
    :param method: HTTP method, upper case.
    :param path: path with query string.
    :param headers: header pairs, names in lower case.
    :param body: whole body.
    :param context: context of the request that the call belongs to.
    :param attempt: 1 for the first attempt of this call.
    :param is_spilled: true when the sender is in another data centre.
    """

    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    context: CallContext
    attempt: int = 1
    is_spilled: bool = False


@attrs.frozen
class OverloadSignal:
    """What a service admits at present.

    :param service: name of the service.
    :param threshold: lowest priority that is admitted.
    :param expires_after: validity from receipt, seconds.
    """

    service: str
    threshold: Priority
    expires_after: float


@attrs.frozen
class Refusal:
    """Why a request was not run.

    :param code: error code.
    :param retry_after: time after which a new try makes sense, seconds.
    :param below: true when the refusal comes from deeper in the call tree.
    """

    code: str
    retry_after: float
    below: bool = False


@attrs.frozen
class CallReply:
    """Answer to a call.

    :param status: HTTP status code.
    :param headers: header pairs, names in lower case.
    :param body: whole body.
    :param outcome: whether the call ran.
    :param refusal: set when the system or the backend server refused the call.
    :param unused_allowance: retries that the call and those below left unspent.
    :param signals: overload signals of the service and of those below it.
    :param reached: services that the call reached, its own included.
    :param service_seconds: time at the backend server without queueing, seconds.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    outcome: Outcome = Outcome.RAN
    refusal: Refusal | None = None
    unused_allowance: int = 0
    signals: tuple[OverloadSignal, ...] = ()
    reached: tuple[str, ...] = ()
    service_seconds: float = 0.0


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Finds the first header of a name.

    :param name: header name in lower case.
    :returns: its value, or None.

    >>> find_header([(b"host", b"specs")], b"host")
    b'specs'
    """
    for key, value in headers:
        if key == name:
            return value
    return None
