"""Guards against a key that runs twice and against wrong outcomes for callers.

The task order of each test is seeded with its name.
"""

import contextlib
import random

import attrs
import pytest
import trio

from coltsfootspar.calls import CallContext, CallReply, CallRequest, Outcome, Priority
from coltsfootspar.claims import create_once_executor
from coltsfootspar.exceptions import ClaimError, RefusedError, RoutingError
from coltsfootspar.replication import ClaimStatus
from coltsfootspar.replication.tests.harness import open_cluster, wait_until
from coltsfootspar.table import parse_row_key
from coltsfootspar.table.rows import create_row

ROW = create_row(parse_row_key("payouts POST /payouts"), execution="once")
PAID_REPLY = CallReply(201, ((b"content-type", b"text/plain"),), b"paid")


def create_request(key="k1", body=b"amount=5", seconds=5.0):
    context = CallContext(
        trace_id="0" * 32,
        parent_span_id="",
        deadline=trio.current_time() + seconds,
        priority=Priority(5, 0),
        allowance=2,
        idempotency_key=key,
    )
    return CallRequest("payouts", "POST", "/payouts", (), body, context)


class Backend:
    """Counts its runs; returns or raises the given outcomes, then ``PAID_REPLY``."""

    def __init__(self, *outcomes, run_seconds=0.01):
        self.outcomes = list(outcomes)
        self.run_seconds = run_seconds
        self.runs = 0

    async def run(self):
        self.runs += 1
        await trio.sleep(self.run_seconds)
        outcome = self.outcomes.pop(0) if self.outcomes else PAID_REPLY
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


@contextlib.asynccontextmanager
async def open_node(cluster, name="node-1", incarnation=1, **options):
    executor = create_once_executor(
        name,
        cluster.create_client(name, timeout=4),
        random.Random(name),
        incarnation=incarnation,
        **options,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(executor.run)
        yield executor
        nursery.cancel_scope.cancel()


async def get_claim_error(executor, request, backend):
    with pytest.raises(ClaimError) as caught:
        await executor.execute(request, ROW, backend.run)
    return caught.value.code, caught.value.may_have_run


async def test_repeated_key_gets_the_same_answer_without_a_second_run(autojump_clock):
    async with open_cluster() as cluster:
        backend = Backend()
        async with (
            open_node(cluster) as first_node,
            open_node(cluster, "node-2") as second_node,
        ):
            first_reply = await first_node.execute(create_request(), ROW, backend.run)
            second_reply = await second_node.execute(create_request(), ROW, backend.run)
        assert first_reply.body == second_reply.body == b"paid"
        assert (
            second_reply.outcome is Outcome.RAN and second_reply.unused_allowance == 2
        )
        assert backend.runs == 1


async def test_concurrent_requests_with_one_key_run_once(autojump_clock):
    async with open_cluster() as cluster:
        backend = Backend(run_seconds=1.5)
        bodies = []

        async def send(executor):
            reply = await executor.execute(create_request(), ROW, backend.run)
            bodies.append(reply.body)

        async with (
            open_node(cluster) as first_node,
            open_node(cluster, "node-2") as second_node,
        ):
            async with trio.open_nursery() as nursery:
                for executor in (first_node, second_node, first_node, second_node):
                    nursery.start_soon(send, executor)
        assert bodies == [b"paid"] * 4
        assert backend.runs == 1


async def test_key_in_progress_until_the_deadline_is_an_error(autojump_clock):
    async with open_cluster() as cluster:
        slow_backend = Backend(run_seconds=60)
        async with (
            open_node(cluster) as first_node,
            open_node(cluster, "node-2") as second_node,
        ):
            async with trio.open_nursery() as nursery:
                request = create_request(seconds=90)
                nursery.start_soon(first_node.execute, request, ROW, slow_backend.run)
                await trio.sleep(3)
                error = await get_claim_error(
                    second_node, create_request(seconds=2), Backend()
                )
                assert error == ("key-in-progress", True)
        assert slow_backend.runs == 1


@pytest.mark.parametrize(
    "outcome",
    [
        RefusedError("full"),
        RoutingError("no connection", may_have_run=False),
        attrs.evolve(PAID_REPLY, status=503, outcome=Outcome.NOT_RUN),
    ],
    ids=["refused", "not-routed", "not-run"],
)
async def test_key_is_released_when_the_request_certainly_did_not_run(
    outcome, autojump_clock
):
    async with open_cluster() as cluster:
        backend = Backend(outcome)
        async with open_node(cluster) as node:
            with contextlib.suppress(RefusedError, RoutingError):
                reply = await node.execute(create_request(), ROW, backend.run)
                assert reply.status == 503
            await wait_until(lambda: not node.unrecorded, 5)
            reply = await node.execute(create_request(), ROW, backend.run)
        assert reply.body == b"paid"
        assert backend.runs == 2


@pytest.mark.parametrize(
    "outcome",
    [
        RoutingError("reset", may_have_run=True),
        attrs.evolve(PAID_REPLY, status=502, outcome=Outcome.MAY_HAVE_RUN),
        ValueError("fault"),
    ],
    ids=["lost", "may-have-run", "fault"],
)
async def test_key_with_a_lost_outcome_never_runs_again(outcome, autojump_clock):
    async with open_cluster() as cluster:
        backend = Backend(outcome)
        async with open_node(cluster) as node, open_node(cluster, "node-2") as other:
            with contextlib.suppress(RoutingError, ValueError):
                await node.execute(create_request(), ROW, backend.run)
            for executor in (node, other):
                error = await get_claim_error(executor, create_request(), backend)
                assert error == ("outcome-unknown", True)
        assert backend.runs == 1


async def test_cancelled_caller_leaves_the_key_unknown(autojump_clock):
    async with open_cluster() as cluster:
        backend = Backend(run_seconds=2)
        async with open_node(cluster) as node:
            with trio.move_on_after(3):
                await node.execute(create_request(seconds=30), ROW, Backend().run)
            with trio.move_on_after(0.5):
                request = create_request("k2", seconds=30)
                await node.execute(request, ROW, backend.run)
            error = await get_claim_error(node, create_request("k2"), backend)
        assert error == ("outcome-unknown", True)
        assert backend.runs == 1


async def test_caller_cancelled_before_its_claim_is_answered_releases_the_key(
    autojump_clock,
):
    async with open_cluster() as cluster:
        await cluster.wait_leader()
        for name in cluster.replica_ids:
            cluster.network.set_link(
                name, "node-1", attrs.evolve(cluster.network.default, delay=1)
            )
        async with open_node(cluster) as node, open_node(cluster, "node-2") as other:
            with trio.move_on_after(0.5):
                await node.execute(create_request(), ROW, Backend().run)
            backend = Backend()
            await other.execute(create_request(), ROW, backend.run)
        assert backend.runs == 1


async def test_claim_of_a_lost_node_becomes_unknown(autojump_clock):
    async with open_cluster() as cluster:
        backend = Backend(run_seconds=100)
        async with open_node(cluster) as node, open_node(cluster, "node-2") as other:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.execute, create_request(), ROW, backend.run)
                await trio.sleep(3)
                cluster.isolate("node-1")
                await trio.sleep(12)
                assert await get_claim_error(other, create_request(), Backend()) == (
                    "outcome-unknown",
                    True,
                )
                nursery.cancel_scope.cancel()


async def test_restart_of_a_node_makes_its_claims_unknown_at_once(autojump_clock):
    async with open_cluster() as cluster:
        backend = Backend(run_seconds=100)
        async with (
            open_node(cluster) as old_node,
            open_node(cluster, incarnation=2) as new_node,
        ):
            async with trio.open_nursery() as nursery:
                request = create_request(seconds=90)
                nursery.start_soon(old_node.execute, request, ROW, backend.run)
                await trio.sleep(3)
                await new_node.execute(create_request("k2"), ROW, Backend().run)
                error = await get_claim_error(
                    new_node, create_request(seconds=90), Backend()
                )
                assert error == ("outcome-unknown", True)
                old_error = await get_claim_error(
                    old_node, create_request("k3"), Backend()
                )
                assert old_error == ("claim-rejected", False)
                nursery.cancel_scope.cancel()


async def test_other_request_with_the_key_is_an_error(autojump_clock):
    async with open_cluster() as cluster:
        backend = Backend()
        async with open_node(cluster) as node:
            await node.execute(create_request(), ROW, backend.run)
            different = create_request(body=b"amount=6")
            assert await get_claim_error(node, different, backend) == (
                "key-reused",
                False,
            )
        assert backend.runs == 1


async def test_missing_key_is_an_error(autojump_clock):
    async with open_cluster(1) as cluster, open_node(cluster) as node:
        error = await get_claim_error(node, create_request(key=None), Backend())
    assert error == ("no-idempotency-key", False)


async def test_nothing_runs_without_a_majority(autojump_clock):
    async with open_cluster() as cluster:
        backend = Backend()
        await cluster.wait_leader()
        for name in cluster.replica_ids:
            cluster.isolate(name)
        async with open_node(cluster) as node:
            error = await get_claim_error(node, create_request(), backend)
        assert error == ("no-quorum", False)
        assert backend.runs == 0


async def test_answer_is_given_and_recorded_later_when_the_majority_is_lost(
    autojump_clock,
):
    async with open_cluster() as cluster:
        backend = Backend(run_seconds=2)
        replies = []

        async def send(node):
            request = create_request(seconds=8)
            replies.append(await node.execute(request, ROW, backend.run))

        async with open_node(cluster) as node, open_node(cluster, "node-2") as other:
            await cluster.wait_leader()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, node)
                await trio.sleep(1)
                for name in cluster.replica_ids:
                    cluster.isolate(name)
            assert replies[0].body == b"paid" and node.unrecorded == 1
            await trio.sleep(20)
            for name in cluster.replica_ids:
                cluster.rejoin(name)
            await wait_until(lambda: not node.unrecorded, 10)
            reply = await other.execute(create_request(), ROW, backend.run)
        assert reply.body == b"paid" and backend.runs == 1


async def test_answer_too_large_to_be_kept_is_reported_to_later_requests(
    autojump_clock,
):
    async with open_cluster() as cluster:
        large_reply = attrs.evolve(PAID_REPLY, body=bytes(2000))
        backend = Backend(large_reply)
        async with open_node(cluster, max_reply_bytes=1000) as node:
            first = await node.execute(create_request(), ROW, backend.run)
            error = await get_claim_error(node, create_request(), backend)
        assert first.body == large_reply.body
        assert error == ("answer-not-kept", True)
        assert backend.runs == 1


async def test_key_is_forgotten_after_its_retention(autojump_clock):
    async with open_cluster() as cluster:
        async with open_node(cluster, retention=60) as node:
            await node.execute(create_request(), ROW, Backend().run)
            client = cluster.create_client()
            await trio.sleep(50)
            retained = await client.look_up("payouts/key/k1")
            await trio.sleep(15)
            expired = await client.look_up("payouts/key/k1")
        assert retained.status is ClaimStatus.FINISHED
        assert expired.status is ClaimStatus.ABSENT


async def test_long_keys_are_told_apart_and_take_little_space(autojump_clock):
    async with open_cluster(1) as cluster, open_node(cluster) as node:
        backend = Backend()
        long_key = "x" * 10_000
        for key in (long_key, long_key + "y", long_key):
            await node.execute(create_request(key), ROW, backend.run)
        assert backend.runs == 2
        records = cluster.replicas["r1"].core.state.claims.records
        assert max(map(len, records)) < 200
