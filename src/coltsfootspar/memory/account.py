"""What a process holds for all its connections, and who gives way when it is full."""

from collections.abc import Callable

import attrs
import trio

__all__ = ["Holding", "MemoryAccount", "MemoryLimits", "create_memory_account"]

_MEGABYTE = 1_000_000
# Memory of a process that serves no request, with room for idle connections.
_PROCESS_BYTES = 64 * _MEGABYTE
# Share of the rest that bodies may take; copies while they are joined or sent, unread
# input of the sockets and fragmentation take the other part.
_BODY_SHARE = 0.5
# A single request within all limits never needs more.
_MIN_BUDGET_BYTES = 8 << 20
# Share of the budget above which a body that has hardly begun waits.
_WAIT_SHARE = 0.75
# A holding of this size no longer waits: it only shrinks by being served.
_BEGUN_BYTES = 65_536
# Bytes in this time without which a holding counts as stalled.
_PROGRESS_BYTES = 16_384
_STALL_SECONDS = 1.0
# Longest wait for room; callers give up soon after.
_WAIT_SECONDS = 1.0
_WAIT_STEP_SECONDS = 0.1


@attrs.frozen
class MemoryLimits:
    """Limits of the host on a process.

    :param memory_mb: memory of the process, megabytes.
    :param descriptors: most open descriptors.
    """

    memory_mb: float = 512.0
    descriptors: int = 4_096


@attrs.define(eq=False)
class Holding:
    """What a process holds for one connection.

    :param evict: frees it, and refuses the request or closes the connection.
    :param held_bytes: size at present.
    :param since: when it became larger than nothing, trio clock, seconds.
    :param is_settled: true while the request is being served: its size only depends
        on this process, so it is not evicted.
    """

    _account: "MemoryAccount"
    evict: Callable[[], None]
    held_bytes: int = 0
    since: float = 0.0
    is_settled: bool = False
    _progress_at: float = 0.0
    _fresh_bytes: int = 0

    def charge(self, size: int) -> None:
        """Adds bytes received or to be sent, and evicts holdings above the budget.

        :param size: bytes.
        """
        self._account.charge(self, size)

    def discharge(self, size: int) -> None:
        """Removes bytes that were charged, as far as they have not been released.

        :param size: bytes.
        """
        size = min(size, self.held_bytes)
        self.held_bytes -= size
        self._account.held_bytes -= size
        if not self.held_bytes:
            # It must not count as stalled while it is empty.
            self._account.release(self)

    def release(self) -> None:
        """Releases everything."""
        self.is_settled = False
        if self.held_bytes:
            self._account.release(self)

    def close(self) -> None:
        """Releases everything for good, and refers to its owner no longer.

        The two would stay as cyclic garbage.
        """
        self.release()
        self.evict = _do_nothing

    def give_way(self) -> None:
        """Releases everything, and refuses the request or closes the connection."""
        self._account.evict(self)

    async def wait_for_room(self) -> None:
        """Waits while the process holds much; evicts itself if that lasts."""
        if self._account.is_crowded and self.held_bytes < _BEGUN_BYTES:
            await self._account.wait_for_room(self)

    def record_progress(self, size: int, now: float) -> None:
        """Records bytes that the peer has sent or read.

        :param now: trio clock, seconds.
        """
        self._fresh_bytes += size
        if self._fresh_bytes >= _PROGRESS_BYTES:
            self._fresh_bytes = 0
            self._progress_at = now

    def restart(self, now: float) -> None:
        """Starts the time that a stall takes."""
        self.since = self._progress_at = now
        self._fresh_bytes = 0

    def is_stalled(self, now: float) -> bool:
        """Tells whether the peer has sent or read too little for too long."""
        return not self.is_settled and now - self._progress_at > _STALL_SECONDS


@attrs.define(eq=False)
class MemoryAccount:
    """Bytes held for all connections of a process.

    :param budget_bytes: most that is held.
    :param held_bytes: size of all holdings.
    :param evictions: holdings evicted so far.
    """

    budget_bytes: int
    held_bytes: int = 0
    evictions: int = 0
    _next_search_at: float = 0.0
    _holdings: set[Holding] = attrs.field(factory=set)

    @property
    def is_crowded(self) -> bool:
        """True when bodies that have hardly begun have to wait."""
        return self.held_bytes > self.budget_bytes * _WAIT_SHARE

    @property
    def is_full(self) -> bool:
        """True when more is held than allowed, although all that can has given way."""
        is_alone = len(self._holdings) <= 1
        return self.held_bytes > self.budget_bytes and not is_alone

    def open(self, evict: Callable[[], None]) -> Holding:
        """Returns an empty holding.

        :param evict: frees what is held; called at most once for each request.
        """
        return Holding(self, evict)

    def open_settled(self, size: int) -> Holding:
        """Returns a holding that does not give way.

        :param size: bytes to count from the start.
        """
        holding = Holding(self, _do_nothing, is_settled=True)
        if size:
            self.charge(holding, size)
        return holding

    def charge(self, holding: Holding, size: int) -> None:
        """Adds to a holding; see :meth:`Holding.charge`."""
        now = trio.current_time()
        if not holding.held_bytes:
            holding.restart(now)
            self._holdings.add(holding)
        holding.held_bytes += size
        self.held_bytes += size
        holding.record_progress(size, now)
        # A request that is alone is served, however large it may be.
        while self.held_bytes > self.budget_bytes and len(self._holdings) > 1:
            victim = self._find_stalled(now) or self._find_youngest()
            if victim is None:
                return
            self.evict(victim)

    def release(self, holding: Holding) -> None:
        """Empties a holding; see :meth:`Holding.release`."""
        self.held_bytes -= holding.held_bytes
        holding.held_bytes = 0
        self._holdings.discard(holding)

    async def wait_for_room(self, holding: Holding) -> None:
        """Waits for room; see :meth:`Holding.wait_for_room`."""
        ends_at = trio.current_time() + _WAIT_SECONDS
        while self.is_crowded:
            now = trio.current_time()
            stalled = None
            if now >= self._next_search_at:
                # The search is shared by all that wait.
                stalled = self._find_stalled(now)
                if stalled is None:
                    self._next_search_at = now + _WAIT_STEP_SECONDS
            if stalled is not None:
                self.evict(stalled)
            elif now >= ends_at:
                self.evict(holding)
                return
            else:
                await trio.sleep(_WAIT_STEP_SECONDS)

    def _find_stalled(self, now: float) -> Holding | None:
        """Finds the largest holding whose peer makes no progress."""
        stalled = (holding for holding in self._holdings if holding.is_stalled(now))
        return max(stalled, key=lambda holding: holding.held_bytes, default=None)

    def _find_youngest(self) -> Holding | None:
        """Finds the holding of which the least work is lost."""
        open_holdings = (
            holding for holding in self._holdings if not holding.is_settled
        )
        return max(open_holdings, key=lambda holding: holding.since, default=None)

    def evict(self, holding: Holding) -> None:
        """Lets a holding give way; see :meth:`Holding.give_way`."""
        self.release(holding)
        self.evictions += 1
        holding.evict()


def _do_nothing() -> None:
    pass


def create_memory_account(limits: MemoryLimits | None = None) -> MemoryAccount:
    """Creates the account of a process.

    :param limits: limits of its host.
    """
    memory_bytes = (limits or MemoryLimits()).memory_mb * _MEGABYTE
    budget = int((memory_bytes - _PROCESS_BYTES) * _BODY_SHARE)
    return MemoryAccount(max(_MIN_BUDGET_BYTES, budget))
