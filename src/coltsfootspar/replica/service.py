"""A replica with its listener, for the replica program and for nodes."""

import random
import ssl
from collections.abc import Sequence

import attrs
import trio

from coltsfootspar.calls import CallReply, CallRequest, Outcome
from coltsfootspar.replication import Disk, Replica, ReplicaLink, create_replica
from coltsfootspar.routing import PeerServer, serve_peers
from coltsfootspar.settings import ReplicaBlock, ReplicaMember
from coltsfootspar.timers import TimerService
from coltsfootspar.wire import Address, Identity, Message, Peer

__all__ = ["ReplicaService", "create_replica_service"]


@attrs.define(eq=False)
class ReplicaService:
    """Serves the peers and clients of one replica.

    :param replica: the replica; its state is on the disk.
    """

    replica: Replica
    _address: Address
    _identity: Identity
    _ssl_context: ssl.SSLContext | None
    server: PeerServer | None = None

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listens and takes part in the cluster until cancelled.

        :raises StorageError: when the disk fails.
        """
        async with trio.open_nursery() as nursery:
            self.server = await nursery.start(self._serve)
            nursery.start_soon(self.replica.run)
            task_status.started()

    async def _serve(self, task_status: trio.TaskStatus) -> None:
        await serve_peers(
            self._address,
            self._identity,
            _refuse_call,
            message_handler=self._handle,
            ssl_context=self._ssl_context,
            task_status=task_status,
        )

    async def _handle(self, message: Message, peer: Peer) -> Message:
        return await self.replica.handle(peer.process_id, message)


async def _refuse_call(request: CallRequest) -> CallReply:
    return CallReply(404, outcome=Outcome.NOT_RUN)


async def create_replica_service(
    block: ReplicaBlock,
    members: Sequence[ReplicaMember],
    address: Address,
    identity: Identity,
    disk: Disk,
    link: ReplicaLink,
    timers: TimerService,
    source: random.Random,
    ssl_context: ssl.SSLContext | None = None,
) -> ReplicaService:
    """Reads the data folder and creates the service.

    :param address: where to listen.
    :param identity: identity under the replica's id.
    :param link: requests to the other replicas.
    :raises StorageError: when the folder cannot be read or is another replica's.
    """
    replica = await create_replica(
        block.id,
        [member.id for member in members],
        disk=disk,
        link=link,
        timers=timers,
        source=source,
    )
    return ReplicaService(replica, address, identity, ssl_context)
