"""Who a replica is and how it voted, in the data folder."""

import json
import random

import attrs
import crc32c

from coltsfootspar.exceptions import StorageError
from coltsfootspar.replication.interfaces import Disk
from coltsfootspar.replication.records import create_corrupt_error
from coltsfootspar.replication.state import INITIAL_INCARNATION

__all__ = [
    "Ballot",
    "ReplicaIdentity",
    "format_replica",
    "load_ballot",
    "load_document",
    "load_identity",
    "save_ballot",
    "save_document",
    "save_identity",
]

_IDENTITY_NAME = "identity"
_BALLOT_NAME = "ballot"
_TEMPORARY_PREFIX = "temporary-"
_CRC_DIGITS = 8
_INCARNATION_BITS = 63


@attrs.frozen
class ReplicaIdentity:
    """Identity of a replica.

    :param cluster_id: empty until a replica with a new disk was admitted.
    :param incarnation: drawn anew for each new disk.
    :param is_admitted: false until the replica may vote and is counted.
    :param admitted_index: entry up to which its state contains its admission.
    """

    cluster_id: str
    replica_id: str
    incarnation: int
    is_admitted: bool
    admitted_index: int = 0


@attrs.frozen
class Ballot:
    """Highest term that a replica has seen and its vote in that term."""

    term: int = 0
    voted_for: str | None = None


async def format_replica(disk: Disk, cluster_id: str, replica_id: str) -> None:
    """Makes an empty data folder that of an initial replica of a new cluster.

    A replica that lost its disk must not be formatted: it starts with an empty
    folder and is admitted by the others.

    :raises StorageError: when the folder is not empty.
    """
    if await disk.list_files():
        raise StorageError(
            "the data folder is not empty; a new cluster needs empty folders",
            code="folder-not-empty",
        )
    identity = ReplicaIdentity(cluster_id, replica_id, INITIAL_INCARNATION, True)
    await save_identity(disk, identity)


async def load_identity(
    disk: Disk, replica_id: str, source: random.Random
) -> ReplicaIdentity:
    """Reads the identity, or starts one with a new incarnation.

    What an interrupted rejoin has left in the folder is removed.

    :param source: random numbers for a new incarnation.
    :raises StorageError: when the folder belongs to another replica, or has
        content without an identity.
    """
    names = [
        name
        for name in await disk.list_files()
        if not name.startswith(_TEMPORARY_PREFIX)
    ]
    if _IDENTITY_NAME in names:
        identity = ReplicaIdentity(**await load_document(disk, _IDENTITY_NAME))
        if identity.replica_id != replica_id:
            raise StorageError(
                f"the data folder belongs to replica {identity.replica_id!r}, "
                f"not {replica_id!r}",
                code="wrong-replica",
            )
        if identity.is_admitted:
            return identity
    elif names:
        raise StorageError(
            f"the data folder has the files {', '.join(names)} but no identity; "
            "move it away and start with an empty folder",
            code="no-identity",
        )
    for name in names:
        if name != _IDENTITY_NAME:
            await disk.remove(name)
    incarnation = source.getrandbits(_INCARNATION_BITS) | 1
    identity = ReplicaIdentity("", replica_id, incarnation, False)
    await save_identity(disk, identity)
    return identity


async def save_identity(disk: Disk, identity: ReplicaIdentity) -> None:
    """Writes the identity durably."""
    await save_document(disk, _IDENTITY_NAME, attrs.asdict(identity))


async def load_ballot(disk: Disk) -> Ballot:
    """Reads the ballot, or returns that of a new replica."""
    if _BALLOT_NAME not in await disk.list_files():
        return Ballot()
    return Ballot(**await load_document(disk, _BALLOT_NAME))


async def save_ballot(disk: Disk, ballot: Ballot) -> None:
    """Writes the ballot durably."""
    await save_document(disk, _BALLOT_NAME, attrs.asdict(ballot))


async def save_document(disk: Disk, name: str, content: dict) -> None:
    """Writes a small document durably."""
    text = json.dumps(content).encode()
    temporary = _TEMPORARY_PREFIX + name
    await disk.remove(temporary)
    await disk.append(temporary, b"%08x %s" % (crc32c.crc32c(text), text))
    await disk.sync(temporary)
    await disk.rename(temporary, name)
    await disk.sync_folder()


async def load_document(disk: Disk, name: str) -> dict:
    """Reads a small document.

    :raises CorruptLogError: when it is damaged.
    """
    data = await disk.read(name)
    text = data[_CRC_DIGITS + 1 :]
    if data[:_CRC_DIGITS] != b"%08x" % crc32c.crc32c(text):
        raise create_corrupt_error(name, 0)
    return json.loads(text)
