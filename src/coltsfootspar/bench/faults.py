"""Runs the fault schedule of a scenario."""

from collections.abc import Awaitable, Callable

import attrs
import trio

from coltsfootspar.bench.nodes import BenchNode, Fleet
from coltsfootspar.bench.scenario import Fault, FaultKind

__all__ = ["FaultSchedule", "create_fault_schedule"]

_NOTICE_SECONDS = 0.1
_CRASH_DETECTION_SECONDS = 3.0
_CUT_DETECTION_SECONDS = 2.0
_DRAIN_POLL_SECONDS = 0.05
_UNTIL_END_SECONDS = 1e9


@attrs.define(eq=False)
class FaultSchedule:
    """Injects the faults of a scenario into a fleet."""

    _fleet: Fleet

    async def run(self) -> None:
        """Injects all faults at their times."""
        runners = self._list_runners()
        async with trio.open_nursery() as nursery:
            for fault in self._fleet.scenario.faults:
                nursery.start_soon(self._run_fault, runners[fault.kind], fault)

    def _list_runners(self) -> dict[FaultKind, Callable[[Fault], Awaitable[None]]]:
        return {
            FaultKind.SLOW: self._slow,
            FaultKind.STALL: self._stall,
            FaultKind.FAIL: self._fail,
            FaultKind.CRASH: self._crash,
            FaultKind.LEAVE: self._leave,
            FaultKind.JOIN: self._join,
            FaultKind.CUT: self._cut,
            FaultKind.LOSS: self._lose,
        }

    async def _run_fault(
        self, runner: Callable[[Fault], Awaitable[None]], fault: Fault
    ) -> None:
        await trio.sleep_until(fault.at_s)
        await runner(fault)

    async def _last(self, fault: Fault) -> None:
        """Waits for the end of a fault."""
        await trio.sleep(fault.for_s or _UNTIL_END_SECONDS)

    def _get_node(self, fault: Fault) -> BenchNode:
        return self._fleet.nodes[fault.target]

    async def _slow(self, fault: Fault) -> None:
        node = self._get_node(fault)
        slots = self._fleet.scenario.services[node.service].slots
        async with trio.open_nursery() as nursery:
            node.server.slow_factor = fault.factor
            reported = max(1, round(slots / fault.factor))
            nursery.start_soon(self._report_slots, node, reported)
            await self._last(fault)
            node.server.slow_factor = 1.0
            nursery.start_soon(self._report_slots, node, slots)

    async def _report_slots(self, node: BenchNode, slots: int) -> None:
        await trio.sleep(self._fleet.scenario.report_delay_ms / 1e3)
        self._fleet.members.change(node.node_id, slots=slots)

    async def _stall(self, fault: Fault) -> None:
        until = trio.current_time() + (fault.for_s or _UNTIL_END_SECONDS)
        self._get_node(fault).server.stalled_until = until

    async def _fail(self, fault: Fault) -> None:
        server = self._get_node(fault).server
        server.failing_share = fault.share
        await self._last(fault)
        server.failing_share = 0.0

    async def _crash(self, fault: Fault) -> None:
        node = self._get_node(fault)
        node.crash()
        with trio.move_on_after(fault.for_s or _UNTIL_END_SECONDS):
            await trio.sleep(_CRASH_DETECTION_SECONDS)
            self._fleet.members.remove(node.node_id)
            await trio.sleep_forever()
        restarted = self._fleet.start_node(node.node_id, node.service, node.data_centre)
        await trio.sleep(_NOTICE_SECONDS)
        self._fleet.announce(restarted)

    async def _leave(self, fault: Fault) -> None:
        node = self._get_node(fault)
        node.left_at = trio.current_time()
        node.pipeline.drain()
        await trio.sleep(_NOTICE_SECONDS)
        self._fleet.members.change(node.node_id, is_leaving=True)
        while node.pipeline.in_progress:  # noqa: ASYNC110
            await trio.sleep(_DRAIN_POLL_SECONDS)
        node.is_up = False
        self._fleet.members.remove(node.node_id)

    async def _join(self, fault: Fault) -> None:
        service = fault.target.rpartition("-")[0]
        data_centre = next(
            centre
            for node_id, _, centre in self._fleet.scenario.list_servers()
            if node_id == fault.target
        )
        node = self._fleet.start_node(fault.target, service, data_centre)
        await trio.sleep(_NOTICE_SECONDS)
        self._fleet.announce(node)

    async def _cut(self, fault: Fault) -> None:
        fleet = self._fleet
        fleet.links.cut(fault.target)
        with trio.move_on_after(fault.for_s or _UNTIL_END_SECONDS):
            await trio.sleep(_CUT_DETECTION_SECONDS)
            fleet.members.set_cut(fault.target, is_cut=True)
            await trio.sleep_forever()
        fleet.links.heal(fault.target)
        await trio.sleep(_NOTICE_SECONDS)
        fleet.members.set_cut(fault.target, is_cut=False)

    async def _lose(self, fault: Fault) -> None:
        links = self._fleet.links
        links.loss = fault.share
        await self._last(fault)
        links.loss = self._fleet.scenario.delays.loss


def create_fault_schedule(fleet: Fleet) -> FaultSchedule:
    """Creates the schedule of a run."""
    return FaultSchedule(fleet)
