"""Retries and hedges of one call, within its allowance and deadline."""

import math

import attrs
import trio

from coltsfootspar.admission.ranks import compute_rank, create_threshold
from coltsfootspar.calls import CallReply, CallRequest, Priority
from coltsfootspar.exceptions import (
    AttemptsExhaustedError,
    DeadlineError,
    LinkError,
    NoCandidateError,
)
from coltsfootspar.routing.destinations import Attempt, Destination
from coltsfootspar.routing.hedging import HedgeTimer, Race
from coltsfootspar.routing.interfaces import PeerLink
from coltsfootspar.routing.latency import RowStatistics
from coltsfootspar.routing.results import AttemptResult
from coltsfootspar.routing.services import ServiceState
from coltsfootspar.table import Row

__all__ = ["RoutedCall"]

DRAINING_SECONDS = 5.0
UNREACHABLE_SECONDS = 1.0
MIN_RETRY_BACKOFF_SECONDS = 0.02
# A failed attempt counts as a call ten times slower than the average.
FAILURE_LOG_RATIO = math.log(10)
# Each further draining node costs a retry, so that a call is refused in the end
# rather than forwarded without limit.
MAX_FREE_REROUTES = 2
# A hedge that starts earlier than this many median latencies can seldom win.
MIN_HEDGE_DELAY_MEDIANS = 1.0


@attrs.define(eq=False)
class RoutedCall:
    """Sends one call, with retries and hedges.

    :param remaining_retries: retries of the allowance that this node still holds.
        The part granted to an attempt in progress is not included.
    """

    _request: CallRequest
    _row: Row
    _service: ServiceState
    _link: PeerLink
    _statistics: RowStatistics
    _hedge_timer: HedgeTimer
    remaining_retries: int
    _tried_node_ids: set[str] = attrs.field(factory=set)
    _attempt_count: int = 0
    _refusal_count: int = 0
    _reroute_count: int = 0
    _in_flight_count: int = 0
    _possibly_run_result: AttemptResult | None = None

    @property
    def _rank_threshold(self) -> Priority:
        """Rank of the call as a threshold, comparable with overload signals."""
        return create_threshold(compute_rank(self._request.context))

    async def run(self) -> CallReply:
        """Makes attempts until one succeeds or no other is allowed.

        :raises RoutingError: when no complete reply arrived in time.
        """
        deadline = self._request.context.deadline
        if trio.current_time() < deadline:
            with trio.move_on_at(deadline):
                return await self._run_attempts()
        raise DeadlineError(
            f"no reply from {self._request.service} before the deadline",
            may_have_run=self._in_flight_count > 0
            or self._possibly_run_result is not None,
        )

    async def _run_attempts(self) -> CallReply:
        destination = self._select_first()
        if destination is None:
            raise NoCandidateError(
                f"no backend server offers {self._request.service}",
                may_have_run=False,
            )
        while True:
            result = await self._attempt_with_hedge(destination)
            if not result.is_failed:
                return self._create_reply(result)
            destination = await self._select_next(result)
            if destination is None:
                return self._create_reply(result)

    def _select_first(self) -> Destination | None:
        now = trio.current_time()
        selected = self._select(now)
        if selected is None:
            return None
        trial = self._service.outliers.find_due_trial(
            now, selected.distance, is_idempotent=self._row.is_idempotent
        )
        return trial or selected

    def _select(
        self, now: float, *, allows_tried: bool = False, is_after_refusal: bool = False
    ) -> Destination | None:
        return self._service.select(
            self._rank_threshold,
            now,
            excluded=frozenset() if allows_tried else self._tried_node_ids,
            is_local_only=self._request.is_spilled,
            is_after_refusal=is_after_refusal,
        )

    async def _select_next(self, result: AttemptResult) -> Destination | None:
        """Selects the destination of a retry.

        :returns: the destination, or None when no retry is allowed or useful.
        """
        if not self._row.is_idempotent and self._possibly_run_result is not None:
            return None
        if result.is_draining and self._reroute_count < MAX_FREE_REROUTES:
            # The call did not reach a backend server, so this adds no load there
            # and costs no retry.
            self._reroute_count += 1
            return self._select(trio.current_time())
        if self.remaining_retries < 1:
            return None
        if result.is_refused:
            destination = self._select_after_refusal()
        else:
            destination = await self._select_after_failure()
        if destination is None or not self._service.budget.spend():
            return None
        self.remaining_retries -= 1
        return destination

    def _select_after_refusal(self) -> Destination | None:
        self._refusal_count += 1
        if self._refusal_count > 1:
            return None
        now = trio.current_time()
        destination = self._select(now, is_after_refusal=True)
        if destination is None or self._is_full(destination, now):
            return None
        return destination

    async def _select_after_failure(self) -> Destination | None:
        destination = self._select(trio.current_time())
        if destination is not None:
            return destination
        # All nodes have been tried: gives a failed one time to recover.
        await trio.sleep(MIN_RETRY_BACKOFF_SECONDS * (1 + self._service.draw_random()))
        return self._select(trio.current_time(), allows_tried=True)

    def _is_full(self, destination: Destination, now: float) -> bool:
        return destination.is_full(self._rank_threshold, now)

    async def _attempt_with_hedge(self, destination: Destination) -> AttemptResult:
        granted = self._grant_retries()
        delay = self._compute_hedge_delay()
        if delay is None:
            return await self._send(destination, granted)
        race = Race()
        hedge = self._hedge_timer.schedule(
            trio.current_time() + delay, race, self._hedge
        )
        try:
            with race.scope:
                await race.run(self._send(destination, granted))
            return await race.wait()
        finally:
            hedge.cancel()

    async def _hedge(self, race: Race) -> None:
        now = trio.current_time()
        if race.done.is_set() or now < self._service.overloaded_until:
            return
        destination = self._select(now)
        if destination is None or self._is_full(destination, now):
            return
        if self._service.budget.spend():
            self.remaining_retries -= 1
            await race.run(self._send(destination, self._grant_retries()))

    def _compute_hedge_delay(self) -> float | None:
        """Computes the delay after which a hedge is sent.

        :returns: the delay in seconds, or None when the call must not be hedged.
        """
        window = self._statistics.window
        if not self._row.is_idempotent or self.remaining_retries < 1:
            return None
        delay = max(window.p95, MIN_HEDGE_DELAY_MEDIANS * window.median)
        return delay if math.isfinite(delay) else None

    def _grant_retries(self) -> int:
        """Takes the retries granted to an attempt from the remaining ones.

        Retains one retry where possible, since the granted ones are lost with a
        lost reply. Grants none to calls of a leaf service, which makes no calls.

        :returns: number of retries granted.
        """
        is_leaf = self._statistics.is_leaf
        if is_leaf:
            retained = self.remaining_retries
        elif is_leaf is None:
            retained = min(1, self.remaining_retries)
        else:
            retained = 1 if self.remaining_retries > 1 else 0
        granted, self.remaining_retries = self.remaining_retries - retained, retained
        return granted

    async def _send(self, destination: Destination, granted: int) -> AttemptResult:
        self._tried_node_ids.add(destination.node_id)
        attempt_request = self._create_request(destination, granted)
        attempt = Attempt(self._statistics, trio.current_time())
        destination.in_flight[attempt] = None
        self._in_flight_count += 1
        try:
            result = AttemptResult(
                await self._link.call(destination.node_id, attempt_request)
            )
        except LinkError as error:
            result = AttemptResult(error=error)
        except trio.Cancelled:
            # The count of attempts in flight stays: the attempt may have run.
            self._record_cancelled(destination, attempt)
            raise
        finally:
            destination.in_flight.pop(attempt, None)
        self._in_flight_count -= 1
        self._reclaim_retries(result, granted)
        self._record(destination, attempt, result)
        return result

    def _create_request(self, destination: Destination, granted: int) -> CallRequest:
        request = self._request
        self._attempt_count += 1
        return attrs.evolve(
            request,
            context=attrs.evolve(request.context, allowance=granted),
            attempt=self._attempt_count,
            is_spilled=destination.distance > 0,
        )

    def _reclaim_retries(self, result: AttemptResult, granted: int) -> None:
        if result.reply is not None:
            self.remaining_retries += min(granted, result.reply.unused_allowance)
        elif not result.may_have_run:
            self.remaining_retries += granted
        if result.may_have_run:
            self._possibly_run_result = result

    def _record(
        self, destination: Destination, attempt: Attempt, result: AttemptResult
    ) -> None:
        now = trio.current_time()
        if result.is_unreachable:
            destination.mark_unreachable(now + UNREACHABLE_SECONDS)
        if result.is_draining:
            destination.mark_draining(now + DRAINING_SECONDS)
        if result.reply is not None:
            self._record_admission(destination, result, now)
        if result.is_server_error:
            self._record_latency(destination, attempt, FAILURE_LOG_RATIO, now)
        elif not result.is_failed and result.reply is not None:
            self._record_reply(destination, attempt, result.reply, now)

    def _record_reply(
        self, destination: Destination, attempt: Attempt, reply: CallReply, now: float
    ) -> None:
        if reply.refusal is not None:
            return
        elapsed = now - attempt.start
        data_centre = destination.candidate.data_centre
        delays = self._service.delays
        delays.record(data_centre, elapsed, reply.service_seconds)
        statistics = self._statistics
        statistics.window.record(elapsed)
        statistics.record_reached(self._request.service, reply.reached)
        log_ratio = statistics.record(elapsed - delays.get(data_centre))
        self._record_latency(destination, attempt, log_ratio, now)

    def _record_cancelled(self, destination: Destination, attempt: Attempt) -> None:
        """Records the latency of a cancelled attempt that was already slow."""
        now = trio.current_time()
        elapsed = now - attempt.start
        delay = self._service.delays.get(destination.candidate.data_centre)
        log_ratio = self._statistics.compute_log_ratio(elapsed - delay)
        if log_ratio > max(0.0, destination.log_score):
            self._statistics.window.record(elapsed)
            self._record_latency(destination, attempt, log_ratio, now)

    def _record_latency(
        self, destination: Destination, attempt: Attempt, log_ratio: float, now: float
    ) -> None:
        destination.record_latency(log_ratio, now)
        if destination.is_ejected and attempt.start >= destination.ejected_at:
            self._service.outliers.record_trial(destination, log_ratio, now)

    def _record_admission(
        self, destination: Destination, result: AttemptResult, now: float
    ) -> None:
        """Updates the admission threshold of a destination from its reply."""
        service = self._service
        for signal in result.reply.signals:
            if signal.service == self._request.service:
                until = now + signal.expires_after
                destination.set_threshold(signal.threshold, until)
                service.record_overload(until)
                return
        if result.is_overloaded:
            service.record_overload(
                destination.record_refusal(self._rank_threshold, now)
            )
        elif not result.is_refused:
            destination.clear_threshold()

    def _create_reply(self, result: AttemptResult) -> CallReply:
        """Creates the reply of the call, or raises the error of its last attempt.

        An earlier attempt that may have run takes precedence over a later one
        that did not, so that the call is not reported as not run.
        """
        if not result.may_have_run and self._possibly_run_result is not None:
            result = self._possibly_run_result
        if result.reply is not None:
            return attrs.evolve(result.reply, unused_allowance=self.remaining_retries)
        raise AttemptsExhaustedError(
            f"no reply from {self._request.service}: {result.error}",
            may_have_run=result.may_have_run,
        ) from result.error
