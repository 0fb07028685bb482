"""Runs a node beside a backend server."""

import functools
import random
from collections.abc import Awaitable, Callable

import attrs
import trio
from absl import logging

from coltsfootspar.fleet.common import (
    HANDLED_SIGNALS,
    create_fleet_identity,
    create_fleet_membership,
    create_metrics_handler,
    list_gossip_seeds,
    list_peer_seeds,
    wait_for_stop,
)
from coltsfootspar.fleet.control import NodeControl, create_control_handler
from coltsfootspar.fleet.interfaces import ProtocolAdapter
from coltsfootspar.fleet.metrics import FleetMetrics, create_fleet_metrics
from coltsfootspar.fleet.reloading import SettingsFile
from coltsfootspar.fleet.routecopy import RouteCopy, create_route_copy
from coltsfootspar.fleet.seats import SEAT_SERVICE_PREFIX, create_seat_map, name_seats
from coltsfootspar.membership import Membership, open_udp_port
from coltsfootspar.relay import (
    BackendServer,
    CallReceiver,
    Exchange,
    Forwarder,
    RelayServer,
    TrafficSplitter,
    create_backend_server,
    create_placement,
    create_relay_server,
    create_retry_budget,
)
from coltsfootspar.replication import ReplicationClient, create_replication_client
from coltsfootspar.routing import Candidate, PeerLinks, create_peer_links
from coltsfootspar.settings.fleet import FleetNodeSettings
from coltsfootspar.timers import TimerService, create_timer_service
from coltsfootspar.wire import Address

__all__ = ["run_fleet_node"]

_SWEEP_PERIOD = 1.0
# Time in which other nodes learn that this one leaves.
_NOTICE_SECONDS = 0.8
# After SIGTERM callers are still sent here until the host has asked twice in vain.
_TAKEN_OUT_SECONDS = 2.3
# Part of the grace time in which the requests in progress may end.
_FINISH_SHARE = 0.9
_READY = [(b"Content-Type", b"text/plain")]


@attrs.define(eq=False)
class FleetDirectory:
    """Nodes and replicas as the membership knows them."""

    _settings: FleetNodeSettings
    _membership: Membership

    def list_candidates(self, service: str) -> tuple[Candidate, ...]:
        """Lists the reachable nodes whose backend server offers a service."""
        return self._membership.list_candidates(service)

    def find_address(self, node_id: str) -> Address | None:
        """Returns where a node takes calls of other nodes."""
        member = self._membership.get_member(node_id)
        return member.peer_address if member is not None else None

    def find_replica(self, seat: str) -> Address | None:
        """Returns where the replica that holds a seat is to be reached."""
        holders = [
            self._membership.get_member(candidate.node_id)
            for candidate in self.list_candidates(SEAT_SERVICE_PREFIX + seat)
        ]
        if holders:
            return max(holders, key=lambda member: member.incarnation).peer_address
        # Before anything is known, the seats are at the seeds of the first start.
        return create_seat_map(list_peer_seeds(self._settings)).find_address(seat)


@attrs.define(eq=False)
class FleetNode:
    """All parts of a node."""

    file: SettingsFile
    timers: TimerService
    membership: Membership
    links: PeerLinks
    client: ReplicationClient
    routes: RouteCopy
    backend: BackendServer
    forwarder: Forwarder
    outbound: RelayServer
    inbound: RelayServer
    receiver: CallReceiver
    control: RelayServer
    ready: RelayServer
    metrics: RelayServer
    is_stopping: bool = False

    @property
    def settings(self) -> FleetNodeSettings:
        """Settings in force."""
        return self.file.settings

    def apply_settings(self, settings: FleetNodeSettings) -> None:
        """Takes over settings that have changed."""
        self.membership.replace_seeds(list_gossip_seeds(settings))
        bounds = settings.bounds
        self.forwarder.set_retry_limits(bounds.repeat_ratio, bounds.repeat_extra)

    async def run(self, wait_for_stop: Callable[[], Awaitable[None]]) -> int:
        """Runs until it is to stop.

        :param wait_for_stop: returns when the process is to stop.
        :returns: exit code; 0 when no request was cut.
        """
        settings = self.settings
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.timers.run)
            nursery.start_soon(self.links.run)
            nursery.start_soon(self.membership.run)
            nursery.start_soon(self.routes.follow, self.client)
            nursery.start_soon(self._sweep)
            nursery.start_soon(self.file.follow, self.timers)
            await nursery.start(self.control.serve, settings.control)
            await nursery.start(self.inbound.serve, settings.inbound)
            await nursery.start(self.outbound.serve, settings.outbound)
            await nursery.start(self.ready.serve, settings.ready)
            address = Address(settings.host, settings.metrics_port)
            await nursery.start(self.metrics.serve, address)
            logging.info("Node %s has started", settings.id)
            await wait_for_stop()
            is_clean = await self._stop()
            await self.membership.depart()
            nursery.cancel_scope.cancel()
        counters = self.forwarder.counters
        logging.info(
            "Node %s has stopped, clean: %s, served: %d, begun calls: %d",
            settings.id,
            is_clean,
            counters.served,
            counters.nested,
        )
        return 0 if is_clean else 3

    async def answer_ready(self, exchange: Exchange) -> None:
        """Tells the host whether the node takes requests."""
        is_ready = self.routes.version > 0 and not self.is_stopping
        await exchange.answer(200 if is_ready else 503, _READY, b"")

    async def _stop(self) -> bool:
        self.is_stopping = True
        self.membership.leave()
        self.outbound.is_draining = True
        self.inbound.is_draining = True
        finish = self.settings.bounds.grace_seconds * _FINISH_SHARE
        with trio.move_on_after(finish):
            await trio.sleep(_NOTICE_SECONDS)
            self.receiver.is_leaving = True
            await trio.sleep(_TAKEN_OUT_SECONDS - _NOTICE_SECONDS)
            # Calls in progress make calls of their own until they end.
            await self.inbound.drain()
            await self.outbound.drain()
            return True
        cut = len(self.outbound.exchanges) + len(self.inbound.exchanges)
        logging.warning("Stopped with %d requests in progress", cut)
        await self.inbound.expire_in_flight()
        await self.outbound.expire_in_flight()
        return False

    async def _sweep(self) -> None:
        async for now in self.timers.subscribe(_SWEEP_PERIOD):
            self.backend.expire_stale(now)
            self.forwarder.drop_idle(now)
            members = self.membership.list_members()
            present = {member.node_id for member in members if member.is_present}
            self.forwarder.update_nodes(present)
            limits = self.routes.table.limits
            self.outbound.limits = limits
            self.inbound.limits = attrs.evolve(
                limits, header_bytes=2 * limits.header_bytes
            )


@attrs.define(eq=False)
class _BackendAnnouncer:
    """Tells other nodes what the own backend server offers."""

    _membership: Membership
    backend: BackendServer | None = None

    def announce(self) -> None:
        """Spreads the present state of the backend server."""
        report = self.backend.report
        if not self.backend.service:
            self._membership.withdraw()
            return
        self._membership.announce(report.service, report.slots, report.warm_in)


async def run_fleet_node(file: SettingsFile, adapter: ProtocolAdapter) -> int:
    """Runs a node until SIGTERM or SIGINT.

    :param file: with the settings of a node.
    :returns: exit code; 0 when no request was cut.
    :raises OSError: when an address cannot be listened on.
    """
    settings = file.settings
    async with open_udp_port(Address(settings.host, settings.gossip_port)) as port:
        node = _create_node(file, adapter, port)
        with trio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            return await node.run(
                functools.partial(wait_for_stop, signals, file.reload)
            )


def _create_node(file: SettingsFile, adapter: ProtocolAdapter, port) -> FleetNode:
    settings = file.settings
    source = random.SystemRandom()
    timers = create_timer_service(source)
    membership = create_fleet_membership(
        settings, port, settings.inbound, timers, source
    )
    directory = FleetDirectory(settings, membership)
    links = create_peer_links(
        create_fleet_identity(settings, settings.id, "node"), directory.find_replica
    )
    seats = list(name_seats(len(settings.seeds)))
    source.shuffle(seats)
    client = create_replication_client(seats, links, source)
    routes = create_route_copy()
    announcer = _BackendAnnouncer(membership)
    backend = create_backend_server(adapter.names, announcer.announce)
    announcer.backend = backend
    bounds = settings.bounds
    forwarder = Forwarder(
        settings.id,
        settings.host,
        settings.service,
        routes,
        directory,
        create_placement(settings.data_centre, source),
        create_retry_budget(
            bounds.repeat_ratio, bounds.repeat_extra, bounds.repeat_window_seconds
        ),
        TrafficSplitter(),
        backend,
        adapter.names,
    )
    page = create_fleet_metrics()
    forwarder.counters.observe_seconds = page.observe_seconds
    receiver = CallReceiver(backend, adapter.names)
    control = create_control_handler(
        adapter, NodeControl(backend, settings.service).serve
    )
    node = FleetNode(
        file=file,
        timers=timers,
        membership=membership,
        links=links,
        client=client,
        routes=routes,
        backend=backend,
        forwarder=forwarder,
        outbound=create_relay_server(forwarder.handle),
        inbound=create_relay_server(receiver.handle),
        receiver=receiver,
        control=create_relay_server(control.handle),
        ready=create_relay_server(lambda exchange: node.answer_ready(exchange)),
        metrics=create_relay_server(create_metrics_handler(page.render)),
    )
    _add_metrics(page, node)
    file.on_change = node.apply_settings
    return node


def _add_metrics(page: FleetMetrics, node: FleetNode) -> None:
    counters, limiter = node.forwarder.counters, node.backend.limiter
    prefix = "coltsfootspar_"
    page.add_counter(
        f"{prefix}served_total", "Requests served.", lambda: counters.served
    )
    page.add_counter(
        f"{prefix}refused_total", "Requests refused.", lambda: counters.refused
    )
    page.add_counter(
        f"{prefix}failed_total", "Requests failed.", lambda: counters.failed
    )
    page.add_counter(
        f"{prefix}repeats_total", "Repeated sends.", lambda: counters.retries
    )
    page.add_counter(
        f"{prefix}begun_total", "Calls of begun requests.", lambda: counters.nested
    )
    page.add_gauge(f"{prefix}slots_in_use", "Slots in use.", lambda: limiter.in_use)
    page.add_gauge(f"{prefix}slots", "Slots of the server.", lambda: limiter.limit)
    page.add_counter(
        f"{prefix}connections_opened_total",
        "Connections opened to the backend server.",
        lambda: node.backend.connections_opened,
    )
    page.add_gauge(
        f"{prefix}waiting", "Calls that wait for a slot.", lambda: limiter.load.waiting
    )
    page.add_gauge(
        f"{prefix}routes_version", "Version in force.", lambda: node.routes.version
    )
