"""The rate of an organisation holds over all nodes in every sliding window."""

from hypothesis import HealthCheck, given, settings, strategies as st

from coltsfootspar.quotas import (
    Grant,
    Lender,
    RefillReply,
    RefillRequest,
    Spender,
    TokenAsk,
    TokenReply,
)
from coltsfootspar.quotas.ledger import CONFIRMATION_SECONDS
from coltsfootspar.quotas.limits import TOKEN_LIFETIME_SECONDS
from coltsfootspar.quotas.tests.world import World, create_rng, find_excess
from coltsfootspar.routes import Organisation

START = 100.0
SECONDS = 14.0
ORGANISATIONS = [
    Organisation("large", (), rate=120.0, burst=30.0),
    Organisation("small", (), rate=3.0, burst=3.0),
]
SITES = ("a", "b", "c")

moments = st.floats(0.0, SECONDS - 2)
spans = st.floats(0.05, 6.0)
sites = st.sampled_from(SITES)
cuts = st.tuples(st.just("cut"), moments, spans, sites, sites)
isolations = st.tuples(st.just("isolate"), moments, spans, sites, sites)
freezes = st.tuples(st.just("freeze"), moments, spans, sites, st.booleans())
restarts = st.tuples(st.just("restart"), moments, spans, sites, st.booleans())
elections = st.tuples(st.just("elect"), moments, spans, sites, st.booleans())
faults = st.lists(st.one_of(cuts, isolations, freezes, restarts, elections), max_size=6)


def schedule(world: World, kind: str, begin: float, span: float, site, other) -> None:
    """Schedules one fault."""
    if kind == "cut":
        _cut(world, begin, span, {(site, other)})
    elif kind == "isolate":
        pairs = {(site, name) for name in SITES} | {(name, site) for name in SITES}
        _cut(world, begin, span, pairs)
    elif kind == "freeze":
        world.at(begin, _freeze, world, site, begin + span, other)
    elif kind == "restart":
        world.at(begin, _restart, world, site, other)
    else:
        world.at(begin, _elect, world, site, other, span)


def _cut(world: World, begin: float, span: float, pairs) -> None:
    pairs = {pair for pair in pairs if pair[0] != pair[1]}
    world.at(begin, world.cuts.update, pairs)
    world.at(begin + span, world.cuts.difference_update, pairs)


def _freeze(world: World, site: str, until: float, is_node: bool) -> None:
    nodes = [node for node in world.nodes if node.site == site]
    world.frozen[nodes[0] if is_node else world.sites[site].lender] = until


def _restart(world: World, site: str, is_node: bool) -> None:
    if is_node:
        world.restart_node(SITES.index(site))
    else:
        world.start_lender(site)


def _elect(world: World, leader: str, is_late: bool, span: float) -> None:
    others = [name for name in SITES if name != leader]
    world.elect(leader, (leader, others[0]))
    term = max(world.ledgers)

    def learn() -> None:
        site = world.sites[others[1]]
        site.term = max(site.term, term)

    # The replica that has not voted may go on in the old term for some time.
    world.at(world.now + (span if is_late else 0.05), learn)


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(faults, st.integers(0, 1000))
def test_no_window_exceeds_the_limit(schedule_of_faults, seed):
    """Guards against tokens that are spent twice, renewed or spent after they lapse.

    Old leaders are never told that their term is over, and callers send several times
    the limit all the time.
    """
    world = World(ORGANISATIONS)
    rng = create_rng(seed)
    for kind, begin, span, site, other in schedule_of_faults:
        schedule(world, kind, START + begin, span, site, other)
    for organisation in ORGANISATIONS:
        world.offer(
            organisation,
            3 * organisation.rate,
            START,
            START + SECONDS,
            lambda: world.nodes,
            rng,
        )
    world.run_until(START + SECONDS)
    for organisation in ORGANISATIONS:
        allowed = world.rules.compute_allowed(organisation)
        times = world.spent.get(organisation.name, [])
        assert find_excess(times, allowed, world.rules.window) <= 0


def test_former_leader_grants_nothing_without_echoes():
    """Guards against a leader that goes on after a suspension or a cut."""
    world = World(ORGANISATIONS)
    world.run_until(START + 2)
    ledger = world.ledgers[max(world.ledgers)]
    stamp = world.now
    ask = TokenAsk(next(iter(world.limits)), 1)
    confirmed = ledger.handle("b", RefillRequest(ledger.term, stamp, True, (ask,)))
    assert confirmed.grants[0].count == 1
    world.now += CONFIRMATION_SECONDS + 0.01
    late = ledger.handle("b", RefillRequest(ledger.term, stamp, True, (ask,)))
    assert late.stamp and not late.grants
    assert not ledger.handle("a", RefillRequest(ledger.term, 0.0, True, (ask,))).stamp


def test_token_in_a_late_reply_is_not_spent():
    """Guards against a node that was frozen while its reply was on the way."""
    world = World(ORGANISATIONS)
    spender = Spender(world)
    number = next(iter(world.limits))
    ticket = spender.add(number, 1.0)
    spender.create_request()
    world.now += 1.0
    assert not spender.apply_reply(TokenReply(True, 0.45, (Grant(number, 2),)))
    assert not ticket.is_settled
    assert spender.is_waiting


def test_late_reply_of_a_former_leader_does_not_extend_tokens():
    """Guards against the lifetime of a later request: that of the lender which has
    become the leader while its request to the former one was under way."""
    world = World(ORGANISATIONS)
    lender = Lender(3, world, world.limits)
    organisation = next(iter(world.limits))
    loan = lender.request([TokenAsk(organisation, 1)], lambda: None)
    request = lender.create_refill(1)
    world.now += 0.25
    local = lender.create_refill(2, is_local=True)
    lender.apply_refill(local, RefillReply())
    grants = (Grant(organisation, 1),)
    lender.apply_refill(request, RefillReply(world.now, grants))
    expires_at = world.now + TOKEN_LIFETIME_SECONDS - 0.25
    assert not loan.grants or loan.expires_at <= expires_at
