"""Dissemination of updates within the data centre and to other ones."""

import itertools
from collections.abc import Sequence

import attrs
import trio

from coltsfootspar.membership.outbox import Outbox
from coltsfootspar.membership.relays import RELAYS_PER_DATA_CENTRE
from coltsfootspar.membership.transport import Transport
from coltsfootspar.membership.view import View
from coltsfootspar.wire import Address
from coltsfootspar.wire.membership import MemberRecord, select_fitting

__all__ = ["Gossiper"]


@attrs.define(eq=False)
class Gossiper:
    """Sends queued updates in batches."""

    _view: View
    _transport: Transport

    async def run_local(self) -> None:
        """Gossips updates to members of the local data centre, until cancelled."""
        view = self._view
        while True:
            await view.outbox.wait_for_updates()
            await trio.sleep(view.limits.gossip_period)
            local_peers = view.member_list.list_local_peers()
            if not local_peers:
                await trio.sleep(view.limits.join_period)
            count = min(view.limits.gossip_fanout, len(local_peers))
            members = self._transport.random.sample(local_peers, count)
            addresses = [member.gossip_address for member in members]
            await self._send_batch(view.outbox, addresses, view.transmission_limit)

    async def run_remote(self) -> None:
        """Gossips local updates to the other data centres, until cancelled.

        Updates for other data centres are queued only while this node is a relay.
        """
        view = self._view
        while True:
            await view.wait_for_remote_updates()
            await trio.sleep(view.limits.gossip_period)
            # Iterates over a copy: a data centre may be added during a send.
            for data_centre, outbox in tuple(view.remote_outboxes.items()):
                if outbox:
                    await self._send_remote(data_centre, outbox)

    async def broadcast_own_record(self) -> None:
        """Sends the record of this node to the relays of all data centres at once."""
        view = self._view
        record = view.member_list.own.make_record(trio.current_time())
        for data_centre in (
            view.member_list.own.data_centre,
            *view.list_other_data_centres(),
        ):
            relays = view.rank_relays(data_centre)[:RELAYS_PER_DATA_CENTRE]
            addresses = [
                relay.gossip_address
                for relay in relays
                if relay.node_id != view.member_list.own_id
            ]
            await self._transport.send_records(addresses, [record])

    async def _send_remote(self, data_centre: str, outbox: Outbox) -> None:
        relays = self._view.rank_relays(data_centre)[:RELAYS_PER_DATA_CENTRE]
        if not relays:
            return
        relay = self._transport.random.choice(relays)
        limit = self._view.limits.relay_transmissions
        await self._send_batch(outbox, [relay.gossip_address], limit)

    async def _send_batch(
        self, outbox: Outbox, addresses: Sequence[Address], limit: int
    ) -> None:
        # All members of a round receive the same datagram, because encoding takes
        # most of the CPU time of a burst.
        records = self._select_updates(outbox)
        if not records:
            return
        sent_count = await self._transport.send_records(addresses, records)
        node_ids = [record.node_id for record in records]
        for _ in range(sent_count):
            outbox.record_sent(node_ids, limit)

    def _select_updates(self, outbox: Outbox) -> list[MemberRecord]:
        now = trio.current_time()
        members = (
            self._view.member_list.get(node_id)
            for node_id in outbox.iterate_least_sent()
        )
        records = (member.make_update(now) for member in members if member)
        # A datagram holds fewer records, so estimating the size of more is wasted.
        return select_fitting(itertools.islice(records, 64))
