"""Tests of the memory account: who waits and who gives way."""

import trio

from coltsfootspar.memory import (
    ConnectionCount,
    MemoryAccount,
    MemoryLimits,
    create_memory_account,
)

BUDGET_BYTES = 1_000_000


class Client:
    """A connection of the account that records its eviction."""

    def __init__(self, account):
        self.is_evicted = False
        self.holding = account.open(self._evict)

    def _evict(self):
        self.is_evicted = True


def create_clients(count):
    account = MemoryAccount(BUDGET_BYTES)
    return account, [Client(account) for _ in range(count)]


async def test_stalled_client_gives_way_before_one_that_sends(autojump_clock):
    account, (stalled, small, sending, new) = create_clients(4)
    stalled.holding.charge(500_000)
    small.holding.charge(20_000)
    await trio.sleep(5)
    sending.holding.charge(400_000)
    new.holding.charge(200_000)
    assert [c.is_evicted for c in (stalled, small, sending, new)] == [
        True,
        False,
        False,
        False,
    ]
    assert account.held_bytes == 620_000


async def test_youngest_gives_way_when_all_send(autojump_clock):
    """Guards against work that is lost again and again under a crowd of uploads."""
    account, clients = create_clients(3)
    for client in clients:
        client.holding.charge(300_000)
        await trio.sleep(0.1)
    clients[0].holding.charge(300_000)
    assert [client.is_evicted for client in clients] == [False, False, True]
    assert account.evictions == 1


async def test_trickle_counts_as_a_stall(autojump_clock):
    _, (trickling, sending) = create_clients(2)
    trickling.holding.charge(600_000)
    for _ in range(5):
        await trio.sleep(0.5)
        trickling.holding.charge(10)
    sending.holding.charge(600_000)
    assert trickling.is_evicted
    assert not sending.is_evicted


async def test_request_that_is_served_or_alone_keeps_its_body(autojump_clock):
    """Guards against a refusal of a single request, and of one that runs."""
    account, (served, new) = create_clients(2)
    served.holding.charge(3 * BUDGET_BYTES)
    assert not served.is_evicted
    served.holding.is_settled = True
    await trio.sleep(5)
    new.holding.charge(1_000)
    assert (served.is_evicted, new.is_evicted) == (False, True)
    served.holding.release()
    assert account.held_bytes == 0


async def test_new_body_waits_for_room_and_is_refused_without(autojump_clock):
    _, (served, waiting, refused) = create_clients(3)
    served.holding.charge(800_000)
    served.holding.is_settled = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(waiting.holding.wait_for_room)
        await trio.sleep(0.5)
        served.holding.release()
    assert not waiting.is_evicted
    served.holding.charge(800_000)
    served.holding.is_settled = True
    await refused.holding.wait_for_room()
    assert refused.is_evicted


async def test_response_that_is_not_read_is_a_stall(autojump_clock):
    account, (reader, other) = create_clients(2)
    reader.holding.charge(700_000)
    await trio.sleep(0.9)
    reader.holding.record_progress(32_768, trio.current_time())
    await trio.sleep(0.9)
    other.holding.charge(200_000)
    assert not reader.is_evicted
    await trio.sleep(0.9)
    other.holding.charge(200_000)
    assert reader.is_evicted
    reader.holding.discharge(700_000)
    assert account.held_bytes == 400_000


def test_budget_leaves_room_for_the_process():
    """Guards against a budget that only the smallest or the largest host can keep."""
    budgets = [
        create_memory_account(MemoryLimits(memory_mb=size)).budget_bytes / 1e6
        for size in (50, 200, 300)
    ]
    assert 8 <= budgets[0] < budgets[1] < budgets[2]
    assert budgets[1] < 200 - 64
    assert budgets[2] < 300 - 64


class Connection:
    """An accepted connection that records its end."""

    def __init__(self, count, waiting_since, *, is_idle=True, is_stalled=False):
        self.is_idle = is_idle
        self.is_stalled = is_stalled
        self.waiting_since = waiting_since
        self.is_closed = False
        count.add(self)

    def close_idle(self):
        self.is_closed = True
        return True

    def close_stalled(self, now):
        self.is_closed = self.is_stalled
        return self.is_stalled


async def test_stalled_connection_makes_room():
    """Guards against peers that stop in a request and shut all others out."""
    count = ConnectionCount(descriptors=100)
    connections = [
        Connection(count, 0.0, is_idle=False, is_stalled=number == 30)
        for number in range(50)
    ]
    assert count.has_room(is_peer=False)
    assert [connection.is_closed for connection in connections].count(True) == 1
    assert connections[30].is_closed
    assert count.closed_stalled == 1
    for _ in range(2):
        Connection(count, 0.0, is_idle=False, is_stalled=True)
    assert not count.has_room(is_peer=False)


def test_longest_idle_connection_makes_room():
    count = ConnectionCount(descriptors=4)
    busy = Connection(count, 0.0, is_idle=False)
    idle = Connection(count, 1.0)
    assert count.has_room(is_peer=False)
    assert (busy.is_closed, idle.is_closed) == (False, True)


async def test_room_is_kept_for_peers():
    """Guards against callers that cut a node off from the other nodes."""
    count = ConnectionCount(descriptors=10)
    for _ in range(5):
        Connection(count, 0.0, is_idle=False)
    assert not count.has_room(is_peer=False)
    assert count.has_room(is_peer=True)
    assert count.refused == 1
