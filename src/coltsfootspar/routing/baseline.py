"""Baseline router without overload control, for comparison in the bench."""

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

RETRIES_PER_HOP = 3
MIN_SERVER_ERROR_STATUS = 500


@attrs.define(eq=False)
class _BaselineRouter:
    _directory: Directory
    _link: PeerLink
    _random: random.Random

    async def call(self, request: CallRequest, row: Row) -> CallReply:
        """Sends a call to random candidates until one replies without an error.

        :raises RoutingError: when no complete reply arrived in time.
        """
        deadline = request.context.deadline
        is_expired = trio.current_time() >= deadline
        if not is_expired:
            with trio.move_on_at(deadline):
                return await self._retry(request)
        raise DeadlineError("no reply before the deadline", may_have_run=not is_expired)

    async def _retry(self, request: CallRequest) -> CallReply:
        reply = failure = None
        for attempt in range(1, RETRIES_PER_HOP + 2):
            node_id = self._choose(request.service)
            try:
                attempt_request = attrs.evolve(request, attempt=attempt)
                reply = await self._link.call(node_id, attempt_request)
            except LinkError as error:
                failure = error
                continue
            if reply.status < MIN_SERVER_ERROR_STATUS:
                return reply
        if reply is None:
            raise AttemptsExhaustedError(
                f"no reply from {request.service}", may_have_run=True
            ) from failure
        return reply

    def _choose(self, service: str) -> str:
        candidates = self._directory.list_candidates(service)
        accepting = [c for c in candidates if not c.is_leaving]
        if not accepting:
            raise NoCandidateError(
                f"no backend server offers {service}", may_have_run=False
            )
        return self._random.choice(accepting).node_id


def create_baseline_router(
    directory: Directory, link: PeerLink, source: random.Random
) -> Router:
    """Creates a router that retries at each hop.

    It sends a call to a random candidate and retries up to three times after any
    failure, without regard to the allowance.

    :param directory: lists the candidates of each service.
    :param link: sends the calls.
    :param source: random numbers for the choice of candidates.
    """
    return _BaselineRouter(directory, link, source)
