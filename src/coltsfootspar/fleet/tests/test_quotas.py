"""Rates of organisations between a real replica and nodes, over loopback."""

import random
import socket
import sys
import types

import attrs
import pytest
import trio

from coltsfootspar.exceptions import MembershipError, RefusedError
from coltsfootspar.fleet.allowances import create_allowance_service
from coltsfootspar.fleet.common import create_fleet_identity, create_fleet_membership
from coltsfootspar.fleet.replica import FleetReplica
from coltsfootspar.fleet.routecopy import create_route_copy
from coltsfootspar.fleet.seats import create_seat_map
from coltsfootspar.membership import open_udp_port
from coltsfootspar.quotas import create_boot_clock
from coltsfootspar.replication import ReplaceRoutes, create_replication_client
from coltsfootspar.routes import Organisation, RouteTable, encode_routes
from coltsfootspar.routing import create_peer_links
from coltsfootspar.settings.fleet import FleetReplicaSettings
from coltsfootspar.testing.ports import find_free_port
from coltsfootspar.timers import create_timer_service
from coltsfootspar.wire import Address

from .conftest import HOST, TIMEOUT_SECONDS, create_settings

SEAT = "seat-1"
LIMITED = Organisation("limited", ("k",), rate=0.01, burst=2.0)
UNLIMITED = Organisation("unlimited", ("u",))
# What one burst may take: the burst, half of the slack, and the first tokens.
MOST_AT_ONCE = 2 + 10 + 3


@attrs.frozen
class StubAdapter:
    """Adapter without control requests."""

    def decode_control(self, target, body):
        return None


@attrs.define(eq=False)
class Deployment:
    """One replica process and the links of one node to it, which lists it."""

    process: FleetReplica
    links: object

    async def change_routes(self, version: int, *organisations: Organisation) -> None:
        table = RouteTable(version, version - 1, organisations=organisations)
        command = ReplaceRoutes(version, version - 1, b"d", encode_routes(table))
        client = create_replication_client([SEAT], self.links, random.Random(1))
        await client.replace_routes(command, TIMEOUT_SECONDS)

    def list_lenders(self) -> list[Address]:
        return [Address(HOST, self.process.settings.quota_port)]

    def create_node(self):
        key = bytes.fromhex(self.process.settings.shared_key)
        return create_allowance_service(
            Address(HOST, 0), key, self, create_boot_clock()
        )


async def run_deployment(folder, use) -> None:
    """Runs a replica process and calls ``use`` with the deployment."""
    settings = create_settings(
        FleetReplicaSettings,
        id="core-1",
        quota_port=find_free_port(HOST, socket.SOCK_DGRAM),
        data_folder=str(folder),
        is_first_start=True,
    )
    address = Address(HOST, settings.peer_port)
    settings = attrs.evolve(settings, seeds=(settings.control,))
    source = random.Random(1)
    timers = create_timer_service(source)
    async with (
        open_udp_port(Address(HOST, settings.gossip_port)) as port,
        trio.open_nursery() as nursery,
    ):
        membership = create_fleet_membership(settings, port, address, timers, source)
        seats = create_seat_map([address], 0)
        process = FleetReplica(
            settings, StubAdapter(), membership, timers, seats, source
        )
        nursery.start_soon(process.run, trio.sleep_forever)
        identity = create_fleet_identity(settings, "node-1", "node")
        links = create_peer_links(identity, lambda seat: address)
        await nursery.start(links.run)
        with trio.fail_after(TIMEOUT_SECONDS):
            await use(Deployment(process, links), nursery)
        nursery.cancel_scope.cancel()


async def acquire_until_granted(node) -> None:
    """Waits until the ledger has opened."""
    while True:
        try:
            if await node.acquire(LIMITED) is None:
                return
        except RefusedError:
            await trio.sleep(0.05)


async def test_burst_is_limited_over_two_nodes(tmp_path):
    """Guards against nodes that each spend a whole burst, and untrue refusals."""

    async def use(deployment: Deployment, nursery: trio.Nursery) -> None:
        await deployment.change_routes(1, LIMITED)
        nodes = [deployment.create_node(), deployment.create_node()]
        for node in nodes:
            nursery.start_soon(node.run)
        await acquire_until_granted(nodes[0])
        results = []

        async def acquire(node) -> None:
            results.append(await node.acquire(LIMITED))

        async with trio.open_nursery() as callers:
            for number in range(60):
                callers.start_soon(acquire, nodes[number % 2])
        granted = results.count(None)
        assert 1 <= granted <= MOST_AT_ONCE
        delays = sorted(seconds for seconds in results if seconds is not None)
        assert delays[0] > 0
        # Requests far above the limit are not told to come back all at once.
        assert delays[-1] >= 5.0
        assert sum(node.counters.granted for node in nodes) == granted + 1

    await run_deployment(tmp_path, use)


async def test_token_of_request_that_reached_no_server_is_spent_again(tmp_path):
    async def use(deployment: Deployment, nursery: trio.Nursery) -> None:
        await deployment.change_routes(1, LIMITED)
        node = deployment.create_node()
        nursery.start_soon(node.run)
        await acquire_until_granted(node)
        lender = deployment.process._lenders.lender
        lent = lender.lent
        node.refund(LIMITED)
        assert await node.acquire(LIMITED) is None
        assert lender.lent == lent

    await run_deployment(tmp_path, use)


async def test_no_lender_is_reported_as_not_run(tmp_path):
    """Guards against requests that wait for a lender until their deadline."""

    async def use(deployment: Deployment, nursery: trio.Nursery) -> None:
        await deployment.change_routes(1, UNLIMITED)
        node = deployment.create_node()
        nursery.start_soon(node.run)
        with pytest.raises(RefusedError) as caught:
            await node.acquire(LIMITED)
        assert caught.value.code == "no-allowance"
        assert node.counters.unavailable == 1

    await run_deployment(tmp_path, use)


async def test_port_in_use_does_not_end_the_node(autojump_clock):
    """Guards against all nodes that end when the first limit comes into force."""
    key = bytes(32)
    async with trio.open_nursery() as nursery:
        async with open_udp_port(Address(HOST, 0)) as other:
            directory = types.SimpleNamespace(list_lenders=lambda: [other.address])
            node = create_allowance_service(
                other.address, key, directory, create_boot_clock()
            )
            nursery.start_soon(node.run)
            await trio.sleep(2.0)
            with pytest.raises(RefusedError):
                await node.acquire(LIMITED)
        await trio.sleep(2.0)
        with pytest.raises(MembershipError):
            async with open_udp_port(other.address):
                pass
        nursery.cancel_scope.cancel()


async def test_without_limits_nothing_runs(tmp_path):
    """Guards against messages and tasks in deployments without limits."""

    async def use(deployment: Deployment, nursery: trio.Nursery) -> None:
        await deployment.change_routes(1, UNLIMITED)
        node = deployment.create_node()
        assert await node.acquire(UNLIMITED) is None
        node.refund(UNLIMITED)
        assert not node._has_waiting.is_set()
        assert deployment.process._lenders is None

    await run_deployment(tmp_path, use)


def test_route_copy_passes_each_new_table_on():
    """Guards against requests that pass between new routes and their limits."""
    tables = []
    routes = create_route_copy()
    routes.on_change = tables.append
    table = RouteTable(1, organisations=(LIMITED,))
    routes.apply(table)
    routes.apply(table)
    assert tables == [table]
    assert table.has_limits
    assert not RouteTable(1, organisations=(UNLIMITED,)).has_limits


async def test_programs_do_not_load_what_limits_need():
    """Guards against memory and start-up time in deployments without limits."""
    code = (
        "import sys, coltsfootspar.fleet.node, coltsfootspar.fleet.replica;"
        "print([name for name in sys.modules if 'quotas' in name])"
    )
    result = await trio.run_process([sys.executable, "-c", code], capture_stdout=True)
    assert result.stdout.strip() == b"[]"
