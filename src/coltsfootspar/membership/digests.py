"""Digests of a fixed size that show where two member lists differ."""

import struct
from collections.abc import Iterable

import xxhash

from coltsfootspar.exceptions import FrameError
from coltsfootspar.membership.members import Member
from coltsfootspar.wire.membership import MemberStatus

__all__ = [
    "BUCKETS",
    "compute_bucket",
    "compute_digest",
    "find_differences",
]

BUCKETS = 64
_FORMAT = struct.Struct(f">{BUCKETS}I")


def compute_bucket(node_id: str) -> int:
    """Returns the number of the bucket of a member."""
    return xxhash.xxh32_intdigest(node_id.encode()) % BUCKETS


def compute_digest(members: Iterable[Member]) -> bytes:
    """Combines the hashes of the members of each bucket.

    Suspicion is left out: it ends soon, and it would make the digests of most
    pairs differ while packets are being lost.
    """
    hashes = [0] * BUCKETS
    for member in members:
        status = member.status
        if status is MemberStatus.SUSPECT:
            status = MemberStatus.ALIVE
        news = f"{member.node_id}/{member.incarnation}/{int(status)}"
        hashes[compute_bucket(member.node_id)] ^= xxhash.xxh32_intdigest(news.encode())
    return _FORMAT.pack(*hashes)


def find_differences(own: bytes, other: bytes) -> list[int]:
    """Returns the buckets in which two digests differ.

    :raises FrameError: when the other digest has another size.
    """
    if len(other) != _FORMAT.size:
        raise FrameError(f"digest of {len(other)} bytes is not allowed")
    pairs = zip(_FORMAT.unpack(own), _FORMAT.unpack(other), strict=True)
    return [bucket for bucket, (mine, theirs) in enumerate(pairs) if mine != theirs]
