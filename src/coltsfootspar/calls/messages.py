"""Requests and replies exchanged between the components of a node."""

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
    :param context: propagated context of the request that the call belongs to.
    :param attempt: 1 for the first attempt of this call.
    :param is_spilled: true for cross-data-centre spillover: the sender is in
        another data centre.
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
    """Current admission threshold of a service.

    :param service: name of the service.
    :param threshold: lowest priority that the service admits.
    :param expires_after: time from receipt after which the signal expires, seconds.
    """

    service: str
    threshold: Priority
    expires_after: float


@attrs.frozen
class Refusal:
    """Reason why a call was refused.

    :param code: error code.
    :param retry_after: time after which the caller may retry, seconds.
    :param below: true when a nested call, deeper in the call tree, was refused.
    """

    code: str
    retry_after: float
    below: bool = False


@attrs.frozen
class CallReply:
    """Reply to a call.

    :param status: HTTP status code.
    :param headers: header pairs, names in lower case.
    :param body: whole body.
    :param outcome: whether the call ran at a backend server.
    :param refusal: set when the system or the backend server refused the call.
    :param unused_allowance: retries that the call and its nested calls left unspent.
    :param signals: overload signals of the service and of the services below it.
    :param reached: services that the call and its nested calls reached, its own
        included.
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
    """Finds the value of the first header with a name.

    :param name: header name in lower case.
    :returns: the value, or None when there is no such header.

    >>> find_header([(b"host", b"specs")], b"host")
    b'specs'
    """
    for key, value in headers:
        if key == name:
            return value
    return None
