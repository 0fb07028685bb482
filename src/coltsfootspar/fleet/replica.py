"""Runs a process on a host with a disk: it holds a seat, or waits for one."""

import contextlib
import functools
import random
from collections.abc import Awaitable, Callable

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import ColtsfootsparError, FrameError
from coltsfootspar.fleet.common import (
    DEPLOYMENT,
    HANDLED_SIGNALS,
    create_fleet_identity,
    create_fleet_membership,
    create_metrics_handler,
    list_gossip_seeds,
    list_peer_seeds,
    wait_for_stop,
)
from coltsfootspar.fleet.control import ReplicaControl, create_control_handler
from coltsfootspar.fleet.interfaces import Dialect
from coltsfootspar.fleet.metrics import create_fleet_metrics
from coltsfootspar.fleet.peers import ask_address
from coltsfootspar.fleet.reloading import SettingsFile
from coltsfootspar.fleet.seats import (
    SEAT_SERVICE,
    SeatMap,
    SeatOffers,
    create_seat_map,
)
from coltsfootspar.membership import Membership, open_udp_port
from coltsfootspar.relay import RelayServer, create_relay_server
from coltsfootspar.replication import (
    Disk,
    Replica,
    ReplicaOptions,
    create_local_link,
    create_replica,
    create_replication_client,
    format_replica,
    open_disk,
)
from coltsfootspar.replication.identity import load_identity
from coltsfootspar.replication.messages import JoinReply, JoinRequest
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

__all__ = ["run_fleet_replica"]

_JOIN_PERIOD = 0.5
_ASK_SECONDS = 0.4
_WATCH_PERIOD = 0.5
# An admitted replica without a leader for this time asks whether it was replaced.
_SILENCE_SECONDS = 2.5
_RESTART_PAUSE = 0.5
_STOP_SECONDS = 3.0
# Short, since nodes that have restarted wait for a leader.
_OPTIONS = ReplicaOptions(
    heartbeat_interval=0.2, min_election_timeout=0.6, max_election_timeout=1.2
)
_IDENTITY_NAME = "identity"


class _SeatLostError(Exception):
    """The seat was given to another host."""


@attrs.define(eq=False)
class FleetReplica:
    """A process on a host with a disk.

    :param seats: where each seat is, as far as this process knows.
    """

    settings: FleetReplicaSettings
    dialect: Dialect
    membership: Membership
    timers: TimerService
    seats: SeatMap
    _random: random.Random
    _may_form: bool = attrs.field(init=False)
    _control: RelayServer | None = None
    _replica: Replica | None = None

    def __attrs_post_init__(self) -> None:
        self._may_form = self.settings.is_first_start

    @property
    def address(self) -> Address:
        """Where other replicas reach this process."""
        return Address(self.settings.host, self.settings.peer_port)

    def apply_settings(self, settings: FleetReplicaSettings) -> None:
        """Takes over settings that have changed."""
        self.settings = settings
        self.membership.replace_seeds(list_gossip_seeds(settings))

    async def run(self, wait_for_stop: Callable[[], Awaitable[None]]) -> int:
        """Runs until it is to stop.

        :param wait_for_stop: returns when the process is to stop.
        :returns: exit code.
        """
        settings = self.settings
        self._control = create_relay_server(self._refuse_control)
        page = create_fleet_metrics()
        prefix = "coltsfootspar_replica_"
        page.add_gauge(f"{prefix}term", "Term.", lambda: self._get("term"))
        page.add_gauge(
            f"{prefix}committed", "Committed entry.", lambda: self._get("commit_index")
        )
        metrics = create_relay_server(create_metrics_handler(page.render))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.timers.run)
            nursery.start_soon(self.membership.run)
            nursery.start_soon(self._hold_seats)
            await nursery.start(self._control.serve, settings.control)
            address = Address(settings.host, settings.metrics_port)
            await nursery.start(metrics.serve, address)
            logging.info("Replica process %s has started", settings.id)
            await wait_for_stop()
            with trio.move_on_after(_STOP_SECONDS):
                await self._control.drain()
            await self.membership.depart()
            nursery.cancel_scope.cancel()
        logging.info("Replica process %s has stopped", settings.id)
        return 0

    def _get(self, name: str) -> float:
        return getattr(self._replica.core, name) if self._replica else 0

    async def _refuse_control(self, exchange) -> None:
        await exchange.answer(503, [(b"Retry-After", b"1")], b"")

    async def _hold_seats(self) -> None:
        """Holds a seat, or waits for one, again after each failure."""
        while True:
            try:
                seat = await self._find_own_seat()
                await self._hold_seat(seat)
            except* _SeatLostError:
                logging.warning("The seat was given to another host")
                await self._clear_folder()
            except* (ColtsfootsparError, OSError) as group:
                for error in group.exceptions:
                    logging.error("The replica has failed: %s", error)
            self._control.handler = self._refuse_control
            self._replica = None
            self.membership.withdraw()
            await trio.sleep(_RESTART_PAUSE)

    async def _find_own_seat(self) -> str:
        """Finds the seat in the data folder, at the first start, or by joining."""
        async with self._open_disk() as disk:
            names = await disk.list_files()
            own = self.seats.find_seat(str(self.address))
            # Only once: an empty folder later is that of a lost seat, and an
            # initial replica would vote a second time in its place.
            may_form, self._may_form = self._may_form, False
            if not names and may_form and own:
                await format_replica(disk, DEPLOYMENT, own)
                await self.seats.save(disk)
                return own
            if _IDENTITY_NAME in names:
                # The id is checked against the folder, so it is read first.
                seat = await self._read_seat(disk)
                if seat:
                    return seat
        return await self._join()

    async def _read_seat(self, disk: Disk) -> str:
        for seat in self.seats.names:
            with contextlib.suppress(ColtsfootsparError):
                identity = await load_identity(disk, seat, self._random)
                if identity.is_admitted:
                    await self.seats.load(disk)
                    return seat
        return ""

    async def _join(self) -> str:
        """Asks for a seat until one is offered; serves operators meanwhile."""
        async with trio.open_nursery() as nursery:
            links = create_peer_links(
                create_fleet_identity(self.settings, self.settings.id, "client"),
                self.seats.find,
            )
            nursery.start_soon(links.run)
            client = create_replication_client(self.seats.names, links, self._random)
            self._serve_operators(client)
            while True:
                reply = await self._ask_for_seat()
                if reply is not None and reply.replica_id:
                    nursery.cancel_scope.cancel()
                    break
                await trio.sleep(_JOIN_PERIOD)
        async with self._open_disk() as disk:
            await self._prepare_folder(disk, reply.replica_id)
        return reply.replica_id

    async def _prepare_folder(self, disk: Disk, seat: str) -> None:
        try:
            await load_identity(disk, seat, self._random)
        except ColtsfootsparError:
            # Left by an offer of another seat that led to no admission.
            await _remove_files(disk)

    async def _ask_for_seat(self) -> JoinReply | None:
        """Asks all known processes, and then the leader, for a seat."""
        best = None
        for address in self._list_addresses():
            reply = await self._ask(address)
            if reply is None:
                continue
            self.seats.update(reply.seats)
            if reply.replica_id:
                return reply
            if reply.leader_address and best is None:
                best = await self._ask(parse_address(reply.leader_address))
                if best is not None and best.replica_id:
                    return best
        return best

    async def _ask(self, address: Address) -> JoinReply | None:
        request = JoinRequest(str(self.address), self.settings.id)
        identity = create_fleet_identity(self.settings, self.settings.id, "client")
        message = codec.encode_join(request)
        answer = await ask_address(address, identity, message, _ASK_SECONDS)
        if answer is None:
            return None
        try:
            return codec.decode_join_reply(answer)
        except FrameError as error:
            logging.warning("Malformed answer of %s: %s", address, error)
            return None

    def _list_addresses(self) -> list[Address]:
        found = list_peer_seeds(self.settings)
        found += [parse_address(text) for text in self.seats.addresses.values()]
        found += [
            member.peer_address
            for member in self.membership.list_members()
            if member.service.startswith(SEAT_SERVICE)
        ]
        unique = dict.fromkeys(found)
        unique.pop(self.address, None)
        return list(unique)

    @contextlib.asynccontextmanager
    async def _open_disk(self):
        disk = open_disk(self.settings.data_folder)
        try:
            yield disk
        finally:
            with trio.CancelScope(shield=True):
                await disk.close()

    async def _clear_folder(self) -> None:
        async with self._open_disk() as disk:
            await _remove_files(disk)
            await disk.sync_folder()

    async def _hold_seat(self, seat: str) -> None:
        """Runs the replica of a seat until it fails.

        :raises _SeatLostError: when the seat was given to another host.
        """
        settings = self.settings
        offers: list[SeatOffers] = []

        def find_text(name: str) -> str:
            return offers[0].find_address(name) if offers else ""

        def find(name: str) -> Address | None:
            text = find_text(name)
            return parse_address(text) if text else None

        identity = create_fleet_identity(settings, seat, "replica")
        links = create_peer_links(identity, find)
        async with self._open_disk() as disk:
            replica = await create_replica(
                seat,
                self.seats.names,
                disk=disk,
                link=links,
                timers=self.timers,
                source=self._random,
                find_address=find_text,
                options=_OPTIONS,
            )
            offers.append(SeatOffers(self.seats, replica))

            async def handle(message: Message, peer: Peer) -> Message:
                if message.kind is FrameKind.JOIN:
                    request = codec.decode_join(message)
                    return codec.encode_join_reply(offers[0].answer(request))
                return await replica.handle(peer.process_id, message)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(links.run)
                await nursery.start(self._serve_peers, identity, handle)
                nursery.start_soon(replica.run)
                nursery.start_soon(self._watch_seat, replica, disk, seat)
                self._replica = replica
                names = sorted(self.seats.names, key=lambda name: name != seat)
                client = create_replication_client(
                    names, create_local_link(replica, links), self._random
                )
                self._serve_operators(client)
                logging.info("Holding %s", seat)

    async def _serve_peers(self, identity, handle, *, task_status) -> None:
        await serve_peers(
            self.address,
            identity,
            _refuse_call,
            message_handler=handle,
            task_status=task_status,
        )

    def _serve_operators(self, client) -> None:
        control = ReplicaControl(client, self.dialect)
        handler = create_control_handler(self.dialect, control.serve)
        self._control.handler = handler.handle

    async def _watch_seat(self, replica: Replica, disk: Disk, seat: str) -> None:
        """Keeps the map up to date and finds out when the seat is lost."""
        core = replica.core
        asked_at = trio.current_time()
        async for now in self.timers.subscribe(_WATCH_PERIOD):
            if self.seats.update(core.state.seats):
                await self.seats.save(disk)
            if core.identity.is_admitted:
                self.membership.announce(SEAT_SERVICE + seat, 1, 0.0)
            contact = max(core.last_leader_contact, core.last_caught_up, asked_at)
            is_alone = core.leader_term is None and now - contact > _SILENCE_SECONDS
            if is_alone or not core.identity.is_admitted:
                asked_at = now
                await self._check_seat(replica, seat)

    async def _check_seat(self, replica: Replica, seat: str) -> None:
        core = replica.core
        for address in self._list_addresses():
            reply = await self._ask(address)
            if reply is None:
                continue
            self.seats.update(reply.seats)
            holder = reply.seats.get(seat, "")
            is_newer = reply.index >= max(core.identity.admitted_index, 1)
            if core.identity.is_admitted:
                if is_newer and holder and holder != str(self.address):
                    raise _SeatLostError
            elif reply.replica_id and reply.replica_id != seat:
                raise _SeatLostError


async def _remove_files(disk: Disk) -> None:
    for name in await disk.list_files():
        await disk.remove(name)


async def _refuse_call(request):
    raise FrameError("replicas serve no calls")


async def run_fleet_replica(file: SettingsFile, dialect: Dialect) -> int:
    """Runs the process of a host with a disk until SIGTERM or SIGINT.

    :param file: with the settings of a replica.
    :returns: exit code.
    :raises OSError: when an address cannot be listened on.
    """
    settings = file.settings
    source = random.SystemRandom()
    timers = create_timer_service(source)
    own = Address(settings.host, settings.peer_port)
    async with open_udp_port(Address(settings.host, settings.gossip_port)) as port:
        membership = create_fleet_membership(settings, port, own, timers, source)
        seats = create_seat_map(list_peer_seeds(settings))
        process = FleetReplica(settings, dialect, membership, timers, seats, source)
        file.on_change = process.apply_settings
        with trio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            stop = functools.partial(wait_for_stop, signals, file.reload)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(file.follow, timers)
                code = await process.run(stop)
                nursery.cancel_scope.cancel()
            return code
