"""Directory and peer link that answer from memory."""

import collections
from collections.abc import Callable

import attrs
import trio

from coltsfootspar.calls import CallReply, CallRequest, Outcome, Refusal
from coltsfootspar.exceptions import LinkError
from coltsfootspar.routing import Candidate

__all__ = ["FakeDirectory", "FakeLink", "create_refusal"]

_RETRY_AFTER = 1.0
_ERROR_SECONDS = 0.001

Answer = Callable[[str, CallRequest], CallReply | LinkError]


def create_refusal(code: str) -> CallReply:
    """Creates the reply of a node that refuses a call.

    :param code: code of the refusal, ``overload`` for example.
    """
    refusal = Refusal(code, _RETRY_AFTER)
    return CallReply(503, outcome=Outcome.NOT_RUN, refusal=refusal)


@attrs.define
class FakeDirectory:
    """Lists the same candidates for each service."""

    candidates: list[Candidate]

    def list_candidates(self, service: str) -> list[Candidate]:
        """Lists all candidates."""
        return self.candidates


@attrs.define
class FakeLink:
    """Answers by a function and records the calls.

    A reply takes its ``service_seconds`` and returns the whole allowance.

    :param answer: gives the reply or the error for a node id and a request.
    :param sent: node id and request of each call.
    :param cancelled: node ids of calls that were cancelled.
    :param error_seconds: time until an error is raised, seconds.
    """

    answer: Answer
    sent: list[tuple[str, CallRequest]] = attrs.field(factory=list)
    cancelled: list[str] = attrs.field(factory=list)
    error_seconds: float = _ERROR_SECONDS

    @property
    def node_ids(self) -> list[str]:
        """Node ids of the calls in their order."""
        return [node_id for node_id, _ in self.sent]

    def take_counts(self) -> collections.Counter:
        """Counts the recorded calls by node id and forgets them."""
        counts = collections.Counter(self.node_ids)
        self.sent.clear()
        return counts

    async def call(self, node_id: str, request: CallRequest) -> CallReply:
        """Answers a call.

        :raises LinkError: when the answer is an error.
        """
        self.sent.append((node_id, request))
        reply = self.answer(node_id, request)
        is_error = isinstance(reply, LinkError)
        try:
            await trio.sleep(self.error_seconds if is_error else reply.service_seconds)
        except trio.Cancelled:
            self.cancelled.append(node_id)
            raise
        if is_error:
            raise reply
        return attrs.evolve(reply, unused_allowance=request.context.allowance)
