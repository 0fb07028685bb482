"""Routing must keep to its limits whatever the nodes answer."""

import random

import attrs
import trio

from coltsfootspar.calls import CallContext, CallReply, CallRequest, Outcome, Priority
from coltsfootspar.exceptions import LinkError
from coltsfootspar.routing import Candidate, create_router
from coltsfootspar.table import parse_row_key
from coltsfootspar.table.rows import create_row

READ = create_row(parse_row_key("specs GET /specs/{id}"))


@attrs.define
class FakeDirectory:
    candidates: list

    def list_candidates(self, service):
        return [c for c in self.candidates if c.service == service]


def create_candidate(name, data_centre="a", region="r", slots=10, **values):
    return Candidate(name, "specs", region, data_centre, slots, **values)


def create_request(allowance=3, remaining=5.0, importance=5):
    deadline = trio.current_time() + remaining
    context = CallContext(
        "a" * 32, "b" * 16, deadline, Priority(importance, 1), allowance
    )
    return CallRequest("specs", "GET", "/specs/1", (), b"", context)


@attrs.define
class FakeLink:
    """Answers by a function of node id and request; records the attempts."""

    answer: object
    sent: list = attrs.field(factory=list)

    async def call(self, node_id, request):
        self.sent.append((node_id, request))
        reply = self.answer(node_id, request)
        await trio.sleep(reply.service_seconds)
        return attrs.evolve(reply, unused_allowance=request.context.allowance)


async def test_retry_goes_to_another_candidate_and_spends_one(autojump_clock):
    def answer(node_id, request):
        if len(link.sent) == 1:
            raise LinkError("down", may_have_run=True)
        return CallReply(200, service_seconds=0.01)

    link = FakeLink(answer)
    directory = FakeDirectory([create_candidate("x"), create_candidate("y")])
    router = create_router("n", "r", "a", directory, link, random.Random(1))
    reply = await router.call(create_request(allowance=1), READ)
    assert reply.status == 200 and reply.outcome is Outcome.RAN
    assert {node_id for node_id, _ in link.sent} == {"x", "y"}
