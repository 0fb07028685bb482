"""Tests of servers that never answer the calls that they have no room for."""

import random

import attrs
import pytest
import trio
import trio.testing

from coltsfootspar.calls import Outcome
from coltsfootspar.relay import PriorityClass, create_backend_server
from coltsfootspar.relay.calls import Call, OutgoingCall
from coltsfootspar.relay.messages import Response
from coltsfootspar.wire import Address

from .conftest import HOST, NAMES, create_report

SLOTS, QUEUE = 20, 10
SERVICE_SECONDS = 0.15
DEADLINE_SECONDS = 1.5


class FakeConnection:
    """Connection that holds nothing."""


@attrs.define(eq=False)
class HangingServer:
    """Stand-in for a connection pool to a server with slots and a short queue.

    :param drops: true when the server ends a call whose connection is closed.
    :param hung: calls that found neither a slot nor room in the queue.
    """

    nursery: trio.Nursery
    random: random.Random
    drops: bool
    slowness: float = 1.0
    hung: int = 0
    present: int = 0
    slots: trio.CapacityLimiter = attrs.field(
        factory=lambda: trio.CapacityLimiter(SLOTS)
    )

    async def exchange(self, request, buffer_bytes, **options):
        if self.present >= SLOTS + QUEUE:
            self.hung += 1
            await trio.sleep_forever()
        self.present += 1
        done = trio.Event()
        scope = trio.CancelScope()
        self.nursery.start_soon(self.run_call, done, scope)
        try:
            await done.wait()
        except trio.Cancelled:
            if self.drops:
                scope.cancel()
            raise
        return FakeConnection(), Response(status=200, is_complete=True, has_head=True)

    async def run_call(self, done, scope):
        try:
            with scope:
                async with self.slots:
                    seconds = self.random.expovariate(1 / SERVICE_SECONDS)
                    await trio.sleep(seconds * self.slowness)
        finally:
            self.present -= 1
            done.set()

    def return_connection(self, connection) -> None:
        pass

    def close(self) -> None:
        pass


@attrs.define
class Outcomes:
    served: int = 0
    refused: int = 0
    failed: int = 0


async def play_surge(
    drops: bool, give_up_share: float
) -> tuple[HangingServer, Outcomes]:
    """Plays five seconds at three times the capacity; the server turns slow midway."""
    rng = random.Random(1)
    outcomes = Outcomes()
    async with trio.open_nursery() as server_nursery:
        backend = create_backend_server(NAMES, lambda: None)
        backend.apply_report(create_report(Address(HOST, 9), slots=SLOTS))
        server = HangingServer(server_nursery, rng, drops)
        backend._pool = server

        async def call():
            now = trio.current_time()
            call = Call(
                "wallet", now + DEADLINE_SECONDS, 1, True, PriorityClass.NEW, 0.5, "c"
            )
            outgoing = OutgoingCall(call, b"GET", b"/", [], None, None)
            patience = 0.2 if rng.random() < give_up_share else DEADLINE_SECONDS
            with trio.move_on_after(patience) as scope:
                reply = await backend.send(outgoing)
                reply.finish()
                outcomes.served += reply.outcome is Outcome.RAN
                outcomes.refused += reply.outcome is Outcome.NOT_RUN
            outcomes.failed += scope.cancelled_caught and patience == DEADLINE_SECONDS

        async with trio.open_nursery() as callers:
            rate = 3 * SLOTS / SERVICE_SECONDS
            for index in range(int(5 * rate)):
                if index == int(2.5 * rate):
                    server.slowness = 3.0
                callers.start_soon(call)
                await trio.sleep(1 / rate)
        server_nursery.cancel_scope.cancel()
    return server, outcomes


@pytest.mark.parametrize(
    ("drops", "give_up_share"),
    [
        pytest.param(True, 0.0, id="drops"),
        pytest.param(True, 0.4, id="drops-given-up"),
        pytest.param(False, 0.0, id="runs-on"),
        pytest.param(
            False,
            0.4,
            id="runs-on-given-up",
            marks=pytest.mark.known_red("given-up-calls"),
        ),
    ],
)
async def test_surge_at_a_server_that_hangs_when_full(
    autojump_clock, drops, give_up_share
):
    """Guards against calls that a full server never answers.

    The server may still run calls that were given up, and turns three times slower.
    """
    server, outcomes = await play_surge(drops, give_up_share)
    assert server.hung == 0
    assert outcomes.failed <= 0.02 * outcomes.served
    # What the slots could serve: 2.5 s at full speed and 2.5 s at a third of it.
    capacity = SLOTS / SERVICE_SECONDS * (2.5 + 2.5 / 3)
    assert outcomes.served >= (0.8 if give_up_share == 0 else 0.4) * capacity
