"""Headers that concern one connection only."""

from collections.abc import Iterable

from coltsfootspar.calls import Header

__all__ = ["drop_hop_headers"]

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
