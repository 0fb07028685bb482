"""Selection of the members that relay gossip for their data centre."""

import functools
from collections.abc import Iterable

import xxhash

from coltsfootspar.membership.members import Member
from coltsfootspar.wire.membership import MemberStatus

__all__ = ["RELAYS_PER_DATA_CENTRE", "is_relay", "rank_relays"]

# A data centre stays in contact while one of its relays is up. A failed relay is
# replaced as soon as it is suspected.
RELAYS_PER_DATA_CENTRE = 3


def rank_relays(members: Iterable[Member]) -> list[Member]:
    """Orders the members of one data centre by rendezvous hashing.

    Nodes with the same member list compute the same order, and the removal of a
    member does not move the members before it. Members that are leaving or
    suspected come last.

    :param members: present members of the data centre.
    """
    return sorted(members, key=_compute_sort_key)


def _compute_sort_key(member: Member) -> tuple[bool, int]:
    is_last_choice = member.is_leaving or member.status is not MemberStatus.ALIVE
    return is_last_choice, _compute_hash(member.data_centre, member.node_id)


@functools.lru_cache(maxsize=8192)
def _compute_hash(data_centre: str, node_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{data_centre}/{node_id}".encode())


def is_relay(node_id: str, ranked: list[Member]) -> bool:
    """Returns whether a node is among the relays of its data centre.

    :param ranked: members of the data centre as :func:`rank_relays` orders them.
    """
    return any(member.node_id == node_id for member in ranked[:RELAYS_PER_DATA_CENTRE])
