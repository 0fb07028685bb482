"""Router without overload control, for comparison in the bench."""

import random

import attrs
import trio

from coltsfootspar.calls import CallReply, CallRequest
from coltsfootspar.exceptions import (
    AttemptsExhaustedError,
    DeadlineError,
    LinkError,
    NoCandidateError,
)
from coltsfootspar.routing.interfaces import Directory, PeerLink, Router
from coltsfootspar.table import Row

__all__ = ["create_baseline_router"]

PLAIN_RETRIES = 3
SERVER_ERROR = 500


@attrs.define(eq=False)
class _BaselineRouter:
    _directory: Directory
    _link: PeerLink
    _random: random.Random

    async def call(self, request: CallRequest, row: Row) -> CallReply:
        """Sends a call to random candidates until one answers."""
        deadline = request.context.deadline
        is_late = trio.current_time() >= deadline
        if not is_late:
            with trio.move_on_at(deadline):
                return await self._retry(request)
        raise DeadlineError("no answer before the deadline", may_have_run=not is_late)

    async def _retry(self, request: CallRequest) -> CallReply:
        reply = failure = None
        for attempt in range(1, PLAIN_RETRIES + 2):
            node_id = self._choose(request.service)
            try:
                sent = attrs.evolve(request, attempt=attempt)
                reply = await self._link.call(node_id, sent)
            except LinkError as error:
                failure = error
                continue
            if reply.status < SERVER_ERROR:
                return reply
        if reply is None:
            raise AttemptsExhaustedError(
                f"no answer of {request.service}", may_have_run=True
            ) from failure
        return reply

    def _choose(self, service: str) -> str:
        candidates = self._directory.list_candidates(service)
        usable = [c for c in candidates if not c.is_leaving]
        if not usable:
            raise NoCandidateError(
                f"no backend server offers {service}", may_have_run=False
            )
        return self._random.choice(usable).node_id


def create_baseline_router(
    directory: Directory, link: PeerLink, source: random.Random
) -> Router:
    """Creates a router with plain retries at each hop.

    It takes a random candidate and tries again three times after any failure,
    without regard to the allowance.

    :param directory: lists the candidates of each service.
    :param link: carries the calls.
    :param source: random numbers for the choice of candidates.
    """
    return _BaselineRouter(directory, link, source)
