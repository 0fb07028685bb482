"""Tests of the offers of seats."""

import types

import trio

from coltsfootspar.fleet.offers import SeatOffers
from coltsfootspar.fleet.seats import create_expected_seat_map, create_seat_map
from coltsfootspar.replication import Role
from coltsfootspar.replication.messages import JoinRequest
from coltsfootspar.replication.state import create_state
from coltsfootspar.wire import Address
from coltsfootspar.wire.replication import decode_join_reply, encode_join_reply

SEEDS = [Address(f"10.0.0.{number}", 7620) for number in (1, 2, 3)]


def create_offers(seats):
    """Creates the offers of a new leader whose state holds these admissions."""
    leader_term = types.SimpleNamespace(
        get_last_contact=lambda seat: trio.current_time()
    )
    state = create_state(index=9)
    state.seats.update(seats)
    core = types.SimpleNamespace(
        replica_id="seat-1",
        role=Role.LEADER,
        is_current=True,
        leader_id="seat-1",
        leader_term=leader_term,
        state=state,
    )
    replica = types.SimpleNamespace(core=core)
    return SeatOffers(create_seat_map(SEEDS, host_losses=2), replica)


async def test_seats_that_were_never_held_are_offered_at_once(autojump_clock):
    """Guards against a cluster that stays at three disks for seconds."""
    offers = create_offers({})
    replies = [
        offers.handle_join(JoinRequest(f"10.0.0.{number}:7620", f"core-{number}"))
        for number in (4, 5, 6, 4)
    ]
    offered = [reply.replica_id for reply in replies]
    assert offered == ["seat-4", "seat-5", "", "seat-4"]


async def test_seat_with_an_unknown_holder_is_not_offered(autojump_clock):
    """Guards against a leader that gives seats away since it was admitted lately."""
    offers = create_offers({"seat-1": "10.0.0.1:7620"})
    offers._map = create_expected_seat_map(host_losses=2)
    join = JoinRequest("10.0.0.6:7620", "core-6")
    assert offers.handle_join(join).replica_id == ""
    offers._map.add_holders({"seat-4": "", "seat-5": "10.0.0.5:7620"})
    reply = offers.handle_join(join)
    assert reply.replica_id == "seat-4"
    assert decode_join_reply(encode_join_reply(reply)) == reply
    assert reply.holders["seat-2"] is None


def test_seat_with_an_unknown_holder_counts_as_held():
    """Guards against a leader that lends the share of a holder that is cut off."""
    seats = create_expected_seat_map(host_losses=1)
    seats.add_holders({"seat-1": "10.0.0.1:7620", "seat-3": ""})
    assert seats.list_held() == ["seat-1", "seat-2"]


async def test_seat_of_a_recent_admission_is_not_offered(autojump_clock):
    """Guards against a new leader that gives a seat away from its working holder."""
    offers = create_offers({"seat-4": "10.0.0.4:7620"})
    reply = offers.handle_join(JoinRequest("10.0.0.6:7620", "core-6"))
    assert reply.replica_id == "seat-5"


async def test_seat_of_a_host_that_leaves_is_offered_at_once(autojump_clock):
    """Guards against a planned stop that is only noticed by silence."""
    offers = create_offers({"seat-4": "10.0.0.4:7620", "seat-5": "10.0.0.5:7620"})
    moved = []
    offers.on_offer = moved.append
    leave = JoinRequest("10.0.0.2:7620", "core-2", is_leaving=True)
    assert offers.handle_join(leave).replica_id == ""
    join = JoinRequest("10.0.0.6:7620", "core-6")
    offer = offers.handle_join(join)
    assert (offer.replica_id, offer.has_left) == ("seat-2", True)
    assert decode_join_reply(encode_join_reply(offer)) == offer
    assert moved == ["seat-2"]
    assert offers.find_address("seat-2") == "10.0.0.6:7620"
    assert offers.find_offered("seat-2") == "10.0.0.6:7620"
    assert offers.find_offered("seat-4") == ""
    await trio.sleep(1.5)
    # The first reply was lost.
    assert offers.handle_join(join).has_left
    assert offers.handle_join(leave).replica_id == "seat-2"


async def test_seat_is_not_offered_long_after_its_holder_has_left(autojump_clock):
    """Guards against a host that loses its seat after a stop that was called off."""
    offers = create_offers({"seat-4": "10.0.0.4:7620", "seat-5": "10.0.0.5:7620"})
    offers.handle_join(JoinRequest("10.0.0.2:7620", "core-2", is_leaving=True))
    await trio.sleep(1.5)
    join = JoinRequest("10.0.0.6:7620", "core-6")
    assert offers.handle_join(join).replica_id == ""


async def test_host_that_has_lost_its_seat_cannot_vacate_it(autojump_clock):
    """Guards against a late notice that vacates the seat of the next holder."""
    seats = {
        "seat-2": "10.0.0.7:7620",
        "seat-4": "10.0.0.4:7620",
        "seat-5": "10.0.0.5:7620",
    }
    offers = create_offers(seats)
    offers.handle_join(JoinRequest("10.0.0.2:7620", "core-2", is_leaving=True))
    join = JoinRequest("10.0.0.6:7620", "core-6")
    assert offers.handle_join(join).replica_id == ""


async def test_seat_of_a_silent_host_is_not_offered_as_left(autojump_clock):
    """Guards against a host that is cut off and still spends the share of its seat."""
    offers = create_offers({"seat-4": "10.0.0.4:7620", "seat-5": "10.0.0.5:7620"})
    offers._replica.core.leader_term.get_last_contact = lambda seat: 0.0
    await trio.sleep(10.0)
    offer = offers.handle_join(JoinRequest("10.0.0.6:7620", "core-6"))
    assert (offer.replica_id, offer.has_left) == ("seat-2", False)
