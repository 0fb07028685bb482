"""Interfaces that routing requires from other packages and provides to the node."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from coltsfootspar.calls import CallReply, CallRequest
from coltsfootspar.table import Row

__all__ = ["Candidate", "Directory", "PeerLink", "Router"]


@attrs.frozen
class Candidate:
    """A node whose backend server offers a service.

    :param slots: announced concurrency of the backend server.
    :param is_leaving: true when it takes no new work.
    :param warm_at: time at which its warm-up ends and it can take its full load,
        trio clock, seconds.
    :param calls_per_second: calls that the backend server completes per second at
        most, as learned by its node; 0 when unknown.
    """

    node_id: str
    service: str
    region: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    warm_at: float = 0.0
    calls_per_second: int = 0


class Directory(Protocol):
    """Lists the members of the deployment by service."""

    def list_candidates(self, service: str) -> Sequence[Candidate]:
        """Returns the reachable candidates of a service, leaving ones included."""


class PeerLink(Protocol):
    """Sends calls to other nodes."""

    async def call(self, node_id: str, request: CallRequest) -> CallReply:
        """Sends a call to a node and waits for its reply.

        :raises LinkError: when no complete reply arrived; ``may_have_run`` is
            false only when the call certainly did not reach the node.
        """


class Router(Protocol):
    """Sends calls to suitable nodes and retries within the allowance."""

    async def call(self, request: CallRequest, row: Row) -> CallReply:
        """Sends a call to one of the candidates of its service.

        The reply's ``unused_allowance`` is the unspent part of the request's
        allowance.

        :raises RoutingError: when no complete reply arrived in time.
        """
