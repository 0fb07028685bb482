"""Tests of the memory that requests sent ahead on one connection hold."""

import math

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from coltsfootspar.memory import MemoryAccount
from coltsfootspar.relay import AheadLimits

from .test_requests_ahead import CLOSE, AheadHarness, encode, encode_paths

# Two bodies and three requests are less than what makes the process wait.
_BUDGET_BYTES = 120_000
_BODY_BYTES = 30_000


@pytest.fixture
async def ahead(harness):
    ahead = AheadHarness()
    yield ahead
    if ahead.stream is not None:
        await ahead.stream.aclose()


@pytest.fixture
def account():
    return MemoryAccount(_BUDGET_BYTES)


def fill(account: MemoryAccount) -> None:
    """Holds the whole budget for a request that is being served."""
    other = account.open(lambda: None)
    other.is_settled = True
    other.charge(account.budget_bytes)


async def test_end_of_a_request_releases_only_what_it_held(harness, ahead, account):
    """Guards against memory of other requests that is no longer counted."""

    async def answer(exchange):
        await exchange.buffer_body(_BODY_BYTES)
        if exchange.request.target == b"/2":
            await trio.sleep_forever()
        await ahead.hold_first(exchange)

    await ahead.start(harness.nursery, answer, account=account)
    await ahead.stream.send_all(encode("/1"))
    await ahead.wait_started(1)
    for path in ("/2", "/3"):
        await ahead.stream.send_all(encode(path, body=b"x" * _BODY_BYTES))
    await ahead.wait_started(3)
    assert account.held_bytes >= 2 * _BODY_BYTES
    ahead.release.set()
    with trio.fail_after(20):
        assert b"/1" in await ahead.stream.receive_some()
    assert account.held_bytes >= 2 * _BODY_BYTES
    await ahead.stream.aclose()
    with trio.fail_after(20):
        while account.held_bytes:  # noqa: ASYNC110
            await trio.sleep(0.01)


async def test_kept_answers_beyond_the_budget_end_their_connection(
    harness, ahead, account
):
    """Guards against answers that wait for their turn without a bound."""

    async def answer(exchange):
        if exchange.request.target == b"/1":
            await trio.sleep_forever()
        await exchange.answer(200, [], b"x" * _BODY_BYTES)

    await ahead.start(harness.nursery, answer, account=account)
    await ahead.stream.send_all(encode_paths(5))
    assert await ahead.read_all() == []
    assert account.held_bytes == 0
    assert not ahead.server.exchanges


@pytest.mark.parametrize("is_split", [False, True])
async def test_nothing_is_started_ahead_in_a_full_process(
    harness, ahead, account, is_split
):
    """Guards against requests sent ahead that take memory from the others."""
    await ahead.start(harness.nursery, ahead.hold_first, account=account)
    fill(account)
    data = encode_paths(4)
    size = len(encode("/1")) if is_split else len(data)
    await ahead.stream.send_all(data[:size])
    await ahead.wait_started(1)
    await ahead.stream.send_all(data[size:])
    await wait_all_tasks_blocked(0.01)
    ahead.release.set()
    assert await ahead.read_all() == [(200, b"/1")]
    assert ahead.started == ["/1"]


async def test_evicted_input_is_not_read(harness, ahead):
    """Guards against a request behind dropped input, and against lost answers."""
    # With room for the heads that are parsed ahead.
    account = MemoryAccount(2 * _BUDGET_BYTES)
    await ahead.start(
        harness.nursery, ahead.hold_first, AheadLimits(requests=2), account
    )
    await ahead.stream.send_all(encode_paths(100))
    await ahead.wait_started(2)
    unread_bytes = account.held_bytes
    assert unread_bytes > len(encode_paths(100)) / 2
    fill(account)
    assert account.evictions == 1
    ahead.release.set()
    assert await ahead.read_all() == [(200, b"/1"), (200, b"/2")]
    assert ahead.started == ["/1", "/2"]


async def test_evicted_body_is_refused_in_its_turn(harness, ahead, account):
    """Guards against a refusal that overtakes an answer or ends the others."""

    async def answer(exchange):
        exchange.set_deadline(math.inf, lambda: exchange.answer(503, [], b""))
        await exchange.buffer_body(2 * _BODY_BYTES)
        await ahead.hold_first(exchange)

    await ahead.start(harness.nursery, answer, account=account)
    await ahead.stream.send_all(encode("/1"))
    await ahead.wait_started(1)
    data = encode("/2", CLOSE, body=b"x" * _BODY_BYTES)
    await ahead.stream.send_all(data[:-1])
    await ahead.wait_started(2)
    fill(account)
    await ahead.stream.send_all(data[-1:])
    ahead.release.set()
    assert await ahead.read_all() == [(200, b"/1"), (503, b"")]
