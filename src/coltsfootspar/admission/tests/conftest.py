"""Load generator with independent callers in front of one backend server."""

import random

import attrs
import pytest
import trio

from coltsfootspar.calls import (
    CallContext,
    CallRequest,
    Priority,
    hash_priority_bucket,
)
from coltsfootspar.exceptions import RefusedError
from coltsfootspar.table import Row, parse_row_key
from coltsfootspar.table.rows import create_row


@attrs.frozen
class CallOutcome:
    """Outcome of one call, with the times of its start and end."""

    row: str
    code: str
    start: float
    end: float


@attrs.define
class LoadGenerator:
    """Generates calls with a fixed random seed and records their outcomes.

    :param controller: admission controller under test, if any.
    :param gate: entry gate under test, if any.
    :param service_seconds: mean service time of each row by its name, seconds.
    :param timeout_seconds: time from the start of a call to its deadline.
    :param retries: client retries after calls that did not succeed.
    :param outcomes: outcomes in the order in which the calls ended.
    """

    controller: object = None
    gate: object = None
    service_seconds: dict = attrs.field(factory=dict)
    timeout_seconds: float = 1.0
    retries: int = 0
    outcomes: list = attrs.field(factory=list)
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))

    def row(self, text: str, **values) -> Row:
        return create_row(parse_row_key(text), **values)

    def context(self, row: Row, *, trace_id=None, **values) -> CallContext:
        trace_id = trace_id or f"{self.rng.getrandbits(128):032x}"
        priority = Priority(row.importance, hash_priority_bucket(trace_id))
        values = {"deadline": trio.current_time() + self.timeout_seconds} | values
        return CallContext(
            trace_id, "", **({"priority": priority, "allowance": 0} | values)
        )

    def request(self, row: Row, **values) -> CallRequest:
        context = self.context(row, **values)
        return CallRequest(row.key.service, "GET", "/", (), b"", context)

    async def call(self, row: Row, **values) -> None:
        """Makes one call and records its outcome."""
        start = trio.current_time()
        request = self.request(row, **values)
        code = "late"
        try:
            with trio.move_on_at(request.context.deadline):
                permit = await self.controller.acquire(request, row)
                seconds = self.service_seconds[row.name] * self.rng.uniform(0.5, 1.5)
                await self._work(permit, seconds)
                code = "ok"
        except RefusedError as error:
            code = error.code
        self.outcomes.append(CallOutcome(row.name, code, start, trio.current_time()))

    async def _work(self, permit, seconds: float) -> None:
        start = trio.current_time()
        succeeded = False
        try:
            await trio.sleep(seconds)
            succeeded = True
        finally:
            permit.release(trio.current_time() - start, succeeded=succeeded)

    async def call_with_retries(self, row: Row) -> None:
        """Makes a call and retries it until it succeeds or retries are exhausted."""
        trace_id = f"{self.rng.getrandbits(128):032x}"
        for attempt in range(1 + self.retries):
            await self.call(row, trace_id=trace_id, is_client_retry=attempt > 0)
            if self.outcomes[-1].code == "ok":
                return
            await trio.sleep(0.05)

    async def run(self, rates: list[tuple[Row, float]], seconds: float) -> None:
        """Starts calls as a Poisson process and waits until all have ended.

        :param rates: rows with their rates, calls per second.
        :param seconds: time during which calls are started.
        """
        rows, weights = zip(*rates, strict=True)
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                await trio.sleep(self.rng.expovariate(sum(weights)))
                row = self.rng.choices(rows, weights)[0]
                nursery.start_soon(self.call_with_retries, row)

    def count(self, row: Row, *codes: str) -> int:
        return sum(e.row == row.name and e.code in codes for e in self.outcomes)

    def list_latencies(self, row: Row, start: float = 0.0) -> list[float]:
        """Returns the sorted latencies of successful calls.

        :param start: time from which on calls are included, seconds.
        """
        return sorted(
            e.end - e.start
            for e in self.outcomes
            if e.row == row.name and e.code == "ok" and e.start >= start
        )


@pytest.fixture
def load() -> LoadGenerator:
    return LoadGenerator()
