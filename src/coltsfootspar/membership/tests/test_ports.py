"""The UDP port must tolerate errors that the operating system reports."""

import random

import pytest
import trio
import trio.testing

from coltsfootspar.exceptions import MembershipError
from coltsfootspar.membership import NodeIdentity, create_membership, open_udp_port
from coltsfootspar.timers import create_timer_service
from coltsfootspar.wire import MAX_DATAGRAM_BYTES, Address

ANY_PORT = Address("127.0.0.1", 0)


async def test_received_datagrams_carry_the_address_of_their_sender():
    async with open_udp_port(ANY_PORT) as left, open_udp_port(ANY_PORT) as right:
        await left.send(right.address, b"x" * MAX_DATAGRAM_BYTES)
        assert await right.receive() == (b"x" * MAX_DATAGRAM_BYTES, left.address)


async def test_refused_datagrams_do_not_stop_the_receiver():
    async with open_udp_port(ANY_PORT) as port:
        async with open_udp_port(ANY_PORT) as closed:
            closed_address = closed.address
        for _ in range(3):
            await port.send(closed_address, b"lost")
        await port.send(port.address, b"next")
        assert await port.receive() == (b"next", port.address)


async def test_flood_of_datagrams_does_not_keep_other_tasks_from_running():
    async with open_udp_port(ANY_PORT) as port:
        has_other_run = False

        async def run_other():
            nonlocal has_other_run
            has_other_run = True

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_other)
            with trio.fail_after(10):
                while not has_other_run:
                    await port.send(port.address, b"again")
                    await port.receive()


async def test_closing_the_port_ends_a_wait_for_a_datagram():
    async with open_udp_port(ANY_PORT) as port, trio.open_nursery() as nursery:

        async def wait_for_datagram():
            with pytest.raises(MembershipError, match="closed"):
                await port.receive()

        nursery.start_soon(wait_for_datagram)
        await trio.testing.wait_all_tasks_blocked()
        port.close()


async def test_port_in_use_raises_membership_error():
    async with open_udp_port(ANY_PORT) as port:
        with pytest.raises(MembershipError, match="cannot bind"):
            async with open_udp_port(port.address):
                raise AssertionError("the same port was opened twice")


async def test_members_discover_each_other_over_udp():
    # The outer block closes the ports after the tasks that use them have ended.
    async with open_udp_port(ANY_PORT) as left, open_udp_port(ANY_PORT) as right:
        async with trio.open_nursery() as nursery:
            members = []
            for name, port in (("a-0", left), ("a-1", right)):
                timers = create_timer_service(random.Random(1))
                identity = NodeIdentity(name, "r", "a", port.address, ANY_PORT, 1)
                member = create_membership(
                    identity, [left.address], port, b"key", timers, random.Random(2)
                )
                nursery.start_soon(timers.run)
                nursery.start_soon(member.run)
                members.append(member)
            discovered = trio.Event()
            members[0].subscribe(lambda member: discovered.set())
            await discovered.wait()
            assert {m.node_id for m in members[0].list_members()} == {"a-0", "a-1"}
            nursery.cancel_scope.cancel()
