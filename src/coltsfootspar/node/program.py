"""Runs a node: starts its tasks, drains it and stops it."""

import signal

import attrs
import trio
from absl import logging

from coltsfootspar.node.admin import create_node_admin
from coltsfootspar.node.assembly import NodeParts, open_node_parts
from coltsfootspar.routing import PeerServer, serve_peers
from coltsfootspar.settings import NodeSettings
from coltsfootspar.web import HttpServer, WebLimits
from coltsfootspar.web.server import create_h11_server

__all__ = ["EXIT_CLEAN", "EXIT_DRAIN_TIME", "run_node"]

EXIT_CLEAN = 0
EXIT_DRAIN_TIME = 3
_SWEEP_PERIOD = 1.0
_DRAIN_POLL = 0.05
# Other nodes send no new work after this time; calls that were on their way
# when the notice went out are still answered.
_NOTICE_SECONDS = 0.5
# For requests of operators that are in progress when all calls have ended.
_OPERATORS_DRAIN_SECONDS = 3.0


async def run_node(settings: NodeSettings) -> int:
    """Runs a node until SIGTERM or SIGINT, then drains it.

    :returns: exit code; 0 when no request was cut.
    :raises ColtsfootsparError: when a part cannot be created or fails.
    """
    async with open_node_parts(settings) as parts:
        program = _NodeProgram(parts)
        return await program.run()


@attrs.define(eq=False)
class _NodeProgram:
    _parts: NodeParts
    _drain: trio.Event = attrs.field(factory=trio.Event)
    _stop: trio.Event = attrs.field(factory=trio.Event)
    _peers: PeerServer | None = None

    async def run(self) -> int:
        parts = self._parts
        listen = parts.settings.listen
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_signals)
            nursery.start_soon(parts.timers.run)
            nursery.start_soon(parts.links.run)
            if parts.replica is not None:
                await nursery.start(parts.replica.run)
            nursery.start_soon(parts.once.run)
            self._peers = await nursery.start(self._serve_peers)
            nursery.start_soon(parts.membership.run)
            nursery.start_soon(parts.feed.run)
            nursery.start_soon(self._sweep)
            admin = self._create_admin()
            await nursery.start(admin.serve, listen.admin)
            await nursery.start(parts.outbound.serve, listen.outbound)
            await nursery.start(parts.inbound.serve, listen.inbound)
            logging.info("Node %s is ready", parts.settings.node.id)
            await self._drain.wait()
            await self._announce_leaving()
            await self._stop.wait()
            is_clean = await self._finish_requests()
            with trio.move_on_after(_OPERATORS_DRAIN_SECONDS):
                await admin.drain()
            await parts.membership.depart()
            nursery.cancel_scope.cancel()
        return EXIT_CLEAN if is_clean else EXIT_DRAIN_TIME

    def _create_admin(self) -> HttpServer:
        parts = self._parts
        return create_h11_server(
            create_node_admin(parts, self._drain).handle,
            WebLimits(connections=parts.settings.limits.connections),
            lambda code: parts.metrics.http_errors.inc({"code": code}),
            parts.account,
            parts.count,
        )

    async def _serve_peers(self, task_status: trio.TaskStatus) -> None:
        parts = self._parts
        await serve_peers(
            parts.settings.listen.peer,
            parts.identity,
            parts.pipeline.serve,
            message_handler=parts.handle_message,
            leaving_handler=parts.directory.mark_leaving,
            ssl_context=parts.tls.server if parts.tls else None,
            limits=parts.peer_limits,
            count_error=lambda code: parts.metrics.peer_errors.inc({"code": code}),
            task_status=task_status,
        )

    async def _watch_signals(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                logging.info("Received %s", signal.Signals(number).name)
                self._drain.set()
                self._stop.set()

    async def _sweep(self) -> None:
        parts = self._parts
        limit = parts.settings.backend.announcement_seconds
        async for _ in parts.timers.subscribe(_SWEEP_PERIOD):
            parts.pipeline.drop_expired_contexts()
            parts.backend.drop_expired(limit)

    async def _announce_leaving(self) -> None:
        parts = self._parts
        logging.info("Draining: %d calls in progress", parts.pipeline.in_progress)
        parts.pipeline.drain()
        parts.membership.leave()
        async with trio.open_nursery() as nursery:
            if parts.replica is not None:
                nursery.start_soon(parts.replica.replica.retire)
            nursery.start_soon(parts.links.announce_leaving)
            nursery.start_soon(self._peers.announce_leaving)

    async def _finish_requests(self) -> bool:
        parts = self._parts
        await trio.sleep(_NOTICE_SECONDS)
        ends_at = trio.current_time() + parts.settings.drain_seconds
        parts.pipeline.ends_at = ends_at
        with trio.move_on_at(ends_at):
            await parts.inbound.drain()
            await self._peers.drain()
            await parts.outbound.drain()
            # Calls of a cancelled connection may still be ending.
            while parts.pipeline.in_progress or parts.once.unrecorded:  # noqa: ASYNC110
                await trio.sleep(_DRAIN_POLL)
            logging.info("Stopped: no request was cut")
            return True
        logging.warning(
            "Stopped after %.0f s: %d calls in progress were cut",
            parts.settings.drain_seconds,
            parts.pipeline.in_progress,
        )
        return False
