"""What callers get in calm, beside a hot organisation and in a cut-off data centre."""

import pytest

from coltsfootspar.quotas import Grant, Limit, RefillReply, TokenAsk, create_limits
from coltsfootspar.quotas.buckets import MAX_RETRY_SECONDS, TokenBucket
from coltsfootspar.quotas.lending import Lender
from coltsfootspar.quotas.tests.world import World, create_rng, find_excess
from coltsfootspar.routes import Organisation

NODES_PER_SITE = 22
ORGANISATIONS = 74
USUAL_TOTAL = 800.0
# Limits are 1.6 times the usual load, which is near 0.6 of the limit.
LIMIT_FACTOR = 1.6
WARM_UP_SECONDS = 2.0
SECONDS = 10.0
# Callers below their limit lose at most 1 request in 100.
MOST_REFUSED_SHARE = 0.01
# A hot organisation gets nearly what its limit allows.
LEAST_SERVED_SHARE = 0.9
HOT_FACTOR = 8


def create_usual_loads() -> list[float]:
    """Returns the requests a second of each organisation, the largest first."""
    weights = [1 / (rank + 1) ** 1.2 for rank in range(ORGANISATIONS)]
    return [USUAL_TOTAL * weight / sum(weights) for weight in weights]


def create_world(loads: list[float]) -> World:
    organisations = [
        Organisation(
            f"org-{number}", (), rate=LIMIT_FACTOR * load, burst=LIMIT_FACTOR * load
        )
        for number, load in enumerate(loads)
    ]
    return World(organisations, nodes_per_site=NODES_PER_SITE)


def offer_all(world: World, loads: list[float], hot: int | None = None, nodes=None):
    """Offers the usual loads, and many times its usual for one organisation."""
    rng = create_rng(7)
    begin = world.now + WARM_UP_SECONDS
    for number, organisation in enumerate(world.organisations):
        is_hot = number == hot
        load = loads[number] * (HOT_FACTOR if is_hot else 1)
        chosen = nodes if is_hot and nodes else world.nodes
        world.offer(organisation, load, begin, begin + SECONDS, lambda c=chosen: c, rng)
    world.run_until(begin + SECONDS + 1)


def compute_refused_share(world: World, names: set[str]) -> float:
    refused = sum(world.refused.get(name, 0) for name in names)
    spent = sum(len(world.spent.get(name, [])) for name in names)
    return refused / (refused + spent)


def test_calm_load_is_not_refused():
    """Guards against refusals below the limit, for large and small organisations."""
    loads = create_usual_loads()
    world = create_world(loads)
    offer_all(world, loads)
    names = [organisation.name for organisation in world.organisations]
    for group in (names[:5], names[5:30], names[30:]):
        assert compute_refused_share(world, set(group)) <= MOST_REFUSED_SHARE


@pytest.mark.parametrize("hot", [0, 4, 40], ids=["largest", "large", "small"])
@pytest.mark.parametrize("hot_nodes", [3, None], ids=["few-nodes", "all-nodes"])
def test_hot_organisation_gets_its_limit_and_no_more(hot, hot_nodes):
    """Guards against a hot organisation that exceeds its limit, or gets far less.

    Load: 65 nodes and 74 organisations, one of them at eight times its usual.
    """
    loads = create_usual_loads()
    world = create_world(loads)
    nodes = world.nodes[::NODES_PER_SITE][:hot_nodes] if hot_nodes else None
    offer_all(world, loads, hot, nodes)
    organisation = world.organisations[hot]
    times = world.spent[organisation.name]
    limit = organisation.rate * SECONDS + organisation.burst
    assert len(times) >= LEAST_SERVED_SHARE * limit
    allowed = world.rules.compute_allowed(organisation)
    assert find_excess(times, allowed, world.rules.window) <= 0
    others = {o.name for o in world.organisations} - {organisation.name}
    assert compute_refused_share(world, others) <= MOST_REFUSED_SHARE


def test_cut_off_data_centre_serves_its_usual_load():
    """Guards against a data centre that refuses everything while it is cut off.

    A third of the callers are there, below a third of the limits.
    """
    loads = create_usual_loads()
    world = create_world(loads)
    pairs = {("c", "a"), ("c", "b"), ("a", "c"), ("b", "c")}
    # The fallback begins half a second after the last contact.
    world.at(world.now + WARM_UP_SECONDS - 1, world.cuts.update, pairs)
    offer_all(world, loads)
    names = {organisation.name for organisation in world.organisations}
    assert compute_refused_share(world, names) <= MOST_REFUSED_SHARE


def test_lowered_limit_binds_within_a_window():
    """Guards against tokens of the earlier limit that are spent later on."""
    organisation = Organisation("org", (), rate=200.0, burst=200.0)
    world = World([organisation])
    lowered = Organisation("org", (), rate=20.0, burst=20.0)
    begin = world.now
    world.at(begin + 4, world.set_organisations, [lowered])
    rng = create_rng(3)
    world.offer(organisation, 300.0, begin, begin + 12, lambda: world.nodes, rng)
    world.run_until(begin + 12)
    times = [when for when in world.spent["org"] if when >= begin + 4 + 0.5]
    allowed = world.rules.compute_allowed(lowered)
    assert find_excess(times, allowed, world.rules.window) <= 0


def test_promises_are_in_order_and_bounded():
    """Guards against callers that are all told to come back at once."""
    bucket = TokenBucket(Limit(10.0, 5.0), 0.0, 0.0)
    promises = [bucket.promise(5, 0.0) for _ in range(20)]
    assert promises == sorted(promises)
    assert promises[1] - promises[0] == pytest.approx(0.5)
    assert promises[-1] == MAX_RETRY_SECONDS


def test_reply_to_an_earlier_request_is_dropped():
    """Guards against tokens whose lifetime counts from a later request.

    A replica that becomes leader asks itself while its last request to the former
    leader is in progress.
    """
    world = World([Organisation("org", (), rate=10.0)])
    lender = Lender(3, world, create_limits(world.organisations, world.rules))
    organisation = next(iter(lender.limits))
    earlier = lender.create_refill(1)
    world.now += 0.3
    lender.create_refill(2, is_local=True)
    lender.apply_refill(earlier, RefillReply(world.now, (Grant(organisation, 5),)))
    loan = lender.request([TokenAsk(organisation, 1)], lambda: None)
    assert not loan.is_settled


def test_new_lender_has_no_fallback_share():
    """Guards against a share that a restarted lender and the ledger both spend."""
    world = World([Organisation("org", (), rate=10.0)])
    lender = Lender(3, world, create_limits(world.organisations, world.rules))
    organisation = next(iter(lender.limits))
    world.now += 60
    loan = lender.request([TokenAsk(organisation, 1)], lambda: None)
    assert not loan.is_settled
    assert not lender.create_reply(loan).is_available


def test_lender_that_leaves_spends_no_share():
    """Guards against a share that the next holder of the seat spends, too."""
    world = World([Organisation("org", (), rate=10.0)])
    world.run_until(world.now + 1)
    lender = world.sites["b"].lender
    world.now += 1
    assert lender.is_cut_off
    lender.waive_share()
    assert not lender.is_cut_off
