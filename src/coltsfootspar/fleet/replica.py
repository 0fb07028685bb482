"""Replica process: holds a seat of the cluster or waits for one."""

import functools
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import attrs
import trio
from absl import logging

from coltsfootspar import fleet
from coltsfootspar.exceptions import ColtsfootsparError, FrameError
from coltsfootspar.fleet.common import (
    DEPLOYMENT,
    HANDLED_SIGNALS,
    create_fleet_identity,
    create_fleet_membership,
    create_metrics_handler,
    list_gossip_seeds,
    list_peer_seeds,
    open_free_udp_port,
    wait_for_stop_signal,
)
from coltsfootspar.fleet.control import ReplicaControl, create_control_handler
from coltsfootspar.fleet.datafolder import (
    clear_folder,
    load_admitted_seat,
    open_folder,
    prepare_folder,
)
from coltsfootspar.fleet.holders import create_holder_resolver
from coltsfootspar.fleet.interfaces import ProtocolAdapter
from coltsfootspar.fleet.joining import SeatRequester, create_seat_requester
from coltsfootspar.fleet.metrics import add_memory_metrics, create_fleet_metrics
from coltsfootspar.fleet.offers import SeatOffers, save_seats
from coltsfootspar.fleet.reloading import SettingsFile
from coltsfootspar.fleet.seats import (
    SEAT_SERVICE_PREFIX,
    SeatMap,
    create_expected_seat_map,
    create_seat_map,
    find_seat_holder,
)
from coltsfootspar.membership import Membership, open_udp_port
from coltsfootspar.memory import ConnectionCount, create_memory_account
from coltsfootspar.relay import RelayServer, create_relay_server
from coltsfootspar.replication import (
    Disk,
    Replica,
    ReplicaLink,
    ReplicaOptions,
    create_local_link,
    create_replica,
    create_replication_client,
    format_replica,
)
from coltsfootspar.replication.core import ReplicaCore
from coltsfootspar.replication.messages import JoinReply
from coltsfootspar.routing import create_peer_links, serve_peers
from coltsfootspar.settings.fleet import FleetReplicaSettings
from coltsfootspar.timers import TimerService, create_timer_service
from coltsfootspar.wire import (
    Address,
    FrameKind,
    Message,
    Peer,
    parse_address,
    replication as codec,
)

if TYPE_CHECKING:
    from coltsfootspar.fleet.lenders import LenderService

__all__ = ["run_fleet_replica"]

_JOIN_RETRY_SECONDS = 0.5
_WATCH_PERIOD_SECONDS = 0.5
# After this time without a leader, an admitted replica asks its peers whether its seat
# was given to another host.
_LEADER_SILENCE_SECONDS = 2.5
_RESTART_DELAY_SECONDS = 0.5
_DRAIN_TIMEOUT_SECONDS = 3.0
# Share of the grace period in which another host may take the seat over.
_HANDOVER_SHARE = 0.7
_HANDOVER_PERIOD_SECONDS = 0.2
# Time in which a host without a seat asks the leader for one, and finds a new leader.
_JOIN_PATIENCE_SECONDS = 0.9
_NEW_LEADER_PATIENCE_SECONDS = 1.5
# Short timeouts, since restarted nodes wait until a leader is elected.
_REPLICA_OPTIONS = ReplicaOptions(
    heartbeat_interval=0.2, min_election_timeout=0.6, max_election_timeout=1.2
)
# Share of the descriptors for connections of nodes and other replicas. Operators may
# take half of them; the rest is for the disk and for connections to others.
_PEER_SHARE = 0.3


class _SeatLostError(Exception):
    """Another host holds the seat of this replica."""


@attrs.define(eq=False)
class FleetReplica:
    """Process that runs the replica of one seat at a time.

    Without a seat it asks for one and serves operators as a client of the cluster.

    :param seats: last known holders of the seats.
    :param _has_former_holder: true when the seat was held by another host before, which
        may be cut off and go on.
    """

    settings: FleetReplicaSettings
    adapter: ProtocolAdapter
    membership: Membership
    timers: TimerService
    _random: random.Random
    seats: SeatMap = attrs.field(init=False)
    _requester: SeatRequester = attrs.field(init=False)
    _may_bootstrap: bool = attrs.field(init=False)
    _is_stopping: bool = False
    _control: RelayServer | None = None
    _replica: Replica | None = None
    _lenders: "LenderService | None" = None
    _has_former_holder: bool = False

    def __attrs_post_init__(self) -> None:
        self._may_bootstrap = self.settings.is_first_start
        self.seats = _create_seats(self.settings)
        self._requester = create_seat_requester(
            lambda: self.settings, self.seats, self.membership
        )

    @property
    def address(self) -> Address:
        """Peer address, at which other replicas reach this process."""
        return Address(self.settings.host, self.settings.peer_port)

    def apply_settings(self, settings: FleetReplicaSettings) -> None:
        """Applies reloaded settings."""
        self.settings = settings
        self.membership.replace_seeds(list_gossip_seeds(settings))

    async def run(self, wait_for_stop: Callable[[], Awaitable[None]]) -> int:
        """Runs the process until it is told to stop.

        :param wait_for_stop: returns when the process is to stop.
        :returns: exit code.
        """
        settings = self.settings
        account = create_memory_account(settings.limits)
        count = ConnectionCount(settings.limits.descriptors)
        self._control = create_relay_server(
            self._reject_control, account=account, count=count
        )
        fleet_metrics = create_fleet_metrics()
        fleet_metrics.add_gauges(
            ("replica_term", "Term.", lambda: self._read_core("term")),
            (
                "replica_committed",
                "Committed entry.",
                lambda: self._read_core("commit_index"),
            ),
            (
                "quota_fallback",
                "1 while tokens come from the fallback share.",
                lambda: self._read_lender("is_cut_off"),
            ),
        )
        fleet_metrics.add_counters(
            ("quota_lent", "Tokens lent.", lambda: self._read_lender("lent")),
            (
                "quota_refused",
                "Requests that got no token.",
                lambda: self._read_lender("refused"),
            ),
            ("quota_lapsed", "Tokens lapsed.", lambda: self._read_lender("lapsed")),
        )
        add_memory_metrics(fleet_metrics, account, count)
        metrics = create_relay_server(
            create_metrics_handler(fleet_metrics.render), account=account, count=count
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.timers.run)
            nursery.start_soon(self.membership.run)
            nursery.start_soon(self._run_replicas)
            await nursery.start(self._control.serve, settings.control)
            address = Address(settings.host, settings.metrics_port)
            await nursery.start(metrics.serve, address)
            logging.info("Replica process %s has started", settings.id)
            await wait_for_stop()
            self._is_stopping = True
            async with trio.open_nursery() as stopping:
                stopping.start_soon(self._stop_control)
                stopping.start_soon(self._hand_over)
            await self.membership.depart()
            nursery.cancel_scope.cancel()
        logging.info("Replica process %s has stopped", settings.id)
        return 0

    async def _stop_control(self) -> None:
        """Completes the requests of operators that have arrived, refuses all others."""
        self._control.cancel_incomplete()
        with trio.move_on_after(_DRAIN_TIMEOUT_SECONDS):
            await self._control.drain()
        await self._control.expire_in_flight()

    async def _hand_over(self) -> None:
        """Hands leadership and seat over to other hosts, if there are any to take them.

        The replica goes on meanwhile, so that its seat has a vote at any time but for
        the moment in which its successor is admitted.
        """
        replica = self._replica
        if replica is None or not replica.core.identity.is_admitted:
            return
        if self._lenders is not None:
            self._lenders.lender.waive_share()
        grace_seconds = self.settings.bounds.grace_seconds
        with trio.move_on_after(grace_seconds * _HANDOVER_SHARE):
            was_leader = await replica.retire()
            patience = (
                _NEW_LEADER_PATIENCE_SECONDS if was_leader else _JOIN_PATIENCE_SECONDS
            )
            await self._hand_over_seat(replica, patience)

    async def _hand_over_seat(self, replica: Replica, patience: float) -> None:
        """Waits until the seat has another holder, or no host wants it.

        :param patience: time for a host to ask for the seat, seconds.
        """
        seat = replica.core.replica_id
        ends_at = trio.current_time() + patience
        while trio.current_time() < ends_at:
            reply = await self._requester.request_seat(is_leaving=True)
            if reply is not None and self._is_held_by_other(reply, replica):
                logging.info("%s was handed over", seat)
                self.membership.withdraw()
                return
            if reply is not None and reply.replica_id:
                ends_at = trio.current_time() + patience
            await trio.sleep(_HANDOVER_PERIOD_SECONDS)
        logging.info("No host takes %s over", seat)

    def _is_held_by_other(self, reply: JoinReply, replica: Replica) -> bool:
        """Returns true when a reply shows that another host holds the seat."""
        identity = replica.core.identity
        holder = reply.seats.get(identity.replica_id, "")
        if reply.index < max(identity.admitted_index, 1) or not holder:
            return False
        if reply.incarnations:
            incarnation = reply.incarnations.get(identity.replica_id)
            return incarnation != identity.incarnation
        return holder != str(self.address)

    def _read_core(self, name: str) -> float:
        return getattr(self._replica.core, name) if self._replica else 0

    def _read_lender(self, name: str) -> float:
        return int(getattr(self._lenders.lender, name)) if self._lenders else 0

    async def _reject_control(self, exchange) -> None:
        await exchange.answer(503, [(b"Retry-After", b"1")], b"")

    async def _run_replicas(self) -> None:
        """Acquires a seat and runs its replica, again after each failure."""
        while True:
            try:
                seat = await self._acquire_seat()
                await self._run_replica(seat)
            except* _SeatLostError:
                logging.warning("The seat was given to another host")
                self._replica = self._lenders = None
                await clear_folder(self.settings)
            except* (ColtsfootsparError, OSError) as group:
                for error in group.exceptions:
                    logging.error("The replica has failed: %s", error)
            self._control.handler = self._reject_control
            self._replica = self._lenders = None
            self.membership.withdraw()
            if self._is_stopping:
                return
            await trio.sleep(_RESTART_DELAY_SECONDS)

    async def _acquire_seat(self) -> str:
        """Returns the seat of this process and prepares the data folder for it.

        The seat is the one in the data folder, else that of the own address at the
        first start of the deployment, else one obtained by joining.
        """
        self._has_former_holder = False
        async with open_folder(self.settings) as disk:
            file_names = await disk.list_files()
            own_seat = self.seats.find_seat(str(self.address))
            # Bootstrap only once per process: a folder that is empty later belongs to
            # a lost seat, and an initial replica would cast a second vote for it.
            may_bootstrap, self._may_bootstrap = self._may_bootstrap, False
            if not file_names and may_bootstrap and own_seat:
                await format_replica(disk, DEPLOYMENT, own_seat)
                await save_seats(self.seats, disk)
                return own_seat
            seat = await load_admitted_seat(disk, self.seats, self.settings)
            if seat:
                return seat
        return await self._join()

    async def _join(self) -> str:
        """Requests a seat until one is offered, and serves operators meanwhile.

        :returns: the offered seat.
        """
        async with trio.open_nursery() as nursery:
            resolver = create_holder_resolver(self._list_holder_addresses)
            links = create_peer_links(
                create_fleet_identity(self.settings, self.settings.id, "client"),
                resolver.resolve,
            )
            nursery.start_soon(links.run)
            client = create_replication_client(self.seats.names, links, self._random)
            self._serve_operators(client)
            while True:
                reply = None
                if not self._is_stopping:
                    reply = await self._requester.request_seat()
                if reply is not None and reply.replica_id:
                    # A holder that is unknown may exist.
                    holder = self.seats.addresses.get(reply.replica_id)
                    is_held = holder not in ("", str(self.address))
                    self._has_former_holder = is_held and not reply.has_left
                    nursery.cancel_scope.cancel()
                    break
                await trio.sleep(_JOIN_RETRY_SECONDS)
        async with open_folder(self.settings) as disk:
            await prepare_folder(disk, reply.replica_id, self._random)
        return reply.replica_id

    def _list_holder_addresses(self, seat: str) -> tuple[Address | None, ...]:
        return (
            self.seats.find_address(seat),
            find_seat_holder(seat, self.membership),
        )

    async def _run_replica(self, seat: str) -> None:
        """Runs the replica of a seat until it fails.

        :raises _SeatLostError: when another host holds the seat.
        """
        settings = self.settings
        # Filled once the replica exists; the links need the look-up before that.
        offers: list[SeatOffers] = []

        def find_address_text(name: str) -> str:
            return offers[0].find_address(name) if offers else ""

        def list_addresses(name: str) -> tuple[Address | None, ...]:
            offered = offers[0].find_offered(name) if offers else ""
            if offered:
                # A connection to the former holder would keep the new one waiting.
                return (parse_address(offered),)
            return self._list_holder_addresses(name)

        identity = create_fleet_identity(settings, seat, "replica")
        resolver = create_holder_resolver(list_addresses)
        links = create_peer_links(identity, resolver.resolve)
        async with open_folder(self.settings) as disk:
            replica = await create_replica(
                seat,
                self.seats.names,
                disk=disk,
                link=links,
                timers=self.timers,
                source=self._random,
                find_address=find_address_text,
                address=str(self.address),
                options=_REPLICA_OPTIONS,
            )
            offers.append(SeatOffers(self.seats, replica, links.reconnect))
            await save_seats(self.seats, disk)

            async def handle_message(message: Message, peer: Peer) -> Message:
                if self._lenders is not None and self._lenders.handles(message):
                    return await self._lenders.handle(peer.process_id, message)
                if message.kind is FrameKind.JOIN:
                    request = codec.decode_join(message)
                    return codec.encode_join_reply(offers[0].handle_join(request))
                return await replica.handle(peer.process_id, message)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(links.run)
                await nursery.start(self._serve_peers, identity, handle_message)
                nursery.start_soon(replica.run)
                nursery.start_soon(self._watch_seat, replica, disk, seat)
                nursery.start_soon(self._run_lenders, replica.core, links)
                self._replica = replica
                seat_names = sorted(self.seats.names, key=lambda name: name != seat)
                client = create_replication_client(
                    seat_names, create_local_link(replica, links), self._random
                )
                self._serve_operators(client)
                logging.info("Holding %s", seat)

    async def _run_lenders(self, core: ReplicaCore, link: ReplicaLink) -> None:
        """Lends tokens to nodes from the time when any organisation has a limit."""
        while not core.state.routes.table.has_limits:
            await core.table_changed.wait()
        self._lenders = fleet.create_seat_lender_service(
            core,
            link,
            self.settings,
            self.seats,
            has_former_holder=self._has_former_holder,
        )
        if self._is_stopping:
            self._lenders.lender.waive_share()
        address = Address(self.settings.host, self.settings.quota_port)
        async with open_free_udp_port(address) as port:
            await self._lenders.run(port)

    async def _serve_peers(self, identity, handle_message, *, task_status) -> None:
        await serve_peers(
            self.address,
            identity,
            _reject_call,
            message_handler=handle_message,
            max_connections=int(self.settings.limits.descriptors * _PEER_SHARE),
            task_status=task_status,
        )

    def _serve_operators(self, client) -> None:
        control = ReplicaControl(client, self.adapter)
        handler = create_control_handler(self.adapter, control.serve)

        async def handle(exchange) -> None:
            # What begins now could take longer than the drain.
            serve = self._reject_control if self._is_stopping else handler.handle
            await serve(exchange)

        self._control.handler = handle

    async def _watch_seat(self, replica: Replica, disk: Disk, seat: str) -> None:
        """Announces the seat, keeps the seat map up to date and detects its loss.

        :raises _SeatLostError: when another host holds the seat.
        """
        core = replica.core
        last_check = trio.current_time()
        async for now in self.timers.subscribe(_WATCH_PERIOD_SECONDS):
            if self.seats.update(core.state.seats, core.state.index):
                await save_seats(self.seats, disk)
            if core.identity.is_admitted and not self._is_stopping:
                self.membership.announce(SEAT_SERVICE_PREFIX + seat, 1, 0.0)
            last_contact = max(
                core.last_leader_contact, core.last_caught_up, last_check
            )
            is_isolated = (
                core.leader_term is None
                and now - last_contact > _LEADER_SILENCE_SECONDS
            )
            if is_isolated or not core.identity.is_admitted:
                last_check = now
                await self._check_seat(replica, seat)

    async def _check_seat(self, replica: Replica, seat: str) -> None:
        core = replica.core
        for address in self._requester.list_peer_addresses():
            reply = await self._requester.ask(address)
            if reply is None:
                continue
            if core.identity.is_admitted:
                if self._is_held_by_other(reply, replica):
                    raise _SeatLostError
            elif reply.replica_id and reply.replica_id != seat:
                raise _SeatLostError


def _create_seats(settings: FleetReplicaSettings) -> SeatMap:
    seeds = list_peer_seeds(settings)
    if settings.is_first_start:
        return create_seat_map(seeds, settings.host_losses)
    return create_expected_seat_map(settings.host_losses)


async def _reject_call(request):
    raise FrameError("replicas serve no calls")


async def run_fleet_replica(
    settings_file: SettingsFile, adapter: ProtocolAdapter
) -> int:
    """Runs a replica process until SIGTERM or SIGINT.

    :param settings_file: settings file of the replica.
    :returns: exit code.
    :raises OSError: when the process cannot listen on one of its addresses.
    """
    settings = settings_file.settings
    source = random.SystemRandom()
    timers = create_timer_service(source)
    peer_address = Address(settings.host, settings.peer_port)
    async with open_udp_port(Address(settings.host, settings.gossip_port)) as port:
        membership = create_fleet_membership(
            settings, port, peer_address, timers, source
        )
        process = FleetReplica(settings, adapter, membership, timers, source)
        settings_file.on_change = process.apply_settings
        with trio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            wait_for_signal = functools.partial(
                wait_for_stop_signal, signals, settings_file.reload
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(settings_file.poll, timers)
                exit_code = await process.run(wait_for_signal)
                nursery.cancel_scope.cancel()
            return exit_code
