"""Notices of crashes between the nodes of a service."""

import collections
import random
from collections.abc import Callable, Sequence

import attrs
import trio
from absl import logging

from coltsfootspar.exceptions import FrameError, TransferError
from coltsfootspar.logs import log_decision
from coltsfootspar.relay.calls import CALL_HEADER
from coltsfootspar.relay.client import ConnectionPool, OutgoingRequest
from coltsfootspar.relay.crash_guard import CrashGuard
from coltsfootspar.relay.exchanges import Exchange, Handler
from coltsfootspar.relay.forwarding import NodeDirectory
from coltsfootspar.relay.messages import encode_request
from coltsfootspar.timers import TimerService
from coltsfootspar.wire import Address
from coltsfootspar.wire.crashes import (
    CrashEntry,
    CrashNotice,
    CrashNoticeKind,
    decode_crash_notice,
    encode_crash_notice,
)

__all__ = ["CrashNotifier", "create_crash_notifier", "create_peer_handler"]

_TARGET = b"/crashes"
# Time in which the requests that broke at one crash are collected.
BATCH_SECONDS = 0.01
_SEND_TIMEOUT_SECONDS = 0.5
_SEND_ATTEMPTS = 3
_RETRY_DELAY_SECONDS = 0.2
# Blocks are sent again at this interval, to some nodes each time: nodes that have
# just started or were cut off have missed the first notice.
REPEAT_PERIOD_SECONDS = 1.0
_REPEAT_FANOUT = 2
_MAX_NOTICE_BYTES = 262_144
_MAX_ENTRIES = 1024
# How long a node waits for what others know before it blocks requests.
DECISION_SECONDS = 0.15
# Latest notices whose copies are recognised.
_MAX_KNOWN_NOTICES = 4096
_ID_BITS = 64


@attrs.define(eq=False)
class CrashNotifier:
    """Exchanges what the nodes of a service know of requests that crash servers.

    :param node_id: id of the local node.
    :param find_service: returns the service of the local backend server; empty when
        there is none.
    """

    _node_id: str
    _guard: CrashGuard
    _directory: NodeDirectory
    _find_service: Callable[[], str]
    _random: random.Random
    _known_ids: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_KNOWN_NOTICES)
    )

    async def run(self, timers: TimerService) -> None:
        """Sends notices until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_repeats, timers)
            while True:
                guard = self._guard
                await guard.has_news.wait()
                await trio.sleep(BATCH_SECONDS)
                guard.has_news = trio.Event()
                crashed, guard.crashed = guard.crashed, []
                cleared, guard.cleared = guard.cleared, []
                nursery.start_soon(self._publish_answers, cleared)
                nursery.start_soon(self._publish_crash, crashed)

    async def handle(self, exchange: Exchange) -> None:
        """Applies a notice of another node and responds with what is known here."""
        exchange.set_deadline(
            exchange.request.arrived_at + _SEND_TIMEOUT_SECONDS,
            lambda: exchange.answer(408, [], b""),
        )
        await exchange.buffer_body(_MAX_NOTICE_BYTES)
        exchange.clear_deadline()
        try:
            notice = decode_crash_notice(exchange.request.take_body())
        except FrameError as error:
            log_decision("crash-notice-malformed", error=str(error))
            await exchange.answer(400, [], b"")
            return
        known = self._apply(notice)
        await exchange.answer(200, [], encode_crash_notice(known))

    def _apply(self, notice: CrashNotice) -> CrashNotice:
        records = self._guard.records
        now = trio.current_time()
        # A crash in a copy that was sent again must not count twice.
        is_known = notice.id in self._known_ids
        self._known_ids.append(notice.id)
        for entry in () if is_known else notice.entries:
            if notice.kind is CrashNoticeKind.CRASHED:
                records.count_crash(entry.digest, now - entry.last_age)
            elif notice.kind is CrashNoticeKind.BLOCKED:
                records.adopt_block(entry)
            else:
                records.record_answer(entry.digest)
        return self._create_notice(
            notice.kind, [entry.digest for entry in notice.entries]
        )

    def _create_notice(
        self, kind: CrashNoticeKind, digests: Sequence[int]
    ) -> CrashNotice:
        entries = (self._guard.records.describe(digest) for digest in digests)
        known = tuple(entry for entry in entries if entry is not None)
        notice_id = self._random.getrandbits(_ID_BITS)
        return CrashNotice(kind, known[:_MAX_ENTRIES], notice_id)

    async def _publish_answers(self, cleared: list[int]) -> None:
        if cleared:
            notice = self._create_notice(CrashNoticeKind.ANSWERED, cleared)
            await self._send_to_peers(self._list_peers(), notice)

    async def _publish_crash(self, crashed: list[int]) -> None:
        """Tells other nodes of a crash and blocks what has crashed enough servers.

        What other nodes know decides, unless one of them is slow to reply.
        """
        if not crashed:
            return
        records = self._guard.records
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._publish_blocks, records.block_known(crashed))
            notice = self._create_notice(CrashNoticeKind.CRASHED, crashed)
            replied = trio.Event()
            nursery.start_soon(self._send_to_peers, self._list_peers(), notice, replied)
            with trio.move_on_after(DECISION_SECONDS):
                await replied.wait()
            nursery.start_soon(self._publish_blocks, records.block_suspects(crashed))

    async def _publish_blocks(self, blocked: list[int]) -> None:
        if blocked:
            notice = self._create_notice(CrashNoticeKind.BLOCKED, blocked)
            self._log_blocks(notice.entries)
            await self._send_to_peers(self._list_peers(), notice)

    async def _run_repeats(self, timers: TimerService) -> None:
        async for now in timers.subscribe(REPEAT_PERIOD_SECONDS):
            records = self._guard.records
            if records.is_empty:
                continue
            records.drop_expired(now)
            blocked = records.list_blocked()
            peers = self._list_peers()
            if blocked and peers:
                chosen = self._random.sample(peers, min(_REPEAT_FANOUT, len(peers)))
                notice = self._create_notice(CrashNoticeKind.BLOCKED, blocked)
                await self._send_to_peers(chosen, notice)

    def _list_peers(self) -> list[str]:
        candidates = self._directory.list_candidates(self._find_service())
        return [c.node_id for c in candidates if c.node_id != self._node_id]

    async def _send_to_peers(
        self,
        peers: Sequence[str],
        notice: CrashNotice,
        replied: trio.Event | None = None,
    ) -> None:
        """Sends a notice to nodes and takes in what they know.

        :param replied: set once all have replied or could not be reached.
        """
        data = encode_crash_notice(notice)
        async with trio.open_nursery() as nursery:
            for node_id in peers:
                nursery.start_soon(self._send, node_id, data)
        if replied is not None:
            replied.set()

    async def _send(self, node_id: str, data: bytes) -> None:
        try:
            await self._send_with_retries(node_id, data)
        except Exception:
            # A fault in a notice must not end the node.
            logging.exception("Crash notice not sent to %s", node_id)

    async def _send_with_retries(self, node_id: str, data: bytes) -> None:
        request = OutgoingRequest(encode_request(b"POST", _TARGET, [], data))
        for _ in range(_SEND_ATTEMPTS):
            address = self._directory.find_address(node_id)
            if address is None:
                return
            try:
                with trio.fail_after(_SEND_TIMEOUT_SECONDS):
                    reply = await self._exchange(address, request)
            except FrameError as error:
                log_decision("crash-notice-malformed", node=node_id, error=str(error))
                return
            except (TransferError, trio.TooSlowError) as error:
                log_decision("crash-notice-lost", node=node_id, error=repr(error))
                await trio.sleep(_RETRY_DELAY_SECONDS)
                continue
            self._merge(reply)
            return

    def _merge(self, reply: CrashNotice) -> None:
        guard = self._guard
        for entry in reply.entries:
            if guard.records.merge_reply(entry):
                guard.cleared.append(entry.digest)
                guard.has_news.set()

    async def _exchange(self, address: Address, request: OutgoingRequest):
        pool = ConnectionPool(address)
        connection, response = await pool.exchange(request, _MAX_NOTICE_BYTES)
        connection.close()
        return decode_crash_notice(response.take_body())

    def _log_blocks(self, entries: Sequence[CrashEntry]) -> None:
        for entry in entries:
            log_decision(
                "request-blocked",
                digest=f"{entry.digest:016x}",
                crashes=entry.crashes,
                seconds=entry.blocked_for,
            )


def create_crash_notifier(
    node_id: str,
    guard: CrashGuard,
    directory: NodeDirectory,
    find_service: Callable[[], str],
    rng: random.Random,
) -> CrashNotifier:
    """Creates the notifier of a node.

    :param node_id: id of the local node.
    :param guard: guard of the local backend server.
    :param find_service: returns the service of the local backend server; empty when
        there is none.
    :param rng: chooses the nodes to which blocks are repeated.
    """
    return CrashNotifier(node_id, guard, directory, find_service, rng)


def create_peer_handler(handle_call: Handler, notifier: CrashNotifier) -> Handler:
    """Creates the handler of what other nodes send: calls, and notices of crashes."""

    async def handle(exchange: Exchange) -> None:
        request = exchange.request
        is_notice = request.target == _TARGET and request.method == b"POST"
        if is_notice and request.find(CALL_HEADER.lower()) is None:
            await notifier.handle(exchange)
        else:
            await handle_call(exchange)

    return handle
