"""At-most-once execution."""

from coltsfootspar.claims.interfaces import OnceExecutor

__all__ = ["OnceExecutor"]
