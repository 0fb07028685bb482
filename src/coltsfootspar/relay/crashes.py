"""Requests under which backend servers have crashed.

Prevents a request that crashes each server which begins to run it from taking down
all servers of a service: its caller sends it again, and each copy ends another one.
All requests in progress at a crash are suspects. One that no server has answered
between several crashes is blocked for a time; then one copy of it is let through.
"""

import math
import random

import attrs
import trio

from coltsfootspar.wire.crashes import CrashEntry

__all__ = ["CrashRecords", "create_crash_records"]

CRASHES_UNTIL_BLOCKED = 3
# Crashes within this time have a common cause, for example a loss of power.
COMMON_CAUSE_SECONDS = 0.03
# Covers the time in which a server that has crashed starts again.
BLOCK_SECONDS = 4.0
# Each further block lasts this many times longer.
BLOCK_GROWTH = 10
MAX_BLOCK_SECONDS = 3600.0
MAX_LEVEL = 8
# How many times longer a block lasts on the nodes that adopt it: least and most.
ADOPTED_BLOCK_FACTORS = (1.5, 2.5)
# Time for which one copy may run after a block, before another one is let through.
TRIAL_SECONDS = 5.0
# Records without a block are dropped this long after the latest crash.
RECORD_TTL_SECONDS = 600.0
MAX_RECORDS = 2048
_NEVER = -math.inf


@attrs.define(eq=False)
class _Record:
    """What is known of one request; times are of the trio clock, seconds.

    :param crashes: crashes since the latest answer.
    :param level: how often it has been blocked since the latest answer.
    """

    crashes: int = 0
    first_crash_at: float = _NEVER
    last_crash_at: float = _NEVER
    answered_at: float = _NEVER
    blocked_until: float = _NEVER
    level: int = 0

    @property
    def expires_at(self) -> float:
        """Time from which the record is of no use."""
        latest = max(self.last_crash_at, self.answered_at, self.blocked_until)
        return latest + RECORD_TTL_SECONDS


@attrs.define(eq=False)
class CrashRecords:
    """Counts crashes by request and decides which requests are blocked.

    Nodes of one service tell each other of crashes, blocks and answers, so that a
    crash counts wherever it happened. After their blocks, requests are tried one
    after the other here, so that one that crashes the server meets no other.
    """

    _random: random.Random
    _records: dict[int, _Record] = attrs.field(factory=dict)
    # Request that is being tried, and the end of its time, trio clock, seconds.
    _trial: int | None = None
    _trial_ends_at: float = _NEVER

    @property
    def is_empty(self) -> bool:
        """True when no request is suspected."""
        return not self._records

    def count_crash(self, digest: int, crashed_at: float) -> None:
        """Counts a crash of a server that had begun a request.

        :param crashed_at: trio clock, seconds.
        """
        record = self._get_or_add(digest)
        if record.answered_at > crashed_at:
            return
        is_separate = abs(crashed_at - record.last_crash_at) > COMMON_CAUSE_SECONDS
        record.last_crash_at = max(record.last_crash_at, crashed_at)
        if not record.crashes:
            record.first_crash_at = crashed_at
        if is_separate:
            record.crashes += 1

    def record_answer(self, digest: int) -> bool:
        """Clears a request that a server has answered.

        :returns: true when it had been blocked, so that other nodes must be told.
        """
        record = self._records.get(digest)
        if record is None:
            return False
        was_blocked = record.level > 0
        self._end_trial(digest)
        self._records[digest] = _Record(answered_at=trio.current_time())
        return was_blocked

    def find_block(self, digest: int) -> float:
        """Returns for how long a request must not reach a server.

        :returns: seconds; 0 when it may be sent.
        """
        record = self._records.get(digest)
        if record is None:
            return 0.0
        now = trio.current_time()
        ends_at = record.blocked_until
        if ends_at <= now and record.level and self._trial not in (None, digest):
            ends_at = self._trial_ends_at
        return max(0.0, ends_at - now)

    def begin_trial(self, digest: int) -> None:
        """Holds back further copies while one runs after the end of a block."""
        record = self._records.get(digest)
        if record is not None and record.level:
            record.blocked_until = trio.current_time() + TRIAL_SECONDS
            self._trial, self._trial_ends_at = digest, record.blocked_until

    def block_known(self, digests: list[int]) -> list[int]:
        """Blocks those of the requests that have been blocked before.

        :returns: digests that are newly blocked.
        """
        return self.block_suspects(
            [digest for digest in digests if self._get_level(digest)]
        )

    def block_suspects(self, digests: list[int]) -> list[int]:
        """Blocks those of the requests that have crashed enough servers.

        :returns: digests that are newly blocked.
        """
        now = trio.current_time()
        blocked = []
        for digest in digests:
            record = self._records.get(digest)
            if record is None or record.crashes < CRASHES_UNTIL_BLOCKED:
                continue
            if record.blocked_until > now and digest != self._trial:
                continue
            seconds = BLOCK_SECONDS * BLOCK_GROWTH**record.level
            record.level = min(MAX_LEVEL, record.level + 1)
            self._end_trial(digest)
            record.blocked_until = now + min(MAX_BLOCK_SECONDS, seconds)
            blocked.append(digest)
        return blocked

    def adopt_block(self, entry: CrashEntry) -> None:
        """Adopts a block of another node unless a server here has answered since.

        It lasts longer here, so that one copy goes through on the other node first.
        """
        now = trio.current_time()
        record = self._get_or_add(entry.digest)
        if record.answered_at >= now - entry.first_age or record.level >= entry.level:
            return
        record.crashes = max(record.crashes, entry.crashes)
        record.first_crash_at = now - entry.first_age
        record.last_crash_at = max(record.last_crash_at, now - entry.last_age)
        record.level = entry.level
        self._end_trial(entry.digest)
        factor = self._random.uniform(*ADOPTED_BLOCK_FACTORS)
        record.blocked_until = now + entry.blocked_for * factor

    def merge_reply(self, entry: CrashEntry) -> bool:
        """Takes in what another node knows of a request that has just crashed a server.

        An answer after the first crash clears it; otherwise the higher count holds.

        :returns: true when it had been blocked and is cleared, so that other nodes
            must be told.
        """
        record = self._records.get(entry.digest)
        if record is None or not record.crashes:
            return False
        now = trio.current_time()
        answered_at = now - entry.answered_age
        if answered_at >= record.first_crash_at:
            self._records[entry.digest] = _Record(answered_at=answered_at)
            return record.level > 0
        record.crashes = max(record.crashes, entry.crashes)
        record.level = max(record.level, entry.level)
        if entry.crashes:
            record.first_crash_at = min(record.first_crash_at, now - entry.first_age)
        return False

    def describe(self, digest: int) -> CrashEntry | None:
        """Returns the entry of a request for other nodes; None when it is unknown."""
        record = self._records.get(digest)
        if record is None:
            return None
        now = trio.current_time()
        return CrashEntry(
            digest=digest,
            crashes=record.crashes,
            first_age=max(0.0, now - record.first_crash_at) if record.crashes else 0.0,
            last_age=max(0.0, now - record.last_crash_at) if record.crashes else 0.0,
            answered_age=now - record.answered_at,
            blocked_for=max(0.0, record.blocked_until - now),
            level=record.level,
        )

    def list_blocked(self) -> list[int]:
        """Lists the digests of the requests that are blocked now."""
        now = trio.current_time()
        return [d for d, record in self._records.items() if record.blocked_until > now]

    def drop_expired(self, now: float) -> None:
        """Forgets requests some time after their latest crash or block.

        :param now: trio clock, seconds.
        """
        for digest in [d for d, r in self._records.items() if r.expires_at < now]:
            del self._records[digest]

    def _end_trial(self, digest: int) -> None:
        if self._trial == digest:
            self._trial = None

    def _get_level(self, digest: int) -> int:
        record = self._records.get(digest)
        return record.level if record is not None else 0

    def _get_or_add(self, digest: int) -> _Record:
        record = self._records.get(digest)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                self._drop_least_suspected()
            record = self._records[digest] = _Record()
        return record

    def _drop_least_suspected(self) -> None:
        ranked = sorted(
            self._records,
            key=lambda digest: (
                self._records[digest].crashes,
                self._records[digest].expires_at,
            ),
        )
        for digest in ranked[: MAX_RECORDS // 4]:
            del self._records[digest]


def create_crash_records(rng: random.Random) -> CrashRecords:
    """Creates records without any crash.

    :param rng: spreads the ends of blocks over the nodes.
    """
    return CrashRecords(rng)
