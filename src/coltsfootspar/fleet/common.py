"""Parts shared by node and replica: identity, membership, metrics page, signals."""

import contextlib
import random
import signal
import time
from collections.abc import AsyncIterator, Callable

import trio
from absl import logging

from coltsfootspar.exceptions import MembershipError
from coltsfootspar.membership import (
    Membership,
    NodeIdentity,
    create_membership,
    open_udp_port,
)
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
    "open_free_udp_port",
    "wait_for_stop_signal",
]

DEPLOYMENT = "coltsfootspar"
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_PORT_RETRY_SECONDS = 1.0
_METRICS_HEADERS = [(b"Content-Type", b"text/plain; version=0.0.4")]


def create_fleet_identity(
    settings: FleetSettings, process_id: str, role: str
) -> Identity:
    """Creates the identity with which a process authenticates to its peers.

    :param process_id: id of the node, replica or client.
    :param role: ``node``, ``replica`` or ``client``.
    """
    key = bytes.fromhex(settings.shared_key)
    return Identity(DEPLOYMENT, process_id, role, key)


def list_peer_seeds(settings: FleetSettings) -> list[Address]:
    """Lists the peer addresses of the seeds."""
    return [Address(seed.host, settings.peer_port) for seed in settings.seeds]


def create_fleet_membership(
    settings: FleetSettings,
    port: UdpPort,
    peer_address: Address,
    timers: TimerService,
    source: random.Random,
) -> Membership:
    """Creates the gossip membership of a process.

    :param port: socket for the gossip.
    :param peer_address: TCP address that the membership announces to other members.
    :param source: random numbers.
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


@contextlib.asynccontextmanager
async def open_free_udp_port(address: Address) -> AsyncIterator[UdpPort]:
    """Opens a UDP port once no other program uses it.

    For ports that a running process opens when new routes need them.
    """
    async with contextlib.AsyncExitStack() as stack:
        port = None
        while port is None:
            try:
                port = await stack.enter_async_context(open_udp_port(address))
            except MembershipError as error:
                logging.error("Trying again: %s", error)
                await trio.sleep(_PORT_RETRY_SECONDS)
        yield port


def create_metrics_handler(render: Callable[[], bytes]):
    """Creates the handler of requests for the metrics page.

    :param render: returns the page in the Prometheus text format.
    """

    async def handle(exchange: Exchange) -> None:
        await exchange.answer(200, _METRICS_HEADERS, render())

    return handle


async def wait_for_stop_signal(
    signals: AsyncIterator[int], reload: Callable[[], None]
) -> None:
    """Waits for SIGTERM or SIGINT.

    :param signals: numbers of the received signals.
    :param reload: reads the settings again; called on SIGHUP.
    """
    async for signal_number in signals:
        logging.info("Received %s", signal.Signals(signal_number).name)
        if signal_number != signal.SIGHUP:
            return
        reload()
