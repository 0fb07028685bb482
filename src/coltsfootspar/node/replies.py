"""Replies that the system itself gives, made from errors."""

from coltsfootspar.calls import CallReply, Outcome, Refusal
from coltsfootspar.exceptions import (
    ColtsfootsparError,
    OutcomeError,
    RefusedError,
)

__all__ = ["ERROR_HEADER", "OUTCOME_HEADER", "create_error_reply", "describe_error"]

OUTCOME_HEADER = b"coltsfootspar-outcome"
ERROR_HEADER = b"coltsfootspar-error"

_STATUS_BY_CODE = {
    "overload": 503,
    "queue-full": 503,
    "deadline-unreachable": 503,
    "draining": 503,
    "stopping": 503,
    "rate-limit": 429,
    "concurrency-limit": 429,
    "deadline": 504,
    "backend-timeout": 504,
    "no-service": 404,
    "no-row": 404,
    "no-backend-server": 503,
    "no-quorum": 503,
    "claims-full": 503,
    "claim-rejected": 503,
    "key-in-progress": 409,
    "outcome-unknown": 409,
    "key-reused": 409,
    "answer-not-kept": 409,
    "no-idempotency-key": 400,
    "malformed-http": 400,
    "no-table": 503,
}
_DEFAULT_STATUS = 502
_MIN_RETRY_AFTER = 1


def create_error_reply(
    code: str,
    message: str,
    outcome: Outcome,
    *,
    refusal: Refusal | None = None,
    unused_allowance: int = 0,
) -> CallReply:
    """Creates the answer for a request that got no answer of a backend server.

    :param code: error code, sent in the header ``Coltsfootspar-Error``.
    :param message: text for people, sent as the body.
    :param outcome: whether the request ran.
    """
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (ERROR_HEADER, code.encode()),
        (OUTCOME_HEADER, outcome.value.encode()),
    ]
    if refusal is not None:
        seconds = max(_MIN_RETRY_AFTER, round(refusal.retry_after))
        headers.append((b"retry-after", str(seconds).encode()))
    return CallReply(
        status=_STATUS_BY_CODE.get(code, _DEFAULT_STATUS),
        headers=tuple(headers),
        body=f"{message}\n".encode(),
        outcome=outcome,
        refusal=refusal,
        unused_allowance=unused_allowance,
    )


def describe_error(error: ColtsfootsparError, unused_allowance: int = 0) -> CallReply:
    """Turns an error of admission, routing or claims into a reply."""
    refusal = None
    outcome = Outcome.NOT_RUN
    if isinstance(error, RefusedError):
        refusal = Refusal(error.code, error.retry_after, error.below)
    elif isinstance(error, OutcomeError):
        outcome = Outcome.MAY_HAVE_RUN if error.may_have_run else Outcome.NOT_RUN
    else:
        outcome = Outcome.MAY_HAVE_RUN
    return create_error_reply(
        error.code,
        str(error),
        outcome,
        refusal=refusal,
        unused_allowance=unused_allowance,
    )
