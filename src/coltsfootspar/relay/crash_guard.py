"""Keeps requests that crash servers away from the local backend server."""

import random
from collections.abc import Sequence

import attrs
import trio

from coltsfootspar.relay.calls import OutgoingCall
from coltsfootspar.relay.crash_detection import CrashDetector, create_crash_detector
from coltsfootspar.relay.crashes import CrashRecords, create_crash_records
from coltsfootspar.wire import Address

__all__ = ["CrashGuard", "create_crash_guard"]


@attrs.define(eq=False)
class CrashGuard:
    """Joins the detection of crashes with the records, and keeps news for other nodes.

    Without a crash in the records it costs a request nothing.

    :param records: requests under which servers have crashed, here and elsewhere.
    :param crashed: requests under which the local server has crashed, not yet sent
        to other nodes.
    :param cleared: requests that were blocked and have been answered, likewise.
    :param has_news: set when either list is not empty.
    """

    records: CrashRecords
    detector: CrashDetector = attrs.field(init=False)
    crashed: list[int] = attrs.field(factory=list)
    cleared: list[int] = attrs.field(factory=list)
    has_news: trio.Event = attrs.field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        self.detector = create_crash_detector(self._record_crash)

    def find_block(self, outgoing: OutgoingCall) -> float:
        """Returns for how long a request must not reach the server, seconds."""
        if self.records.is_empty:
            return 0.0
        return self.records.find_block(outgoing.digest)

    def record_start(self, outgoing: OutgoingCall) -> None:
        """Takes note that a request is being sent to the server."""
        if not self.records.is_empty:
            self.records.begin_trial(outgoing.digest)

    def record_answer(self, outgoing: OutgoingCall) -> None:
        """Takes note that the server has run a request and responded to it."""
        if self.records.is_empty:
            return
        digest = outgoing.digest
        if self.records.record_answer(digest):
            self.cleared.append(digest)
            self.has_news.set()

    async def record_break(
        self, address: Address, outgoing: OutgoingCall, sent_at: float
    ) -> None:
        """Takes note of a request whose connection ended before its answer.

        :param sent_at: time at which the request was sent, trio clock, seconds.
        """
        await self.detector.record_break(address, outgoing, sent_at)

    def record_restart(self) -> None:
        """Takes note that another process of the server has started."""
        self.detector.confirm()

    def _record_crash(self, digests: Sequence[int], crashed_at: float) -> None:
        for digest in digests:
            self.records.count_crash(digest, crashed_at)
        self.crashed.extend(digests)
        self.has_news.set()


def create_crash_guard(rng: random.Random) -> CrashGuard:
    """Creates a guard that has seen no crash.

    :param rng: spreads the ends of blocks over the nodes.
    """
    return CrashGuard(create_crash_records(rng))
