"""Encoding of notices about requests that were in progress when a server crashed."""

import enum
import math

import attrs
import capnp

from coltsfootspar.exceptions import FrameError
from coltsfootspar.wire.schemas import (
    add_structs,
    create_struct,
    decode_struct,
    load_schema,
)

__all__ = [
    "CrashEntry",
    "CrashNotice",
    "CrashNoticeKind",
    "decode_crash_notice",
    "encode_crash_notice",
]

_MAX_UINT32 = (1 << 32) - 1
_schema = load_schema("crashes")


class CrashNoticeKind(enum.IntEnum):
    """What a notice says of its entries.

    CRASHED: a server has just crashed while these requests were in progress.
    BLOCKED: these requests must not reach a server for the time stated.
    ANSWERED: a server has answered these requests, so they are not to blame.
    """

    CRASHED = 0
    BLOCKED = 1
    ANSWERED = 2


@attrs.frozen
class CrashEntry:
    """What a node knows of one request; all times are relative to the notice.

    :param digest: digest of the request; equal for repeats of it.
    :param crashes: servers that crashed under it since it was last answered.
    :param first_age: time since the first of these crashes, seconds.
    :param last_age: time since the latest of them, seconds.
    :param answered_age: time since a server answered it, seconds; infinity if none
        did.
    :param blocked_for: time for which it stays blocked, seconds; 0 when it is not.
    :param level: how often it has been blocked.
    """

    digest: int
    crashes: int = 0
    first_age: float = 0.0
    last_age: float = 0.0
    answered_age: float = math.inf
    blocked_for: float = 0.0
    level: int = 0


@attrs.frozen
class CrashNotice:
    """Message from one node to another that serves the same service.

    :param id: equal for copies that are sent again; random.
    """

    kind: CrashNoticeKind
    entries: tuple[CrashEntry, ...] = ()
    id: int = 0


def encode_crash_notice(notice: CrashNotice) -> bytes:
    """Encodes a notice."""
    message = create_struct(_schema.Notice, kind=int(notice.kind), id=notice.id)
    if notice.entries:
        entries = [_write_entry(entry) for entry in notice.entries]
        add_structs(message, "entries", entries)
    return message.to_bytes()


def decode_crash_notice(payload: bytes) -> CrashNotice:
    """Decodes a notice.

    :raises FrameError: when the payload is not valid.
    """
    message = decode_struct(_schema.Notice, payload)
    try:
        return CrashNotice(
            CrashNoticeKind(message.kind),
            tuple(_read_entry(entry) for entry in message.entries),
            message.id,
        )
    except (capnp.KjException, ValueError) as error:
        raise FrameError("crash notice has a malformed field") from error


def _write_entry(entry: CrashEntry) -> dict:
    return {
        "digest": entry.digest,
        "crashes": entry.crashes,
        "firstMilliseconds": _to_milliseconds(entry.first_age),
        "lastMilliseconds": _to_milliseconds(entry.last_age),
        "answeredMilliseconds": _to_milliseconds(entry.answered_age),
        "blockedMilliseconds": _to_milliseconds(entry.blocked_for),
        "level": entry.level,
    }


def _read_entry(entry) -> CrashEntry:
    answered = entry.answeredMilliseconds
    return CrashEntry(
        digest=entry.digest,
        crashes=entry.crashes,
        first_age=entry.firstMilliseconds / 1e3,
        last_age=entry.lastMilliseconds / 1e3,
        answered_age=math.inf if answered == _MAX_UINT32 else answered / 1e3,
        blocked_for=entry.blockedMilliseconds / 1e3,
        level=entry.level,
    )


def _to_milliseconds(seconds: float) -> int:
    return _MAX_UINT32 if seconds == math.inf else min(_MAX_UINT32, int(seconds * 1e3))
