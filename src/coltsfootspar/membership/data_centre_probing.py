"""Probes between data centres, sent by the relays."""

import attrs
import trio

from coltsfootspar.membership.members import Member
from coltsfootspar.membership.probing import Prober
from coltsfootspar.membership.relays import RELAYS_PER_DATA_CENTRE
from coltsfootspar.membership.syncing import Synchronizer
from coltsfootspar.membership.transport import Transport
from coltsfootspar.membership.view import View
from coltsfootspar.timers import TimerService

__all__ = ["DataCentreProber"]

# Probe periods between two comparisons of the member list with another data
# centre.
_PERIODS_PER_SYNC = 5


@attrs.define(eq=False)
class DataCentreProber:
    """Probes the other data centres while this node is a relay."""

    _view: View
    _transport: Transport
    _prober: Prober
    _synchronizer: Synchronizer
    _timers: TimerService
    _failures: dict[str, int] = attrs.field(factory=dict)
    _in_flight: set[str] = attrs.field(factory=set)

    async def run(self, nursery: trio.Nursery) -> None:
        """Probes each other data centre once per period, until cancelled.

        :param nursery: nursery that runs the probes.
        """
        view = self._view
        period_count = 0
        async for _ in self._timers.subscribe(view.limits.relay_period):
            if not view.is_relay:
                continue
            period_count += 1
            data_centres = view.list_other_data_centres()
            for data_centre in data_centres:
                member = self._select_target(data_centre)
                nursery.start_soon(self._probe, member)
            if data_centres and period_count % _PERIODS_PER_SYNC == 0:
                member = self._select_target(
                    self._transport.random.choice(data_centres)
                )
                await self._synchronizer.request_sync(member.gossip_address)

    async def probe_sender(self, node_id: str) -> None:
        """Probes the sender of a datagram from a data centre marked unreachable."""
        member = self._view.member_list.get(node_id)
        if (
            member is not None
            and member.is_present
            and member.data_centre in self._view.unreachable_data_centres
        ):
            await self._probe(member)

    async def _probe(self, member: Member) -> None:
        if member.node_id in self._in_flight:
            return
        self._in_flight.add(member.node_id)
        try:
            is_acknowledged = await self._prober.ping(
                member, self._view.limits.relay_timeout
            )
        finally:
            self._in_flight.discard(member.node_id)
        if is_acknowledged:
            await self._record_contact(member)
        else:
            failures = self._failures.get(member.data_centre, 0)
            self._failures[member.data_centre] = failures + 1

    async def _record_contact(self, member: Member) -> None:
        data_centre = member.data_centre
        was_unreachable = data_centre in self._view.unreachable_data_centres
        self._failures[data_centre] = 0
        self._view.contacts.record_ack(data_centre, trio.current_time())
        if was_unreachable:
            await self._synchronizer.request_sync(member.gossip_address)

    def _select_target(self, data_centre: str) -> Member:
        """Selects a relay, or after two failures the next members in relay order."""
        ranked = self._view.rank_relays(data_centre)
        failures = self._failures.get(data_centre, 0)
        if failures < 2:
            return self._transport.random.choice(ranked[:RELAYS_PER_DATA_CENTRE])
        return ranked[failures % len(ranked)]
