"""Measured slopes of processor time, memory, bytes and latency."""

from coltsfootspar.bench.capacity.report import (
    CapacityReport,
    extrapolate,
    measure_capacity,
)

__all__ = ["CapacityReport", "extrapolate", "measure_capacity"]
