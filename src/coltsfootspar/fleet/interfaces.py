"""What the programs need to know of the way in which their callers speak."""

from typing import Protocol

import attrs

from coltsfootspar.relay import BackendReport, HeaderNames
from coltsfootspar.routes import RouteTable

__all__ = [
    "BackendDeparture",
    "ControlRequest",
    "Dialect",
    "RouteChange",
    "RouteQuery",
]


@attrs.frozen
class BackendDeparture:
    """A backend server says that it leaves."""

    instance_id: str


@attrs.frozen
class RouteChange:
    """An operator replaces the routes.

    :param digest: hash of the document, equal on every resend.
    """

    table: RouteTable
    digest: bytes


@attrs.frozen
class RouteQuery:
    """An operator reads the routes."""


ControlRequest = BackendReport | BackendDeparture | RouteChange | RouteQuery


class Dialect(Protocol):
    """Translates what backend servers and operators send."""

    @property
    def names(self) -> HeaderNames:
        """Names of headers."""

    def decode_control(self, target: str, body: bytes) -> ControlRequest | None:
        """Decodes a request to the control address.

        :param target: path and query.
        :returns: None when there is no such request.
        :raises MalformedRequestError: when the body is malformed.
        """

    def encode_routes(self, table: RouteTable) -> bytes:
        """Encodes the routes for an operator."""
