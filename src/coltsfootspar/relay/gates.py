"""Decisions that a request has to pass at its first node."""

from typing import Protocol

from coltsfootspar.relay.calls import Call, Reply
from coltsfootspar.routes import Organisation, Route

__all__ = ["EntryGate", "OpenEntryGate", "QuotaGate", "UnlimitedQuotaGate"]


class EntryGate(Protocol):
    """Refuses requests whose calls would find no room further on."""

    def find_refusal(self, route: Route, call: Call) -> float | None:
        """Decides on a request at its first node.

        :returns: seconds after which the client may try again; None admits it.
        """

    def record_reply(self, route: Route, call: Call, reply: Reply) -> None:
        """Learns from the reply to a request or nested call of the local host."""


class QuotaGate(Protocol):
    """Keeps each organisation within its rate over all nodes."""

    async def acquire(self, organisation: Organisation) -> float | None:
        """Takes the allowance for one request.

        :returns: seconds after which the client may try again; None admits it.
        :raises RefusedError: when the node cannot find out whether there is room.
        """

    def refund(self, organisation: Organisation) -> None:
        """Returns the allowance of a request that has reached no backend server."""


class OpenEntryGate:
    """Admits all requests."""

    def find_refusal(self, route: Route, call: Call) -> float | None:
        """Admits a request."""
        return None

    def record_reply(self, route: Route, call: Call, reply: Reply) -> None:
        """Ignores a reply."""


class UnlimitedQuotaGate:
    """Admits all requests."""

    async def acquire(self, organisation: Organisation) -> float | None:
        """Admits a request."""
        return None

    def refund(self, organisation: Organisation) -> None:
        """Returns nothing."""
