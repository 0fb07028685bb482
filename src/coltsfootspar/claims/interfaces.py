"""Interface through which the node runs requests at most once."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from coltsfootspar.calls import CallReply, CallRequest
from coltsfootspar.table import Row

__all__ = ["OnceExecutor"]


class OnceExecutor(Protocol):
    """Runs requests of rows marked ``once`` at most once per idempotency key."""

    async def execute(
        self,
        request: CallRequest,
        row: Row,
        run: Callable[[], Awaitable[CallReply]],
    ) -> CallReply:
        """Claims the key of a request, runs the request and records its reply.

        :param request: request whose context carries the idempotency key.
        :param row: table row that the request matches.
        :param run: sends the request to a backend server.
        :returns: the reply of this run or the stored reply of an earlier one.
        :raises ClaimError: when the request may not run; the code says why.
        """
