"""Long bodies on links between processes must count, and give way to others."""

import pytest
import trio
import trio.testing

from coltsfootspar.exceptions import LinkError
from coltsfootspar.memory import MemoryAccount
from coltsfootspar.wire import (
    ConnectionLimits,
    FrameKind,
    Identity,
    Message,
    create_connection,
)

_BODY = bytes(1_000_000)
_BUDGET_BYTES = 16 << 20


@pytest.fixture
def account():
    return MemoryAccount(_BUDGET_BYTES)


async def _open_link(nursery, account, handler):
    """Opens a connection and returns the end that sends requests."""
    limits = ConnectionLimits(account=account)
    ends = {}

    async def connect(stream, name):
        is_dialer = name == "a"
        identity = Identity("test", name, "node", b"key")
        ends[name] = await create_connection(
            stream,
            identity,
            is_dialer=is_dialer,
            handler=None if is_dialer else handler,
            limits=None if is_dialer else limits,
        )

    async with trio.open_nursery() as setup:
        left, right = trio.testing.memory_stream_pair()
        setup.start_soon(connect, left, "a")
        setup.start_soon(connect, right, "b")
    for end in ends.values():
        nursery.start_soon(end.run)
    return ends["a"]


async def test_long_body_counts_until_its_request_is_served(account, autojump_clock):
    """Guards against bodies from other processes that nothing counts."""
    held_bytes = []

    async def handle(message, peer):
        held_bytes.append(account.held_bytes)
        return Message(FrameKind.CALL_REPLY)

    async with trio.open_nursery() as nursery:
        link = await _open_link(nursery, account, handle)
        await link.request(Message(FrameKind.CALL, b"", _BODY))
        assert held_bytes[0] >= len(_BODY)
        await link.request(Message(FrameKind.CALL, b"", b"short"))
        assert held_bytes[1] == account.held_bytes == 0
        nursery.cancel_scope.cancel()


async def test_long_body_that_gives_way_is_refused(account, autojump_clock):
    """Guards against a refusal that leaves open whether the request has run."""
    served = []

    async def handle(message, peer):
        served.append(message)
        return Message(FrameKind.CALL_REPLY)

    async with trio.open_nursery() as nursery:
        account.open_settled(_BUDGET_BYTES)
        link = await _open_link(nursery, account, handle)
        with pytest.raises(LinkError) as caught:
            await link.request(Message(FrameKind.CALL, b"", _BODY))
        assert (caught.value.code, caught.value.may_have_run) == ("busy", False)
        assert not served
        await link.request(Message(FrameKind.CALL, b"", b"short"))
        assert len(served) == 1
        nursery.cancel_scope.cancel()


async def test_cancelled_body_counts_no_longer(account, autojump_clock):
    """Guards against memory that counts for ever."""

    async def handle(message, peer):
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        link = await _open_link(nursery, account, handle)
        with trio.move_on_after(1):
            await link.request(Message(FrameKind.CALL, b"", _BODY))
        await trio.sleep(1)
        assert account.held_bytes == 0
        nursery.cancel_scope.cancel()
