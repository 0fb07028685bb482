"""Finding the organisation that holds a key."""

import hashlib
import hmac
import secrets
from collections.abc import Iterator

import attrs

from coltsfootspar.routes.model import Organisation, RouteTable

__all__ = ["KeyIndex", "create_key_index"]

_SECRET_BYTES = 32
_DIGEST_BYTES = 16


@attrs.frozen(repr=False)
class KeyIndex:
    """Organisations of one route table by the digests of their keys.

    The digest is keyed with a secret of this index. So the time of a look-up does not
    tell a caller how much of a guessed key is right, and it does not depend on the
    number of organisations.

    :param has_organisations: false when no request of the table needs a key.
    """

    has_organisations: bool
    _secret: bytes
    _holders: dict[bytes, tuple[bytes, Organisation]]

    def find(self, key: bytes) -> Organisation | None:
        """Finds the organisation that holds a key."""
        holder = self._holders.get(_compute_digest(key, self._secret))
        if holder is None or not hmac.compare_digest(holder[0], key):
            return None
        return holder[1]


def create_key_index(table: RouteTable) -> KeyIndex:
    """Prepares a table for the identification of organisations.

    >>> create_key_index(RouteTable()).find(b"k") is None
    True
    """
    secret = secrets.token_bytes(_SECRET_BYTES)
    holders = {
        _compute_digest(key, secret): (key, organisation)
        for key, organisation in _list_keys(table)
    }
    return KeyIndex(bool(table.organisations), secret, holders)


def _list_keys(table: RouteTable) -> Iterator[tuple[bytes, Organisation]]:
    for organisation in table.organisations:
        for key in organisation.keys:
            yield key.encode(), organisation


def _compute_digest(key: bytes, secret: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES, key=secret).digest()
