"""Node process: relays calls to and from the backend server on its host."""

import functools
import math
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import attrs
import trio
from absl import logging

from coltsfootspar import fleet
from coltsfootspar.fleet.capacity import (
    RateAnnouncement,
    add_capacity_metrics,
    create_capacity,
)
from coltsfootspar.fleet.common import (
    HANDLED_SIGNALS,
    create_fleet_identity,
    create_fleet_membership,
    create_metrics_handler,
    list_gossip_seeds,
    list_peer_seeds,
    wait_for_stop_signal,
)
from coltsfootspar.fleet.control import NodeControl, create_control_handler
from coltsfootspar.fleet.departures import (
    DepartureRecorder,
    create_departure_recorder,
)
from coltsfootspar.fleet.interfaces import ProtocolAdapter
from coltsfootspar.fleet.metrics import (
    FleetMetrics,
    add_memory_metrics,
    create_fleet_metrics,
)
from coltsfootspar.fleet.reloading import SettingsFile
from coltsfootspar.fleet.routecopy import RouteCopy, create_route_copy
from coltsfootspar.fleet.seats import (
    count_expected_seats,
    create_seat_map,
    find_seat_holder,
    name_seats,
)
from coltsfootspar.logs import log_decision
from coltsfootspar.membership import Membership, open_udp_port
from coltsfootspar.memory import ConnectionCount, create_memory_account
from coltsfootspar.relay import (
    AheadLimits,
    BackendServer,
    CallReceiver,
    CrashNotifier,
    Exchange,
    Forwarder,
    HeaderNames,
    RelayServer,
    RevocationPolicy,
    TrafficSplitter,
    create_backend_server,
    create_crash_notifier,
    create_peer_handler,
    create_placement,
    create_relay_server,
    create_retry_budget,
    create_room_gate,
)
from coltsfootspar.replication import ReplicationClient, create_replication_client
from coltsfootspar.routes import ClientLimits, RouteTable
from coltsfootspar.routing import Candidate, PeerLinks, create_peer_links
from coltsfootspar.settings.fleet import (
    CapacitySettings,
    FleetBounds,
    FleetNodeSettings,
)
from coltsfootspar.timers import TimerService, create_timer_service
from coltsfootspar.wire import Address

if TYPE_CHECKING:
    from coltsfootspar.fleet.allowances import AllowanceService

__all__ = ["run_fleet_node"]

_MAINTENANCE_PERIOD_SECONDS = 1.0
# Time for the gossip that this node leaves to reach the other nodes; after it, calls
# of other nodes are refused.
_LEAVE_PROPAGATION_SECONDS = 0.8
# After SIGTERM the host still sends callers here until two of its readiness checks
# have failed.
_READINESS_LAG_SECONDS = 2.3
# Most that these two times may be of the grace period.
_LEAVE_PROPAGATION_SHARE = 0.15
_READINESS_LAG_SHARE = 0.4
# Share of the grace period in which requests in flight may complete.
_DRAIN_SHARE = 0.95
_READY_HEADERS = [(b"Content-Type", b"text/plain")]


@attrs.define(eq=False)
class FleetDirectory:
    """Looks up nodes and replicas in the membership."""

    _settings: FleetNodeSettings
    _membership: Membership

    def list_candidates(self, service: str) -> tuple[Candidate, ...]:
        """Lists the reachable nodes whose backend server provides a service."""
        return self._membership.list_candidates(service)

    def find_address(self, node_id: str) -> Address | None:
        """Returns the address at which a node accepts calls of other nodes.

        :returns: None when the node is not a member.
        """
        member = self._membership.get_member(node_id)
        return member.peer_address if member is not None else None

    def find_replica(self, seat: str) -> Address | None:
        """Returns the address of the replica that holds a seat.

        :returns: None when no seat has this name or it has never been held.
        """
        address = find_seat_holder(seat, self._membership)
        if address is not None:
            return address
        # Until a holder is known, assume the seats of the first start, at the seeds.
        settings = self._settings
        seats = create_seat_map(list_peer_seeds(settings), settings.host_losses)
        return seats.find_address(seat)


@attrs.define(eq=False)
class FleetNode:
    """Components of a node.

    :param outbound: serves the requests of callers on the local host.
    :param inbound: serves the calls of other nodes.
    :param ready: serves the readiness checks of the host.
    :param metrics: serves the metrics page.
    :param find_replica: returns the address of the replica that holds a seat.
    :param allowances: keeps organisations within their rates, once any has a limit.
    :param announce: announces the state of the backend server in the membership.
    """

    settings_file: SettingsFile
    names: HeaderNames
    timers: TimerService
    membership: Membership
    find_replica: Callable[[str], Address | None]
    links: PeerLinks
    client: ReplicationClient
    routes: RouteCopy
    backend: BackendServer
    forwarder: Forwarder
    outbound: RelayServer
    inbound: RelayServer
    receiver: CallReceiver
    notifier: CrashNotifier
    departures: DepartureRecorder
    control: RelayServer
    ready: RelayServer
    metrics: RelayServer
    announce: Callable[[], None]
    is_stopping: bool = False
    allowances: "AllowanceService | None" = None
    _nursery: trio.Nursery | None = None
    _capacity_settings: CapacitySettings = attrs.field(init=False)

    @_capacity_settings.default
    def _get_capacity_settings(self) -> CapacitySettings:
        return self.settings_file.settings.capacity

    @property
    def settings(self) -> FleetNodeSettings:
        """Settings in force."""
        return self.settings_file.settings

    def apply_settings(self, settings: FleetNodeSettings) -> None:
        """Applies reloaded settings."""
        self.membership.replace_seeds(list_gossip_seeds(settings))
        bounds = settings.bounds
        self.forwarder.set_retry_limits(bounds.repeat_ratio, bounds.repeat_extra)
        self.backend.set_retry_ratio(bounds.repeat_ratio)
        self.forwarder.identifier.policy = _create_revocation_policy(bounds)
        if settings.capacity != self._capacity_settings:
            self._capacity_settings = settings.capacity
            self.backend.limiter.capacity = create_capacity(settings.capacity)

    def apply_limits(self, limits: ClientLimits) -> None:
        """Applies the limits of callers, with room for the headers of nodes."""
        self.outbound.limits = limits
        self.inbound.limits = attrs.evolve(limits, header_bytes=2 * limits.header_bytes)

    def apply_routes(self, table: RouteTable) -> None:
        """Begins to keep organisations within their rates once any has a limit."""
        if self.allowances is not None or not table.has_limits:
            return
        self.allowances = fleet.create_seat_allowance_service(
            self.settings,
            self.membership,
            self.find_replica,
            lambda: self.client.replica_ids,
        )
        members = self.membership.list_members()
        present = sum(member.is_present for member in members)
        self.allowances.outage.update_nodes(present)
        self.forwarder.quota_gate = self.allowances
        self._nursery.start_soon(self.allowances.run)

    async def run(self, wait_for_stop: Callable[[], Awaitable[None]]) -> int:
        """Runs the node until it is told to stop.

        :param wait_for_stop: returns when the process is to stop.
        :returns: exit code; 0 when all requests in flight have completed, else 3.
        """
        settings = self.settings
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.timers.run)
            nursery.start_soon(self.links.run)
            nursery.start_soon(self.membership.run)
            nursery.start_soon(self.routes.follow, self.client)
            nursery.start_soon(self._run_maintenance)
            nursery.start_soon(self.notifier.run, self.timers)
            nursery.start_soon(self.departures.run)
            nursery.start_soon(self.settings_file.poll, self.timers)
            await nursery.start(self.control.serve, settings.control)
            await nursery.start(self.inbound.serve, settings.inbound)
            await nursery.start(self.outbound.serve, settings.outbound)
            await nursery.start(self.ready.serve, settings.ready)
            address = Address(settings.host, settings.metrics_port)
            await nursery.start(self.metrics.serve, address)
            logging.info("Node %s has started", settings.id)
            await wait_for_stop()
            is_clean = await self._stop()
            async with trio.open_nursery() as last:
                last.start_soon(self.membership.depart)
                self.control.is_draining = True
                last.start_soon(self.control.expire_in_flight)
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

    async def handle_readiness(self, exchange: Exchange) -> None:
        """Answers a readiness check: 200 when the node accepts requests, else 503."""
        is_ready = self.routes.version > 0 and not self.is_stopping
        await exchange.answer(200 if is_ready else 503, _READY_HEADERS, b"")

    async def _stop(self) -> bool:
        stopped_at = trio.current_time()
        self.is_stopping = True
        self.membership.leave()
        self.outbound.is_draining = True
        self.inbound.is_draining = True
        ends_at = stopped_at + self.settings.bounds.grace_seconds * _DRAIN_SHARE
        with trio.move_on_at(ends_at):
            await self._finish_requests(stopped_at, ends_at)
            return True
        await self._expire_requests(stopped_at)
        return False

    async def _finish_requests(self, stopped_at: float, ends_at: float) -> None:
        """Refuses further requests step by step and waits for those in progress.

        :param stopped_at: when the stop began, trio clock, seconds.
        :param ends_at: when requests in progress are ended, trio clock, seconds.
        """
        grace = self.settings.bounds.grace_seconds
        propagation = min(_LEAVE_PROPAGATION_SECONDS, grace * _LEAVE_PROPAGATION_SHARE)
        lag = min(_READINESS_LAG_SECONDS, grace * _READINESS_LAG_SHARE)
        await trio.sleep_until(stopped_at + propagation)
        self.receiver.is_leaving = True
        await trio.sleep_until(stopped_at + lag)
        # A request with a later deadline could be cut while a server is at work.
        self.forwarder.ends_at = ends_at
        self.outbound.close_idle()
        # Inbound first: calls in flight make outbound calls until they complete.
        self.inbound.cancel_incomplete()
        await self.inbound.drain()
        self.forwarder.ends_at = -math.inf
        self.outbound.cancel_incomplete()
        await self.outbound.drain()

    async def _expire_requests(self, stopped_at: float) -> None:
        """Ends the requests in progress.

        :param stopped_at: when the stop began, trio clock, seconds.
        """
        self.forwarder.ends_at = -math.inf
        in_flight = len(self.outbound.exchanges) + len(self.inbound.exchanges)
        logging.warning("Grace period expired with %d requests in flight", in_flight)
        self._log_in_flight(stopped_at)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.inbound.expire_in_flight)
            nursery.start_soon(self.outbound.expire_in_flight)

    def _log_in_flight(self, stopped_at: float) -> None:
        """Writes a line for each request in progress.

        :param stopped_at: when the stop began, trio clock, seconds.
        """
        now = trio.current_time()
        for side, server in (("caller", self.outbound), ("node", self.inbound)):
            for exchange in server.exchanges:
                request = exchange.request
                log_decision(
                    "cut-at-stop",
                    request=request.find(self.names.request_id.lower()),
                    side=side,
                    arrived=round(request.arrived_at - stopped_at, 3),
                    elapsed=round(now - request.arrived_at, 3),
                    sent_to=sorted(exchange.sent_to),
                    is_complete=request.is_complete,
                    has_answered=exchange.has_answered,
                )

    async def _run_maintenance(self) -> None:
        async for now in self.timers.subscribe(_MAINTENANCE_PERIOD_SECONDS):
            self.backend.expire_stale(now)
            self.announce()
            self.forwarder.drop_idle(now)
            members = self.membership.list_members()
            present_ids = {member.node_id for member in members if member.is_present}
            self.forwarder.update_nodes(present_ids)
            if self.allowances is not None:
                self.allowances.outage.update_nodes(len(present_ids))
            self.apply_limits(self.routes.table.limits)


@attrs.define(eq=False)
class _BackendAnnouncer:
    """Announces the service of the local backend server in the membership."""

    _membership: Membership
    _settings_file: SettingsFile
    backend: BackendServer | None = None
    _rate: RateAnnouncement = attrs.field(factory=RateAnnouncement)

    def announce(self) -> None:
        """Announces the current state of the backend server or withdraws it."""
        report = self.backend.report
        if not self.backend.service:
            self._membership.withdraw()
            return
        rate = 0.0
        if self._settings_file.settings.capacity.announces_rate:
            rate = self.backend.limiter.capacity.calls_per_second
        self._membership.announce(
            report.service,
            report.slots,
            report.warm_in,
            self._rate.update(rate, trio.current_time()),
        )


async def run_fleet_node(settings_file: SettingsFile, adapter: ProtocolAdapter) -> int:
    """Runs a node until SIGTERM or SIGINT.

    :param settings_file: settings file of the node.
    :returns: exit code; 0 when all requests in flight have completed, else 3.
    :raises OSError: when the node cannot listen on one of its addresses.
    """
    settings = settings_file.settings
    async with open_udp_port(Address(settings.host, settings.gossip_port)) as port:
        node = _create_node(settings_file, adapter, port)
        with trio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            return await node.run(
                functools.partial(wait_for_stop_signal, signals, settings_file.reload)
            )


def _create_node(
    settings_file: SettingsFile, adapter: ProtocolAdapter, port
) -> FleetNode:
    settings = settings_file.settings
    source = random.SystemRandom()
    timers = create_timer_service(source)
    membership = create_fleet_membership(
        settings, port, settings.inbound, timers, source
    )
    directory = FleetDirectory(settings, membership)
    links = create_peer_links(
        create_fleet_identity(settings, settings.id, "node"), directory.find_replica
    )
    # The replicas tell which seats there are.
    seats = list(name_seats(count_expected_seats(settings.host_losses)))
    source.shuffle(seats)
    client = create_replication_client(seats, links, source)
    routes = create_route_copy()
    announcer = _BackendAnnouncer(membership, settings_file)
    bounds = settings.bounds
    account = create_memory_account(settings.limits)
    backend = create_backend_server(
        adapter.names, announcer.announce, bounds.repeat_ratio, account
    )
    backend.limiter.capacity = create_capacity(settings.capacity)
    announcer.backend = backend
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
        account,
    )
    forwarder.identifier.policy = _create_revocation_policy(bounds)
    fleet_metrics = create_fleet_metrics()
    forwarder.entry_gate = create_room_gate(backend.signals)
    forwarder.counters.observe_seconds = fleet_metrics.observe_seconds
    receiver = CallReceiver(backend, adapter.names)
    notifier = create_crash_notifier(
        settings.id,
        backend.guard,
        directory,
        lambda: backend.report.service if backend.report is not None else "",
        source,
    )
    departures = create_departure_recorder(settings.id, client, backend)
    own_addresses = frozenset(
        {
            settings.inbound,
            settings.outbound,
            settings.ready,
            settings.control,
            Address(settings.host, settings.metrics_port),
        }
    )
    node_control = NodeControl(backend, settings.service, departures, own_addresses)
    control = create_control_handler(adapter, node_control.serve)
    count = ConnectionCount(settings.limits.descriptors)
    node = FleetNode(
        settings_file=settings_file,
        names=adapter.names,
        timers=timers,
        membership=membership,
        find_replica=directory.find_replica,
        links=links,
        client=client,
        routes=routes,
        backend=backend,
        forwarder=forwarder,
        outbound=create_relay_server(
            forwarder.handle,
            _create_ahead_limits(settings),
            account=account,
            count=count,
        ),
        inbound=create_relay_server(
            create_peer_handler(receiver.handle, notifier),
            account=account,
            count=count,
            is_for_peers=True,
        ),
        receiver=receiver,
        notifier=notifier,
        departures=departures,
        control=create_relay_server(control.handle, account=account, count=count),
        ready=create_relay_server(
            lambda exchange: node.handle_readiness(exchange),
            account=account,
            count=count,
        ),
        metrics=create_relay_server(
            create_metrics_handler(fleet_metrics.render), account=account, count=count
        ),
        announce=announcer.announce,
    )
    for server in (node.outbound, node.inbound):
        server.has_waiting = lambda: backend.limiter.load.waiting > 0
    node.apply_limits(ClientLimits())
    _add_metrics(fleet_metrics, node)
    add_memory_metrics(fleet_metrics, account, count)
    add_capacity_metrics(fleet_metrics, backend.limiter)
    settings_file.on_change = node.apply_settings
    routes.on_change = node.apply_routes
    return node


def _create_revocation_policy(bounds: FleetBounds) -> RevocationPolicy:
    return RevocationPolicy(bounds.revocation_seconds, bounds.stops_when_cut_off)


def _create_ahead_limits(settings: FleetNodeSettings) -> AheadLimits | None:
    if settings.requests_ahead == 1:
        return None
    return AheadLimits(settings.requests_ahead, settings.bytes_ahead)


def _add_metrics(fleet_metrics: FleetMetrics, node: FleetNode) -> None:
    def read_allowances(name: str) -> int:
        return getattr(node.allowances.counters, name) if node.allowances else 0

    counters, limiter = node.forwarder.counters, node.backend.limiter
    identifier = node.forwarder.identifier
    fleet_metrics.add_counters(
        ("served", "Requests served.", lambda: counters.served),
        ("refused", "Requests refused.", lambda: counters.refused),
        ("failed", "Requests failed.", lambda: counters.failed),
        ("repeats", "Repeated sends.", lambda: counters.retries),
        ("begun", "Calls of begun requests.", lambda: counters.nested),
        (
            "unknown_keys",
            "Requests refused with 401 for a missing or unknown key.",
            lambda: identifier.unknown_keys,
        ),
        (
            "withdrawn_keys",
            "Requests whose key was withdrawn before they reached a server.",
            lambda: identifier.withdrawn_keys,
        ),
        (
            "unconfirmed_keys",
            "Requests refused since the node may have missed a change of the keys.",
            lambda: identifier.outdated,
        ),
        (
            "connections_ahead",
            "Connections of callers on which a request was sent ahead.",
            lambda: node.outbound.connections_ahead,
        ),
        (
            "connections_opened",
            "Connections opened to the backend server.",
            lambda: node.backend.connections_opened,
        ),
        (
            "backend_crashes",
            "Crashes of the backend server.",
            lambda: node.backend.guard.detector.crashes,
        ),
        (
            "quota_granted",
            "Requests within the limit of their organisation.",
            lambda: read_allowances("granted"),
        ),
        (
            "quota_refused",
            "Requests above the limit of their organisation.",
            lambda: read_allowances("refused"),
        ),
        (
            "quota_unavailable",
            "Requests refused since no lender granted tokens.",
            lambda: read_allowances("unavailable"),
        ),
    )
    gate, signals = node.forwarder.entry_gate, node.backend.signals
    fleet_metrics.add_counter_by_service(
        "refused_no_room",
        "Requests refused at this node since a service had no room.",
        lambda: gate.refused,
    )
    fleet_metrics.add_gauge_by_service(
        "room_threshold",
        "First refused position in the order of admission.",
        lambda: {signal.service: signal.position for signal in signals.list_signals()},
    )
    fleet_metrics.add_gauges(
        ("slots_in_use", "Slots in use.", lambda: limiter.in_use),
        ("slots", "Slots of the server.", lambda: limiter.limit),
        ("waiting", "Calls that wait for a slot.", lambda: limiter.load.waiting),
        (
            "organisations",
            "Organisations in the routes.",
            lambda: len(node.routes.table.organisations),
        ),
        ("routes_version", "Version in force.", lambda: node.routes.version),
        (
            "blocked_requests",
            "Requests kept away because servers crashed under them.",
            lambda: len(node.backend.guard.records.list_blocked()),
        ),
    )
