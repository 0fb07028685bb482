"""Clusters of replicas on simulated disks and links, for tests."""

import contextlib
import itertools
import random

import trio

from coltsfootspar.exceptions import ColtsfootsparError, LinkError
from coltsfootspar.replication import (
    ReplicaOptions,
    create_replica,
    create_replication_client,
    format_replica,
)
from coltsfootspar.testing import create_disk, create_network
from coltsfootspar.timers import create_timer_service

CLUSTER_ID = "test-cluster"
ROW = "specs GET /specs/{id}"


def fix_task_order(monkeypatch, name):
    """Makes the task order of trio depend on the test's name only."""
    scheduler = trio._core._run
    monkeypatch.setattr(scheduler, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    scheduler._r.seed(name)


class NamedLink:
    """Link of one process on the simulated network."""

    def __init__(self, network, name, dropped_kinds=frozenset()):
        self.network = network
        self.name = name
        self.dropped_kinds = dropped_kinds

    async def request(self, replica_id, message):
        if (self.name, message.kind) in self.dropped_kinds:
            raise LinkError("dropped", may_have_run=False)
        return await self.network.request(self.name, replica_id, message)


class Cluster:
    """Replicas that can be started, crashed, isolated and given new disks."""

    def __init__(self, nursery, network, seed, size, options):
        self.nursery = nursery
        self.network = network
        self.random = random.Random(seed)
        self.replica_ids = [f"r{number}" for number in range(1, size + 1)]
        self.disks = {name: self.create_disk() for name in self.replica_ids}
        self.options = options or ReplicaOptions()
        self.replicas = {}
        self.scopes = {}
        self.errors = {}
        self.dropped_kinds = set()

    def drop_kind(self, name, kind):
        """Drops the requests of one kind that a replica sends."""
        self.dropped_kinds.add((name, kind))

    def create_disk(self):
        return create_disk(self.random.getrandbits(32), latency=0.001)

    async def start_all(self):
        for name in self.replica_ids:
            await format_replica(self.disks[name], CLUSTER_ID, name)
            await self.start(name)

    async def start(self, name):
        timers = create_timer_service(random.Random(1))
        replica = await create_replica(
            name,
            self.replica_ids,
            disk=self.disks[name],
            link=NamedLink(self.network, name, self.dropped_kinds),
            timers=timers,
            source=random.Random(self.random.getrandbits(32)),
            clock=trio.current_time,
            options=self.options,
        )
        self.replicas[name] = replica
        scope = self.scopes[name] = trio.CancelScope()
        self.nursery.start_soon(self._run, name, replica, timers, scope)

        async def handle(source, message):
            try:
                return await replica.handle(source, message)
            except ColtsfootsparError as error:
                raise LinkError(str(error), may_have_run=True) from error

        self.network.attach(name, handle)

    async def _run(self, name, replica, timers, scope):
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(timers.run)
                try:
                    await replica.run()
                except ColtsfootsparError as error:
                    self.errors[name] = error
                    if self.replicas.get(name) is replica:
                        self.network.attach(name, None)
                nursery.cancel_scope.cancel()

    async def crash(self, name):
        """Stops a replica at once; its unsynced data may be lost."""
        self.network.attach(name, None)
        self.disks[name].crash()
        self.scopes.pop(name).cancel()
        self.replicas.pop(name)
        await trio.sleep(0.01)
        self.disks[name].restart()

    async def restart(self, name):
        await self.crash(name)
        await self.start(name)

    async def replace_disk(self, name):
        await self.crash(name)
        self.disks[name] = self.create_disk()
        await self.start(name)

    def isolate(self, name, others=None):
        everyone = set(self.replica_ids) if others is None else set(others)
        self.network.cut({name}, everyone - {name})

    def rejoin(self, name, others=None):
        everyone = set(self.replica_ids) if others is None else set(others)
        self.network.heal({name}, everyone - {name})

    def find_leader(self):
        """Returns the id of the leader with the highest term, or None."""
        leaders = [
            (replica.status().term, name)
            for name, replica in self.replicas.items()
            if replica.status().role == "leader"
        ]
        return max(leaders)[1] if leaders else None

    async def wait_leader(self, seconds=20):
        await wait_until(lambda: self.find_leader() is not None, seconds)
        return self.find_leader()

    async def wait_equal(self, seconds=30):
        """Waits until all running replicas have applied the same entries."""

        def is_equal():
            cores = [replica.core for replica in self.replicas.values()]
            last_indexes = {core.log.last_index for core in cores}
            return len(last_indexes | {core.state.index for core in cores}) == 1

        await wait_until(is_equal, seconds)

    def create_client(self, name="client", timeout=8.0, order=None):
        return create_replication_client(
            order or self.replica_ids,
            NamedLink(self.network, name),
            random.Random(self.random.getrandbits(32)),
            timeout=timeout,
        )


@contextlib.asynccontextmanager
async def open_cluster(size=3, seed=1, options=None):
    """Runs a new cluster and yields it.

    :param size: number of replicas.
    """
    async with trio.open_nursery() as nursery:
        network = create_network(nursery, seed)
        cluster = Cluster(nursery, network, seed, size, options)
        await cluster.start_all()
        yield cluster
        nursery.cancel_scope.cancel()


async def wait_until(condition, seconds):
    """Waits until a condition is true; fails after a timeout in seconds."""
    with trio.fail_after(seconds):
        for _ in itertools.count():
            if condition():
                return
            await trio.sleep(0.05)


def list_contents(state):
    """Returns the items of a state in an order that allows comparison."""
    return sorted(map(repr, state.list_items()))
