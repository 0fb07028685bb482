"""Runs requests of rows marked ``once`` at most once per idempotency key."""

import random
import time
from collections.abc import Awaitable, Callable

import attrs
import trio

from coltsfootspar.calls import CallReply, CallRequest, Outcome
from coltsfootspar.claims.encoding import (
    compute_fingerprint,
    create_claim_key,
    decode_stored_reply,
    encode_stored_reply,
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

__all__ = ["MAX_REPLY_BYTES", "ClaimingExecutor", "create_once_executor"]

MAX_REPLY_BYTES = 256 << 10
RETENTION_SECONDS = 24 * 3600.0
_CLAIM_TIMEOUT_SECONDS = 4.0
# A claim outlives the deadline of its request, so that a reply that arrives just
# before the deadline is recorded before the claim expires with unknown outcome.
_LIFETIME_MARGIN_SECONDS = 5.0
_RECORD_TIMEOUT_SECONDS = 1.0
# A claim sent closer to the deadline would not be granted in time.
_CLAIM_MARGIN_SECONDS = 0.1
_MIN_LONG_POLL_SECONDS = 0.5
_MAX_LONG_POLL_SECONDS = 4.0
_RETRY_DELAY_SECONDS = 0.1
_MS_PER_SECOND = 1_000

RunRequest = Callable[[], Awaitable[CallReply]]


@attrs.define(eq=False)
class ClaimingExecutor:
    """Runs requests under claims that a majority of the replicas has granted.

    At most one request per key holds a granted claim. :meth:`run` has to be running;
    it records the outcomes.
    """

    _node_id: str
    _client: ReplicationClient
    _recorder: ClaimRecorder
    _random: random.Random
    _incarnation: int
    _max_reply_bytes: int
    _retention: float

    async def run(self) -> None:
        """Records the outcomes of claims until cancelled."""
        await self._recorder.run()

    @property
    def unrecorded(self) -> int:
        """Number of claim outcomes that no majority has confirmed yet."""
        return self._recorder.pending_count

    async def execute(
        self, request: CallRequest, row: Row, run: RunRequest
    ) -> CallReply:
        """Claims the key of a request, runs the request and records its reply.

        :param request: request whose context carries the idempotency key.
        :param row: table row that the request matches.
        :param run: sends the request to a backend server.
        :returns: the reply of this run or the stored reply of an earlier one.
        :raises ClaimError: when the request may not run; the code says why.
        """
        key = request.context.idempotency_key
        if not key:
            raise ClaimError(
                f"requests of row {row.name!r} run at most once and need the header "
                "Idempotency-Key",
                may_have_run=False,
                code="no-idempotency-key",
            )
        claim, result = await self._claim(
            request, create_claim_key(request.service, key)
        )
        if result.status is ClaimStatus.GRANTED:
            return await self._run_claimed(request, claim, run)
        if result.status is ClaimStatus.FINISHED:
            return decode_stored_reply(result.answer, request.context.allowance)
        raise _create_claim_error(result.status)

    async def _claim(self, request: CallRequest, key: str) -> tuple[Claim, ClaimResult]:
        """Claims the key; waits while another request with it is in progress.

        Between claims it long-polls one replica for the state of the key. That
        replica may lag behind, so that only the result of a claim is decisive.

        :returns: the last claim sent and its result, which is ``IN_PROGRESS`` when
            the other request is still running shortly before the deadline.
        :raises ClaimError: when no majority of the replicas answered in time.
        """
        deadline = request.context.deadline
        long_poll = _MIN_LONG_POLL_SECONDS
        is_in_progress = False
        while True:
            claim = self._create_claim(request, key)
            result = await self._send_claim(claim, deadline, is_in_progress)
            if result.status is not ClaimStatus.IN_PROGRESS:
                return claim, result
            is_in_progress = True
            latest_claim_time = deadline - _CLAIM_MARGIN_SECONDS
            await self._wait_until_settled(
                key, min(latest_claim_time, trio.current_time() + long_poll)
            )
            if trio.current_time() >= latest_claim_time:
                return claim, result
            long_poll = min(long_poll * 2, _MAX_LONG_POLL_SECONDS)

    def _create_claim(self, request: CallRequest, key: str) -> Claim:
        lifetime = (
            max(0.0, request.context.compute_remaining()) + _LIFETIME_MARGIN_SECONDS
        )
        return Claim(
            key=key,
            fingerprint=compute_fingerprint(request),
            claim_id=create_id(self._random),
            node_id=self._node_id,
            node_incarnation=self._incarnation,
            lifetime_ms=int(lifetime * _MS_PER_SECOND),
            retention_ms=int(self._retention * _MS_PER_SECOND),
        )

    async def _send_claim(
        self, claim: Claim, deadline: float, is_in_progress: bool
    ) -> ClaimResult:
        timeout = min(_CLAIM_TIMEOUT_SECONDS, max(0.0, deadline - trio.current_time()))
        try:
            return await self._client.claim(claim, timeout)
        except NoQuorumError as error:
            if error.may_have_run:
                self._abandon(claim, may_have_run=False)
            raise ClaimError(
                f"no majority of the replicas answered the claim: {error}",
                may_have_run=is_in_progress,
                code="no-quorum",
            ) from error
        except trio.Cancelled:
            self._abandon(claim, may_have_run=False)
            raise

    async def _wait_until_settled(self, key: str, until: float) -> None:
        with trio.move_on_at(until):
            wait = max(0.0, until - trio.current_time())
            try:
                result = await self._client.look_up(key, wait=wait)
            except NoQuorumError:
                await trio.sleep_until(until)
                return
            if result.status is ClaimStatus.ABSENT:
                # The key was released, or this replica lags behind a recent claim.
                await trio.sleep(_RETRY_DELAY_SECONDS)

    async def _run_claimed(
        self, request: CallRequest, claim: Claim, run: RunRequest
    ) -> CallReply:
        try:
            reply = await run()
        except BaseException as error:
            # A cancelled request is recorded too, because it may have run.
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
        encoded = encode_stored_reply(reply)
        is_kept = len(encoded) <= self._max_reply_bytes
        command = Finish(
            claim.key, claim.claim_id, encoded if is_kept else b"", is_kept
        )
        recorded = self._recorder.submit(command)
        record_deadline = trio.current_time() + _RECORD_TIMEOUT_SECONDS
        with trio.move_on_at(min(record_deadline, request.context.deadline)):
            await recorded.wait()

    def _abandon(self, claim: Claim, *, may_have_run: bool) -> None:
        self._recorder.submit(Abandon(claim.key, claim.claim_id, may_have_run))


def _may_have_run(error: BaseException) -> bool:
    if isinstance(error, RefusedError):
        return False
    return getattr(error, "may_have_run", True)


_CLAIM_ERRORS = {
    ClaimStatus.IN_PROGRESS: (
        "key-in-progress",
        "another request with the same idempotency key is in progress",
        True,
    ),
    ClaimStatus.UNKNOWN: (
        "outcome-unknown",
        "an earlier request with the same idempotency key may have run",
        True,
    ),
    ClaimStatus.NOT_KEPT: (
        "answer-not-kept",
        "an earlier request with the same idempotency key ran, but its reply was too "
        "large to store",
        True,
    ),
    ClaimStatus.REUSED: (
        "key-reused",
        "the idempotency key was already used for a different request",
        False,
    ),
    ClaimStatus.FULL: (
        "claims-full",
        "the replicas have no room for more idempotency keys at present",
        False,
    ),
}


def _create_claim_error(status: ClaimStatus) -> ClaimError:
    code, message, may_have_run = _CLAIM_ERRORS.get(
        status,
        ("claim-rejected", "a newer incarnation of this node has taken over", False),
    )
    return ClaimError(message, may_have_run=may_have_run, code=code)


def create_once_executor(
    node_id: str,
    client: ReplicationClient,
    source: random.Random,
    *,
    incarnation: int | None = None,
    max_reply_bytes: int = MAX_REPLY_BYTES,
    retention: float = RETENTION_SECONDS,
) -> ClaimingExecutor:
    """Creates the executor of a node.

    :param node_id: id of the node.
    :param client: client of the replicas that grant the claims.
    :param source: random generator of the claim ids; must be seeded differently
        in each process.
    :param incarnation: number of this run of the node, larger after each restart;
        the wall clock in nanoseconds when omitted.
    :param max_reply_bytes: size of the largest encoded reply that is stored, bytes.
    :param retention: time for which a key is kept once its outcome is settled,
        seconds.
    """
    if incarnation is None:
        incarnation = time.time_ns()
    return ClaimingExecutor(
        node_id,
        client,
        create_recorder(client),
        source,
        incarnation,
        max_reply_bytes,
        retention,
    )
