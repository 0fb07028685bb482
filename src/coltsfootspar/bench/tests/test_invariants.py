"""The invariants hold under random faults, and each check finds its fault."""

import attrs
import numpy as np
import pytest
import trio

from coltsfootspar.bench import PolicyName, find_violations, run_scenario
from coltsfootspar.bench.policies import create_parts
from coltsfootspar.bench.scenario import Fault, FaultKind
from coltsfootspar.calls import CallReply, Outcome
from coltsfootspar.exceptions import RefusedError

SEEDS = range(8)
FAULTS_PER_RUN = 5
TARGETS = ("front-1", "store-1", "store-2", "store-3")


def draw_faults(seed):
    source = np.random.default_rng(seed)
    kinds = [kind for kind in FaultKind if kind is not FaultKind.JOIN]
    for _ in range(FAULTS_PER_RUN):
        kind = kinds[source.integers(len(kinds))]
        is_cut = kind is FaultKind.CUT
        yield Fault(
            kind=kind,
            at_s=float(source.uniform(0, 2.5)),
            for_s=float(source.uniform(0.1, 2.5)),
            target="dc-1" if is_cut else TARGETS[source.integers(len(TARGETS))],
            share=float(source.uniform(0.1, 0.9)),
        )


def find_names(scenario, factory=None):
    journal = run_scenario(scenario, PolicyName.COLTSFOOTSPAR, parts_factory=factory)
    return {found.name for found in find_violations(journal, scenario)}


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_under_random_faults(create_small, seed):
    scenario = create_small(seed=seed, faults=tuple(draw_faults(seed)))
    journal = run_scenario(scenario, PolicyName.COLTSFOOTSPAR)
    assert list(find_violations(journal, scenario)) == []


@attrs.define
class PlantedRouter:
    """Router with a fault; ``answers`` belongs to all nodes of the run."""

    router: object
    fault: str
    answers: dict

    async def call(self, request, row):
        reply = await self.router.call(request, row)
        if self.fault == "swapped" and reply.status == 200:
            other = self.answers.setdefault(row.name, reply)
            return attrs.evolve(reply, body=other.body)
        if self.fault == "denied":
            return CallReply(503, outcome=Outcome.NOT_RUN)
        if self.fault == "repeated" and not row.is_idempotent:
            return await self.router.call(request, row)
        return reply


@attrs.define
class PlantedController:
    """Refuses important calls although less important ones wait."""

    controller: object

    async def acquire(self, request, row):
        if request.context.priority.importance == 9:
            raise RefusedError("planted")
        return await self.controller.acquire(request, row)

    def __getattr__(self, name):
        return getattr(self.controller, name)


@attrs.define
class PlantedGate:
    """Refuses important requests and lets the others pass."""

    gate: object

    def admit(self, row, context):
        if context.priority.importance == 9:
            raise RefusedError("planted")
        return self.gate.admit(row, context)

    def __getattr__(self, name):
        return getattr(self.gate, name)


@attrs.define
class StaleDirectory:
    """Never forgets a server and does not notice that one leaves."""

    directory: object
    known: dict = attrs.field(factory=dict)

    def list_candidates(self, service):
        for candidate in self.directory.list_candidates(service):
            present = attrs.evolve(candidate, is_leaving=False)
            self.known[candidate.node_id] = present
        return [c for c in self.known.values() if c.service == service]


def plant_router(fault):
    answers = {}

    def factory(site):
        parts = create_parts(PolicyName.COLTSFOOTSPAR, site)
        return attrs.evolve(parts, router=PlantedRouter(parts.router, fault, answers))

    return factory


@pytest.mark.parametrize(
    ("fault", "name"),
    [
        ("swapped", "foreign_answers"),
        ("denied", "not_run_but_ran"),
        ("repeated", "once_run_twice"),
    ],
)
def test_finds_a_faulty_router(create_small, fault, name):
    assert name in find_names(create_small(), plant_router(fault))


def test_finds_retries_that_multiply(create_small):
    faults = tuple(
        Fault(kind=FaultKind.FAIL, at_s=0, target=f"store-{n}", share=1.0)
        for n in (1, 2, 3)
    )
    scenario = create_small(faults=faults)
    journal = run_scenario(scenario, PolicyName.BASELINE)
    names = {found.name for found in find_violations(journal, scenario)}
    assert "attempts_over_allowance" in names


def test_finds_refused_important_calls_while_others_wait(create_small):
    def factory(site):
        parts = create_parts(PolicyName.COLTSFOOTSPAR, site)
        return attrs.evolve(parts, admission=PlantedController(parts.admission))

    assert find_names(create_small(), factory) == {"importance_inversions"}


def test_finds_a_gate_that_refuses_important_requests(create_small):
    """Views reach the same services as payments and are less important."""

    def factory(site):
        parts = create_parts(PolicyName.COLTSFOOTSPAR, site)
        return attrs.evolve(parts, gate=PlantedGate(parts.gate))

    assert find_names(create_small(), factory) == {"importance_inversions"}


def test_finds_work_sent_to_a_server_that_left(create_small):
    def factory(site):
        stale = attrs.evolve(site, directory=StaleDirectory(site.directory))
        return create_parts(PolicyName.BASELINE, stale)

    fault = Fault(kind=FaultKind.LEAVE, at_s=0.5, target="store-1")
    assert "sent_to_left" in find_names(create_small(faults=(fault,)), factory)


def test_cut_links_report_the_outcome_truthfully(create_small):
    """A call on a link that falls silent may have run; a later one did not."""
    from coltsfootspar.bench.network import SILENCE_SECONDS, create_links
    from coltsfootspar.exceptions import LinkError

    async def run():
        delays = create_small().delays
        links = create_links(attrs.evolve(delays, loss=0), np.random.default_rng(1))
        links.cut("dc-1")
        with pytest.raises(LinkError) as caught:
            await links.transfer("dc-1", "dc-2")
        assert caught.value.may_have_run
        assert trio.current_time() == pytest.approx(SILENCE_SECONDS, abs=0.01)
        await trio.sleep(0.01)
        assert links.is_known_broken("dc-2", "dc-1")
        links.heal("dc-1")
        await links.transfer("dc-1", "dc-2")

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
