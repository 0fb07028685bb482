"""Assignment of the seats of a cluster of replicas to hosts.

A seat is one voting slot of the cluster; its name is the id of the replica that runs
there. A cluster has enough seats for a majority to survive the loss of as many hosts
as the settings name, and never fewer than seeds at its first start. The seeds hold the
first seats from the start. The others are vacant until a host joins, but count as
seats all the same, so that each commit is on a majority of all seats from the first
one on.

Only the first start derives the map from the seeds. From then on it is replicated: the
leader records who holds each seat, hosts that join get the map from the others, and
each replica saves it. Later seeds only say whom to ask first.

A host that joins with an empty disk is offered the seat recorded for its address or,
failing that, one that was never held or whose replica has stopped answering. The
replica of the new holder votes and counts towards the quorum only once its admission
is committed by a majority of the others, as after a lost disk, so that no seat votes
twice in a term.
"""

import itertools
from collections.abc import Sequence

import attrs

from coltsfootspar.membership import Membership
from coltsfootspar.wire import Address, parse_address

__all__ = [
    "MIN_SEATS_TO_ADMIT",
    "SEAT_SERVICE_PREFIX",
    "SeatMap",
    "count_expected_seats",
    "count_seats",
    "create_expected_seat_map",
    "create_seat_map",
    "find_seat_holder",
    "name_seats",
]

# The holder of a seat announces this service name with the seat appended, through
# which nodes find it.
SEAT_SERVICE_PREFIX = "coltsfootspar-replica-"
# A cluster of fewer seats cannot replace a lost disk.
MIN_SEATS_TO_ADMIT = 3


def count_seats(seeds: int, host_losses: int) -> int:
    """Returns the number of seats of a cluster.

    :param seeds: number of seeds; a cluster of fewer than three has no other hosts.
    :param host_losses: hosts that may be lost at the same time.

    >>> count_seats(3, 1), count_seats(3, 2), count_seats(1, 1)
    (3, 5, 1)
    """
    if seeds < MIN_SEATS_TO_ADMIT:
        return seeds
    return max(seeds, 2 * host_losses + 1)


def count_expected_seats(host_losses: int) -> int:
    """Returns the least number of seats of a cluster to which hosts are admitted.

    :param host_losses: hosts that may be lost at the same time.

    >>> count_expected_seats(0), count_expected_seats(2)
    (3, 5)
    """
    return max(MIN_SEATS_TO_ADMIT, 2 * host_losses + 1)


def name_seats(count: int) -> tuple[str, ...]:
    """Returns the names of the seats of a cluster.

    >>> name_seats(2)
    ('seat-1', 'seat-2')
    """
    return tuple(f"seat-{number}" for number in range(1, count + 1))


def find_seat_holder(seat: str, membership: Membership) -> Address | None:
    """Returns the peer address of the member that announces a seat.

    When several members announce it, the highest incarnation counts.

    :returns: None when no member announces the seat.
    """
    members = [
        membership.get_member(candidate.node_id)
        for candidate in membership.list_candidates(SEAT_SERVICE_PREFIX + seat)
    ]
    holders = [member for member in members if member is not None]
    if not holders:
        return None
    return max(holders, key=lambda member: member.incarnation).peer_address


@attrs.define(eq=False)
class SeatMap:
    """Maps seats to the addresses of their last known holders.

    :param addresses: peer address of the holder by name of the seat; empty while the
        seat has never been held, None when its holder is unknown.
    :param index: log index up to which the committed holders are known.
    """

    addresses: dict[str, str | None]
    index: int = 0

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all seats, sorted."""
        return tuple(sorted(self.addresses))

    def find_address(self, seat: str) -> Address | None:
        """Returns the address of the holder of a seat, None when it is unknown."""
        address = self.addresses.get(seat)
        return parse_address(address) if address else None

    def find_seat(self, address: str) -> str:
        """Returns the seat held at an address, empty when there is none."""
        for seat, seat_address in self.addresses.items():
            if seat_address == address:
                return seat
        return ""

    def list_holders(self) -> list[Address]:
        """Returns the addresses of the known holders."""
        return [parse_address(text) for text in self.addresses.values() if text]

    def list_held(self) -> list[str]:
        """Returns the names of the seats that may have a holder, known or not."""
        return [seat for seat, address in self.addresses.items() if address != ""]

    def update(self, addresses: dict[str, str], index: int) -> bool:
        """Takes over the committed holders unless later ones are known.

        :param addresses: address by seat after the entries up to ``index``.
        :returns: true when an address has changed.
        """
        if index < self.index:
            return False
        self.index = index
        if all(
            self.addresses.get(seat) == address for seat, address in addresses.items()
        ):
            return False
        self.addresses.update(addresses)
        return True

    def load(self, addresses: dict[str, str | None], minimum: int) -> None:
        """Replaces the map by one that was saved.

        :param minimum: number of seats that the cluster has at least.
        """
        self.addresses = dict.fromkeys(name_seats(minimum)) | addresses

    def add_holders(self, holders: dict[str, str | None]) -> None:
        """Adds seats, and holders of those whose holder is unknown.

        :param holders: last known address by seat, committed or not.
        """
        for seat, address in holders.items():
            if self.addresses.get(seat) is None:
                self.addresses[seat] = address


def create_seat_map(seeds: Sequence[Address], host_losses: int = 1) -> SeatMap:
    """Creates the seat map of a new cluster.

    All hosts derive the same map, since they have the same seeds at the first start
    and seats are numbered in the order of the sorted addresses.

    :param seeds: peer addresses of the seeds, which hold the first seats.
    :param host_losses: hosts that may be lost at the same time.
    """
    holders = sorted(str(seed) for seed in seeds)
    names = name_seats(count_seats(len(holders), host_losses))
    return SeatMap(dict(itertools.zip_longest(names, holders, fillvalue="")))


def create_expected_seat_map(host_losses: int) -> SeatMap:
    """Creates the seat map of a host that has to learn the holders from others.

    :param host_losses: hosts that may be lost at the same time.
    """
    return SeatMap(dict.fromkeys(name_seats(count_expected_seats(host_losses))))
