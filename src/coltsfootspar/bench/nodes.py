"""The nodes of a run, each with its backend server, and the links between them."""

import itertools
import random
from collections.abc import Awaitable, Callable, Mapping

import attrs
import numpy as np
import trio

from coltsfootspar.bench.backend import StandInServer, create_server
from coltsfootspar.bench.journal import Journal
from coltsfootspar.bench.members import DirectoryView, Members
from coltsfootspar.bench.network import Links
from coltsfootspar.bench.observers import ObservedController, ObservedGate
from coltsfootspar.bench.once import ClaimStore, create_once_executor
from coltsfootspar.bench.policies import NodeSite, PartsFactory
from coltsfootspar.bench.scenario import Scenario
from coltsfootspar.calls import CallReply, CallRequest
from coltsfootspar.exceptions import LinkError
from coltsfootspar.node.interfaces import IncomingCall
from coltsfootspar.node.pipeline import Pipeline, create_pipeline
from coltsfootspar.routing import Candidate
from coltsfootspar.table import RowMatcher, create_matcher, create_table

__all__ = ["BenchNode", "Fleet", "create_fleet"]

# From this time after it left, nobody may send work to a backend server.
LEAVING_GRACE_SECONDS = 2.0
# Hops to the leader of the replicas and from it to a majority, and back.
_CLAIM_HOPS = 4


@attrs.define
class _Span:
    span_id: str

    def set_attribute(self, name: str, value: str | int | float | bool) -> None:
        pass

    def __enter__(self) -> "_Span":
        return self

    def __exit__(self, *exc_info: object) -> None:
        pass


@attrs.define(eq=False)
class _SpanCounter:
    """Tracer that only gives out span ids."""

    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def open_span(self, name: str, trace_id: str, parent_span_id: str) -> _Span:
        return _Span(f"{next(self._numbers):016x}")


@attrs.frozen
class _FixedTable:
    matcher: RowMatcher


@attrs.define(eq=False)
class BenchNode:
    """A node with its backend server.

    :param left_at: time of a planned leave, seconds.
    """

    node_id: str
    service: str
    data_centre: str
    pipeline: Pipeline
    server: StandInServer
    left_at: float | None = None
    is_up: bool = True
    _scopes: dict[trio.CancelScope, None] = attrs.field(factory=dict)

    async def run(self, call: Callable[[], Awaitable[CallReply]]) -> CallReply:
        """Runs a call on this node.

        :raises LinkError: when the node is down or crashes meanwhile.
        """
        if not self.is_up:
            raise LinkError(f"{self.node_id} is down", may_have_run=False)
        scope = trio.CancelScope()
        self._scopes[scope] = None
        try:
            with scope:
                return await call()
        finally:
            del self._scopes[scope]
        raise LinkError(f"{self.node_id} crashed", may_have_run=True)

    def crash(self) -> None:
        """Ends the node with all its calls."""
        self.is_up = False
        for scope in list(self._scopes):
            scope.cancel()


@attrs.define(eq=False)
class Fleet:
    """All nodes of a run."""

    scenario: Scenario
    journal: Journal
    members: Members
    links: Links
    _create_parts: PartsFactory
    _seeds: np.random.SeedSequence
    _matcher: RowMatcher
    _tracer: _SpanCounter = attrs.field(factory=_SpanCounter)
    _claims: ClaimStore = attrs.field(factory=ClaimStore)
    nodes: dict[str, BenchNode] = attrs.field(factory=dict)

    def start_node(self, node_id: str, service: str, data_centre: str) -> BenchNode:
        """Starts a node with its backend server, which announces itself."""
        size = self.scenario.services[service]
        source = np.random.default_rng(self._seeds.spawn(1)[0])
        journal = self.journal

        async def send(call: IncomingCall) -> CallReply:
            return await self.nodes[node_id].pipeline.enter(call)

        server = create_server(
            node_id=node_id,
            service=service,
            size=size,
            rows=self.scenario.rows,
            matcher=self._matcher,
            journal=journal,
            source=source,
            send=send,
            started_at=trio.current_time(),
        )
        pipeline = self._create_pipeline(
            node_id, service, data_centre, server, int(source.integers(2**62))
        )
        node = BenchNode(node_id, service, data_centre, pipeline, server)
        self.nodes[node_id] = node
        return node

    def announce(self, node: BenchNode) -> None:
        """Makes a node known to the others."""
        size = self.scenario.services[node.service]
        warm_at = trio.current_time() + size.cold_start_ms / 1e3
        self.members.put(
            Candidate(
                node.node_id,
                node.service,
                self.scenario.region,
                node.data_centre,
                size.slots,
                warm_at=warm_at if size.cold_start_ms else 0.0,
            )
        )

    def _create_pipeline(
        self,
        node_id: str,
        service: str,
        data_centre: str,
        server: StandInServer,
        seed: int,
    ) -> Pipeline:
        size = self.scenario.services[service]
        site = NodeSite(
            node_id=node_id,
            service=service,
            region=self.scenario.region,
            data_centre=data_centre,
            slots=size.slots,
            cold_start=size.cold_start_ms / 1e3,
            directory=DirectoryView(self.members, data_centre),
            link=_PeerLink(self, node_id, data_centre),
            source=random.Random(seed),
        )
        parts = self._create_parts(site)
        claim_seconds = _CLAIM_HOPS * self.scenario.delays.between_ms / 1e3
        return create_pipeline(
            node_id=node_id,
            table=_FixedTable(self._matcher),
            gate=ObservedGate(node_id, parts.gate, self.journal),
            router=parts.router,
            admission=ObservedController(
                node_id, parts.admission, self.scenario.rows, self.journal
            ),
            backend=server,
            once=create_once_executor(self._claims, claim_seconds),
            tracer=self._tracer,
        )


@attrs.define(eq=False)
class _PeerLink:
    """Calls from one node to the others."""

    _fleet: Fleet
    _node_id: str
    _data_centre: str

    async def call(self, node_id: str, request: CallRequest) -> CallReply:
        """Sends a call to a node and waits for its reply."""
        fleet = self._fleet
        target = fleet.nodes[node_id]
        self._check_target(target)
        if node_id == self._node_id:
            return await target.run(lambda: target.pipeline.serve(request))
        here, there = self._data_centre, target.data_centre
        if fleet.links.is_known_broken(here, there) or not target.is_up:
            await fleet.links.transfer(here, here)
            raise LinkError(f"{node_id} is unreachable", may_have_run=False)
        await fleet.links.transfer(here, there)
        reply = await target.run(lambda: target.pipeline.serve(request))
        await fleet.links.transfer(there, here)
        return reply

    def _check_target(self, target: BenchNode) -> None:
        left_at, now = target.left_at, trio.current_time()
        if left_at is not None and now > left_at + LEAVING_GRACE_SECONDS:
            self._fleet.journal.add_violation(
                "sent_to_left",
                f"{self._node_id} to {target.node_id} at {now:.3f} s, "
                f"which left at {left_at:.3f} s",
            )


def create_fleet(
    scenario: Scenario,
    journal: Journal,
    members: Members,
    links: Links,
    create_parts: PartsFactory,
    seeds: np.random.SeedSequence,
) -> Fleet:
    """Creates a fleet without nodes.

    :param create_parts: creates admission and routing of a node.
    :param seeds: seeds of the nodes and their backend servers.
    """
    rows: Mapping = scenario.rows
    table = create_table([kind.create_row(name) for name, kind in rows.items()])
    matcher = create_matcher(table)
    return Fleet(scenario, journal, members, links, create_parts, seeds, matcher)
