"""What the node needs for requests that run at most once."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from coltsfootspar.calls import CallReply, CallRequest
from coltsfootspar.table import Row

__all__ = ["OnceExecutor"]


class OnceExecutor(Protocol):
    """Runs requests of rows marked ``once``."""

    async def execute(
        self,
        request: CallRequest,
        row: Row,
        run: Callable[[], Awaitable[CallReply]],
    ) -> CallReply:
        """Claims the key of a request, runs it and records its answer.

        :param request: its context carries the idempotency key.
        :param run: sends the request to a backend server.
        :returns: the answer of this run or of an earlier one.
        :raises ClaimError: when it may not run; the code says why.
        """
