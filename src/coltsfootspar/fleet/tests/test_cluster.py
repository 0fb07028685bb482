"""Tests of the cluster that forms from seeds, with real sockets and folders."""

import random
import shutil

import attrs
import orjson
import pytest
import trio

from coltsfootspar.exceptions import NoQuorumError
from coltsfootspar.fleet.common import create_fleet_identity, create_fleet_membership
from coltsfootspar.fleet.interfaces import RouteChange, RouteQuery
from coltsfootspar.fleet.replica import FleetReplica
from coltsfootspar.fleet.seats import create_seat_map
from coltsfootspar.membership import open_udp_port
from coltsfootspar.relay import HeaderNames
from coltsfootspar.replication import create_replication_client
from coltsfootspar.replication.commands import ReplaceRoutes
from coltsfootspar.routes import RouteTable, encode_routes
from coltsfootspar.routing import create_peer_links
from coltsfootspar.settings.fleet import FleetReplicaSettings
from coltsfootspar.timers import create_timer_service
from coltsfootspar.wire import Address

PEER_PORT, METRICS_PORT, CONTROL_PORT = 17620, 17621, 17622
PATIENCE_SECONDS = 40


@attrs.frozen
class StubAdapter:
    """A adapter without any control requests."""

    names: HeaderNames = attrs.field(factory=HeaderNames)

    def decode_control(self, target, body):
        if target == "/get":
            return RouteQuery()
        content = orjson.loads(body)
        return RouteChange(RouteTable(*content), body)

    def encode_routes(self, table):
        return encode_routes(table)


@attrs.define(eq=False)
class Cluster:
    """Hosts on loopback addresses with equal ports."""

    nursery: trio.Nursery
    folder: object
    prefix: str
    scopes: dict[int, trio.CancelScope] = attrs.field(factory=dict)
    processes: dict[int, FleetReplica] = attrs.field(factory=dict)
    ended: dict[int, trio.Event] = attrs.field(factory=dict)

    def get_host(self, number: int) -> str:
        return f"{self.prefix}.{number}"

    def get_folder(self, number: int):
        return self.folder / str(number)

    async def start(self, number: int, *, seeds=(1, 2, 3), is_first: bool = False):
        """Starts the process of a host."""
        self.get_folder(number).mkdir(exist_ok=True)
        host = self.get_host(number)
        settings = FleetReplicaSettings(
            id=f"core-{number}",
            host=host,
            region="r",
            data_centre="a",
            seeds=tuple(Address(self.get_host(s), CONTROL_PORT) for s in seeds),
            shared_key="5f" * 16,
            control=Address(host, CONTROL_PORT),
            peer_port=PEER_PORT,
            gossip_port=PEER_PORT,
            metrics_port=METRICS_PORT,
            data_folder=str(self.get_folder(number)),
            is_first_start=is_first,
        )
        self.ended[number] = trio.Event()
        self.scopes[number] = trio.CancelScope()
        self.nursery.start_soon(self._run, number, settings)

    async def _run(self, number: int, settings: FleetReplicaSettings) -> None:
        source = random.Random(number)
        timers = create_timer_service(source)
        own = Address(settings.host, PEER_PORT)
        with self.scopes[number]:
            async with open_udp_port(own) as port:
                membership = create_fleet_membership(
                    settings, port, own, timers, source
                )
                peers = [Address(seed.host, PEER_PORT) for seed in settings.seeds]
                process = FleetReplica(
                    settings,
                    StubAdapter(),
                    membership,
                    timers,
                    create_seat_map(peers),
                    source,
                )
                self.processes[number] = process
                await process.run(trio.sleep_forever)
        self.ended[number].set()

    async def kill(self, number: int, *, wipe: bool = False) -> None:
        """Ends a process at once."""
        self.scopes[number].cancel()
        await self.ended[number].wait()
        del self.processes[number]
        if wipe:
            shutil.rmtree(self.get_folder(number))

    async def replace(self, version: int, base: int, digest: bytes = b"d"):
        """Changes the routes through any replica."""
        table = RouteTable(version, base)
        command = ReplaceRoutes(version, base, digest, encode_routes(table))
        return await self._use_client(
            lambda client: client.replace_routes(command, PATIENCE_SECONDS)
        )

    async def read(self) -> int:
        """Reads the version in force."""
        table = await self._use_client(
            lambda client: client.read_routes(PATIENCE_SECONDS)
        )
        return table.version

    async def _use_client(self, use):
        """Runs with links that know the seats of all processes."""
        known = {}
        for process in self.processes.values():
            known.update(process.seats.addresses)
        process = next(iter(self.processes.values()))
        identity = create_fleet_identity(process.settings, "client", "client")

        def find(seat):
            for number, other in self.processes.items():
                replica = other._replica
                is_holder = replica is not None and replica.core.replica_id == seat
                if is_holder and not self.scopes[number].cancel_called:
                    return other.address
            return None

        async with trio.open_nursery() as nursery:
            links = create_peer_links(identity, find)
            nursery.start_soon(links.run)
            client = create_replication_client(sorted(known), links, random.Random(1))
            result = await use(client)
            nursery.cancel_scope.cancel()
        return result

    async def wait_admitted(self, *numbers: int) -> None:
        """Waits until hosts hold seats and count."""
        with trio.fail_after(PATIENCE_SECONDS):
            # The replicas announce their admission to nobody.
            while not all(  # noqa: ASYNC110
                self._is_admitted(number) for number in numbers
            ):
                await trio.sleep(0.05)

    def _is_admitted(self, number: int) -> bool:
        process = self.processes.get(number)
        replica = process._replica if process is not None else None
        return replica is not None and replica.core.identity.is_admitted


@pytest.fixture
async def cluster(tmp_path, worker_id):
    # Each worker has a loopback network of its own.
    digits = "".join(c for c in worker_id if c.isdigit()) or "0"
    async with trio.open_nursery() as nursery:
        yield Cluster(nursery, tmp_path, f"127.9.{int(digits) + 1}")
        nursery.cancel_scope.cancel()


async def form(cluster, count=4):
    for number in range(1, count + 1):
        await cluster.start(number, is_first=True)
    await cluster.wait_admitted(1, 2, 3)
    result = await cluster.replace(1, 0)
    assert result.status == "applied"


async def test_first_start_forms_one_cluster(cluster):
    """Guards against two clusters, or a fourth host that counts without a seat."""
    await form(cluster)
    seats = {cluster.processes[n]._replica.core.replica_id for n in (1, 2, 3)}
    assert len(seats) == 3
    assert cluster.processes[4]._replica is None
    assert await cluster.read() == 1


async def test_one_of_two_racing_changes_wins(cluster):
    """Guards against two changes of the same version that are both acknowledged."""
    await form(cluster, 3)
    first = await cluster.replace(2, 1, b"x")
    second = await cluster.replace(3, 1, b"y")
    same = await cluster.replace(2, 1, b"x")
    other = await cluster.replace(2, 1, b"z")
    statuses = [r.status.value for r in (first, second, same, other)]
    assert statuses == ["applied", "conflict", "applied", "conflict"]


async def test_wiped_host_gets_its_seat_back(cluster):
    """Guards against an acknowledged change that a lost disk undoes."""
    await form(cluster, 3)
    await cluster.kill(2, wipe=True)
    await cluster.replace(2, 1)
    await cluster.start(2)
    await cluster.wait_admitted(2)
    await cluster.kill(1)
    assert await cluster.read() == 2


async def test_new_host_takes_the_seat_of_a_lost_one(cluster):
    """Guards against a cluster that does not survive a second loss."""
    await form(cluster, 3)
    await cluster.kill(1, wipe=True)
    await cluster.start(5, seeds=(2, 3, 5))
    await cluster.wait_admitted(5)
    await cluster.kill(3)
    await cluster.replace(2, 1)
    assert await cluster.read() == 2


async def test_returning_host_finds_its_seat_taken(cluster):
    """Guards against two hosts that vote for one seat."""
    await form(cluster, 4)
    await cluster.kill(1)
    await cluster.wait_admitted(4)
    await cluster.start(1)
    await cluster.wait_admitted(1)
    with trio.fail_after(PATIENCE_SECONDS):
        process = cluster.processes[1]
        while process.seats.find_seat(str(process.address)):  # noqa: ASYNC110
            await trio.sleep(0.1)
    assert await cluster.read() == 1


async def test_lost_seat_is_not_formed_again(cluster):
    """Guards against a host that forms a new cluster when its seat was taken.

    It came back as an initial replica, with a vote, since its settings still said
    that the deployment starts for the first time.
    """
    await form(cluster, 4)
    await cluster.kill(1)
    await cluster.wait_admitted(4)
    await cluster.start(1, is_first=True)
    await cluster.wait_admitted(1)
    with trio.fail_after(PATIENCE_SECONDS):
        process = cluster.processes[1]
        while process._replica is not None:  # noqa: ASYNC110
            await trio.sleep(0.1)
    await trio.sleep(2)
    assert process._replica is None


async def test_routes_are_served_before_there_is_a_leader(cluster):
    """Guards against nodes without routes until the replicas have elected."""
    await form(cluster, 3)
    with trio.fail_after(PATIENCE_SECONDS):
        cache = cluster.processes[1]._replica._route_cache
        while cache.routes.table.version == 0:  # noqa: ASYNC110
            await trio.sleep(0.05)
    for number in (1, 2, 3):
        await cluster.kill(number)
    await cluster.start(1)
    await cluster.wait_admitted(1)

    async def watch(client):
        return (await anext(client.watch_routes())).version

    with trio.fail_after(PATIENCE_SECONDS):
        assert await cluster._use_client(watch) == 1


async def test_all_restart_with_other_seeds(cluster):
    """Guards against a cluster that forgets where its members are."""
    await form(cluster, 3)
    for number in (1, 2, 3):
        await cluster.kill(number)
    for number in (1, 2, 3):
        await cluster.start(number, seeds=(7, 8, 9))
    await cluster.wait_admitted(1, 2, 3)
    assert await cluster.read() == 1


async def test_minority_does_not_answer(cluster):
    """Guards against a read of an old version by a replica that is cut off."""
    await form(cluster, 3)
    await cluster.kill(1)
    await cluster.kill(2)
    with pytest.raises(ExceptionGroup) as raised:
        await cluster._use_client(lambda client: client.read_routes(1.0))
    assert raised.group_contains(NoQuorumError)
