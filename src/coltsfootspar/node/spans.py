"""Collects the spans of a trace from all nodes."""

from typing import Protocol

import attrs
import trio

from coltsfootspar.exceptions import FrameError, LinkError
from coltsfootspar.membership import Membership
from coltsfootspar.node.tablefeed import NodeLink
from coltsfootspar.telemetry import SpanRecord
from coltsfootspar.wire.traces import decode_spans, encode_find_spans

__all__ = ["SpanCollector", "create_span_collector"]

_TIMEOUT = 2.0
_CONCURRENCY = 32


class SpanSource(Protocol):
    """Spans that this node has recorded."""

    def find_spans(self, trace_id: str) -> list[SpanRecord]:
        """Finds the kept spans of a trace."""


@attrs.define(eq=False)
class SpanCollector:
    """Asks all reachable nodes for the spans of a trace."""

    _own: SpanSource
    _membership: Membership
    _link: NodeLink

    async def collect(self, trace_id: str) -> list[SpanRecord]:
        """Collects the spans of a trace, the earliest first.

        Nodes that do not answer in time are left out.
        """
        spans = list(self._own.find_spans(trace_id))
        limiter = trio.CapacityLimiter(_CONCURRENCY)
        own_id = self._membership.own.node_id

        async def ask(node_id: str) -> None:
            async with limiter:
                with trio.move_on_after(_TIMEOUT):
                    spans.extend(await self._ask(node_id, trace_id))

        async with trio.open_nursery() as nursery:
            for member in self._membership.list_members():
                if member.is_present and member.node_id != own_id:
                    nursery.start_soon(ask, member.node_id)
        return sorted(spans, key=lambda span: span.start)

    async def _ask(self, node_id: str, trace_id: str) -> list[SpanRecord]:
        try:
            reply = await self._link.request(node_id, encode_find_spans(trace_id))
            return decode_spans(reply)
        except (LinkError, FrameError):
            return []


def create_span_collector(
    own: SpanSource, membership: Membership, link: NodeLink
) -> SpanCollector:
    """Creates a collector."""
    return SpanCollector(own, membership, link)
