"""A departure that a node has acknowledged must bind its next process, too."""

import attrs
import pytest
import trio

from coltsfootspar.fleet.control import NodeControl
from coltsfootspar.fleet.departures import (
    RECOVERY_TIMEOUT_SECONDS,
    create_departure_recorder,
)
from coltsfootspar.fleet.interfaces import BackendDeparture
from coltsfootspar.relay import BackendReport, HeaderNames, create_backend_server
from coltsfootspar.replication.tests.harness import open_cluster
from coltsfootspar.wire import Address

SERVICE = "wallet"
REPORT = BackendReport(
    instance_id="i-1",
    service=SERVICE,
    address=Address("127.0.0.1", 9),
    slots=2,
    is_leaving=False,
    warm_in=0.0,
    sequence=4,
    started_ms=1_000,
)
NOTICES = {
    "deregistered": BackendDeparture("i-1", 1_000),
    "leaving": attrs.evolve(REPORT, sequence=5, is_leaving=True),
}


class Node:
    """What a process of a node knows of its backend server."""

    def __init__(self, client):
        self.client = client
        self.scope = trio.CancelScope()
        self.backend = create_backend_server(HeaderNames(), lambda: None, 0.2)
        self.recorder = create_departure_recorder("node-1", self.client, self.backend)
        self.control = NodeControl(self.backend, SERVICE, self.recorder)

    async def run(self):
        with self.scope:
            await self.recorder.run()

    async def send(self, request):
        return (await self.control.serve(request)).status


@pytest.mark.parametrize("kind", NOTICES)
async def test_late_report_after_a_restart_of_the_node_is_ignored(kind, autojump_clock):
    """Guards against calls to a departed server after its node was killed."""
    async with open_cluster() as cluster, trio.open_nursery() as nursery:
        first = Node(cluster.create_client())
        nursery.start_soon(first.run)
        assert await first.send(REPORT) == 200
        await trio.sleep(RECOVERY_TIMEOUT_SECONDS)
        assert first.backend.service == SERVICE
        assert await first.send(NOTICES[kind]) == 200
        first.scope.cancel()
        second = Node(cluster.create_client())
        nursery.start_soon(second.run)
        for _ in range(2):
            assert await second.send(REPORT) == 200
            await trio.sleep(RECOVERY_TIMEOUT_SECONDS)
            assert second.backend.service == ""
        restarted = attrs.evolve(REPORT, sequence=1, started_ms=2_000)
        assert await second.send(restarted) == 200
        assert second.backend.service == SERVICE
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("up", [0, 1])
@pytest.mark.parametrize("kind", NOTICES)
async def test_departure_needs_a_majority_to_be_acknowledged(kind, up, autojump_clock):
    """Guards against an acknowledgement that is lost together with the node.

    A repeated notice is no exception. The server is out of use all the same, and hears
    that it is not acknowledged within the second for which it waits.
    """
    notice = NOTICES[kind]
    async with open_cluster() as cluster, trio.open_nursery() as nursery:
        first = Node(cluster.create_client())
        nursery.start_soon(first.run)
        assert await first.send(REPORT) == 200
        await trio.sleep(RECOVERY_TIMEOUT_SECONDS)
        assert first.backend.service == SERVICE
        for name in cluster.replica_ids[up:]:
            await cluster.crash(name)
        for _ in range(3):
            with trio.fail_after(0.9):
                assert await first.send(notice) == 503
            assert first.backend.service == ""
        for name in cluster.replica_ids[up:]:
            await cluster.start(name)
        await trio.sleep(1.5)
        assert await first.send(notice) == 200
        first.scope.cancel()
        second = Node(cluster.create_client())
        nursery.start_soon(second.run)
        assert await second.send(REPORT) == 200
        await trio.sleep(RECOVERY_TIMEOUT_SECONDS)
        assert second.backend.service == ""
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("kind", NOTICES)
async def test_departure_read_from_a_minority_is_not_acknowledged(kind, autojump_clock):
    """Guards against a node that confirms what only one replica has told it."""
    async with open_cluster() as cluster, trio.open_nursery() as nursery:
        for name in cluster.replica_ids[1:]:
            await cluster.crash(name)
        first = Node(cluster.create_client())
        nursery.start_soon(first.run)
        assert await first.send(REPORT) == 200
        assert await first.send(NOTICES[kind]) == 503
        first.scope.cancel()
        second = Node(cluster.create_client())
        nursery.start_soon(second.run)
        await trio.sleep(1)
        assert await second.send(NOTICES[kind]) == 503
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("kind", NOTICES)
async def test_node_that_started_without_a_majority_reads_again(kind, autojump_clock):
    """Guards against a departed server that stays in use once the replicas are back."""
    async with open_cluster() as cluster, trio.open_nursery() as nursery:
        first = Node(cluster.create_client())
        nursery.start_soon(first.run)
        assert await first.send(REPORT) == 200
        assert await first.send(NOTICES[kind]) == 200
        first.scope.cancel()
        for name in cluster.replica_ids:
            await cluster.crash(name)
        second = Node(cluster.create_client())
        nursery.start_soon(second.run)
        assert await second.send(REPORT) == 200
        await trio.sleep(RECOVERY_TIMEOUT_SECONDS + 4)
        assert second.backend.service == SERVICE
        for name in cluster.replica_ids[:2]:
            await cluster.start(name)
        await trio.sleep(2)
        assert second.backend.service == ""
        restarted = attrs.evolve(REPORT, sequence=1, started_ms=2_000)
        assert await second.send(restarted) == 200
        assert second.backend.service == SERVICE
        nursery.cancel_scope.cancel()


async def test_departure_of_an_earlier_start_is_kept_as_well(autojump_clock):
    """Guards against an acknowledged notice of which no replica knows."""
    async with open_cluster() as cluster, trio.open_nursery() as nursery:
        node = Node(cluster.create_client())
        nursery.start_soon(node.run)
        await trio.sleep(1)
        assert await node.send(attrs.evolve(REPORT, started_ms=2_000)) == 200
        assert await node.send(NOTICES["deregistered"]) == 200
        assert node.backend.service == SERVICE
        known = await node.client.note_departures("node-1", [], 1.0)
        assert [d.started_ms for d in known.departures] == [1_000]
        nursery.cancel_scope.cancel()


async def test_reports_wait_until_departures_are_known(autojump_clock):
    """Guards against a report that is applied, or lost, while the node starts."""
    async with open_cluster() as cluster, trio.open_nursery() as nursery:
        for name in cluster.replica_ids:
            await cluster.crash(name)
        node = Node(cluster.create_client())
        nursery.start_soon(node.run)
        started_at = trio.current_time()
        assert await node.send(REPORT) == 200
        assert trio.current_time() == started_at
        await trio.sleep(1)
        assert node.backend.service == ""
        for name in cluster.replica_ids[1:]:
            await cluster.start(name)
        await trio.sleep(0.7)
        assert node.backend.service == SERVICE
        nursery.cancel_scope.cancel()


async def test_held_report_is_applied_without_replicas_in_the_end(autojump_clock):
    """Guards against a server that is out of use as long as all replicas are."""
    async with open_cluster() as cluster, trio.open_nursery() as nursery:
        for name in cluster.replica_ids:
            await cluster.crash(name)
        node = Node(cluster.create_client())
        nursery.start_soon(node.run)
        assert await node.send(REPORT) == 200
        await trio.sleep(RECOVERY_TIMEOUT_SECONDS + 0.01)
        assert node.backend.service == SERVICE
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("started_ms", [0, 1_000])
async def test_departure_while_the_node_starts_drops_the_held_report(
    started_ms, autojump_clock
):
    """Guards against a server that is used after a departure with no start."""
    async with open_cluster() as cluster, trio.open_nursery() as nursery:
        for name in cluster.replica_ids:
            await cluster.crash(name)
        node = Node(cluster.create_client())
        nursery.start_soon(node.run)
        assert await node.send(REPORT) == 200
        # A notice without a start is none that could be kept.
        status = 503 if started_ms else 200
        assert await node.send(BackendDeparture("i-1", started_ms)) == status
        await trio.sleep(RECOVERY_TIMEOUT_SECONDS + 0.01)
        assert node.backend.service == ""
        nursery.cancel_scope.cancel()
