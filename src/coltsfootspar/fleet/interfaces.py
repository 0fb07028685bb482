"""Interface to the protocol of backend servers and operators."""

from typing import Protocol

import attrs

from coltsfootspar.relay import BackendReport, HeaderNames
from coltsfootspar.routes import RouteTable

__all__ = [
    "BackendDeparture",
    "ControlRequest",
    "ProtocolAdapter",
    "RouteChange",
    "RouteQuery",
]


@attrs.frozen
class BackendDeparture:
    """Notice of a backend server that it leaves.

    :param started_ms: Unix time of its start, milliseconds; 0 when unknown.
    """

    instance_id: str
    started_ms: int = 0


@attrs.frozen
class RouteChange:
    """Request of an operator to replace the route table.

    :param digest: hash of the request body; equal in retries of the same change.
    """

    table: RouteTable
    digest: bytes


@attrs.frozen
class RouteQuery:
    """Request of an operator to read the route table."""


ControlRequest = BackendReport | BackendDeparture | RouteChange | RouteQuery


class ProtocolAdapter(Protocol):
    """Translates the requests of backend servers and operators."""

    @property
    def names(self) -> HeaderNames:
        """Names of the HTTP headers."""

    def decode_control(self, target: str, body: bytes) -> ControlRequest | None:
        """Decodes a request to the control address.

        :param target: path and query.
        :returns: None when the target names no known request.
        :raises MalformedRequestError: when the body is malformed.
        """

    def encode_routes(self, table: RouteTable) -> bytes:
        """Encodes the route table for an operator."""
