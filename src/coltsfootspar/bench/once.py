"""At-most-once execution with the claims in memory."""

import enum
from collections.abc import Awaitable, Callable

import attrs
import trio

from coltsfootspar.calls import CallReply, CallRequest, Outcome
from coltsfootspar.exceptions import ClaimError, RefusedError, RoutingError
from coltsfootspar.table import Row

__all__ = ["ClaimStore", "MemoryOnceExecutor", "create_once_executor"]


class _State(enum.Enum):
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"


@attrs.define(eq=False)
class ClaimStore:
    """Claims of all nodes, in place of the replicas."""

    claims: dict[tuple[str, str], _State | CallReply] = attrs.field(factory=dict)


@attrs.define(eq=False)
class MemoryOnceExecutor:
    """Runs requests of rows marked ``once`` under a claim."""

    _store: ClaimStore
    _claim_seconds: float

    async def execute(
        self,
        request: CallRequest,
        row: Row,
        run: Callable[[], Awaitable[CallReply]],
    ) -> CallReply:
        """Claims the key of a request, runs it and keeps its answer.

        :raises ClaimError: when the key is missing, in use or of unknown outcome.
        """
        if request.context.idempotency_key is None:
            raise ClaimError(
                "a key is needed", may_have_run=False, code="no-idempotency-key"
            )
        key = (request.service, request.context.idempotency_key)
        await trio.sleep(self._claim_seconds)
        found = self._store.claims.get(key)
        if isinstance(found, CallReply):
            return attrs.evolve(found, unused_allowance=request.context.allowance)
        if found is not None:
            code = {
                _State.IN_PROGRESS: "key-in-progress",
                _State.UNKNOWN: "outcome-unknown",
            }[found]
            raise ClaimError("the key is in use", may_have_run=True, code=code)
        return await self._run_claimed(key, run)

    async def _run_claimed(
        self, key: tuple[str, str], run: Callable[[], Awaitable[CallReply]]
    ) -> CallReply:
        claims = self._store.claims
        claims[key] = _State.IN_PROGRESS
        try:
            reply = await run()
        except RefusedError:
            del claims[key]
            raise
        except RoutingError as error:
            if error.may_have_run:
                claims[key] = _State.UNKNOWN
            else:
                del claims[key]
            raise
        except BaseException:
            claims[key] = _State.UNKNOWN
            raise
        if reply.outcome is Outcome.NOT_RUN:
            del claims[key]
        elif reply.outcome is Outcome.MAY_HAVE_RUN:
            claims[key] = _State.UNKNOWN
        else:
            claims[key] = reply
        return reply


def create_once_executor(store: ClaimStore, claim_seconds: float) -> MemoryOnceExecutor:
    """Creates an executor for one node.

    :param claim_seconds: time that a claim takes, seconds.
    """
    return MemoryOnceExecutor(store, claim_seconds)
