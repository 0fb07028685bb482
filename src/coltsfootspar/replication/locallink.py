"""Link to a replica in the same process."""

import attrs

from coltsfootspar.exceptions import ColtsfootsparError, LinkError
from coltsfootspar.replication.interfaces import ReplicaLink
from coltsfootspar.replication.replica import Replica
from coltsfootspar.wire import Message

__all__ = ["LocalReplicaLink", "create_local_link"]


@attrs.define(eq=False)
class LocalReplicaLink:
    """Sends requests to a replica in the same process, and others over a link."""

    _replica: Replica
    _replica_id: str
    _remote_link: ReplicaLink | None

    async def request(self, replica_id: str, message: Message) -> Message:
        """Sends a request and waits for the reply.

        :raises LinkError: when no reply arrives.
        """
        if replica_id == self._replica_id:
            return await self._request_local(message)
        if self._remote_link is None:
            raise LinkError(f"no link to {replica_id}", may_have_run=False)
        return await self._remote_link.request(replica_id, message)

    async def _request_local(self, message: Message) -> Message:
        try:
            return await self._replica.handle(self._replica_id, message)
        except ColtsfootsparError as error:
            raise LinkError(str(error), may_have_run=True, code=error.code) from error


def create_local_link(
    replica: Replica, others: ReplicaLink | None = None
) -> LocalReplicaLink:
    """Creates a link to a replica in the same process.

    :param others: link to the other replicas of the cluster; without one, requests
        to them fail.
    """
    return LocalReplicaLink(replica, replica.core.replica_id, others)
