"""One call with its attempts, within the allowance and the deadline."""

import attrs
import trio

from coltsfootspar.calls import CallReply, CallRequest, Outcome
from coltsfootspar.exceptions import (
    AttemptsExhaustedError,
    DeadlineError,
    LinkError,
    NoCandidateError,
)
from coltsfootspar.routing.destinations import Destination
from coltsfootspar.routing.interfaces import PeerLink
from coltsfootspar.routing.services import ServiceState, Site
from coltsfootspar.table import Row

__all__ = ["AttemptResult", "RoutedCall"]

SERVER_ERROR = 500
DRAINING_SKIP = 5.0
UNREACHABLE_SKIP = 1.0
REFUSAL_MEMORY = 0.25
# A call that meets draining nodes again and again is refused rather than
# forwarded without end.
FREE_REROUTES = 2


@attrs.frozen
class AttemptResult:
    """How one attempt ended: with a reply or with an error."""

    reply: CallReply | None = None
    error: LinkError | None = None

    @property
    def may_have_run(self) -> bool:
        """False only when the attempt certainly did not run."""
        if self.reply is None:
            return self.error.may_have_run
        return self.reply.outcome is not Outcome.NOT_RUN

    @property
    def is_refused(self) -> bool:
        """True for a refusal by the node that the attempt was sent to."""
        reply = self.reply
        return (
            reply is not None and reply.refusal is not None and not reply.refusal.below
        )

    @property
    def is_draining(self) -> bool:
        """True when the node takes no new work."""
        return self.is_refused and self.reply.refusal.code == "draining"

    @property
    def is_failed(self) -> bool:
        """True when another attempt might do better."""
        reply = self.reply
        if reply is None or self.is_refused:
            return True
        return reply.refusal is None and reply.status >= SERVER_ERROR


@attrs.define(eq=False)
class RoutedCall:
    """The attempts of one call.

    :param remaining: retries that this node still holds; an attempt in progress
        has been granted its own part.
    """

    _request: CallRequest
    _row: Row
    _service: ServiceState
    _site: Site
    _link: PeerLink
    remaining: int
    _tried: set[str] = attrs.field(factory=set)
    _attempts: int = 0
    _in_flight: int = 0
    _refusals: int = 0
    _reroutes: int = 0
    _may_have_run: AttemptResult | None = None

    async def run(self) -> CallReply:
        """Makes attempts until one succeeds or no other is allowed.

        :raises RoutingError: when no whole answer came in time.
        """
        deadline = self._request.context.deadline
        if trio.current_time() < deadline:
            with trio.move_on_at(deadline):
                return await self._run_attempts()
        may_have_run = self._in_flight > 0 or self._may_have_run is not None
        raise DeadlineError(
            f"no answer of {self._request.service} before the deadline",
            may_have_run=may_have_run,
        )

    async def _run_attempts(self) -> CallReply:
        destination = self._select()
        if destination is None:
            raise NoCandidateError(f"no backend server offers {self._request.service}")
        while True:
            result = await self._attempt(destination)
            if not result.is_failed:
                return self._conclude(result)
            destination = self._select_next(result)
            if destination is None:
                return self._conclude(result)

    def _select(self) -> Destination | None:
        return self._service.select(
            self._request.context.priority,
            trio.current_time(),
            excluded=self._tried,
            is_spilled=self._request.is_spilled,
        )

    def _select_next(self, result: AttemptResult) -> Destination | None:
        """Selects where to retry; None when the attempt was the last."""
        if result.may_have_run and not self._row.is_idempotent:
            return None
        if result.is_draining and self._reroutes < FREE_REROUTES:
            # The call reached no backend server, so nothing is multiplied.
            self._reroutes += 1
            return self._select()
        if result.is_refused:
            self._refusals += 1
            if self._refusals > 1:
                return None
        if self.remaining < 1:
            return None
        destination = self._select()
        if destination is None or not self._service.budget.spend():
            return None
        self.remaining -= 1
        return destination

    async def _attempt(self, destination: Destination) -> AttemptResult:
        # One retry is held back: a lost reply takes the granted part with it.
        held = min(1, self.remaining)
        granted, self.remaining = self.remaining - held, held
        result = await self._send(destination, granted)
        if result.reply is not None:
            self.remaining += min(granted, result.reply.unused_allowance)
        elif not result.may_have_run:
            self.remaining += granted
        if result.may_have_run:
            self._may_have_run = result
        return result

    async def _send(self, destination: Destination, granted: int) -> AttemptResult:
        request = self._request
        self._attempts += 1
        self._tried.add(destination.node_id)
        sent = attrs.evolve(
            request,
            context=attrs.evolve(request.context, allowance=granted),
            attempt=self._attempts,
            is_spilled=self._site.measure_distance(destination.candidate) > 0,
        )
        destination.outstanding += 1
        self._in_flight += 1
        try:
            reply = await self._link.call(destination.node_id, sent)
        except LinkError as error:
            destination.unreachable_until = trio.current_time() + UNREACHABLE_SKIP
            self._in_flight -= 1
            return AttemptResult(error=error)
        finally:
            destination.outstanding -= 1
        self._in_flight -= 1
        result = AttemptResult(reply)
        self._record_refusal(destination, result)
        return result

    def _record_refusal(self, destination: Destination, result: AttemptResult) -> None:
        now = trio.current_time()
        if result.is_draining:
            destination.skip_until = now + DRAINING_SKIP
        elif result.is_refused:
            destination.refused = self._request.context.priority
            destination.refused_until = now + REFUSAL_MEMORY

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
