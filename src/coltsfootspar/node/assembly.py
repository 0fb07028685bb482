"""Joins the parts of a node from its settings."""

import contextlib
import pathlib
import random
import time
from collections.abc import AsyncIterator

import attrs

from coltsfootspar.admission import create_entry_gate
from coltsfootspar.claims import OnceExecutor, create_once_executor
from coltsfootspar.exceptions import FrameError
from coltsfootspar.membership import (
    Member,
    Membership,
    NodeIdentity,
    create_membership,
    open_udp_port,
)
from coltsfootspar.memory import (
    ConnectionCount,
    MemoryAccount,
    MemoryLimits,
    count_allowed_descriptors,
    create_memory_account,
)
from coltsfootspar.node.admission import (
    AnnouncedAdmission,
    create_announced_admission,
)
from coltsfootspar.node.backend import AnnouncedBackend, Announcement, create_backend
from coltsfootspar.node.directory import NoticedDirectory, create_noticed_directory
from coltsfootspar.node.gateway import Gateway, create_gateway
from coltsfootspar.node.pipeline import Pipeline, create_pipeline
from coltsfootspar.node.spans import SpanCollector, create_span_collector
from coltsfootspar.node.tablefeed import TableFeed, create_table_feed
from coltsfootspar.node.tables import TableCopy, create_table_copy
from coltsfootspar.replica.service import ReplicaService, create_replica_service
from coltsfootspar.replication import (
    ReplicaLink,
    ReplicationClient,
    create_local_link,
    create_replication_client,
    open_disk,
)
from coltsfootspar.routing import PeerLinks, create_peer_links, create_router
from coltsfootspar.settings import NodeSettings, ReplicaMember
from coltsfootspar.telemetry import NodeMetrics, create_node_metrics, create_tracer
from coltsfootspar.telemetry.traces import RecordingTracer
from coltsfootspar.timers import TimerService, create_timer_service
from coltsfootspar.web import HttpClient, HttpServer, WebLimits
from coltsfootspar.web.client import create_h11_client
from coltsfootspar.web.server import create_h11_server
from coltsfootspar.wire import Address, ConnectionLimits, FrameKind, Identity, Message
from coltsfootspar.wire.handshake import Peer
from coltsfootspar.wire.tls import TlsContexts, create_tls_contexts
from coltsfootspar.wire.traces import decode_find_spans, encode_spans

__all__ = ["NodeParts", "order_replicas", "open_node_parts"]

_FRAME_MARGIN_BYTES = 1 << 16


@attrs.define(eq=False)
class NodeParts:
    """All parts of a node.

    :param peer_limits: limits of each connection to or from another node.
    :param account: memory held for the connections of the process.
    :param count: accepted connections of the process.
    :param replica: set when the process holds a replica.
    """

    settings: NodeSettings
    identity: Identity
    timers: TimerService
    metrics: NodeMetrics
    tracer: RecordingTracer
    copy: TableCopy
    membership: Membership
    directory: NoticedDirectory
    links: PeerLinks
    client: ReplicationClient
    once: OnceExecutor
    admission: AnnouncedAdmission
    backend: AnnouncedBackend
    pipeline: Pipeline
    gateway: Gateway
    feed: TableFeed
    spans: SpanCollector
    inbound: HttpServer
    outbound: HttpServer
    peer_limits: ConnectionLimits
    account: MemoryAccount
    count: ConnectionCount
    tls: TlsContexts | None
    replica: ReplicaService | None

    async def handle_message(self, message: Message, peer: Peer) -> Message:
        """Serves a request of another node that is not a call.

        :raises FrameError: when the kind is not served.
        """
        if message.kind in (FrameKind.READ_TABLE, FrameKind.WATCH_TABLE):
            return self.feed.encode_table()
        if message.kind is FrameKind.FIND_SPANS:
            return encode_spans(self.tracer.find_spans(decode_find_spans(message)))
        raise FrameError(f"messages of kind {message.kind.name} are not served")


def order_replicas(
    members: tuple[ReplicaMember, ...], region: str, data_centre: str
) -> list[str]:
    """Orders replica ids: own data centre first, then own region, then others."""
    ordered = sorted(
        members,
        key=lambda member: (
            member.data_centre != data_centre,
            member.region != region,
            member.id,
        ),
    )
    return [member.id for member in ordered]


@contextlib.asynccontextmanager
async def open_node_parts(settings: NodeSettings) -> AsyncIterator[NodeParts]:
    """Opens the ports and the data folder and joins the parts.

    :raises ColtsfootsparError: when a part cannot be created.
    """
    async with contextlib.AsyncExitStack() as stack:
        port = await stack.enter_async_context(open_udp_port(settings.listen.gossip))
        builder = _Builder(settings, port)
        yield await builder.build(stack)


@attrs.define(eq=False)
class _Builder:
    _settings: NodeSettings
    _port: object
    _source: random.Random = attrs.field(factory=random.SystemRandom)

    async def build(self, stack: contextlib.AsyncExitStack) -> NodeParts:
        settings = self._settings
        timers = create_timer_service(self._source)
        metrics = create_node_metrics()
        traces = settings.traces
        tracer = create_tracer(settings.node.id, traces.keep, traces.sample_ratio)
        tls = _create_tls(settings)
        membership = self._create_membership(timers)
        directory = create_noticed_directory(membership)
        holder: list[Pipeline] = []
        account = create_memory_account(MemoryLimits(settings.limits.memory_mb))
        count = ConnectionCount(count_allowed_descriptors())
        peer_limits = self._create_peer_limits(account)
        links = create_peer_links(
            self._create_identity(settings.node.id, "node"),
            self._resolve(membership),
            local_handler=lambda request: holder[0].serve(request),
            leaving_handler=directory.mark_leaving,
            ssl_context=tls.client if tls else None,
            limits=peer_limits,
        )
        replica = await self._create_replica(stack, links, timers, tls)
        link: ReplicaLink = links
        if replica is not None:
            link = create_local_link(replica.replica, links)
        node = settings.node
        client = create_replication_client(
            order_replicas(settings.replicas, node.region, node.data_centre),
            link,
            self._source,
        )
        once = create_once_executor(
            node.id,
            client,
            self._source,
            max_reply_bytes=settings.claims.answer_bytes,
            retention=settings.claims.retention_hours * 3600,
        )
        copy = create_table_copy()
        admission = create_announced_admission()
        web_limits = _create_web_limits(settings)
        backend = create_backend(
            _create_http_client(settings, web_limits),
            _Announcer(admission, membership, holder, links).take,
        )
        pipeline = create_pipeline(
            node_id=node.id,
            table=copy,
            gate=create_entry_gate(count_entry_nodes=_CountNodes(membership).count),
            router=create_router(
                node.id, node.region, node.data_centre, directory, links, self._source
            ),
            admission=admission,
            backend=backend,
            once=once,
            tracer=tracer,
        )
        holder.append(pipeline)
        gateway = create_gateway(pipeline, copy, backend, metrics)

        def create_server(handler) -> HttpServer:
            return _create_http_server(
                settings, handler, web_limits, metrics, account, count
            )

        return NodeParts(
            settings=settings,
            identity=self._create_identity(node.id, "node"),
            timers=timers,
            metrics=metrics,
            tracer=tracer,
            copy=copy,
            membership=membership,
            directory=directory,
            links=links,
            client=client,
            once=once,
            admission=admission,
            backend=backend,
            pipeline=pipeline,
            gateway=gateway,
            feed=create_table_feed(copy, client, membership, links, timers),
            spans=create_span_collector(tracer, membership, links),
            inbound=create_server(gateway.handle_inbound),
            outbound=create_server(gateway.handle_outbound),
            peer_limits=peer_limits,
            account=account,
            count=count,
            tls=tls,
            replica=replica,
        )

    def _create_identity(self, process_id: str, role: str) -> Identity:
        key = bytes.fromhex(self._settings.shared_key)
        return Identity(self._settings.deployment, process_id, role, key)

    def _create_peer_limits(self, account: MemoryAccount) -> ConnectionLimits:
        body = self._settings.limits.body_bytes
        return ConnectionLimits(
            message_bytes=body + _FRAME_MARGIN_BYTES, account=account
        )

    def _create_membership(self, timers: TimerService) -> Membership:
        settings = self._settings
        identity = NodeIdentity(
            settings.node.id,
            settings.node.region,
            settings.node.data_centre,
            settings.listen.gossip,
            settings.listen.peer,
            time.time_ns() // 1_000_000,
        )
        seeds = [seed for seed in settings.seeds if seed != settings.listen.gossip]
        key = bytes.fromhex(settings.shared_key)
        return create_membership(identity, seeds, self._port, key, timers, self._source)

    def _resolve(self, membership: Membership):
        replicas = {member.id: member.address for member in self._settings.replicas}

        def resolve(process_id: str) -> Address | None:
            if process_id in replicas:
                return replicas[process_id]
            member = membership.get_member(process_id)
            return member.peer_address if member is not None else None

        return resolve

    async def _create_replica(
        self,
        stack: contextlib.AsyncExitStack,
        links: PeerLinks,
        timers: TimerService,
        tls: TlsContexts | None,
    ) -> ReplicaService | None:
        block = self._settings.replica
        if block is None:
            return None
        members = self._settings.replicas
        address = next(m.address for m in members if m.id == block.id)
        disk = open_disk(pathlib.Path(block.data_folder))
        stack.push_async_callback(disk.close)
        return await create_replica_service(
            block,
            members,
            address,
            self._create_identity(block.id, "replica"),
            disk,
            links,
            timers,
            self._source,
            tls.server if tls else None,
        )


@attrs.define(eq=False)
class _Announcer:
    """Tells the other parts of a change of the backend server."""

    _admission: AnnouncedAdmission
    _membership: Membership
    _holder: list[Pipeline]
    _links: PeerLinks

    def take(self, announcement: Announcement | None) -> None:
        """Takes an announcement, or None for a backend server that leaves."""
        if announcement is None:
            self._holder[0].drain()
            self._membership.withdraw()
            return
        self._admission.take_announcement(announcement)
        self._holder[0].resume()
        self._membership.announce(
            announcement.service,
            announcement.slots,
            announcement.cold_start_seconds,
        )


@attrs.define(eq=False)
class _CountNodes:
    """Counts the nodes that share the limits of a row."""

    _membership: Membership
    _members: tuple[Member, ...] | None = None
    _count: int = 1

    def count(self, row: object) -> int:
        """Counts the members that are present; any may take entry traffic."""
        members = self._membership.list_members()
        # Counted anew only when the list has changed: it is asked for each call.
        if members is not self._members:
            self._members = members
            self._count = max(1, sum(member.is_present for member in members))
        return self._count


def _create_tls(settings: NodeSettings) -> TlsContexts | None:
    if settings.tls is None:
        return None
    files = settings.tls
    return create_tls_contexts(files.certificate, files.key, files.authority)


def _create_web_limits(settings: NodeSettings) -> WebLimits:
    limits = settings.limits
    return WebLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        connections=limits.connections,
        idle_seconds=limits.idle_seconds,
        read_seconds=limits.read_seconds,
        connect_seconds=settings.backend.connect_seconds,
    )


def _create_http_client(settings: NodeSettings, limits: WebLimits) -> HttpClient:
    limits = attrs.evolve(limits, connections=settings.backend.connections)
    if settings.http.client == "httpcore":
        # Imported only when selected: each library adds to a node's memory.
        from coltsfootspar.web.httpcore import create_httpcore_client  # noqa: PLC0415

        return create_httpcore_client(limits)
    return create_h11_client(limits)


def _create_http_server(
    settings: NodeSettings,
    handler,
    limits: WebLimits,
    metrics: NodeMetrics,
    account: MemoryAccount,
    count: ConnectionCount,
) -> HttpServer:
    if settings.http.server == "hypercorn":
        from coltsfootspar.web.hypercorn import (  # noqa: PLC0415
            create_hypercorn_server,
        )

        return create_hypercorn_server(handler, limits)
    return create_h11_server(
        handler,
        limits,
        lambda code: metrics.http_errors.inc({"code": code}),
        account,
        count,
    )
