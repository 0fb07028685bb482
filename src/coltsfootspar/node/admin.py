"""Admin interface of a node."""

from typing import Any

import attrs
import trio

from coltsfootspar.admin import (
    AdminRequest,
    AdminRouter,
    RawAnswer,
    create_admin_router,
)
from coltsfootspar.admin.replicated import TableSource, add_table_paths
from coltsfootspar.exceptions import WebError
from coltsfootspar.node.assembly import NodeParts
from coltsfootspar.table import Table

__all__ = ["create_node_admin"]

_TRACE_ID_DIGITS = 32


@attrs.define(eq=False)
class _NodePaths:
    _parts: NodeParts
    _drain: trio.Event

    async def read_table(self) -> Table:
        return self._parts.copy.table

    async def wait_for_table(self, after: int) -> None:
        while self._parts.copy.version <= after:
            await self._parts.copy.wait_for_change()

    async def check_health(self, request: AdminRequest) -> Any:
        copy = self._parts.copy
        return {
            "status": "ok",
            "table_version": copy.version,
            "table_applied_at": copy.applied_at,
        }

    async def show_metrics(self, request: AdminRequest) -> RawAnswer:
        metrics = self._parts.metrics
        metrics.in_progress.set({}, self._parts.pipeline.in_progress)
        metrics.table_version.set({}, self._parts.copy.version)
        for status, count in self._count_members().items():
            metrics.members.set({"status": status}, count)
        rejected = self._parts.membership.counters.rejected
        metrics.datagram_errors.set({}, rejected)
        return RawAnswer(metrics.render()[0], b"text/plain; version=0.0.4")

    def _count_members(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for member in self._parts.membership.list_members():
            name = member.status.name.lower()
            counts[name] = counts.get(name, 0) + 1
        return counts

    async def show_status(self, request: AdminRequest) -> Any:
        parts = self._parts
        replicas = await parts.client.status()
        backend = parts.backend.announcement
        return {
            "node": parts.settings.node.id,
            "region": parts.settings.node.region,
            "data_centre": parts.settings.node.data_centre,
            "table_version": parts.copy.version,
            "is_draining": parts.pipeline.is_draining,
            "in_progress": parts.pipeline.in_progress,
            "backend": None
            if backend is None
            else {
                "service": backend.service,
                "address": str(backend.address),
                "slots": backend.slots,
                "is_leaving": parts.backend.is_leaving,
            },
            "members": self._count_members(),
            "unreachable_data_centres": sorted(
                parts.membership.list_unreachable_data_centres()
            ),
            "replicas": {
                name: None if status is None else _encode_replica(status)
                for name, status in replicas.items()
            },
        }

    async def list_members(self, request: AdminRequest) -> Any:
        members = self._parts.membership.list_members()
        return {
            "members": [
                {
                    "node": member.node_id,
                    "region": member.region,
                    "data_centre": member.data_centre,
                    "service": member.service,
                    "slots": member.slots,
                    "status": member.status.name.lower(),
                    "is_leaving": member.is_leaving,
                    "is_reachable": member.is_reachable,
                    "incarnation": member.incarnation,
                    "peer": str(member.peer_address),
                }
                for member in sorted(members, key=lambda member: member.node_id)
            ]
        }

    async def drain(self, request: AdminRequest) -> Any:
        self._drain.set()
        return {"is_draining": True, "in_progress": self._parts.pipeline.in_progress}

    async def find_trace(self, request: AdminRequest) -> Any:
        trace_id = request.parameters["trace_id"].lower()
        is_valid = len(trace_id) == _TRACE_ID_DIGITS and all(
            digit in "0123456789abcdef" for digit in trace_id
        )
        if not is_valid:
            raise WebError("a trace id has 32 hexadecimal digits", code="trace-id")
        spans = await self._parts.spans.collect(trace_id)
        return {"trace_id": trace_id, "spans": [attrs.asdict(span) for span in spans]}


def _encode_replica(status: Any) -> dict[str, Any]:
    content = attrs.asdict(status)
    return {
        name: value if isinstance(value, int | float) else str(value)
        for name, value in content.items()
    }


def create_node_admin(parts: NodeParts, drain: trio.Event) -> AdminRouter:
    """Creates the admin paths of a node.

    :param drain: set when an operator asks the node to drain.
    """
    router = create_admin_router(parts.account)
    paths = _NodePaths(parts, drain)
    source = TableSource(paths.read_table, paths.wait_for_table)
    add_table_paths(router, source, parts.client)
    router.add("GET", "/health", paths.check_health)
    router.add("GET", "/metrics", paths.show_metrics)
    router.add("GET", "/status", paths.show_status)
    router.add("GET", "/members", paths.list_members)
    router.add("POST", "/drain", paths.drain)
    router.add("GET", "/traces/{trace_id}", paths.find_trace)
    return router
