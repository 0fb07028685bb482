"""Runs requests of rows marked ``once`` at most once for each key."""

import random
import time
from collections.abc import Awaitable, Callable

import attrs
import trio

from coltsfootspar.calls import CallReply, CallRequest, Outcome
from coltsfootspar.claims.answers import (
    compute_fingerprint,
    create_key,
    decode_answer,
    encode_answer,
)
from coltsfootspar.claims.recorder import ClaimRecorder, create_recorder
from coltsfootspar.exceptions import (
    ClaimError,
    NoQuorumError,
    RefusedError,
)
from coltsfootspar.replication import (
    Abandon,
    Claim,
    ClaimResult,
    ClaimStatus,
    Finish,
    ReplicationClient,
    create_id,
)
from coltsfootspar.table import Row

__all__ = ["MAX_ANSWER_BYTES", "ClaimingExecutor", "create_once_executor"]

MAX_ANSWER_BYTES = 256 << 10
RETENTION_SECONDS = 24 * 3600.0
_CLAIM_SECONDS = 4.0
# A claim lives longer than its request, so that the answer of one that ends at
# its deadline is recorded before the outcome counts as unknown.
_LIFETIME_MARGIN = 5.0
_RECORD_SECONDS = 1.0
# A claim that is sent later than this before the deadline gets no answer in time.
_CLAIM_MARGIN = 0.1
_MIN_WAIT = 0.5
_MAX_WAIT = 4.0
_PAUSE = 0.1
_MS = 1_000

Run = Callable[[], Awaitable[CallReply]]


@attrs.define(eq=False)
class ClaimingExecutor:
    """Claims keys with the replicas; :meth:`run` has to be running."""

    _node_id: str
    _client: ReplicationClient
    _recorder: ClaimRecorder
    _random: random.Random
    _incarnation: int
    _max_answer_bytes: int
    _retention: float

    async def run(self) -> None:
        """Records the ends of claims until cancelled."""
        await self._recorder.run()

    @property
    def unrecorded(self) -> int:
        """Ends of claims that no majority has confirmed yet."""
        return self._recorder.waiting

    async def execute(self, request: CallRequest, row: Row, run: Run) -> CallReply:
        """Claims the key of a request, runs it and records its answer.

        :param request: its context carries the idempotency key.
        :param run: sends the request to a backend server.
        :returns: the answer of this run or of an earlier one.
        :raises ClaimError: when it may not run; the code says why.
        """
        key = request.context.idempotency_key
        if not key:
            raise ClaimError(
                f"row {row.name!r} runs at most once and needs the header "
                "Idempotency-Key",
                may_have_run=False,
                code="no-idempotency-key",
            )
        claim, result = await self._claim(request, create_key(request.service, key))
        if result.status is ClaimStatus.GRANTED:
            return await self._run_claimed(request, claim, run)
        if result.status is ClaimStatus.FINISHED:
            return decode_answer(result.answer, request.context.allowance)
        raise _create_claim_error(result.status)

    async def _claim(self, request: CallRequest, key: str) -> tuple[Claim, ClaimResult]:
        """Claims the key, and waits while another request has it in progress.

        A replica that is asked for the state of the key may be behind, so that
        only the result of a claim counts.
        """
        deadline = request.context.deadline
        wait = _MIN_WAIT
        is_in_progress = False
        while True:
            claim = self._create_claim(request, key)
            result = await self._send_claim(claim, deadline, is_in_progress)
            if result.status is not ClaimStatus.IN_PROGRESS:
                return claim, result
            is_in_progress = True
            last = deadline - _CLAIM_MARGIN
            await self._wait_for_change(key, min(last, trio.current_time() + wait))
            if trio.current_time() >= last:
                return claim, result
            wait = min(wait * 2, _MAX_WAIT)

    def _create_claim(self, request: CallRequest, key: str) -> Claim:
        lifetime = max(0.0, request.context.compute_remaining()) + _LIFETIME_MARGIN
        return Claim(
            key=key,
            fingerprint=compute_fingerprint(request),
            claim_id=create_id(self._random),
            node_id=self._node_id,
            node_incarnation=self._incarnation,
            lifetime_ms=int(lifetime * _MS),
            retention_ms=int(self._retention * _MS),
        )

    async def _send_claim(
        self, claim: Claim, deadline: float, is_in_progress: bool
    ) -> ClaimResult:
        timeout = min(_CLAIM_SECONDS, max(0.0, deadline - trio.current_time()))
        try:
            return await self._client.claim(claim, timeout)
        except NoQuorumError as error:
            if error.may_have_run:
                self._abandon(claim, may_have_run=False)
            raise ClaimError(
                f"the replicas could not be asked: {error}",
                may_have_run=is_in_progress,
                code="no-quorum",
            ) from error
        except trio.Cancelled:
            self._abandon(claim, may_have_run=False)
            raise

    async def _wait_for_change(self, key: str, until: float) -> None:
        with trio.move_on_at(until):
            wait = max(0.0, until - trio.current_time())
            try:
                result = await self._client.look_up(key, wait=wait)
            except NoQuorumError:
                await trio.sleep_until(until)
                return
            if result.status is ClaimStatus.ABSENT:
                # Released, or claimed so recently that this replica is behind.
                await trio.sleep(_PAUSE)

    async def _run_claimed(
        self, request: CallRequest, claim: Claim, run: Run
    ) -> CallReply:
        try:
            reply = await run()
        except BaseException as error:
            # A cancelled caller leaves a record too: the request may have run.
            self._abandon(claim, may_have_run=_may_have_run(error))
            raise
        if reply.outcome is Outcome.RAN:
            await self._finish(request, claim, reply)
        else:
            may_have_run = reply.outcome is not Outcome.NOT_RUN
            self._abandon(claim, may_have_run=may_have_run)
        return reply

    async def _finish(
        self, request: CallRequest, claim: Claim, reply: CallReply
    ) -> None:
        answer = encode_answer(reply)
        is_kept = len(answer) <= self._max_answer_bytes
        command = Finish(claim.key, claim.claim_id, answer if is_kept else b"", is_kept)
        recorded = self._recorder.submit(command)
        limit = trio.current_time() + _RECORD_SECONDS
        with trio.move_on_at(min(limit, request.context.deadline)):
            await recorded.wait()

    def _abandon(self, claim: Claim, *, may_have_run: bool) -> None:
        self._recorder.submit(Abandon(claim.key, claim.claim_id, may_have_run))


def _may_have_run(error: BaseException) -> bool:
    if isinstance(error, RefusedError):
        return False
    return getattr(error, "may_have_run", True)


_PROBLEMS = {
    ClaimStatus.IN_PROGRESS: (
        "key-in-progress",
        "another request with the idempotency key is in progress",
        True,
    ),
    ClaimStatus.UNKNOWN: (
        "outcome-unknown",
        "an earlier request with the idempotency key may have run",
        True,
    ),
    ClaimStatus.NOT_KEPT: (
        "answer-not-kept",
        "an earlier request with the idempotency key ran; its answer was too large "
        "to be kept",
        True,
    ),
    ClaimStatus.REUSED: (
        "key-reused",
        "the idempotency key was used for another request",
        False,
    ),
    ClaimStatus.FULL: (
        "claims-full",
        "the replicas cannot keep more idempotency keys at present",
        False,
    ),
}


def _create_claim_error(status: ClaimStatus) -> ClaimError:
    code, message, may_have_run = _PROBLEMS.get(
        status,
        ("claim-rejected", "a newer process of this node has taken over", False),
    )
    return ClaimError(message, may_have_run=may_have_run, code=code)


def create_once_executor(
    node_id: str,
    client: ReplicationClient,
    source: random.Random,
    *,
    incarnation: int | None = None,
    max_answer_bytes: int = MAX_ANSWER_BYTES,
    retention: float = RETENTION_SECONDS,
) -> ClaimingExecutor:
    """Creates the executor of a node.

    :param node_id: id of the node.
    :param source: random numbers for claim ids; seeded differently in each
        process.
    :param incarnation: larger after each restart of the node; the wall clock
        when omitted.
    :param max_answer_bytes: answers above this size are not kept.
    :param retention: time for which a settled key is kept, seconds.
    """
    if incarnation is None:
        incarnation = time.time_ns()
    return ClaimingExecutor(
        node_id,
        client,
        create_recorder(client),
        source,
        incarnation,
        max_answer_bytes,
        retention,
    )
