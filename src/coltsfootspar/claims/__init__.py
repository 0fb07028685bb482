"""At-most-once execution of requests with an idempotency key."""

from coltsfootspar.claims.executor import ClaimingExecutor, create_once_executor
from coltsfootspar.claims.interfaces import OnceExecutor

__all__ = ["ClaimingExecutor", "OnceExecutor", "create_once_executor"]
