"""Spread of news within the data centre and to the others."""

import itertools

import attrs
import trio

from coltsfootspar.membership.outbox import Outbox
from coltsfootspar.membership.relays import RELAYS
from coltsfootspar.membership.transport import Transport
from coltsfootspar.membership.view import View
from coltsfootspar.wire import Address
from coltsfootspar.wire.membership import MemberRecord, select_fitting

__all__ = ["Gossiper"]


@attrs.define(eq=False)
class Gossiper:
    """Sends queued news in batches."""

    _view: View
    _transport: Transport

    async def run_local(self) -> None:
        """Spreads news among the members of the own data centre."""
        view = self._view
        while True:
            await view.outbox.wait_filled()
            await trio.sleep(view.limits.gossip_period)
            neighbours = view.roster.list_neighbours()
            if not neighbours:
                await trio.sleep(view.limits.join_period)
            count = min(view.limits.gossip_fanout, len(neighbours))
            for member in self._transport.random.sample(neighbours, count):
                limit = view.transmissions
                if not await self._send(view.outbox, member.gossip_address, limit):
                    break

    async def run_remote(self) -> None:
        """Spreads news of the own data centre to others while it is a relay."""
        view = self._view
        while True:
            await view.wait_remote_filled()
            await trio.sleep(view.limits.gossip_period)
            for data_centre, outbox in view.remote_outboxes.items():
                if outbox:
                    await self._send_remote(data_centre, outbox)

    async def spread_own(self) -> None:
        """Sends the own record at once to the relays of all data centres."""
        view = self._view
        record = view.roster.own.make_record(trio.current_time())
        for data_centre in (
            view.roster.own.data_centre,
            *view.list_other_data_centres(),
        ):
            for relay in view.rank_relays(data_centre)[:RELAYS]:
                if relay.node_id != view.roster.own_id:
                    await self._transport.send_records(relay.gossip_address, [record])

    async def _send_remote(self, data_centre: str, outbox: Outbox) -> None:
        relays = self._view.rank_relays(data_centre)[:RELAYS]
        if not relays:
            return
        relay = self._transport.random.choice(relays)
        limit = self._view.limits.relay_transmissions
        await self._send(outbox, relay.gossip_address, limit)

    async def _send(self, outbox: Outbox, address: Address, limit: int) -> bool:
        records = self._select(outbox)
        if not records:
            return True
        if not await self._transport.send_records(address, records):
            return False
        outbox.record_sent([record.node_id for record in records], limit)
        return True

    def _select(self, outbox: Outbox) -> list[MemberRecord]:
        now = trio.current_time()
        members = (self._view.roster.get(node_id) for node_id in outbox.rank())
        records = (member.make_news(now) for member in members if member)
        # Estimating more records than fit into a datagram is wasted.
        return select_fitting(itertools.islice(records, 64))
