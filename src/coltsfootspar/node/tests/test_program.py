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


class OperatorServer:
    """Admin server with a change in progress, which takes a second."""

    def __init__(self):
        self.is_answered = False

    async def serve(self, address, task_status):
        task_status.started()
        await trio.sleep(1)
        self.is_answered = True

    async def drain(self):
        while not self.is_answered:  # noqa: ASYNC110
            await trio.sleep(0.1)


class StubServer:
    """Server without requests in progress."""

    async def serve(self, address=None, task_status=trio.TASK_STATUS_IGNORED):
        task_status.started()

    async def run(self):
        pass

    async def depart(self):
        pass


class IdleProgram(_NodeProgram):
    """Program that is told to stop at once and has no calls in progress."""

    def _create_admin(self):
        return self._parts.admin

    async def _serve_peers(self, task_status):
        task_status.started()

    async def _watch_signals(self):
        self._drain.set()
        self._stop.set()

    async def _sweep(self):
        pass

    async def _announce_leaving(self):
        pass

    async def _finish_requests(self):
        return True


async def test_stopping_node_answers_the_operator_whose_change_it_has_read(
    autojump_clock,
):
    """Guards against a change of an operator that a stop ends without an answer."""
    admin, stub = OperatorServer(), StubServer()
    names = ("timers", "links", "once", "membership", "feed", "outbound", "inbound")
    listen = types.SimpleNamespace(admin=None, outbound=None, inbound=None)
    node = types.SimpleNamespace(id="n")
    parts = types.SimpleNamespace(
        **dict.fromkeys(names, stub),
        admin=admin,
        replica=None,
        settings=types.SimpleNamespace(listen=listen, node=node),
    )
    assert await IdleProgram(parts).run() == 0
    assert admin.is_answered
