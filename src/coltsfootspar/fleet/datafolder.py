"""Data folder of a replica process: the seat that it holds, and its preparation."""

import contextlib
import random
from collections.abc import AsyncIterator

import trio
from absl import logging

from coltsfootspar.exceptions import ColtsfootsparError, CorruptLogError
from coltsfootspar.fleet.offers import load_seats
from coltsfootspar.fleet.seats import (
    MIN_SEATS_TO_ADMIT,
    SeatMap,
    count_expected_seats,
)
from coltsfootspar.replication import Disk, open_disk
from coltsfootspar.replication.identity import load_identity, read_identity
from coltsfootspar.replication.state import INITIAL_INCARNATION
from coltsfootspar.settings.fleet import FleetReplicaSettings

__all__ = ["clear_folder", "load_admitted_seat", "open_folder", "prepare_folder"]


@contextlib.asynccontextmanager
async def open_folder(settings: FleetReplicaSettings) -> AsyncIterator[Disk]:
    """Opens the data folder that the settings name, and closes it again."""
    disk = open_disk(settings.data_folder)
    try:
        yield disk
    finally:
        with trio.CancelScope(shield=True):
            await disk.close()


async def load_admitted_seat(
    disk: Disk, seats: SeatMap, settings: FleetReplicaSettings
) -> str:
    """Returns the seat on the disk, and loads the map that was saved with it.

    The present seeds may be fewer than the seats, or other hosts.

    :returns: empty when the disk holds no seat with a vote.
    """
    try:
        identity = await read_identity(disk)
    except CorruptLogError as error:
        logging.error("The seat on the disk cannot be read: %s", error)
        return ""
    if identity is None or not identity.is_admitted:
        return ""
    saved = await load_seats(disk)
    is_initial = identity.incarnation == INITIAL_INCARNATION
    if saved and is_initial and len(saved) < MIN_SEATS_TO_ADMIT:
        seats.load(saved, len(saved))
    elif saved or not settings.is_first_start:
        seats.load(saved, count_expected_seats(settings.host_losses))
    return identity.replica_id


async def prepare_folder(disk: Disk, seat: str, source: random.Random) -> None:
    """Prepares the data folder for a seat that was offered.

    :param source: random numbers for the incarnation.
    """
    try:
        await load_identity(disk, seat, source)
    except ColtsfootsparError:
        # Left over from the offer of another seat that expired before admission.
        await _remove_files(disk)


async def clear_folder(settings: FleetReplicaSettings) -> None:
    """Removes all files of the data folder, durably."""
    async with open_folder(settings) as disk:
        await _remove_files(disk)
        await disk.sync_folder()


async def _remove_files(disk: Disk) -> None:
    for name in await disk.list_files():
        await disk.remove(name)
