"""Processor time and memory of processes, and bytes on loopback."""

from collections.abc import Iterable

import attrs
import psutil

__all__ = ["Usage", "read_loopback_bytes", "read_usage"]

_MEGABYTE = 1e6


@attrs.frozen
class Usage:
    """What a set of processes has used so far.

    :param cpu_seconds: processor time, user and system.
    :param memory_mb: resident memory, megabytes.
    """

    cpu_seconds: float
    memory_mb: float


def read_usage(process_ids: Iterable[int]) -> Usage:
    """Reads processor time and memory of some processes."""
    cpu = memory = 0.0
    for process_id in process_ids:
        process = psutil.Process(process_id)
        times = process.cpu_times()
        cpu += times.user + times.system
        memory += process.memory_info().rss / _MEGABYTE
    return Usage(cpu, memory)


def read_loopback_bytes() -> int:
    """Reads the bytes that have passed loopback, headers included."""
    return psutil.net_io_counters(pernic=True)["lo"].bytes_sent
