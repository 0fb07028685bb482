"""Tests of the order in which calls of organisations get slots, on a virtual clock."""

import collections
import random

import attrs
import trio
import trio.testing
from hypothesis import given, settings, strategies as st

from coltsfootspar.exceptions import RefusedError
from coltsfootspar.relay import Call, PriorityClass, create_concurrency_limiter
from coltsfootspar.relay.fairness import FairQueueing

SERVICE_SECONDS = 0.1
SLOTS = 10
CAPACITY_PER_SECOND = SLOTS / SERVICE_SECONDS


def create_call(organisation="", **changes) -> Call:
    call = Call(
        service="wallet",
        deadline=trio.current_time() + 5.0,
        rank=1,
        is_idempotent=True,
        priority_class=PriorityClass.NEW,
        target_latency=1.0,
        caller="diaries",
        organisation=organisation,
    )
    return attrs.evolve(call, **changes)


@attrs.define(eq=False)
class LoadedService:
    """A full service to which organisations send calls at their own rates."""

    nursery: trio.Nursery
    limiter: object = attrs.field(factory=create_concurrency_limiter)
    served: collections.Counter = attrs.field(factory=collections.Counter)
    sent: collections.Counter = attrs.field(factory=collections.Counter)

    def __attrs_post_init__(self):
        self.limiter.set_capacity(SLOTS, 0.0)

    async def send_calls(self, seed, rate, seconds, **properties):
        """Sends calls at random times; their organisation tells the senders apart."""
        source = random.Random(seed)
        ends_at = trio.current_time() + seconds
        while trio.current_time() < ends_at:
            await trio.sleep(source.expovariate(rate))
            self.nursery.start_soon(self._run, create_call(**properties))

    async def _run(self, call):
        self.sent[call.organisation] += 1
        try:
            await self.limiter.acquire(call)
        except RefusedError:
            return
        await trio.sleep(SERVICE_SECONDS)
        self.limiter.release(SERVICE_SECONDS)
        self.served[call.organisation] += 1


async def test_small_organisations_are_served_beside_a_large_one(autojump_clock):
    """Guards against an organisation that takes the slots of all others.

    One sends six times what the service bears, nine others a twentieth of it each.
    """
    async with trio.open_nursery() as nursery:
        service = LoadedService(nursery)
        small = [f"small-{number}" for number in range(9)]
        rates = dict.fromkeys(small, CAPACITY_PER_SECOND / 20)
        rates["large"] = CAPACITY_PER_SECOND * 6
        for seed, (name, rate) in enumerate(rates.items()):
            nursery.start_soon(
                lambda seed=seed, name=name, rate=rate: service.send_calls(
                    seed, rate, 20.0, organisation=name
                )
            )
    for name in small:
        assert service.served[name] >= 0.95 * service.sent[name]
    assert service.served.total() >= 0.95 * CAPACITY_PER_SECOND * 20


async def test_organisations_that_ask_for_too_much_get_equal_parts(autojump_clock):
    """Guards against slots that follow the number of calls that each one sends."""
    async with trio.open_nursery() as nursery:
        service = LoadedService(nursery)
        for seed, factor in enumerate((1, 2, 4)):
            name, rate = f"o{factor}", CAPACITY_PER_SECOND * factor
            nursery.start_soon(
                lambda seed=seed, name=name, rate=rate: service.send_calls(
                    seed, rate, 20.0, organisation=name
                )
            )
    mean = service.served.total() / 3
    assert all(abs(count - mean) < 0.1 * mean for count in service.served.values())


async def test_important_organisation_goes_before_an_important_route(autojump_clock):
    """Guards against an order in which the rank of the route comes first."""
    limiter = create_concurrency_limiter()
    limiter.set_capacity(1, 0.0)
    await limiter.acquire(create_call())
    order = []

    async def acquire_slot(name, call):
        await limiter.acquire(call)
        order.append(name)
        limiter.release(0.01)

    async with trio.open_nursery() as nursery:
        for name, organisation_rank, rank in (
            ("low", 2, 0),
            ("high", 0, 3),
            ("middle", 1, 1),
        ):
            call = create_call(name, organisation_rank=organisation_rank, rank=rank)
            nursery.start_soon(acquire_slot, name, call)
            await trio.testing.wait_all_tasks_blocked()
        limiter.release(0.01)
    assert order == ["high", "middle", "low"]


def test_calls_without_organisations_cost_nothing():
    """Guards against state that is kept where no organisation is set."""

    async def main():
        queueing = FairQueueing()
        for _ in range(3):
            call = create_call()
            tag = queueing.compute_tag(call)
            queueing.add(call, tag)
            assert tag == 0.0
        assert not queueing._groups

    trio.run(main)


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(
        st.tuples(st.sampled_from(["add", "start", "remove"]), st.integers(0, 4)),
        max_size=60,
    )
)
def test_state_lasts_only_while_calls_wait(steps):
    """Guards against memory that grows with the organisations seen, and against
    a turn that an organisation loses when its calls are refused."""

    async def main():
        queueing, waiting = FairQueueing(), []
        for step, number in steps:
            if step == "add":
                call = create_call(f"o{number}")
                tag = queueing.compute_tag(call)
                queueing.add(call, tag)
                waiting.append((tag, len(waiting), call))
            elif waiting and step == "start":
                tag, _, call = waiting.pop(waiting.index(min(waiting)))
                queueing.start(call, tag)
            elif waiting:
                tag, _, call = waiting.pop(number % len(waiting))
                queueing.remove(call, tag)
            names = {call.organisation for _, _, call in waiting}
            known = {
                name for group in queueing._groups.values() for name in group.flows
            }
            assert known == names
        assert bool(queueing._groups) == bool(waiting)

    trio.run(main)
