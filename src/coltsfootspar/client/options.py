"""Options that the commands share."""

import os
from collections.abc import Iterator
from contextlib import contextmanager

from coltsfootspar.client.connection import AdminConnection, open_connection

__all__ = ["SERVER_VARIABLE", "connect"]

SERVER_VARIABLE = "COLTSFOOTSPAR_SERVER"
_DEFAULT_SERVER = "http://127.0.0.1:7400"


@contextmanager
def connect(server: str | None) -> Iterator[AdminConnection]:
    """Opens a connection to the server of the option, the variable or the default.

    :param server: value of ``--server``, or None when it was not given.
    """
    url = server or os.environ.get(SERVER_VARIABLE) or _DEFAULT_SERVER
    connection = open_connection(url)
    try:
        yield connection
    finally:
        connection.close()
