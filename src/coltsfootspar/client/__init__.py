"""The operators' command line program."""

from coltsfootspar.client.connection import AdminConnection, open_connection
from coltsfootspar.client.exits import ExitCode

__all__ = ["AdminConnection", "ExitCode", "open_connection"]
