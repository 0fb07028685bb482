"""Nodes, lenders and ledgers on a virtual clock, with a queue of messages."""

import bisect
import heapq
import itertools
import random

import attrs

from coltsfootspar.quotas import (
    Ledger,
    Lender,
    QuotaRules,
    Spender,
    compute_organisation_id,
    create_limits,
)
from coltsfootspar.quotas.ledger import CONFIRMATION_SECONDS
from coltsfootspar.routes import Organisation

LOCAL_SECONDS = 0.0005
REMOTE_SECONDS = 0.0055
NODE_PERIOD_SECONDS = 0.01
REFILL_PERIOD_SECONDS = 0.02
KEEPALIVE_SECONDS = 0.15
TIMEOUT_SECONDS = 0.3
REQUEST_WAIT_SECONDS = 0.4


@attrs.define(eq=False)
class Site:
    """A data centre with the lender in it; also one with a ledger while it leads."""

    name: str
    lender: Lender
    term: int = 1
    refilled_at: float = 0.0
    is_refilling: bool = False


@attrs.define(eq=False)
class Node:
    """A node and the requests that wait there, with the time of their arrival."""

    site: str
    spender: Spender
    tickets: list = attrs.field(factory=list)
    asked_at: float = -1.0
    is_asking: bool = False


@attrs.define(eq=False)
class World:
    """Plays requests and faults.

    :param spent: times of the requests that went on, by organisation.
    :param refused: requests refused or timed out, by organisation.
    """

    organisations: list[Organisation]
    nodes_per_site: int = 1
    site_names: tuple[str, ...] = ("a", "b", "c")
    rules: QuotaRules = attrs.field(factory=QuotaRules)
    now: float = 100.0
    spent: dict[str, list[float]] = attrs.field(factory=dict)
    refused: dict[str, int] = attrs.field(factory=dict)
    messages: int = 0
    cuts: set[tuple[str, str]] = attrs.field(factory=set)
    ledgers: dict[int, Ledger] = attrs.field(factory=dict)
    leaders: dict[int, str] = attrs.field(factory=dict)
    frozen: dict[object, float] = attrs.field(factory=dict)
    sites: dict[str, Site] = attrs.field(factory=dict)
    nodes: list[Node] = attrs.field(factory=list)
    _events: list = attrs.field(factory=list)
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    names: dict[int, str] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.names = {
            compute_organisation_id(organisation.name): organisation.name
            for organisation in self.organisations
        }
        for name in self.site_names:
            self.start_lender(name)
            for _ in range(self.nodes_per_site):
                self.nodes.append(Node(name, Spender(self)))
        self.elect(self.site_names[0], self.site_names)

    def read(self) -> float:
        return self.now

    def start_lender(self, name: str) -> None:
        term = self.sites[name].term if name in self.sites else 1
        lender = Lender(len(self.site_names), self, self.limits)
        self.sites[name] = Site(name, lender, term, self.now)
        self.at(self.now, self.tick_site, self.sites[name])

    def restart_node(self, index: int) -> None:
        self.nodes[index] = Node(self.nodes[index].site, Spender(self))

    @property
    def limits(self):
        return create_limits(self.organisations, self.rules)

    def set_organisations(self, organisations: list[Organisation]) -> None:
        self.organisations = organisations
        for ledger in self.ledgers.values():
            ledger.set_limits(self.limits)
        for site in self.sites.values():
            site.lender.limits = self.limits

    def elect(self, leader: str, voters) -> None:
        """Begins a term; older leaders go on until they grant nothing any more."""
        term = max(self.ledgers, default=0) + 1
        for name in voters:
            self.sites[name].term = term
        self.leaders[term] = leader
        ledger = Ledger(
            term,
            leader,
            len(self.site_names),
            lambda: self.site_names,
            self.rules,
            self,
            self.now + CONFIRMATION_SECONDS,
        )
        ledger.set_limits(self.limits)
        self.ledgers[term] = ledger

    def at(self, when: float, action, *arguments) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), action, arguments))

    def run_until(self, end: float) -> None:
        while self._events and self._events[0][0] <= end:
            when, _, action, arguments = heapq.heappop(self._events)
            self.now = max(self.now, when)
            action(*arguments)
        self.now = end

    def deliver(self, source: str, target: str, process, action, *arguments) -> None:
        """Sends a message; a frozen process reads it when it goes on."""
        if (source, target) in self.cuts:
            return
        self.messages += 1
        delay = LOCAL_SECONDS if source == target else REMOTE_SECONDS
        self.at(self.now + delay, self._receive, process, action, arguments)

    def _receive(self, process, action, arguments) -> None:
        thaws_at = self.frozen.get(process, 0.0)
        if thaws_at > self.now:
            self.at(thaws_at, self._receive, process, action, arguments)
        else:
            action(*arguments)

    def arrive(self, node: Node, organisation: Organisation) -> None:
        """Takes a request of a caller."""
        number = compute_organisation_id(organisation.name)
        ticket = node.spender.add(number, 1 / organisation.rate)
        if ticket.is_settled:
            self._finish(node, [ticket])
            return
        node.tickets.append((self.now, ticket))
        self.at(self.now, self.ask, node)
        self.at(self.now + REQUEST_WAIT_SECONDS, self._expire, node, ticket)

    def _expire(self, node: Node, ticket) -> None:
        if not ticket.is_settled:
            node.spender.cancel(ticket)
            self._count_refused(ticket)

    def ask(self, node: Node) -> None:
        if self.frozen.get(node, 0.0) > self.now or not node.spender.is_waiting:
            return
        if node.is_asking and self.now < node.asked_at + TIMEOUT_SECONDS:
            return
        ready_at = node.asked_at + NODE_PERIOD_SECONDS
        if ready_at > self.now:
            self.at(ready_at, self.ask, node)
            return
        node.is_asking, node.asked_at = True, self.now
        self.at(self.now + TIMEOUT_SECONDS, self.ask, node)
        lenders = [node.site, *self.site_names]
        target = next(n for n in lenders if (node.site, n) not in self.cuts)
        site = self.sites[target]
        request, asked_at = node.spender.create_request(), self.now
        self.deliver(
            node.site, target, site.lender, self._lend, site, node, request, asked_at
        )

    def _lend(self, site: Site, node: Node, request, asked_at: float) -> None:
        loans = []

        def reply() -> None:
            # Settled at once within the request, or later.
            self.at(self.now, send)

        def send() -> None:
            message = site.lender.create_reply(loans[0])
            self.deliver(
                site.name, node.site, node, self._read_reply, node, message, asked_at
            )

        loans.append(site.lender.request(request.asks, reply))
        self.refill(site)

    def _read_reply(self, node: Node, reply, asked_at: float) -> None:
        if node.asked_at != asked_at or not node.is_asking:
            return
        node.is_asking = False
        self._finish(node, node.spender.apply_reply(reply))
        self.ask(node)

    def _finish(self, node: Node, tickets) -> None:
        for ticket in tickets:
            if ticket.retry_after is not None or not node.spender.is_valid(ticket):
                self._count_refused(ticket)
            else:
                name = self.names[ticket.organisation]
                self.spent.setdefault(name, []).append(self.now)

    def _count_refused(self, ticket) -> None:
        name = self.names[ticket.organisation]
        self.refused[name] = self.refused.get(name, 0) + 1

    def tick_site(self, site: Site) -> None:
        if self.sites[site.name] is not site:
            return
        if self.frozen.get(site.lender, 0.0) <= self.now:
            if site.lender.is_cut_off:
                site.lender.serve_fallback()
            self.refill(site)
        self.at(self.now + REFILL_PERIOD_SECONDS, self.tick_site, site)

    def refill(self, site: Site) -> None:
        """Asks the ledger when requests wait, and from time to time."""
        elapsed = self.now - site.refilled_at
        if site.is_refilling and elapsed < TIMEOUT_SECONDS:
            return
        period = REFILL_PERIOD_SECONDS if site.lender.is_waiting else KEEPALIVE_SECONDS
        if elapsed < period - 1e-9:
            return
        leader = self.leaders.get(site.term, site.name)
        if site.is_refilling:
            site.lender.fail_refill()
        site.refilled_at, site.is_refilling = self.now, True
        request = site.lender.create_refill(site.term, is_local=leader == site.name)
        target = self.sites[leader].lender
        self.deliver(site.name, leader, target, self._grant, site, request, self.now)

    def _grant(self, site: Site, request, sent_at: float) -> None:
        reply = self.ledgers[request.term].handle(site.name, request)
        leader = self.leaders[request.term]
        self.deliver(
            leader, site.name, site.lender, self._refill, site, request, reply, sent_at
        )

    def _refill(self, site: Site, request, reply, sent_at: float) -> None:
        if self.sites[site.name] is site and site.refilled_at == sent_at:
            site.is_refilling = False
            site.lender.apply_refill(request, reply)

    def offer(self, organisation, rate: float, start: float, end: float, nodes, rng):
        """Schedules requests of an organisation at random times and nodes."""
        when = start + rng.expovariate(rate)
        while when < end:
            self.at(when, lambda: self.arrive(rng.choice(nodes()), organisation))
            when += rng.expovariate(rate)


def find_excess(times: list[float], allowed: float, window: float) -> float:
    """Returns by how much the fullest sliding window exceeds what is allowed."""
    times = sorted(times)
    most = max(
        (bisect.bisect_right(times, t + window) - i for i, t in enumerate(times)),
        default=0,
    )
    return most - allowed


def create_rng(seed: int) -> random.Random:
    return random.Random(seed)
