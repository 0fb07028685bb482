"""A stand-in for the backend server beside a node."""

from collections.abc import Awaitable, Callable, Mapping

import attrs
import numpy as np
import trio

from coltsfootspar.bench.envelope import Envelope, build_answer, parse_envelope
from coltsfootspar.bench.journal import Journal
from coltsfootspar.bench.scenario import (
    RequestKind,
    ServiceSize,
    ServiceTime,
    TimeShape,
)
from coltsfootspar.calls import CallReply, CallRequest, Outcome, Refusal
from coltsfootspar.node.interfaces import IncomingCall
from coltsfootspar.table import RowMatcher

__all__ = ["StandInServer", "create_server"]

_OK = 200
_BAD_GATEWAY = 502
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

Sender = Callable[[IncomingCall], Awaitable[CallReply]]


@attrs.define(eq=False)
class StandInServer:
    """Works on requests in its slots and calls other services through its node.

    :param slow_factor: how much slower it works at present.
    :param stalled_until: time until which no work is finished, seconds.
    :param failing_share: share of the requests that it fails at present.
    """

    node_id: str
    _service: str
    _size: ServiceSize
    _rows: Mapping[str, RequestKind]
    _matcher: RowMatcher
    _journal: Journal
    _random: np.random.Generator
    _send: Sender
    _slots: trio.Semaphore
    _started_at: float
    slow_factor: float = 1.0
    stalled_until: float = 0.0
    failing_share: float = 0.0
    _held: int = 0

    async def execute(self, request: CallRequest) -> CallReply:
        """Works on a request; sheds it when too many are held."""
        if self._held >= self._size.connections:
            return _shed("overload", _UNAVAILABLE)
        self._held += 1
        try:
            async with self._slots:
                if request.context.compute_remaining() <= 0:
                    return _shed("deadline", _GATEWAY_TIMEOUT)
                return await self._run(request)
        finally:
            self._held -= 1

    async def _run(self, request: CallRequest) -> CallReply:
        row = self._matcher.find(request.service, request.method, request.path)
        envelope = parse_envelope(request)
        self._record_run(request, envelope, is_once=not row.is_idempotent)
        kind = self._rows[row.name]
        seconds = self._draw_seconds(kind.time)
        trace_id = request.context.trace_id
        await self._work(seconds / 2 if kind.calls else seconds, trace_id)
        if self._random.random() < self.failing_share:
            return CallReply(_INTERNAL_ERROR, outcome=Outcome.RAN)
        answers: list[bytes] = []
        if kind.calls:
            failed = await self._run_stages(request, kind, envelope, answers)
            if failed is not None:
                return CallReply(failed, outcome=Outcome.RAN)
            await self._work(seconds / 2, trace_id)
        body = b"\n".join([envelope.body, *answers])
        return CallReply(_OK, body=body, outcome=Outcome.RAN)

    def _record_run(
        self, request: CallRequest, envelope: Envelope, *, is_once: bool
    ) -> None:
        self._journal.calls[envelope.call].ran_at.append(trio.current_time())
        if is_once:
            key = (request.service, str(request.context.idempotency_key))
            self._journal.once_runs[key] += 1

    def _draw_seconds(self, time: ServiceTime) -> float:
        mean = time.mean_ms / 1e3
        if time.shape is TimeShape.EXPONENTIAL:
            return self._random.exponential(mean)
        if time.shape is TimeShape.LOGNORMAL:
            median = -(time.spread**2) / 2
            return mean * self._random.lognormal(median, time.spread)
        if time.shape is TimeShape.UNIFORM:
            return mean * (1 + time.spread * (2 * self._random.random() - 1))
        return mean

    async def _work(self, seconds: float, trace_id: str) -> None:
        start = trio.current_time()
        try:
            await trio.sleep(seconds * self.slow_factor * self._compute_coldness())
            if self.stalled_until > trio.current_time():
                await trio.sleep_until(self.stalled_until)
        finally:
            self._journal.work[trace_id] += trio.current_time() - start

    def _compute_coldness(self) -> float:
        warm_up = self._size.cold_start_ms / 1e3
        age = trio.current_time() - self._started_at
        if age >= warm_up:
            return 1.0
        return 1 + (self._size.cold_factor - 1) * (1 - age / warm_up)

    async def _run_stages(
        self,
        request: CallRequest,
        kind: RequestKind,
        envelope: Envelope,
        answers: list[bytes],
    ) -> int | None:
        index = 0
        for stage in kind.calls:
            replies: dict[int, CallReply] = {}
            if len(stage) == 1:
                await self._call_below(request, stage[0], envelope, index, replies)
            else:
                async with trio.open_nursery() as nursery:
                    for place, name in enumerate(stage, index):
                        nursery.start_soon(
                            self._call_below, request, name, envelope, place, replies
                        )
            index += len(stage)
            for _, reply in sorted(replies.items()):
                if reply.status != _OK:
                    return _translate_status(reply.status)
                answers.append(reply.body)
        return None

    async def _call_below(
        self,
        request: CallRequest,
        name: str,
        envelope: Envelope,
        index: int,
        replies: dict[int, CallReply],
    ) -> None:
        number = self._journal.open_call()
        child = envelope.create_child(index, number)
        service, method, pattern = name.split(" ")
        call = IncomingCall(
            service=service,
            method=method,
            path=pattern.replace("{id}", str(child.request)),
            headers=child.headers,
            body=child.body,
            trace_id=request.context.trace_id,
            parent_span_id=request.context.parent_span_id,
            is_internal=True,
        )
        reply = await self._send(call)
        self._journal.close_call(number, reply.outcome, trio.current_time())
        self._check_answer(name, child, reply)
        replies[index] = reply

    def _check_answer(self, name: str, child: Envelope, reply: CallReply) -> None:
        if reply.status != _OK:
            return
        expected = build_answer(self._rows, name, child.request, child.position)
        if reply.body != expected:
            self._journal.add_violation(
                "foreign_answers", f"{name} for {child.body!r}: {reply.body!r}"
            )


def _shed(code: str, status: int) -> CallReply:
    return CallReply(status, outcome=Outcome.NOT_RUN, refusal=Refusal(code, 1.0))


def _translate_status(status: int) -> int:
    """Answers as an application does whose own call failed."""
    is_temporary = status in (_UNAVAILABLE, _GATEWAY_TIMEOUT)
    return status if is_temporary else _BAD_GATEWAY


def create_server(
    *,
    node_id: str,
    service: str,
    size: ServiceSize,
    rows: Mapping[str, RequestKind],
    matcher: RowMatcher,
    journal: Journal,
    source: np.random.Generator,
    send: Sender,
    started_at: float,
) -> StandInServer:
    """Creates a backend server.

    :param source: draws its service times.
    :param send: hands its outgoing calls to its node.
    :param started_at: time of its start, seconds; the cold start counts from it.
    """
    return StandInServer(
        node_id,
        service,
        size,
        rows,
        matcher,
        journal,
        source,
        send,
        trio.Semaphore(size.slots),
        started_at,
    )
