"""Locks that cost no pass of the scheduler while nobody else holds them."""

import contextlib
from collections.abc import AsyncIterator

import trio

__all__ = ["hold_lock"]


@contextlib.asynccontextmanager
async def hold_lock(lock: trio.Lock | trio.CapacityLimiter) -> AsyncIterator[None]:
    """Holds a lock or a slot of a limiter.

    The acquire method of trio yields to the scheduler even when the lock is free,
    and each pass of the scheduler asks the kernel for events.
    """
    try:
        lock.acquire_nowait()
    except trio.WouldBlock:
        await lock.acquire()
    try:
        yield
    finally:
        lock.release()
