"""Concurrent clients must observe linearizable histories under random failures."""

import collections
import contextlib
import itertools
import random

import attrs
import pytest
import trio

from coltsfootspar.calls import CallContext, CallReply, CallRequest, Outcome, Priority
from coltsfootspar.claims import create_once_executor
from coltsfootspar.exceptions import (
    ClaimError,
    NoQuorumError,
    RoutingError,
)
from coltsfootspar.replication import (
    Change,
    ChangeResult,
    ChangeStatus,
    ReplicaOptions,
)
from coltsfootspar.replication.tests.harness import list_contents, open_cluster
from coltsfootspar.replication.tests.histories import Operation, check_cells
from coltsfootspar.table import CellEdit, parse_row_key
from coltsfootspar.table.rows import create_row
from coltsfootspar.testing import LinkState

DURATION = 12.0
ROWS = ("specs GET /specs/{id}", "certs POST /certs")
ONCE_ROW = create_row(parse_row_key("payouts POST /payouts"), execution="once")


class Schedule:
    """Random clients and failures, generated from one seed.

    :param runs: number of executions by idempotency key.
    :param lost_disks: replicas with a new disk that are not admitted yet.
    """

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.random = random.Random(seed)
        self.end = trio.current_time() + DURATION
        self.operations = []
        self.seen_versions = collections.defaultdict(list)
        self.runs = collections.Counter()
        self.certain_runs = collections.Counter()
        self.not_run = set()
        self.lost_disks = set()
        self.request_ids = itertools.count()

    @property
    def is_over(self):
        return trio.current_time() >= self.end

    async def run_operator(self, number):
        """Edits cells until the end, mostly expecting the last observed version."""
        client = self.cluster.create_client(f"operator-{number}", timeout=5)
        versions = dict.fromkeys(ROWS, 0)
        for count in itertools.count():
            if self.is_over:
                return
            row = self.random.choice(ROWS)
            is_blind = self.random.random() < 0.2
            expected = None if is_blind else versions[row]
            value = number * 100 + count
            edit = CellEdit(row, "concurrency_limit", value, expected)
            change_id = f"{number}-{count}"
            operation = Operation(change_id, edit, trio.current_time())
            self.operations.append(operation)
            await self.send_change(client, operation, number)
            if operation.result is not None:
                versions[row] = operation.result.version
            await trio.sleep(self.random.uniform(0, 0.4))

    async def send_change(self, client, operation, number):
        """Sends a change, and resends it with the same id when no reply arrives."""
        for _ in range(self.random.randint(1, 3)):
            try:
                result = await client.edit_cells(
                    [operation.edit],
                    f"operator-{number}",
                    change_id=operation.change_id,
                )
            except NoQuorumError:
                continue
            operation.result = result
            operation.end = trio.current_time()
            assert result.status is not ChangeStatus.INVALID
            return

    async def run_reader(self, number):
        order = self.cluster.replica_ids.copy()
        self.random.shuffle(order)
        client = self.cluster.create_client(f"reader-{number}", order=order)
        async for table in client.watch_table():
            self.seen_versions[number].append(table.version)

    async def run_requests(self, executor, number):
        """Sends requests with a few keys, so that nodes compete for the claims."""
        while not self.is_over:
            key = f"key-{self.random.randint(1, 12)}"
            context = CallContext(
                "0" * 32, "", trio.current_time() + 4, Priority(5, 0), 0
            )
            context = attrs.evolve(context, idempotency_key=key)
            request = CallRequest("payouts", "POST", "/", (), key.encode(), context)
            await self.send_request(executor, request, key)
            await trio.sleep(self.random.uniform(0, 0.6))

    async def send_request(self, executor, request, key):
        attempt = next(self.request_ids)
        executed_attempts = []

        async def run():
            await trio.sleep(self.random.uniform(0, 0.5))
            if self.random.random() < 0.2:
                raise RoutingError("no connection", may_have_run=False)
            executed_attempts.append(attempt)
            self.runs[key] += 1
            if self.random.random() < 0.1:
                raise RoutingError("reset", may_have_run=True)
            return CallReply(200, body=key.encode(), outcome=Outcome.RAN)

        seconds = 0.3 if self.random.random() < 0.1 else 60
        with trio.move_on_after(seconds):
            try:
                reply = await executor.execute(request, ONCE_ROW, run)
                assert reply.body == key.encode()
                assert self.runs[key] == 1
            except (ClaimError, RoutingError) as error:
                assert error.may_have_run or not executed_attempts
                if isinstance(error, ClaimError):
                    assert not executed_attempts

    async def run_node(self, name):
        """Runs a node that restarts at random times with a higher incarnation."""
        for incarnation in itertools.count(1):
            executor = create_once_executor(
                name,
                self.cluster.create_client(name, timeout=4),
                random.Random(self.random.getrandbits(32)),
                incarnation=incarnation,
            )
            with trio.move_on_after(self.random.uniform(3, 12)):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(executor.run)
                    for number in range(3):
                        nursery.start_soon(self.run_requests, executor, number)
            if self.is_over:
                return

    async def inject_failures(self):
        """Starts random failures, some of which overlap."""
        actions = [
            self.crash_one,
            self.crash_one,
            self.isolate_one,
            self.isolate_one,
            self.cut_one_way,
            self.cut_one_way,
            self.replace_one_disk,
            self.replace_one_disk,
            self.crash_all,
        ]
        async with trio.open_nursery() as nursery:
            while not self.is_over:
                await trio.sleep(self.random.uniform(0.1, 2))
                nursery.start_soon(self.random.choice(actions))

    def pick_replica_id(self):
        return self.random.choice(self.cluster.replica_ids)

    async def crash_one(self):
        name = self.pick_replica_id()
        if name in self.cluster.replicas:
            await self.cluster.crash(name)
            await trio.sleep(self.random.uniform(0, 4))
            await self.cluster.start(name)

    async def crash_all(self):
        names = list(self.cluster.replicas)
        for name in names:
            await self.cluster.crash(name)
        await trio.sleep(self.random.uniform(0, 2))
        for name in names:
            await self.cluster.start(name)

    async def isolate_one(self):
        name = self.pick_replica_id()
        clients = {"operator-0", "node-0"} if self.random.random() < 0.5 else set()
        others = {*self.cluster.replica_ids, *clients}
        self.cluster.isolate(name, others)
        await trio.sleep(self.random.uniform(0, 8))
        self.cluster.rejoin(name, others)

    async def cut_one_way(self):
        pair = self.random.sample(self.cluster.replica_ids, 2)
        link = attrs.evolve(self.cluster.network.default, is_cut=True)
        self.cluster.network.set_link(*pair, link)
        await trio.sleep(self.random.uniform(0, 8))
        self.cluster.network.set_link(*pair, self.cluster.network.default)

    async def replace_one_disk(self):
        """Replaces a disk while only a minority of the disks is lost."""
        for name in list(self.lost_disks):
            replica = self.cluster.replicas.get(name)
            if replica is not None and replica.core.identity.is_admitted:
                self.lost_disks.discard(name)
        name = self.pick_replica_id()
        max_lost_disks = (len(self.cluster.replica_ids) - 1) // 2
        if name not in self.cluster.replicas:
            return
        if len(self.lost_disks | {name}) <= max_lost_disks:
            self.lost_disks.add(name)
            await self.cluster.replace_disk(name)

    def check(self, changes, table):
        """Checks the observations of the clients against the final state."""
        check_cells(self.operations, changes)
        for versions in self.seen_versions.values():
            assert versions == sorted(set(versions))
            assert versions[-1] == table.version
        assert max(self.runs.values(), default=0) <= 1


@contextlib.asynccontextmanager
async def open_schedule(seed):
    size = 5 if seed % 4 == 3 else 3
    options = ReplicaOptions(snapshot_entries=30, snapshot_log_ratio=0)
    async with open_cluster(size, seed, options) as cluster:
        source = random.Random(seed)
        cluster.network.default = LinkState(
            delay=source.choice([0, 0.001, 0.005]),
            jitter=source.choice([0, 0.002, 0.02]),
            loss=source.choice([0, 0, 0.02, 0.1]),
            duplication=source.choice([0, 0.1]),
        )
        yield Schedule(cluster, seed)


async def test_generated_schedule(seed, autojump_clock):
    async with open_schedule(seed) as schedule:
        cluster = schedule.cluster
        async with trio.open_nursery() as readers:
            for number in range(2):
                readers.start_soon(schedule.run_reader, number)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(schedule.inject_failures)
                for number in range(3):
                    nursery.start_soon(schedule.run_operator, number)
                for number in range(2):
                    nursery.start_soon(schedule.run_node, f"node-{number}")
            cluster.network.default = LinkState()
            cluster.network._links.clear()
            client = cluster.create_client(timeout=60)
            edit = CellEdit(ROWS[0], "concurrency_limit", 1)
            final = Operation("final", edit, trio.current_time())
            schedule.operations.append(final)
            await schedule.send_change(client, final, 9)
            await cluster.wait_equal()
            changes = await client.history(limit=10_000)
            table = await client.read_table()
            await trio.sleep(8)
            readers.cancel_scope.cancel()
        # Claims may have expired meanwhile, which appends further entries.
        await cluster.wait_equal()
        assert final.result is not None and not cluster.errors
        schedule.check(changes, table)
        contents = [list_contents(r.core.state) for r in cluster.replicas.values()]
        assert len(contents) == len(cluster.replica_ids)
        assert all(content == contents[0] for content in contents)


def create_history(*steps):
    """Creates operations and the replicated history from tuples.

    :param steps: change id, expected version, start, end, result version and
        status of each operation; the value of a write is its change id as a number.
    """
    operations, changes = [], []
    for change_id, expected, start, end, version, status in steps:
        edit = CellEdit(ROWS[0], "weight", int(change_id), expected)
        result = ChangeResult(ChangeStatus(status), version)
        if status == "applied":
            changes.append(Change(version, 0, change_id, "ana", (edit,)))
        else:
            writes = {c.version: c.edits[0].value for c in changes}
            result = attrs.evolve(result, value=writes.get(version))
        operations.append(Operation(change_id, edit, start, end, result))
    return operations, changes


FIRST = ("1", 0, 0, 1, 5, "applied")
SECOND = ("2", 5, 2, 3, 6, "applied")


def test_checker_accepts_a_linearizable_history():
    check_cells(*create_history(FIRST, SECOND, ("3", 5, 2, 4, 6, "conflict")))


@pytest.mark.parametrize(
    "steps",
    [
        (FIRST, ("2", 4, 2, 3, 6, "applied")),
        (FIRST, ("2", None, -2, -1, 6, "applied")),
        (FIRST, SECOND, ("3", 4, 4, 5, 5, "conflict")),
        (FIRST, SECOND, ("3", 4, 0, 1.5, 6, "conflict")),
        (FIRST, SECOND, ("3", 6, 4, 5, 6, "conflict")),
    ],
    ids=["wrong-version", "out-of-order", "stale", "future", "false-conflict"],
)
def test_checker_rejects_a_history_that_is_not_linearizable(steps):
    with pytest.raises(AssertionError):
        check_cells(*create_history(*steps))


def test_checker_rejects_a_lost_change():
    operations, changes = create_history(FIRST, SECOND)
    with pytest.raises(AssertionError):
        check_cells(operations, changes[:1])
