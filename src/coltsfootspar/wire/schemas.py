"""Cap'n Proto schemas of the inner protocol, loaded once at import."""

import pathlib
from typing import Any

import capnp

from coltsfootspar.exceptions import FrameError

__all__ = ["decode_struct", "load_schema"]

capnp.remove_import_hook()


def load_schema(name: str) -> Any:
    """Loads a schema file of this package.

    :param name: file name without its ending.
    """
    return capnp.load(str(pathlib.Path(__file__).with_name(f"{name}.capnp")))


def decode_struct(struct: Any, payload: bytes) -> Any:
    """Decodes a payload without trusting it.

    :param struct: struct of a loaded schema.
    :returns: a reader of the struct.
    :raises FrameError: when the payload is not a message of Cap'n Proto.
    """
    try:
        with struct.from_bytes(payload) as reader:
            return reader
    except (capnp.KjException, ValueError) as error:
        raise FrameError(
            f"payload is not a valid {struct.schema.node.displayName}"
        ) from error
