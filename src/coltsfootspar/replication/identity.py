"""Identity and vote of a replica, stored in the data folder."""

import json
import random

import attrs
import crc32c

from coltsfootspar.exceptions import StorageError
from coltsfootspar.replication.interfaces import Disk
from coltsfootspar.replication.records import create_corrupt_log_error
from coltsfootspar.replication.state import INITIAL_INCARNATION

__all__ = [
    "Ballot",
    "ReplicaIdentity",
    "format_replica",
    "load_ballot",
    "load_document",
    "load_identity",
    "read_identity",
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

    :param cluster_id: empty until the replica is admitted, when its disk is new.
    :param incarnation: 0 for an initial replica of a cluster; a random number for
        each later disk.
    :param is_admitted: true once the replica may vote and counts toward a majority.
    :param admitted_index: last entry that was applied when the replica stored its
        admission; later admissions of its id are those of another disk.
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
    """Initialises an empty data folder for a replica of a new cluster.

    Must not be called for a replica that lost its disk, which starts with an empty
    folder instead and is then admitted by the other replicas.

    :raises StorageError: when the folder is not empty.
    """
    if await disk.list_files():
        raise StorageError(
            "the data folder is not empty; a new cluster needs empty data folders",
            code="folder-not-empty",
        )
    identity = ReplicaIdentity(cluster_id, replica_id, INITIAL_INCARNATION, True)
    await save_identity(disk, identity)


async def load_identity(
    disk: Disk, replica_id: str, source: random.Random
) -> ReplicaIdentity:
    """Reads the identity, or creates and stores one with a new incarnation.

    When the replica stopped before it was admitted, removes its other files and
    creates a new incarnation.

    :param source: random numbers for a new incarnation.
    :raises StorageError: when the folder belongs to another replica, or has files
        but no identity.
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
            f"the data folder has the files {', '.join(names)} but no identity file; "
            "move the folder away and start with an empty one",
            code="no-identity",
        )
    for name in names:
        if name != _IDENTITY_NAME:
            await disk.remove(name)
    incarnation = source.getrandbits(_INCARNATION_BITS) | 1
    identity = ReplicaIdentity("", replica_id, incarnation, False)
    await save_identity(disk, identity)
    return identity


async def read_identity(disk: Disk) -> ReplicaIdentity | None:
    """Reads the identity without changing anything.

    :returns: None when the folder has none.
    :raises CorruptLogError: when the file is damaged.
    """
    if _IDENTITY_NAME not in await disk.list_files():
        return None
    return ReplicaIdentity(**await load_document(disk, _IDENTITY_NAME))


async def save_identity(disk: Disk, identity: ReplicaIdentity) -> None:
    """Persists the identity."""
    await save_document(disk, _IDENTITY_NAME, attrs.asdict(identity))


async def load_ballot(disk: Disk) -> Ballot:
    """Reads the term and the vote; returns term 0 and no vote for a new replica."""
    if _BALLOT_NAME not in await disk.list_files():
        return Ballot()
    return Ballot(**await load_document(disk, _BALLOT_NAME))


async def save_ballot(disk: Disk, ballot: Ballot) -> None:
    """Persists the term and the vote."""
    await save_document(disk, _BALLOT_NAME, attrs.asdict(ballot))


async def save_document(disk: Disk, name: str, content: dict) -> None:
    """Writes a JSON document with a checksum, atomically and durably."""
    body = json.dumps(content).encode()
    temporary_name = _TEMPORARY_PREFIX + name
    await disk.remove(temporary_name)
    await disk.append(temporary_name, b"%08x %s" % (crc32c.crc32c(body), body))
    await disk.sync(temporary_name)
    await disk.rename(temporary_name, name)
    await disk.sync_folder()


async def load_document(disk: Disk, name: str) -> dict:
    """Reads a document that :func:`save_document` has written.

    :raises CorruptLogError: when the document is damaged.
    """
    data = await disk.read(name)
    body = data[_CRC_DIGITS + 1 :]
    if data[:_CRC_DIGITS] != b"%08x" % crc32c.crc32c(body):
        raise create_corrupt_log_error(name, 0)
    return json.loads(body)
