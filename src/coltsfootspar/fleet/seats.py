"""Seats of the cluster: which host holds each replica.

A cluster has one seat for each seed of its first start. A host that comes with an
empty disk gets back the seat of its address, or that of a replica which has not
answered for some time. It then counts only once its admission is committed by a
majority of the others, as for a replica that has lost its disk, so that a seat
never votes twice.
"""

from collections.abc import Sequence

import attrs
import trio

from coltsfootspar.logs import log_decision
from coltsfootspar.replication import Disk, Replica, Role
from coltsfootspar.replication.identity import load_document, save_document
from coltsfootspar.replication.messages import JoinReply, JoinRequest
from coltsfootspar.wire import Address, parse_address

__all__ = ["SEAT_SERVICE", "SeatMap", "SeatOffers", "create_seat_map", "name_seats"]

# Announced by the process that holds a seat, so that nodes find it.
SEAT_SERVICE = "coltsfootspar-replica-"
_FILE_NAME = "seats"
# A seat whose replica has not answered for this time may be given away.
VACANCY_SECONDS = 2.0
# An offer that led to no admission lapses after this time.
OFFER_SECONDS = 4.0


def name_seats(count: int) -> tuple[str, ...]:
    """Names the seats of a cluster.

    >>> name_seats(2)
    ('seat-1', 'seat-2')
    """
    return tuple(f"seat-{number}" for number in range(1, count + 1))


@attrs.define(eq=False)
class SeatMap:
    """Address of each seat as far as it is known."""

    addresses: dict[str, str]

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all seats."""
        return tuple(sorted(self.addresses))

    def find(self, seat: str) -> Address | None:
        """Returns the address of a seat."""
        text = self.addresses.get(seat)
        return parse_address(text) if text else None

    def find_seat(self, address: str) -> str:
        """Returns the seat at an address, empty when there is none."""
        for seat, known in self.addresses.items():
            if known == address:
                return seat
        return ""

    def update(self, addresses: dict[str, str]) -> bool:
        """Takes newer addresses over.

        :returns: true when any has changed.
        """
        if all(self.addresses.get(seat) == text for seat, text in addresses.items()):
            return False
        self.addresses.update(addresses)
        return True

    async def load(self, disk: Disk) -> None:
        """Reads the addresses that were saved, if there are any."""
        if _FILE_NAME in await disk.list_files():
            self.addresses.update(await load_document(disk, _FILE_NAME))

    async def save(self, disk: Disk) -> None:
        """Saves the addresses, for a start with other seeds."""
        await save_document(disk, _FILE_NAME, self.addresses)


def create_seat_map(seeds: Sequence[Address]) -> SeatMap:
    """Creates the map of a new cluster, in the order of the seeds' addresses."""
    addresses = sorted(str(seed) for seed in seeds)
    return SeatMap(dict(zip(name_seats(len(addresses)), addresses, strict=True)))


@attrs.define(eq=False)
class SeatOffers:
    """Offers seats to hosts that come with an empty disk, while leading."""

    _map: SeatMap
    _replica: Replica
    _offers: dict[str, tuple[str, float]] = attrs.field(factory=dict)

    def answer(self, request: JoinRequest) -> JoinReply:
        """Answers a host without a seat."""
        core = self._replica.core
        seat = ""
        if core.role is Role.LEADER and core.is_current:
            seat = self._offer(request)
        leader = core.leader_id or ""
        leader_address = self._map.addresses.get(leader, "")
        return JoinReply(seat, leader_address, core.state.seats, core.state.index)

    def find_address(self, seat: str) -> str:
        """Returns where a seat is to be reached: its holder, or who was offered it."""
        offered, until = self._offers.get(seat, ("", 0.0))
        if offered and until > trio.current_time():
            return offered
        return self._map.addresses.get(seat, "")

    def _offer(self, request: JoinRequest) -> str:
        now = trio.current_time()
        seat = self._find_offer(request.address, now) or self._map.find_seat(
            request.address
        )
        seat = seat or self._find_vacant(now)
        if seat and seat != self._replica.core.replica_id:
            self._offers[seat] = (request.address, now + OFFER_SECONDS)
            log_decision("seat-offered", seat=seat, address=request.address)
            return seat
        return ""

    def _find_offer(self, address: str, now: float) -> str:
        for seat, (offered, until) in self._offers.items():
            if offered == address and until > now:
                return seat
        return ""

    def _find_vacant(self, now: float) -> str:
        core = self._replica.core
        for seat in self._map.names:
            if seat == core.replica_id:
                continue
            _, until = self._offers.get(seat, ("", 0.0))
            silence = now - core.leader_term.get_last_contact(seat)
            if silence > VACANCY_SECONDS and until <= now:
                return seat
        return ""
