"""Tests of the look-up of the host that holds a seat."""

import trio

from coltsfootspar.fleet.holders import RETRY_WINDOW_SECONDS, create_holder_resolver
from coltsfootspar.wire import Address

SAVED, ANNOUNCED = Address("10.0.0.1", 1), Address("10.0.0.2", 1)


async def test_addresses_are_tried_in_turn(autojump_clock):
    """Guards against a replica that is looked for at one wrong address for good."""
    resolver = create_holder_resolver(lambda seat: (SAVED, None, ANNOUNCED, SAVED))
    resolved = [resolver.resolve("seat-1") for _ in range(3)]
    assert resolved == [SAVED, ANNOUNCED, SAVED]
    await trio.sleep(RETRY_WINDOW_SECONDS)
    assert resolver.resolve("seat-1") == SAVED
    assert resolver.resolve("seat-2") == SAVED


async def test_unknown_address_is_no_address(autojump_clock):
    resolver = create_holder_resolver(lambda seat: (None, None))
    assert resolver.resolve("seat-1") is None
