"""What routing needs from other packages and offers to the node."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from coltsfootspar.calls import CallReply, CallRequest
from coltsfootspar.table import Row

__all__ = ["Candidate", "Directory", "PeerLink", "Router"]


@attrs.frozen
class Candidate:
    """A node whose backend server offers a service.

    :param slots: announced slots of the backend server.
    :param is_leaving: true when it takes no new work.
    :param warm_at: time on the trio clock from which it takes its full share,
        seconds.
    """

    node_id: str
    service: str
    region: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    warm_at: float = 0.0


class Directory(Protocol):
    """Members of the deployment by service."""

    def list_candidates(self, service: str) -> Sequence[Candidate]:
        """Lists the reachable candidates of a service, leaving ones included."""


class PeerLink(Protocol):
    """Calls to other nodes."""

    async def call(self, node_id: str, request: CallRequest) -> CallReply:
        """Sends a call to a node and waits for its reply.

        :raises LinkError: when no whole reply arrived; ``may_have_run`` says
            whether the call can have reached the node.
        """


class Router(Protocol):
    """Finds a node for a call and retries within the allowance."""

    async def call(self, request: CallRequest, row: Row) -> CallReply:
        """Sends a call to one of the candidates of its service.

        The reply's ``unused_allowance`` is what is left of the request's.

        :raises RoutingError: when no whole answer came in time.
        """
