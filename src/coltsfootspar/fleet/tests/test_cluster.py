"""Tests of the replicas of a fleet, with real sockets and data folders."""

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
from coltsfootspar.membership import open_udp_port
from coltsfootspar.relay import HeaderNames
from coltsfootspar.replication import create_replication_client, open_disk
from coltsfootspar.replication.commands import ReplaceRoutes
from coltsfootspar.replication.identity import save_document
from coltsfootspar.replication.leadership import Leadership
from coltsfootspar.routes import RouteTable, encode_routes
from coltsfootspar.routing import create_peer_links
from coltsfootspar.settings.fleet import FleetReplicaSettings
from coltsfootspar.timers import create_timer_service
from coltsfootspar.wire import Address

PEER_PORT, METRICS_PORT, CONTROL_PORT = 17620, 17621, 17622
TIMEOUT_SECONDS = 40


@attrs.frozen
class StubAdapter:
    """Adapter that decodes ``/get`` as a query and all else as a change of routes."""

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
    """Replica processes on loopback addresses with equal ports.

    :param prefix: first three bytes of the addresses; the last is the host's number.
    """

    nursery: trio.Nursery
    folder: object
    prefix: str
    host_losses: int = 1
    scopes: dict[int, trio.CancelScope] = attrs.field(factory=dict)
    stop_requests: dict[int, trio.Event] = attrs.field(factory=dict)
    processes: dict[int, FleetReplica] = attrs.field(factory=dict)
    stopped_events: dict[int, trio.Event] = attrs.field(factory=dict)

    def get_host(self, number: int) -> str:
        return f"{self.prefix}.{number}"

    def get_folder(self, number: int):
        return self.folder / str(number)

    async def start(self, number: int, *, seeds=(1, 2, 3), is_first: bool = False):
        """Starts the replica process of a host."""
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
            host_losses=self.host_losses,
            data_folder=str(self.get_folder(number)),
            is_first_start=is_first,
        )
        self.stopped_events[number] = trio.Event()
        self.stop_requests[number] = trio.Event()
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
                process = FleetReplica(
                    settings, StubAdapter(), membership, timers, source
                )
                self.processes[number] = process
                await process.run(self.stop_requests[number].wait)
        self.stopped_events[number].set()

    async def kill(self, number: int, *, wipe: bool = False) -> None:
        """Stops a process without a drain.

        :param wipe: deletes its data folder as well.
        """
        self.scopes[number].cancel()
        await self.stopped_events[number].wait()
        del self.processes[number]
        if wipe:
            shutil.rmtree(self.get_folder(number))

    async def stop(self, number: int) -> None:
        """Stops a process as planned."""
        self.stop_requests[number].set()
        with trio.fail_after(TIMEOUT_SECONDS):
            await self.stopped_events[number].wait()
        del self.processes[number]

    def find_leader(self) -> int:
        """Returns the host of the leader."""
        return next(
            number
            for number, process in self.processes.items()
            if process._replica is not None
            and process._replica.core.leader_term is not None
        )

    async def change_routes(self, version: int, base: int, digest: bytes = b"d"):
        """Replaces the routes through any replica."""
        table = RouteTable(version, base)
        command = ReplaceRoutes(version, base, digest, encode_routes(table))
        return await self._use_client(
            lambda client: client.replace_routes(command, TIMEOUT_SECONDS)
        )

    async def read_version(self) -> int:
        """Reads the version of the routes through any replica."""
        table = await self._use_client(
            lambda client: client.read_routes(TIMEOUT_SECONDS)
        )
        return table.version

    async def _use_client(self, use):
        """Calls ``use`` with a client that reaches the holders of all seats."""
        known = {}
        for process in self.processes.values():
            known.update(process.seats.addresses)
        process = next(iter(self.processes.values()))
        identity = create_fleet_identity(process.settings, "client", "client")

        def resolve_address(seat):
            for number, other in self.processes.items():
                replica = other._replica
                is_holder = replica is not None and replica.core.replica_id == seat
                if is_holder and not self.scopes[number].cancel_called:
                    return other.address
            return None

        async with trio.open_nursery() as nursery:
            links = create_peer_links(identity, resolve_address)
            nursery.start_soon(links.run)
            client = create_replication_client(sorted(known), links, random.Random(1))
            result = await use(client)
            nursery.cancel_scope.cancel()
        return result

    async def wait_admitted(self, *numbers: int) -> None:
        """Waits until the replicas of hosts are admitted."""
        with trio.fail_after(TIMEOUT_SECONDS):
            # Replicas do not announce their admission, so it is polled.
            while not all(  # noqa: ASYNC110
                self._is_admitted(number) for number in numbers
            ):
                await trio.sleep(0.05)

    async def wait_seats_taken(self, count: int) -> None:
        """Waits until as many hosts hold a seat."""
        with trio.fail_after(TIMEOUT_SECONDS):
            while (  # noqa: ASYNC110
                sum(self._is_admitted(number) for number in self.processes) < count
            ):
                await trio.sleep(0.05)

    def find_spare(self) -> int:
        """Returns a host without a seat."""
        return next(n for n in self.processes if not self._is_admitted(n))

    def _is_admitted(self, number: int) -> bool:
        process = self.processes.get(number)
        replica = process._replica if process is not None else None
        return replica is not None and replica.core.identity.is_admitted


@pytest.fixture
async def cluster(tmp_path, worker_id):
    # The ports are fixed, so each pytest worker uses its own loopback network.
    digits = "".join(c for c in worker_id if c.isdigit()) or "0"
    async with trio.open_nursery() as nursery:
        yield Cluster(nursery, tmp_path, f"127.9.{int(digits) + 1}")
        nursery.cancel_scope.cancel()


async def form_cluster(cluster, count=4):
    for number in range(1, count + 1):
        await cluster.start(number, is_first=True)
    await cluster.wait_admitted(1, 2, 3)
    result = await cluster.change_routes(1, 0)
    assert result.status == "applied"


async def test_first_start_forms_one_cluster(cluster):
    """Guards against two clusters, or a fourth host that votes without a seat."""
    await form_cluster(cluster)
    seats = {cluster.processes[n]._replica.core.replica_id for n in (1, 2, 3)}
    assert len(seats) == 3
    assert cluster.processes[4]._replica is None
    assert await cluster.read_version() == 1


async def test_one_of_two_racing_changes_wins(cluster):
    """Guards against acknowledging two changes with the same base version."""
    await form_cluster(cluster, 3)
    first = await cluster.change_routes(2, 1, b"x")
    second = await cluster.change_routes(3, 1, b"y")
    same = await cluster.change_routes(2, 1, b"x")
    other = await cluster.change_routes(2, 1, b"z")
    statuses = [r.status.value for r in (first, second, same, other)]
    assert statuses == ["applied", "conflict", "applied", "conflict"]


async def test_wiped_host_gets_its_seat_back(cluster):
    """Guards against losing an acknowledged change together with a disk."""
    await form_cluster(cluster, 3)
    await cluster.kill(2, wipe=True)
    await cluster.change_routes(2, 1)
    await cluster.start(2)
    await cluster.wait_admitted(2)
    await cluster.kill(1)
    assert await cluster.read_version() == 2


async def test_new_host_takes_the_seat_of_a_lost_one(cluster):
    """Guards against a cluster that loses its quorum when a second host is lost."""
    await form_cluster(cluster, 3)
    await cluster.kill(1, wipe=True)
    await cluster.start(5, seeds=(2, 3, 5))
    await cluster.wait_admitted(5)
    # The lost host may be cut off and still lend tokens.
    assert cluster.processes[5]._has_former_holder
    await cluster.kill(3)
    await cluster.change_routes(2, 1)
    assert await cluster.read_version() == 2


@pytest.mark.parametrize("role", ["leader", "follower"])
async def test_planned_stop_hands_the_seat_over(cluster, role):
    """Guards against a seat that stays empty for seconds after a planned stop.

    One more lost disk in this time left one replica with a vote, for good.
    """
    await form_cluster(cluster, 4)
    spare = cluster.find_spare()
    leader = cluster.find_leader()
    holders = [number for number in (1, 2, 3, 4) if number != spare]
    follower = next(number for number in holders if number != leader)
    stopped = leader if role == "leader" else follower
    seat = cluster.processes[stopped]._replica.core.replica_id
    spare_address = str(cluster.processes[spare].address)
    await cluster.stop(stopped)
    # Committed before the process has ended.
    core = cluster.processes[cluster.find_leader()]._replica.core
    assert core.state.seats[seat] == spare_address
    await cluster.wait_admitted(spare)
    # The former holder spends nothing any more.
    assert not cluster.processes[spare]._has_former_holder
    assert (await cluster.change_routes(2, 1)).status == "applied"
    lost = next(number for number in holders if number != stopped)
    await cluster.kill(lost, wipe=True)
    await cluster.start(lost)
    await cluster.wait_admitted(lost)
    assert await cluster.read_version() == 2


async def test_planned_stop_does_not_wait_for_a_host_that_is_not_there(cluster):
    """Guards against a replica that is killed at the end of its grace time."""
    await form_cluster(cluster, 3)
    started_at = trio.current_time()
    await cluster.stop(cluster.find_leader())
    assert trio.current_time() - started_at < 4
    assert (await cluster.change_routes(2, 1)).status == "applied"


async def test_host_that_has_handed_its_seat_over_returns_as_a_spare(cluster):
    """Guards against two holders of a seat after a planned restart."""
    await form_cluster(cluster, 4)
    spare = cluster.find_spare()
    stopped = cluster.find_leader()
    await cluster.stop(stopped)
    await cluster.wait_admitted(spare)
    await cluster.start(stopped)
    with trio.fail_after(TIMEOUT_SECONDS):
        while (cluster.get_folder(stopped) / "identity").exists():  # noqa: ASYNC110
            await trio.sleep(0.05)
    assert cluster.processes[stopped]._replica is None
    assert (await cluster.change_routes(2, 1)).status == "applied"


async def test_returning_host_finds_its_seat_taken(cluster):
    """Guards against two hosts that vote with the same seat."""
    await form_cluster(cluster, 4)
    await cluster.kill(1)
    await cluster.wait_admitted(4)
    await cluster.start(1)
    await cluster.wait_admitted(1)
    with trio.fail_after(TIMEOUT_SECONDS):
        process = cluster.processes[1]
        while process.seats.find_seat(str(process.address)):  # noqa: ASYNC110
            await trio.sleep(0.1)
    assert await cluster.read_version() == 1


async def test_host_that_lost_its_seat_does_not_bootstrap_again(cluster):
    """Guards against a host that bootstraps again after its seat was given away.

    It returned as an initial replica with a vote, because its settings still had
    ``is_first_start``.
    """
    await form_cluster(cluster, 4)
    await cluster.kill(1)
    await cluster.wait_admitted(4)
    await cluster.start(1, is_first=True)
    await cluster.wait_admitted(1)
    with trio.fail_after(TIMEOUT_SECONDS):
        process = cluster.processes[1]
        while process._replica is not None:  # noqa: ASYNC110
            await trio.sleep(0.1)
    await trio.sleep(2)
    assert process._replica is None


async def test_routes_are_served_before_there_is_a_leader(cluster):
    """Guards against nodes that have no routes until a leader is elected."""
    await form_cluster(cluster, 3)
    with trio.fail_after(TIMEOUT_SECONDS):
        cache = cluster.processes[1]._replica._route_cache
        while cache.routes.table.version == 0:  # noqa: ASYNC110
            await trio.sleep(0.05)
    for number in (1, 2, 3):
        await cluster.kill(number)
    await cluster.start(1)
    await cluster.wait_admitted(1)

    async def watch(client):
        return (await anext(client.watch_routes())).version

    with trio.fail_after(TIMEOUT_SECONDS):
        assert await cluster._use_client(watch) == 1


async def test_cluster_restarts_with_other_seeds(cluster):
    """Guards against replicas that cannot reach each other without the first seeds."""
    await form_cluster(cluster, 3)
    for number in (1, 2, 3):
        await cluster.kill(number)
    for number in (1, 2, 3):
        await cluster.start(number, seeds=(7, 8, 9))
    await cluster.wait_admitted(1, 2, 3)
    assert await cluster.read_version() == 1


async def replace_two_hosts(cluster):
    """Replaces the hosts 1 and 2 by 4 and 5, whose seeds are those of the moment."""
    await form_cluster(cluster, 3)
    await cluster.kill(1)
    await cluster.start(4, seeds=(1, 2, 3))
    await cluster.wait_admitted(4)
    await cluster.kill(2)
    await cluster.start(5, seeds=(2, 3, 4))
    await cluster.wait_admitted(5)


async def test_second_successor_reaches_the_replica_that_was_never_replaced(cluster):
    """Guards against a successor with all entries that cannot get the third vote.

    It took the seeds of its own start for the first holders of the seats.
    """
    await replace_two_hosts(cluster)
    await cluster.kill(3)
    assert (await cluster.change_routes(2, 1)).status == "applied"
    await cluster.kill(4, wipe=True)
    await cluster.kill(5)
    for number, seeds in ((3, (1, 2, 3)), (5, (2, 3, 4)), (4, (1, 2, 3))):
        await cluster.start(number, seeds=seeds)
    await cluster.wait_admitted(3, 5)
    assert await cluster.read_version() == 2


@pytest.mark.parametrize("seeds", [(2, 3), (3,), (1, 2, 3), (7, 8)])
async def test_disks_hold_their_seats_whatever_the_seeds_are(cluster, seeds):
    """Guards against a replica that asks for a seat as if it were new.

    Its settings named fewer seeds than the cluster has seats, since a host had just
    been lost, and it looked for the seat on its disk only among as many.
    """
    await form_cluster(cluster, 3)
    assert (await cluster.change_routes(2, 1)).status == "applied"
    await cluster.kill(1)
    await cluster.start(4)
    await trio.sleep(0.4)
    for number in (2, 3, 4):
        await cluster.kill(number)
    for number in (2, 3, 4):
        await cluster.start(number, seeds=seeds)
    await cluster.wait_admitted(2, 3)
    assert await cluster.read_version() == 2
    if set(seeds) & {2, 3}:
        await cluster.wait_admitted(4)
    assert (await cluster.change_routes(3, 2)).status == "applied"


async def test_single_disk_is_no_majority(cluster):
    """Guards against a replica with one seed that takes itself for the cluster."""
    await form_cluster(cluster, 3)
    for number in (1, 2, 3):
        await cluster.kill(number)
    # Written by an earlier version for a replica that joined with one seed.
    (cluster.get_folder(2) / "seats").unlink()
    await cluster.start(2, seeds=(2,))
    await cluster.wait_admitted(2)
    with pytest.raises(ExceptionGroup) as raised:
        await cluster._use_client(lambda client: client.read_routes(3.0))
    assert raised.group_contains(NoQuorumError)
    await cluster.start(3, seeds=(2,))
    await cluster.wait_admitted(3)
    assert await cluster.read_version() == 1


async def test_cluster_of_one_seat_starts_again(cluster):
    """Guards against a single replica that waits for others after a restart."""
    await cluster.start(1, seeds=(1,), is_first=True)
    await cluster.wait_admitted(1)
    assert (await cluster.change_routes(1, 0)).status == "applied"
    await cluster.kill(1)
    await cluster.start(1, seeds=(1,))
    await cluster.wait_admitted(1)
    assert await cluster.read_version() == 1


async def test_each_holder_of_a_new_cluster_is_recorded(cluster):
    """Guards against a host that joins and learns only of the seats given anew."""
    await form_cluster(cluster, 3)
    core = cluster.processes[cluster.find_leader()]._replica.core
    with trio.fail_after(TIMEOUT_SECONDS):
        while len(core.state.seats) < 3:  # noqa: ASYNC110
            await trio.sleep(0.05)
    addresses = {str(cluster.processes[number].address) for number in (1, 2, 3)}
    assert set(core.state.seats.values()) == addresses


async def test_wrong_saved_address_is_found_in_the_membership(cluster, monkeypatch):
    """Guards against disks of earlier versions, whose saved holders may be wrong."""
    monkeypatch.setattr(Leadership, "_record_address", lambda *arguments: None)
    await form_cluster(cluster, 3)
    seat = cluster.processes[3]._replica.core.replica_id
    await cluster.kill(3)
    assert (await cluster.change_routes(2, 1)).status == "applied"
    await cluster.kill(1)
    await cluster.kill(2)
    disk = open_disk(str(cluster.get_folder(1)))
    wrong = {"seat-1": "", "seat-2": "", "seat-3": ""} | {seat: "127.9.9.9:9"}
    await save_document(disk, "seats", wrong)
    await disk.close()
    # Only host 1 has the newest entry.
    await cluster.start(1)
    await cluster.start(3)
    await cluster.wait_admitted(1, 3)
    assert await cluster.read_version() == 2


async def test_disk_that_moves_to_another_address_keeps_its_seat(cluster):
    """Guards against a host that clears its disk, since its seat is recorded at the
    address that it had."""
    await form_cluster(cluster, 3)
    seat = cluster.processes[3]._replica.core.replica_id
    await cluster.kill(3)
    cluster.get_folder(3).rename(cluster.get_folder(6))
    await trio.sleep(0.5)
    await cluster.start(6, seeds=(1, 2, 3))
    await cluster.wait_admitted(6)
    assert (await cluster.change_routes(2, 1)).status == "applied"
    core = cluster.processes[cluster.find_leader()]._replica.core
    with trio.fail_after(TIMEOUT_SECONDS):
        while core.state.seats[seat] != str(cluster.processes[6].address):  # noqa: ASYNC110
            await trio.sleep(0.05)
    assert cluster.processes[6]._replica.core.replica_id == seat
    await cluster.kill(2)
    assert (await cluster.change_routes(3, 2)).status == "applied"


async def test_minority_serves_no_reads(cluster):
    """Guards against a stale read from a replica without a quorum."""
    await form_cluster(cluster, 3)
    await cluster.kill(1)
    await cluster.kill(2)
    with pytest.raises(ExceptionGroup) as raised:
        await cluster._use_client(lambda client: client.read_routes(1.0))
    assert raised.group_contains(NoQuorumError)


async def form_cluster_of_five_seats(cluster, hosts=6):
    cluster.host_losses = 2
    for number in range(1, hosts + 1):
        await cluster.start(number, is_first=True)
    await cluster.wait_admitted(1, 2, 3)
    await cluster.wait_seats_taken(5)
    result = await cluster.change_routes(1, 0)
    assert result.status == "applied"


async def test_two_wiped_disks_and_a_power_loss_lose_no_change(cluster):
    """Guards against a cluster that has no majority left after two lost disks."""
    await form_cluster_of_five_seats(cluster, hosts=5)
    assert (await cluster.change_routes(2, 1)).status == "applied"
    for number in (1, 2, 3, 4, 5):
        await cluster.kill(number, wipe=number in (1, 2))
    for number in (1, 2, 3, 4, 5):
        await cluster.start(number)
    await cluster.wait_admitted(1, 2, 3, 4, 5)
    assert await cluster.read_version() == 2


async def test_two_hosts_lost_at_once_leave_a_majority(cluster):
    """Guards against changes that wait while two hosts are down."""
    await form_cluster_of_five_seats(cluster, hosts=5)
    await cluster.kill(1)
    await cluster.kill(2)
    assert (await cluster.change_routes(2, 1)).status == "applied"
    assert await cluster.read_version() == 2


async def test_sixth_host_takes_the_seat_of_a_lost_one(cluster):
    """Guards against a seat that stays empty though a host without one is running."""
    await form_cluster_of_five_seats(cluster)
    lost = next(n for n in (1, 2, 3) if cluster.processes[n]._replica is not None)
    spare = cluster.find_spare()
    await cluster.kill(lost, wipe=True)
    await cluster.wait_admitted(spare)
    holders = [n for n in cluster.processes if n != spare]
    for number in holders[:2]:
        await cluster.kill(number)
    assert (await cluster.change_routes(2, 1)).status == "applied"


async def test_change_waits_until_it_is_on_more_disks_than_may_be_lost(cluster):
    """Guards against an acknowledgement on two disks while the cluster forms."""
    cluster.host_losses = 2
    for number in (1, 2):
        await cluster.start(number, is_first=True)
    await cluster.wait_admitted(1, 2)
    with trio.move_on_after(4):
        await cluster.change_routes(1, 0)
        pytest.fail("acknowledged on two disks")
    await cluster.start(3, is_first=True)
    assert (await cluster.change_routes(1, 0)).status == "applied"
