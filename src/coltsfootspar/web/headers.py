"""Checks and filters of the heads of messages."""

from collections.abc import Iterable

from coltsfootspar.calls import Header
from coltsfootspar.exceptions import TransferError

__all__ = ["drop_hop_headers", "require_complete_head"]

_FINAL_STATUSES = range(200, 600)
_BODYLESS_STATUSES = (204, 304)

_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def drop_hop_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Drops hop-by-hop headers, also those that ``Connection`` names.

    :param headers: pairs, names in lower case.
    """
    headers = tuple(headers)
    dropped = _HOP_HEADERS
    for name, value in headers:
        if name == b"connection":
            dropped |= {token.strip().lower() for token in value.split(b",")}
    return tuple(pair for pair in headers if pair[0] not in dropped)


def require_complete_head(status: int, headers: Iterable[Header], method: str) -> None:
    """Checks that a response has a final status and a length.

    A body that ends with the connection cannot be told from a truncated one.

    :param method: method of the request, upper case.
    :raises TransferError: when it has not.
    """
    if status not in _FINAL_STATUSES:
        raise TransferError(f"{status} is not a final status", may_have_run=True)
    if status in _BODYLESS_STATUSES or method == "HEAD":
        return
    names = {name.lower() for name, _ in headers}
    if not names & {b"content-length", b"transfer-encoding"}:
        raise TransferError("response has no length", may_have_run=True)
