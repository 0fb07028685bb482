"""Clusters of membership services on a simulated network."""

import contextlib
import random

import pytest
import trio

from coltsfootspar.membership import MemberStatus, NodeIdentity, create_membership
from coltsfootspar.testing import create_network
from coltsfootspar.timers import create_timer_service
from coltsfootspar.wire import Address

SHARED_KEY = b"key of the test deployment"


class Cluster:
    """Members with ids ``<data centre>-<number>``, each with its own address."""

    def __init__(self, nursery, seed):
        self.network = create_network(nursery, seed)
        self.nodes = {}
        self._nursery = nursery
        self._random = random.Random(seed)
        self._scopes = {}
        self._data_centres = {}

    def get_address(self, node_id):
        data_centre, _, number = node_id.rpartition("-")
        index = self._data_centres.setdefault(data_centre, len(self._data_centres))
        return Address(f"10.{index}.{int(number) // 250}.{int(number) % 250}", 7946)

    def format_addresses(self, *node_ids):
        return {str(self.get_address(node_id)) for node_id in node_ids}

    def list_node_ids(self, *data_centres):
        return [
            node_id
            for node_id in self.nodes
            if node_id.rpartition("-")[0] in data_centres
        ]

    def start(self, node_id, incarnation=1, seeds=("a-0",)):
        data_centre = node_id.rpartition("-")[0]
        address = self.get_address(node_id)
        identity = NodeIdentity(
            node_id=node_id,
            region=f"region-{data_centre[0]}",
            data_centre=data_centre,
            gossip_address=address,
            peer_address=Address(address.host, 7000),
            incarnation=incarnation,
        )
        timers = create_timer_service(random.Random(self._random.random()))
        member = create_membership(
            identity,
            [self.get_address(seed) for seed in seeds],
            self.network.open_port(address),
            SHARED_KEY,
            timers,
            random.Random(self._random.random()),
        )
        scope = trio.CancelScope()
        self.nodes[node_id] = member
        self._scopes[node_id] = scope
        self._nursery.start_soon(self._run, member, timers, scope)
        return member

    async def _run(self, member, timers, scope):
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(timers.run)
                nursery.start_soon(member.run)

    def crash(self, *node_ids):
        for node_id in node_ids:
            self._scopes.pop(node_id).cancel()
            self.network.close_port(self.get_address(node_id))
            del self.nodes[node_id]

    async def start_members(
        self, *data_centres, size, seeds=("a-0",), service="wallet"
    ):
        """Starts members, and returns the seconds until their lists agree."""
        for number in range(size):
            for data_centre in data_centres:
                member = self.start(f"{data_centre}-{number}", seeds=seeds)
                member.announce(service, 75, 0.0)
        return await self.wait_until(self.is_converged, 60)

    def is_converged(self):
        """Returns whether each live member lists exactly the live ones as reachable."""
        return all(
            {found.node_id for found in member.list_members() if found.is_reachable}
            == set(self.nodes)
            for member in self.nodes.values()
        )

    async def wait_until(self, condition, timeout):
        start = trio.current_time()
        while not condition():
            assert trio.current_time() - start < timeout, (
                f"condition not met within {timeout} s"
            )
            await trio.sleep(0.1)
        return trio.current_time() - start

    def count_deaths(self):
        return sum(member.deaths for member in self.nodes.values())

    def get_status(self, observer, node_id):
        found = self.nodes[observer].get_member(node_id)
        return None if found is None else found.status

    def is_dead_everywhere(self, *node_ids):
        return all(
            self.get_status(observer, node_id) == MemberStatus.DEAD
            for observer in self.nodes
            for node_id in node_ids
        )


@pytest.fixture
def open_cluster():
    @contextlib.asynccontextmanager
    async def open_cluster(seed):
        async with trio.open_nursery() as nursery:
            yield Cluster(nursery, seed)
            nursery.cancel_scope.cancel()

    return open_cluster
