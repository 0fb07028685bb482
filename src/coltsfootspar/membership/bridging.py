"""Contact between data centres through relays."""

import attrs
import trio

from coltsfootspar.membership.members import Member
from coltsfootspar.membership.probing import Prober
from coltsfootspar.membership.relays import RELAYS_PER_DATA_CENTRE
from coltsfootspar.membership.syncing import Synchronizer
from coltsfootspar.membership.transport import Transport
from coltsfootspar.membership.view import View
from coltsfootspar.timers import TimerService

__all__ = ["Bridge"]

_JITTER = 0.1
# Every this many periods the lists are compared with one other data centre.
_SYNC_PERIODS = 5


@attrs.define(eq=False)
class Bridge:
    """Probes the other data centres while the own node is a relay."""

    _view: View
    _transport: Transport
    _prober: Prober
    _synchronizer: Synchronizer
    _timers: TimerService
    _failures: dict[str, int] = attrs.field(factory=dict)
    _probing: set[str] = attrs.field(factory=set)

    async def run(self, nursery: trio.Nursery) -> None:
        """Probes each other data centre every period.

        :param nursery: runs the probes.
        """
        view = self._view
        periods = 0
        async for _ in self._timers.subscribe(view.limits.relay_period, _JITTER):
            if not view.is_relay:
                continue
            periods += 1
            data_centres = view.list_other_data_centres()
            for data_centre in data_centres:
                member = self._select(data_centre)
                nursery.start_soon(self._contact, member)
            if data_centres and periods % _SYNC_PERIODS == 0:
                member = self._select(self._transport.random.choice(data_centres))
                await self._synchronizer.ask(member.gossip_address)

    async def contact_sender(self, node_id: str) -> None:
        """Probes a member of a silent data centre that has been heard again."""
        member = self._view.member_list.get(node_id)
        if (
            member is not None
            and member.is_present
            and member.data_centre in self._view.unreachable_data_centres
        ):
            await self._contact(member)

    async def _contact(self, member: Member) -> None:
        if member.node_id in self._probing:
            return
        self._probing.add(member.node_id)
        try:
            is_answered = await self._prober.ping(
                member, self._view.limits.relay_timeout
            )
        finally:
            self._probing.discard(member.node_id)
        if is_answered:
            await self._record_answer(member)
        else:
            failures = self._failures.get(member.data_centre, 0)
            self._failures[member.data_centre] = failures + 1

    async def _record_answer(self, member: Member) -> None:
        data_centre = member.data_centre
        was_silent = data_centre in self._view.unreachable_data_centres
        self._failures[data_centre] = 0
        self._view.contacts.record_ack(data_centre, trio.current_time())
        if was_silent:
            await self._synchronizer.ask(member.gossip_address)

    def _select(self, data_centre: str) -> Member:
        """Selects a relay, and after failures one further down the order."""
        ranked = self._view.rank_relays(data_centre)
        failures = self._failures.get(data_centre, 0)
        if failures < 2:
            return self._transport.random.choice(ranked[:RELAYS_PER_DATA_CENTRE])
        return ranked[failures % len(ranked)]
