"""Account of the memory that a process holds for its connections."""

from coltsfootspar.memory.account import (
    Holding,
    MemoryAccount,
    MemoryLimits,
    create_memory_account,
)
from coltsfootspar.memory.documents import estimate_decoded_bytes
from coltsfootspar.memory.openings import (
    ConnectionCount,
    Openable,
    count_allowed_descriptors,
)

__all__ = [
    "ConnectionCount",
    "Holding",
    "MemoryAccount",
    "MemoryLimits",
    "Openable",
    "count_allowed_descriptors",
    "create_memory_account",
    "estimate_decoded_bytes",
]
