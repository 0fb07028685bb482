"""Identification of organisations by the key of a request, at its first node."""

from typing import Protocol

import attrs

from coltsfootspar.exceptions import RefusedError
from coltsfootspar.routes import KeyIndex, Organisation, Route

__all__ = [
    "NO_KEY_ERROR",
    "UNAUTHORIZED",
    "UNKNOWN_KEY_ERROR",
    "WITHDRAWN_KEY_ERROR",
    "Identifier",
    "Identity",
    "KeyView",
    "RevocationPolicy",
    "find_refusal_status",
]

NO_KEY_ERROR = "no-key"
UNKNOWN_KEY_ERROR = "unknown-key"
WITHDRAWN_KEY_ERROR = "key-withdrawn"
_OUTDATED_ERROR = "routes-outdated"
_CUT_OFF_ERROR = "cut-off"
UNAUTHORIZED = 401
_SERVICE_UNAVAILABLE = 503
_STATUS_BY_ERROR = {
    NO_KEY_ERROR: UNAUTHORIZED,
    UNKNOWN_KEY_ERROR: UNAUTHORIZED,
    WITHDRAWN_KEY_ERROR: UNAUTHORIZED,
}
# Twice the time in which a node in touch with the replicas has its routes confirmed. An
# unknown key may have been added after that.
OUTDATED_SECONDS = 4.0


class KeyView(Protocol):
    """Provides the keys in force."""

    @property
    def keys(self) -> KeyIndex:
        """Keys of the route table in force; another object after each change."""

    @property
    def unconfirmed_seconds(self) -> float:
        """Time for which a newer table may have been in force, seconds."""


@attrs.frozen
class RevocationPolicy:
    """What a node does that may have missed the withdrawal of a key.

    :param seconds: time without contact to the replicas after which it is cut off.
    :param stops_when_cut_off: true when it then refuses requests with keys.
    """

    seconds: float = 5.0
    stops_when_cut_off: bool = False


@attrs.frozen(eq=False)
class Identity:
    """Organisation whose key a request carries.

    :param organisation: organisation that held the key when the request arrived.
    """

    organisation: Organisation
    _key: bytes = attrs.field(repr=False)
    _index: KeyIndex
    _view: KeyView = attrs.field(repr=False)

    @property
    def is_in_force(self) -> bool:
        """False once the key has been withdrawn from the organisation."""
        keys = self._view.keys
        if keys is self._index:
            return True
        holder = keys.find(self._key)
        return holder is not None and holder.name == self.organisation.name


@attrs.define(eq=False)
class Identifier:
    """Looks up the key of each request once.

    :param unknown_keys: requests refused for an unknown key, or without a key.
    :param withdrawn_keys: requests refused since their key was withdrawn after they
        had arrived.
    :param outdated: requests refused since keys may have been added or withdrawn that
        the node has not heard of.
    """

    _view: KeyView
    policy: RevocationPolicy = attrs.field(factory=RevocationPolicy)
    unknown_keys: int = 0
    withdrawn_keys: int = 0
    outdated: int = 0

    def identify(self, route: Route, key: bytes | None) -> Identity | None:
        """Identifies the organisation of a request.

        :param key: value of the key header; None without one.
        :returns: None when the request is served without an organisation.
        :raises RefusedError: when it must not be served; see
            :func:`find_refusal_status`.
        """
        index = self._view.keys
        if not index.has_organisations:
            return None
        organisation = index.find(key) if key is not None else None
        if organisation is not None:
            self._check_contact()
            return Identity(organisation, key, index, self._view)
        if not route.needs_key:
            return None
        if self._view.unconfirmed_seconds > OUTDATED_SECONDS:
            self.outdated += 1
            raise RefusedError("the key may be new", code=_OUTDATED_ERROR)
        self.unknown_keys += 1
        code = NO_KEY_ERROR if key is None else UNKNOWN_KEY_ERROR
        raise RefusedError("no organisation holds the key", code=code)

    def _check_contact(self) -> None:
        """Refuses requests with keys while withdrawals may have been missed."""
        policy = self.policy
        if not policy.stops_when_cut_off:
            return
        if self._view.unconfirmed_seconds > policy.seconds:
            self.outdated += 1
            raise RefusedError("the key may be withdrawn", code=_CUT_OFF_ERROR)


def find_refusal_status(error: str) -> int:
    """Returns the status of a refusal.

    :param error: its error code.
    """
    return _STATUS_BY_ERROR.get(error, _SERVICE_UNAVAILABLE)
