"""Clients: they send requests, retry and judge the answers."""

import attrs
import numpy as np
import trio

from coltsfootspar.bench.envelope import Envelope, build_answer
from coltsfootspar.bench.journal import Attempt, RequestRecord
from coltsfootspar.bench.load import Arrival
from coltsfootspar.bench.nodes import BenchNode, Fleet
from coltsfootspar.calls import CallReply, Outcome, find_header
from coltsfootspar.exceptions import LinkError
from coltsfootspar.node.interfaces import IncomingCall
from coltsfootspar.node.replies import ERROR_HEADER

__all__ = ["ClientGroup", "create_clients"]

_OK = 200


@attrs.define(eq=False)
class ClientGroup:
    """All clients of a run."""

    _fleet: Fleet
    _random: np.random.Generator

    async def run(self, arrivals: list[Arrival]) -> None:
        """Sends all requests and waits for their end."""
        async with trio.open_nursery() as nursery:
            for arrival in arrivals:
                await trio.sleep_until(arrival.at)
                nursery.start_soon(self._run_request, arrival)

    async def _run_request(self, arrival: Arrival) -> None:
        clients = self._fleet.scenario.clients
        kind = self._fleet.scenario.rows[arrival.row]
        now = trio.current_time()
        record = RequestRecord(arrival.number, arrival.row, now)
        self._fleet.journal.requests.append(record)
        with trio.move_on_at(now + kind.deadline_ms / 1e3):
            for attempt in range(clients.max_attempts):
                if attempt:
                    await trio.sleep(self._draw_backoff())
                if await self._run_attempt(arrival, record):
                    return

    async def _run_attempt(self, arrival: Arrival, record: RequestRecord) -> bool:
        trace_id = self._random.bytes(16).hex()
        kind = self._fleet.scenario.rows[arrival.row]
        attempt = Attempt(trace_id, trio.current_time())
        is_retry = bool(record.attempts)
        record.attempts.append(attempt)
        self._fleet.journal.allowances[trace_id] = kind.retries
        timeout = self._fleet.scenario.clients.timeout_ms / 1e3 or np.inf
        reply = None
        with trio.move_on_after(timeout):
            reply = await self._exchange(arrival, trace_id, is_retry=is_retry)
        if reply is None:
            return False
        self._judge(arrival, record, attempt, reply)
        return attempt.is_complete

    async def _exchange(
        self, arrival: Arrival, trace_id: str, *, is_retry: bool
    ) -> CallReply | None:
        node = self._choose_node(arrival.data_centre)
        if node is None:
            await trio.lowlevel.checkpoint()
            return None
        journal, links = self._fleet.journal, self._fleet.links
        number = journal.open_call()
        call = self._create_call(arrival, trace_id, number, is_retry=is_retry)
        await links.reach_node()
        try:
            reply = await node.run(lambda: node.pipeline.enter(call))
        except LinkError:
            return None
        await links.reach_node()
        journal.close_call(number, reply.outcome, trio.current_time())
        return reply

    def _create_call(
        self, arrival: Arrival, trace_id: str, number: int, *, is_retry: bool
    ) -> IncomingCall:
        service, method, pattern = arrival.row.split(" ")
        envelope = Envelope(arrival.number, "0", number)
        return IncomingCall(
            service=service,
            method=method,
            path=pattern.replace("{id}", str(arrival.number)),
            headers=envelope.headers,
            body=envelope.body,
            trace_id=trace_id,
            idempotency_key=f"request-{arrival.number}",
            is_client_retry=is_retry and self._fleet.scenario.clients.marks_retries,
        )

    def _judge(
        self,
        arrival: Arrival,
        record: RequestRecord,
        attempt: Attempt,
        reply: CallReply,
    ) -> None:
        attempt.ended_at = trio.current_time()
        attempt.status = reply.status
        attempt.error = (find_header(reply.headers, ERROR_HEADER) or b"").decode()
        if reply.status != _OK:
            return
        rows = self._fleet.scenario.rows
        expected = build_answer(rows, arrival.row, arrival.number)
        if reply.body == expected and reply.outcome is Outcome.RAN:
            attempt.is_complete = True
            record.answered_at = attempt.ended_at
            return
        self._fleet.journal.add_violation(
            "foreign_answers", f"request {arrival.number}: {reply.body!r}"
        )

    def _choose_node(self, data_centre: str) -> BenchNode | None:
        """Chooses a node of the client's data centre, else of any."""
        now = trio.current_time()
        usable = [
            node
            for node in self._fleet.nodes.values()
            if node.is_up and (node.left_at is None or now < node.left_at)
        ]
        near = [node for node in usable if node.data_centre == data_centre]
        nodes = near or usable
        if not nodes:
            return None
        return nodes[int(self._random.integers(len(nodes)))]

    def _draw_backoff(self) -> float:
        return self._random.exponential(self._fleet.scenario.clients.backoff_ms / 1e3)


def create_clients(fleet: Fleet, source: np.random.Generator) -> ClientGroup:
    """Creates the clients of a run.

    :param source: draws trace ids, nodes and waits.
    """
    return ClientGroup(fleet, source)
