"""Detection of crashes of the local backend server."""

from collections.abc import Callable, Sequence

import attrs
import trio

from coltsfootspar.logs import log_decision
from coltsfootspar.relay.calls import OutgoingCall
from coltsfootspar.relay.sockets import is_refusing
from coltsfootspar.wire import Address

__all__ = ["CrashDetector", "create_crash_detector"]

# Time within which all connections to a process that has ended are seen to break.
BREAK_WINDOW_SECONDS = 1.0
_PROBE_TIMEOUT_SECONDS = 0.25
_LOGGED_DIGESTS = 8


@attrs.define(eq=False)
class CrashDetector:
    """Tells requests whose server has crashed from those whose connection broke.

    A server that breaks off one answer still accepts connections.

    :param crashes: crashes seen so far.
    """

    _on_crash: Callable[[Sequence[int], float], None]
    crashes: int = 0
    _broken: list[tuple[float, int]] = attrs.field(factory=list)
    _crashed_at: float = -float("inf")
    _is_probing: bool = False

    async def record_break(
        self, address: Address, outgoing: OutgoingCall, sent_at: float
    ) -> None:
        """Takes note of a request whose connection ended before its answer.

        :param address: address of the backend server.
        :param sent_at: time at which the request was sent, trio clock, seconds.
        """
        now = trio.current_time()
        if (
            sent_at <= self._crashed_at
            and now - self._crashed_at < BREAK_WINDOW_SECONDS
        ):
            self._on_crash([outgoing.digest], self._crashed_at)
            return
        self._broken = [
            (broken_at, digest)
            for broken_at, digest in self._broken
            if now - broken_at < BREAK_WINDOW_SECONDS
        ]
        self._broken.append((now, outgoing.digest))
        if self._is_probing:
            return
        self._is_probing = True
        # The other broken requests rely on this probe, even if its own is cancelled.
        with trio.CancelScope(shield=True):
            is_crashed = await is_refusing(address, _PROBE_TIMEOUT_SECONDS)
        self._is_probing = False
        if is_crashed:
            self._report()

    def confirm(self) -> None:
        """Reports the requests that broke lately: another process has started."""
        now = trio.current_time()
        if self._broken and now - self._broken[-1][0] < BREAK_WINDOW_SECONDS:
            self._report()

    def _report(self) -> None:
        self.crashes += 1
        self._crashed_at = trio.current_time()
        broken, self._broken = self._broken, []
        digests = [digest for _, digest in broken]
        log_decision(
            "backend-crashed",
            crashes=self.crashes,
            in_progress=len(digests),
            digests=[f"{digest:016x}" for digest in digests[:_LOGGED_DIGESTS]],
        )
        self._on_crash(digests, self._crashed_at)


def create_crash_detector(
    on_crash: Callable[[Sequence[int], float], None],
) -> CrashDetector:
    """Creates a detector.

    :param on_crash: called with the digests of requests that were in progress when
        the backend server crashed, and the time of the crash; again for those that
        are seen to break later.
    """
    return CrashDetector(on_crash)
