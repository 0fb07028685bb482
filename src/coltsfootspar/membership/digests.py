"""Fixed-size digests that show in which hash buckets two member lists differ."""

import struct
from collections.abc import Iterable

import xxhash

from coltsfootspar.exceptions import FrameError
from coltsfootspar.membership.members import Member
from coltsfootspar.wire.membership import MemberStatus

__all__ = [
    "BUCKET_COUNT",
    "compute_bucket",
    "compute_digest",
    "find_differences",
]

BUCKET_COUNT = 64
_DIGEST_STRUCT = struct.Struct(f">{BUCKET_COUNT}I")


def compute_bucket(node_id: str) -> int:
    """Returns the index of the hash bucket of a member."""
    return xxhash.xxh32_intdigest(node_id.encode()) % BUCKET_COUNT


def compute_digest(members: Iterable[Member]) -> bytes:
    """Returns the XOR of the member hashes in each bucket.

    A suspected member is hashed as alive: suspicion is short-lived, and under
    packet loss it would make the digests of most pairs of members differ.
    """
    hashes = [0] * BUCKET_COUNT
    for member in members:
        status = member.status
        if status is MemberStatus.SUSPECT:
            status = MemberStatus.ALIVE
        state = f"{member.node_id}/{member.incarnation}/{int(status)}"
        hashes[compute_bucket(member.node_id)] ^= xxhash.xxh32_intdigest(state.encode())
    return _DIGEST_STRUCT.pack(*hashes)


def find_differences(own: bytes, other: bytes) -> list[int]:
    """Returns the indices of the buckets in which two digests differ.

    :raises FrameError: when ``other`` has a different size.
    """
    if len(other) != _DIGEST_STRUCT.size:
        raise FrameError(f"digest has an invalid size of {len(other)} bytes")
    pairs = zip(_DIGEST_STRUCT.unpack(own), _DIGEST_STRUCT.unpack(other), strict=True)
    return [
        bucket
        for bucket, (own_hash, other_hash) in enumerate(pairs)
        if own_hash != other_hash
    ]
