"""Choice of the relays that speak for a data centre."""

import functools
from collections.abc import Iterable

import xxhash

from coltsfootspar.membership.members import Member
from coltsfootspar.wire.membership import MemberStatus

__all__ = ["RELAYS", "is_relay", "rank_relays"]

# Relays of each data centre. The data centre stays in contact while one of them
# is up, and a lost one is replaced once it is suspected.
RELAYS = 3


def rank_relays(members: Iterable[Member]) -> list[Member]:
    """Orders the members of one data centre by rendezvous hashing.

    All that know the same members compute the same order, and the loss of a
    member changes no other member's place before it. Members that are leaving
    or suspected come last.

    :param members: present members of the data centre.
    """
    return sorted(members, key=_compute_key)


def _compute_key(member: Member) -> tuple[bool, int]:
    is_doubtful = member.is_leaving or member.status is not MemberStatus.ALIVE
    return is_doubtful, _compute_score(member.data_centre, member.node_id)


@functools.lru_cache(maxsize=8192)
def _compute_score(data_centre: str, node_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{data_centre}/{node_id}".encode())


def is_relay(node_id: str, ranked: list[Member]) -> bool:
    """Tells whether a node is among the relays of its data centre."""
    return any(member.node_id == node_id for member in ranked[:RELAYS])
