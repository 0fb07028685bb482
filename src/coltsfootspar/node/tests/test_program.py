"""Tests of the planned stop of a node."""

import types

import trio

from coltsfootspar.calls import CallReply, Outcome
from coltsfootspar.node.interfaces import IncomingCall
from coltsfootspar.node.pipeline import create_pipeline
from coltsfootspar.node.program import _NOTICE_SECONDS, _NodeProgram
from coltsfootspar.node.tables import create_table_copy
from coltsfootspar.table import create_table, parse_row_key
from coltsfootspar.table.rows import create_row
from coltsfootspar.telemetry import create_null_tracer

DRAIN_SECONDS = 5.0
ROWS = [
    create_row(parse_row_key("short GET /"), deadline_ms=100),
    create_row(parse_row_key("long GET /"), deadline_ms=60_000),
]


class PassingParts:
    """Gate and router that pass each call on and keep its service."""

    def __init__(self):
        self.passed_on = []

    def admit(self, row, context):
        return self

    def close(self, reply):
        pass

    def get_signals(self, about=None):
        return ()

    async def call(self, request, row):
        self.passed_on.append(request.service)
        return CallReply(200)


class BusyServer:
    """Server with a call in progress that does not end before the drain."""

    async def drain(self):
        await trio.sleep_forever()


def create_call(service: str) -> IncomingCall:
    trace_id = "a" * 32
    return IncomingCall(service, "GET", "/", (), b"", trace_id, is_internal=True)


async def test_stopping_node_passes_on_only_calls_that_end_in_time(autojump_clock):
    """Guards against late calls that a stop takes and cuts at a working server."""
    table = create_table_copy()
    table.apply(create_table(ROWS, version=1))
    parts = PassingParts()
    pipeline = create_pipeline(
        node_id="n",
        table=table,
        gate=parts,
        router=parts,
        admission=None,
        backend=None,
        once=None,
        tracer=create_null_tracer(),
    )
    settings = types.SimpleNamespace(drain_seconds=DRAIN_SECONDS)
    program = _NodeProgram(
        types.SimpleNamespace(
            pipeline=pipeline, settings=settings, inbound=BusyServer()
        )
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(program._finish_requests)
        await trio.sleep(_NOTICE_SECONDS + DRAIN_SECONDS / 2)
        replies = [
            await pipeline.enter(create_call(name)) for name in ("short", "long")
        ]
    assert parts.passed_on == ["short"]
    assert [reply.status for reply in replies] == [200, 503]
    assert replies[1].outcome is Outcome.NOT_RUN
    assert replies[1].refusal.code == "stopping"
    assert (await pipeline.enter(create_call("short"))).status == 503
