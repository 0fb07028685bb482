"""One run of a scenario under a policy, on a virtual clock."""

from functools import partial

import attrs
import numpy as np
import trio
import trio.testing

from coltsfootspar.bench.clients import create_clients
from coltsfootspar.bench.faults import create_fault_schedule
from coltsfootspar.bench.journal import Journal
from coltsfootspar.bench.load import draw_arrivals
from coltsfootspar.bench.members import create_members
from coltsfootspar.bench.network import create_links
from coltsfootspar.bench.nodes import create_fleet
from coltsfootspar.bench.policies import PartsFactory, PolicyName, create_parts
from coltsfootspar.bench.scenario import FaultKind, Scenario

__all__ = ["run_scenario"]


@attrs.define
class _FixedOrder:
    """Makes trio run the tasks of one moment in an order that the seed gives.

    Trio shuffles them with a generator of its own, and sets of tasks have no
    stable order; trio's switch for hypothesis sorts them first.
    """

    seed: int
    _saved: tuple = ()

    def __enter__(self) -> None:
        scheduler = trio._core._run
        allowed = scheduler._ALLOW_DETERMINISTIC_SCHEDULING
        self._saved = (allowed, scheduler._r.getstate())
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
        scheduler._r.seed(self.seed)

    def __exit__(self, *exc_info: object) -> None:
        scheduler = trio._core._run
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING, state = self._saved
        scheduler._r.setstate(state)


def run_scenario(
    scenario: Scenario,
    policy: PolicyName,
    *,
    seed: int | None = None,
    with_long: bool = True,
    with_slow: bool = True,
    parts_factory: PartsFactory | None = None,
) -> Journal:
    """Runs a scenario; the same arguments give the same journal.

    :param seed: seed of all draws; the scenario's own when omitted.
    :param with_long: false leaves out the requests of long rows.
    :param with_slow: false leaves out the faults that slow backend servers.
    :param parts_factory: replaces the policy's admission and routing.
    """
    number = scenario.seed if seed is None else seed
    if not with_slow:
        kept = [f for f in scenario.faults if f.kind is not FaultKind.SLOW]
        scenario = attrs.evolve(scenario, faults=tuple(kept))
    factory = parts_factory or partial(create_parts, policy)
    clock = trio.testing.MockClock(autojump_threshold=0)
    with _FixedOrder(number):
        return trio.run(_run, scenario, number, factory, with_long, clock=clock)


async def _run(
    scenario: Scenario, seed: int, factory: PartsFactory, with_long: bool
) -> Journal:
    journal = Journal()
    nodes, links, clients = np.random.SeedSequence([seed, 2]).spawn(3)
    fleet = create_fleet(
        scenario,
        journal,
        create_members(),
        create_links(scenario.delays, np.random.default_rng(links)),
        factory,
        nodes,
    )
    late = {f.target for f in scenario.faults if f.kind is FaultKind.JOIN}
    for node_id, service, data_centre in scenario.list_servers():
        if node_id not in late:
            fleet.announce(fleet.start_node(node_id, service, data_centre))
    arrivals = draw_arrivals(scenario, seed)
    if not with_long:
        arrivals = [a for a in arrivals if not scenario.rows[a.row].is_long]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(create_fault_schedule(fleet).run)
        await create_clients(fleet, np.random.default_rng(clients)).run(arrivals)
        nursery.cancel_scope.cancel()
    return journal
