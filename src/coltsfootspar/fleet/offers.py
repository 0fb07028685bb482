"""Offers of seats to hosts that join with an empty disk, and the saved seat map."""

from collections.abc import Callable

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import CorruptLogError
from coltsfootspar.fleet.seats import SeatMap
from coltsfootspar.logs import log_decision
from coltsfootspar.replication import Disk, Replica, Role
from coltsfootspar.replication.identity import load_document, save_document
from coltsfootspar.replication.messages import JoinReply, JoinRequest

__all__ = ["SeatOffers", "load_seats", "save_seats"]

_FILE_NAME = "seats"
# A seat may be offered to another host once its replica has not answered the leader
# for this time.
VACANCY_TIMEOUT_SECONDS = 2.0
# An offer expires after this time unless the host has been admitted.
OFFER_LIFETIME_SECONDS = 4.0
# A host that leaves repeats that it does so more often than this.
LEAVING_LIFETIME_SECONDS = 1.0
# A host without a seat asks for one more often than this.
JOINING_LIFETIME_SECONDS = 2.0


async def load_seats(disk: Disk) -> dict[str, str | None]:
    """Reads the saved holder of each seat.

    :returns: empty when none were saved, or the file is damaged.
    """
    if _FILE_NAME not in await disk.list_files():
        return {}
    try:
        return await load_document(disk, _FILE_NAME)
    except CorruptLogError as error:
        logging.warning("Ignoring the saved seats: %s", error)
        return {}


async def save_seats(seats: SeatMap, disk: Disk) -> None:
    """Saves which seats exist and who holds them, for a restart with other seeds."""
    await save_document(disk, _FILE_NAME, seats.addresses)


@attrs.define(eq=False)
class SeatOffers:
    """Offers seats to hosts that join with an empty disk.

    Only an up-to-date leader makes offers. An offer is kept in memory and grants no
    vote.

    :param on_offer: called with a seat when it is offered to another host.
    :param _leaving: trio clock until which the holder of a seat counts as leaving,
        seconds, by seat.
    :param _left: seats that were last offered since their holder was leaving.
    :param _joining_until: trio clock until which a host without a seat counts as
        waiting for one, seconds.
    """

    _map: SeatMap
    _replica: Replica
    on_offer: Callable[[str], None] = lambda seat: None
    _offers: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    _leaving: dict[str, float] = attrs.field(factory=dict)
    _left: set[str] = attrs.field(factory=set)
    _joining_until: float = -float("inf")

    def handle_join(self, request: JoinRequest) -> JoinReply:
        """Answers the request of a host that wants a seat, or leaves its own one.

        :returns: a reply that names the offered seat, or the leader to ask.
        """
        core = self._replica.core
        seat = ""
        if core.role is Role.LEADER and core.is_current:
            serve = self._note_leaving if request.is_leaving else self._offer_seat
            seat = serve(request)
        state = core.state
        return JoinReply(
            seat,
            self._map.addresses.get(core.leader_id or "") or "",
            state.seats,
            state.index,
            has_left=seat in self._left,
            holders=self._map.addresses | state.seats,
            incarnations={name: state.get_incarnation(name) for name in state.seats},
        )

    def find_address(self, seat: str) -> str:
        """Returns the address of the replica of a seat.

        :returns: the host of an open offer, else the holder; empty when unknown.
        """
        return self.find_offered(seat) or self._map.addresses.get(seat) or ""

    def find_offered(self, seat: str) -> str:
        """Returns the address of the host to which a seat is offered, if to any."""
        offered_to, expires_at = self._offers.get(seat, ("", 0.0))
        return offered_to if expires_at > trio.current_time() else ""

    def _offer_seat(self, request: JoinRequest) -> str:
        now = trio.current_time()
        own_seat = self._map.find_seat(request.address)
        if not own_seat:
            self._joining_until = now + JOINING_LIFETIME_SECONDS
        seat = self._find_offered_seat(request.address, now) or own_seat
        seat = seat or self._find_vacant_seat(now)
        if seat and seat != self._replica.core.replica_id:
            self._offer(seat, request.address, now)
            return seat
        return ""

    def _offer(self, seat: str, address: str, now: float) -> None:
        offered_to, expires_at = self._offers.get(seat, ("", now))
        has_moved = self.find_address(seat) != address
        self._offers[seat] = (address, now + OFFER_LIFETIME_SECONDS)
        if offered_to != address or expires_at <= now:
            log_decision("seat-offered", seat=seat, address=address)
            if self._leaving.get(seat, now) > now:
                self._left.add(seat)
            else:
                self._left.discard(seat)
        if has_moved:
            self.on_offer(seat)

    def _note_leaving(self, request: JoinRequest) -> str:
        """Notes that the holder of a seat stops.

        :returns: the seat, if another host takes it over; else an empty text.
        """
        now = trio.current_time()
        seat = self._map.find_seat(request.address)
        # The map may not hold the latest admissions yet.
        holder = self._replica.core.state.seats.get(seat, request.address)
        if not seat or holder != request.address:
            return ""
        if seat not in self._leaving:
            log_decision("seat-left", seat=seat, address=request.address)
        self._leaving[seat] = now + LEAVING_LIFETIME_SECONDS
        is_offered = self.find_address(seat) != request.address
        return seat if is_offered or now < self._joining_until else ""

    def _find_offered_seat(self, address: str, now: float) -> str:
        for seat, (offered_to, expires_at) in self._offers.items():
            if offered_to == address and expires_at > now:
                return seat
        return ""

    def _find_vacant_seat(self, now: float) -> str:
        core = self._replica.core
        for seat in self._map.names:
            if seat == core.replica_id:
                continue
            _, expires_at = self._offers.get(seat, ("", 0.0))
            silent_seconds = now - core.leader_term.get_last_contact(seat)
            # The map may not hold the latest admissions yet.
            was_never_held = self._map.addresses[seat] == "" and (
                seat not in core.state.seats
            )
            is_vacant = (
                was_never_held
                or silent_seconds > VACANCY_TIMEOUT_SECONDS
                or self._leaving.get(seat, now) > now
            )
            if is_vacant and expires_at <= now:
                return seat
        return ""
