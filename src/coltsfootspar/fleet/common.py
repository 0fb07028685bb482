"""What both programs share: identity, membership, metrics page."""

import random
import signal
import time
from collections.abc import AsyncIterator, Callable

from absl import logging

from coltsfootspar.membership import Membership, NodeIdentity, create_membership
from coltsfootspar.membership.ports import UdpPort
from coltsfootspar.relay import Exchange
from coltsfootspar.settings.fleet import FleetSettings
from coltsfootspar.timers import TimerService
from coltsfootspar.wire import Address, Identity

__all__ = [
    "DEPLOYMENT",
    "HANDLED_SIGNALS",
    "create_fleet_identity",
    "create_fleet_membership",
    "create_metrics_handler",
    "list_gossip_seeds",
    "list_peer_seeds",
    "wait_for_stop",
]

DEPLOYMENT = "coltsfootspar"
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_METRICS_TYPE = [(b"Content-Type", b"text/plain; version=0.0.4")]


def create_fleet_identity(
    settings: FleetSettings, process_id: str, role: str
) -> Identity:
    """Creates the identity of a process on internal connections."""
    key = bytes.fromhex(settings.shared_key)
    return Identity(DEPLOYMENT, process_id, role, key)


def list_peer_seeds(settings: FleetSettings) -> list[Address]:
    """Lists where the processes at the seeds serve the internal protocol."""
    return [Address(seed.host, settings.peer_port) for seed in settings.seeds]


def create_fleet_membership(
    settings: FleetSettings,
    port: UdpPort,
    peer_address: Address,
    timers: TimerService,
    source: random.Random,
) -> Membership:
    """Creates the membership of a process.

    :param peer_address: where others reach it over TCP.
    """
    identity = NodeIdentity(
        settings.id,
        settings.region,
        settings.data_centre,
        Address(settings.host, settings.gossip_port),
        peer_address,
        time.time_ns() // 1_000_000,
    )
    key = bytes.fromhex(settings.shared_key)
    return create_membership(
        identity, list_gossip_seeds(settings), port, key, timers, source
    )


def list_gossip_seeds(settings: FleetSettings) -> list[Address]:
    """Lists the gossip addresses of the seeds on other hosts."""
    return [
        Address(seed.host, settings.gossip_port)
        for seed in settings.seeds
        if seed.host != settings.host
    ]


def create_metrics_handler(render: Callable[[], bytes]):
    """Creates the handler of the metrics page."""

    async def handle(exchange: Exchange) -> None:
        await exchange.answer(200, _METRICS_TYPE, render())

    return handle


async def wait_for_stop(
    signals: AsyncIterator[int], reload: Callable[[], None]
) -> None:
    """Waits for SIGTERM or SIGINT.

    :param reload: reads the settings again, called at SIGHUP.
    """
    async for number in signals:
        logging.info("Received %s", signal.Signals(number).name)
        if number != signal.SIGHUP:
            return
        reload()
