"""A load of independent callers in front of one backend server."""

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
class Ending:
    """How one call ended, with the times of its start and end."""

    row: str
    code: str
    start: float
    end: float


@attrs.define
class Load:
    """Callers with fixed seeds.

    :param retries: times that a refused client comes again.
    """

    controller: object = None
    gate: object = None
    service_seconds: dict = attrs.field(factory=dict)
    deadline: float = 1.0
    retries: int = 0
    endings: list = attrs.field(factory=list)
    source: random.Random = attrs.field(factory=lambda: random.Random(7))

    def row(self, text: str, **values) -> Row:
        return create_row(parse_row_key(text), **values)

    def context(self, row: Row, *, trace_id=None, **values) -> CallContext:
        trace_id = trace_id or f"{self.source.getrandbits(128):032x}"
        priority = Priority(row.importance, hash_priority_bucket(trace_id))
        values = {"deadline": trio.current_time() + self.deadline} | values
        return CallContext(
            trace_id, "", **({"priority": priority, "allowance": 0} | values)
        )

    def request(self, row: Row, **values) -> CallRequest:
        context = self.context(row, **values)
        return CallRequest(row.key.service, "GET", "/", (), b"", context)

    async def call(self, row: Row, **values) -> None:
        """Makes one call and notes how it ended."""
        start = trio.current_time()
        request = self.request(row, **values)
        code = "late"
        try:
            with trio.move_on_at(request.context.deadline):
                permit = await self.controller.acquire(request, row)
                seconds = self.service_seconds[row.name] * self.source.uniform(0.5, 1.5)
                await self._work(permit, seconds)
                code = "ok"
        except RefusedError as error:
            code = error.code
        self.endings.append(Ending(row.name, code, start, trio.current_time()))

    async def _work(self, permit, seconds: float) -> None:
        start = trio.current_time()
        succeeded = False
        try:
            await trio.sleep(seconds)
            succeeded = True
        finally:
            permit.release(trio.current_time() - start, succeeded=succeeded)

    async def call_again(self, row: Row) -> None:
        """Makes a call and repeats it while it is refused."""
        trace_id = f"{self.source.getrandbits(128):032x}"
        for attempt in range(1 + self.retries):
            await self.call(row, trace_id=trace_id, is_client_retry=attempt > 0)
            if self.endings[-1].code == "ok":
                return
            await trio.sleep(0.05)

    async def run(self, rates: list[tuple[Row, float]], seconds: float) -> None:
        """Starts calls at random times with given rates and awaits them all."""
        rows, weights = zip(*rates, strict=True)
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                await trio.sleep(self.source.expovariate(sum(weights)))
                row = self.source.choices(rows, weights)[0]
                nursery.start_soon(self.call_again, row)

    def count(self, row: Row, *codes: str) -> int:
        return sum(e.row == row.name and e.code in codes for e in self.endings)

    def list_latencies(self, row: Row, start: float = 0.0) -> list[float]:
        """Lists the times of complete answers, sorted."""
        return sorted(
            e.end - e.start
            for e in self.endings
            if e.row == row.name and e.code == "ok" and e.start >= start
        )


@pytest.fixture
def load() -> Load:
    return Load()
