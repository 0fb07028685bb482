"""Runs a replica: listener, admin interface, stop."""

import random
import signal

import attrs
import trio
from absl import logging

from coltsfootspar.admin import AdminRouter, RawAnswer, create_admin_router
from coltsfootspar.admin.replicated import TableSource, add_table_paths
from coltsfootspar.memory import (
    ConnectionCount,
    MemoryAccount,
    MemoryLimits,
    count_allowed_descriptors,
    create_memory_account,
)
from coltsfootspar.replica.metrics import METRICS_TYPE, create_replica_metrics
from coltsfootspar.replica.service import ReplicaService, create_replica_service
from coltsfootspar.replication import (
    create_local_link,
    create_replication_client,
    format_replica,
    open_disk,
)
from coltsfootspar.routing import PeerLinks, create_peer_links
from coltsfootspar.settings import NodeSettings, ReplicaSettings
from coltsfootspar.timers import create_timer_service
from coltsfootspar.web import HttpServer, WebLimits
from coltsfootspar.web.server import create_h11_server
from coltsfootspar.wire import Identity
from coltsfootspar.wire.tls import create_tls_contexts

__all__ = ["format_data_folder", "run_replica"]

_DRAIN_SECONDS = 5.0
# Most of it that requests of operators may take.
_OPERATORS_DRAIN_SECONDS = 3.0


async def format_data_folder(settings: ReplicaSettings | NodeSettings) -> int:
    """Makes the empty data folder that of an initial replica of a new cluster.

    :raises StorageError: when the folder is not empty.
    """
    block = settings.replica
    disk = open_disk(block.data_folder)
    try:
        await format_replica(disk, settings.deployment, block.id)
    finally:
        await disk.close()
    return 0


async def run_replica(settings: ReplicaSettings) -> int:
    """Runs a replica until SIGTERM or SIGINT.

    :returns: exit code.
    :raises ColtsfootsparError: when the data folder or a listener fails.
    """
    source = random.SystemRandom()
    timers = create_timer_service(source)
    block = settings.replica
    tls = None
    if settings.tls is not None:
        files = settings.tls
        tls = create_tls_contexts(files.certificate, files.key, files.authority)
    key = bytes.fromhex(settings.shared_key)
    identity = Identity(settings.deployment, block.id, "replica", key)
    addresses = {member.id: member.address for member in settings.replicas}
    links = create_peer_links(
        identity, addresses.get, ssl_context=tls.client if tls else None
    )
    disk = open_disk(block.data_folder)
    try:
        service = await create_replica_service(
            block,
            settings.replicas,
            settings.listen.peer,
            identity,
            disk,
            links,
            timers,
            source,
            tls.server if tls else None,
        )
        program = _ReplicaProgram(settings, service, links)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            nursery.start_soon(links.run)
            await program.run()
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            await disk.close()
    return 0


@attrs.define(eq=False)
class _ReplicaProgram:
    _settings: ReplicaSettings
    _service: ReplicaService
    _links: PeerLinks

    async def run(self) -> None:
        block = self._settings.replica
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._service.run)
                admin = self._create_admin()
                await nursery.start(admin.serve, self._settings.listen.admin)
                logging.info("Replica %s is ready", block.id)
                async for number in signals:
                    logging.info("Received %s", signal.Signals(number).name)
                    break
                await self._service.replica.retire()
                with trio.move_on_after(_DRAIN_SECONDS):
                    with trio.move_on_after(_OPERATORS_DRAIN_SECONDS):
                        await admin.drain()
                    await self._service.server.drain()
                logging.info("Replica %s stopped", block.id)
                nursery.cancel_scope.cancel()

    def _create_admin(self) -> HttpServer:
        limits = self._settings.limits
        account = create_memory_account(MemoryLimits(limits.memory_mb))
        return create_h11_server(
            self._create_router(account).handle,
            WebLimits(connections=limits.connections),
            account=account,
            count=ConnectionCount(count_allowed_descriptors()),
        )

    def _create_router(self, account: MemoryAccount) -> AdminRouter:
        replica = self._service.replica
        link = create_local_link(replica, self._links)
        ids = [member.id for member in self._settings.replicas]
        own = self._settings.replica.id
        ids.sort(key=lambda replica_id: replica_id != own)
        client = create_replication_client(ids, link, random.SystemRandom())

        async def wait(after: int) -> None:
            await replica.wait_for_version(after)

        async def show_status(request) -> dict:
            found = await client.status()
            return {
                "replica": own,
                "replicas": {
                    name: None if status is None else attrs.asdict(status)
                    for name, status in found.items()
                },
            }

        async def check_health(request) -> dict:
            return {"status": "ok", "table_version": replica.read_table().version}

        metrics = create_replica_metrics()

        async def show_metrics(request) -> RawAnswer:
            return RawAnswer(metrics.render(replica.status()), METRICS_TYPE)

        router = create_admin_router(account)
        router.add("GET", "/metrics", show_metrics)
        add_table_paths(router, TableSource(client.read_table, wait), client)
        router.add("GET", "/status", show_status)
        router.add("GET", "/health", check_health)
        return router
