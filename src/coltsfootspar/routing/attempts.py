"""One call with its attempts, within the allowance and the deadline."""

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

DRAINING_SKIP = 5.0
UNREACHABLE_SKIP = 1.0
RETRY_PAUSE = 0.02
FAILURE_LOG = math.log(10)
# A call that meets draining nodes again and again is refused rather than
# forwarded without end.
FREE_REROUTES = 2
# A hedge that starts earlier than this many medians can seldom win.
HEDGE_MEDIANS = 1.0


@attrs.define(eq=False)
class RoutedCall:
    """The attempts of one call.

    :param remaining: retries that this node still holds; an attempt in progress
        has been granted its own part.
    """

    _request: CallRequest
    _row: Row
    _service: ServiceState
    _link: PeerLink
    _statistics: RowStatistics
    _timer: HedgeTimer
    remaining: int
    _tried: set[str] = attrs.field(factory=set)
    _attempts: int = 0
    _refusals: int = 0
    _reroutes: int = 0
    _in_flight: int = 0
    _may_have_run: AttemptResult | None = None

    @property
    def _rank(self) -> Priority:
        """Place of the call on the scale of the thresholds in signals."""
        return create_threshold(compute_rank(self._request.context))

    async def run(self) -> CallReply:
        """Makes attempts until one succeeds or no other is allowed.

        :raises RoutingError: when no whole answer came in time.
        """
        deadline = self._request.context.deadline
        if trio.current_time() < deadline:
            with trio.move_on_at(deadline):
                return await self._run_attempts()
        raise DeadlineError(
            f"no answer of {self._request.service} before the deadline",
            may_have_run=self._in_flight > 0 or self._may_have_run is not None,
        )

    async def _run_attempts(self) -> CallReply:
        destination = self._select_first()
        if destination is None:
            raise NoCandidateError(
                f"no backend server offers {self._request.service}",
                may_have_run=False,
            )
        while True:
            result = await self._attempt(destination)
            if not result.is_failed:
                return self._conclude(result)
            destination = await self._select_next(result)
            if destination is None:
                return self._conclude(result)

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
        self, now: float, *, again: bool = False, is_after_refusal: bool = False
    ) -> Destination | None:
        return self._service.select(
            self._rank,
            now,
            excluded=frozenset() if again else self._tried,
            is_local_only=self._request.is_spilled,
            is_after_refusal=is_after_refusal,
        )

    async def _select_next(self, result: AttemptResult) -> Destination | None:
        """Selects where to retry; None when the attempt was the last."""
        if not self._row.is_idempotent and self._may_have_run is not None:
            return None
        if result.is_draining and self._reroutes < FREE_REROUTES:
            # The call reached no backend server, so nothing is multiplied.
            self._reroutes += 1
            return self._select(trio.current_time())
        if self.remaining < 1:
            return None
        if result.is_refused:
            destination = self._select_after_refusal()
        else:
            destination = await self._select_after_failure()
        if destination is None or not self._service.budget.spend():
            return None
        self.remaining -= 1
        return destination

    def _select_after_refusal(self) -> Destination | None:
        self._refusals += 1
        if self._refusals > 1:
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
        # Only nodes that have failed are left: they get a moment.
        await trio.sleep(RETRY_PAUSE * (1 + self._service.draw_random()))
        return self._select(trio.current_time(), again=True)

    def _is_full(self, destination: Destination, now: float) -> bool:
        return destination.is_full(self._rank, now)

    async def _attempt(self, destination: Destination) -> AttemptResult:
        granted = self._grant()
        delay = self._compute_hedge_delay()
        if delay is None:
            return await self._send(destination, granted)
        race = Race()
        hedge = self._timer.schedule(trio.current_time() + delay, race, self._hedge)
        try:
            with race.scope:
                await race.run(self._send(destination, granted))
            return await race.wait()
        finally:
            hedge.cancel()

    async def _hedge(self, race: Race) -> None:
        now = trio.current_time()
        if race.over.is_set() or now < self._service.overloaded_until:
            return
        destination = self._select(now)
        if destination is None or self._is_full(destination, now):
            return
        if self._service.budget.spend():
            self.remaining -= 1
            await race.run(self._send(destination, self._grant()))

    def _compute_hedge_delay(self) -> float | None:
        """Computes when to send the call a second time; None for never."""
        window = self._statistics.window
        if not self._row.is_idempotent or self.remaining < 1:
            return None
        delay = max(window.p95, HEDGE_MEDIANS * window.median)
        return delay if math.isfinite(delay) else None

    def _grant(self) -> int:
        """Takes the part of the allowance that goes with an attempt.

        One retry is held back where possible, since a lost reply takes the
        granted part with it; calls that go no further need none.
        """
        is_leaf = self._statistics.is_leaf
        if is_leaf:
            held = self.remaining
        elif is_leaf is None:
            held = min(1, self.remaining)
        else:
            held = 1 if self.remaining > 1 else 0
        granted, self.remaining = self.remaining - held, held
        return granted

    async def _send(self, destination: Destination, granted: int) -> AttemptResult:
        self._tried.add(destination.node_id)
        sent = self._create_attempt(destination, granted)
        attempt = Attempt(self._statistics, trio.current_time())
        destination.in_flight[attempt] = None
        self._in_flight += 1
        try:
            result = AttemptResult(await self._link.call(destination.node_id, sent))
        except LinkError as error:
            result = AttemptResult(error=error)
        except trio.Cancelled:
            # It stays in flight for this call: it may have run.
            self._record_cancelled(destination, attempt)
            raise
        finally:
            destination.in_flight.pop(attempt, None)
        self._in_flight -= 1
        self._take_back(result, granted)
        self._record(destination, attempt, result)
        return result

    def _create_attempt(self, destination: Destination, granted: int) -> CallRequest:
        request = self._request
        self._attempts += 1
        return attrs.evolve(
            request,
            context=attrs.evolve(request.context, allowance=granted),
            attempt=self._attempts,
            is_spilled=destination.distance > 0,
        )

    def _take_back(self, result: AttemptResult, granted: int) -> None:
        if result.reply is not None:
            self.remaining += min(granted, result.reply.unused_allowance)
        elif not result.may_have_run:
            self.remaining += granted
        if result.may_have_run:
            self._may_have_run = result

    def _record(
        self, destination: Destination, attempt: Attempt, result: AttemptResult
    ) -> None:
        now = trio.current_time()
        if result.is_unreachable:
            destination.mark_unreachable(now + UNREACHABLE_SKIP)
        if result.is_draining:
            destination.mark_draining(now + DRAINING_SKIP)
        if result.reply is not None:
            self._record_admission(destination, result, now)
        if result.is_server_error:
            self._record_latency(destination, attempt, FAILURE_LOG, now)
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
        statistics.learn_reached(self._request.service, reply.reached)
        log_ratio = statistics.record(elapsed - delays.get(data_centre))
        self._record_latency(destination, attempt, log_ratio, now)

    def _record_cancelled(self, destination: Destination, attempt: Attempt) -> None:
        """Counts a cancelled attempt when it took long already."""
        now = trio.current_time()
        elapsed = now - attempt.start
        delay = self._service.delays.get(destination.candidate.data_centre)
        excess = self._statistics.compute_excess(elapsed - delay)
        if excess > max(0.0, destination.log_score):
            self._statistics.window.record(elapsed)
            self._record_latency(destination, attempt, excess, now)

    def _record_latency(
        self, destination: Destination, attempt: Attempt, log_ratio: float, now: float
    ) -> None:
        destination.record_latency(log_ratio, now)
        if destination.is_ejected and attempt.start >= destination.ejected_at:
            self._service.outliers.record_trial(destination, log_ratio, now)

    def _record_admission(
        self, destination: Destination, result: AttemptResult, now: float
    ) -> None:
        """Learns which priorities a node admits."""
        service = self._service
        for signal in result.reply.signals:
            if signal.service == self._request.service:
                until = now + signal.expires_after
                destination.set_threshold(signal.threshold, until)
                service.record_overload(until)
                return
        if result.is_overloaded:
            service.record_overload(destination.record_refusal(self._rank, now))
        elif not result.is_refused:
            destination.clear_threshold()

    def _conclude(self, result: AttemptResult) -> CallReply:
        """Ends the call with what is certain about all of its attempts."""
        if not result.may_have_run and self._may_have_run is not None:
            result = self._may_have_run
        if result.reply is not None:
            return attrs.evolve(result.reply, unused_allowance=self.remaining)
        raise AttemptsExhaustedError(
            f"no answer of {self._request.service}: {result.error}",
            may_have_run=result.may_have_run,
        ) from result.error
