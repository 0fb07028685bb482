"""Cap'n Proto schemas of the inner protocol, loaded once at import."""

import pathlib
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import capnp

from coltsfootspar.exceptions import FrameError

__all__ = [
    "add_structs",
    "create_struct",
    "decode_struct",
    "fill_list",
    "load_schema",
]

capnp.remove_import_hook()


def load_schema(name: str) -> Any:
    """Loads a schema file of this package.

    :param name: file name without its ending.
    """
    return capnp.load(str(pathlib.Path(__file__).with_name(f"{name}.capnp")))


def create_struct(struct: Any, **fields: Any) -> Any:
    """Creates a message.

    ``new_message`` with fields would build descriptions of all fields of the struct
    for each message, and leave them as cyclic garbage.

    :param struct: struct of a loaded schema.
    :param fields: values by name.
    :returns: a builder of the struct.
    """
    message = struct.new_message()
    _set_fields(message, fields)
    return message


def add_structs(message: Any, name: str, entries: Sequence[Mapping[str, Any]]) -> None:
    """Sets a list of structs of a message.

    :param name: name of the field.
    :param entries: fields of each struct by name.
    """
    fill_list(message, name, entries, _set_fields)


def fill_list(
    builder: Any, field: str, values: Sequence[Any], fill: Callable[[Any, Any], None]
) -> None:
    """Writes a list, each value with a function of its own."""
    items = builder.init(field, len(values))
    for index, value in enumerate(values):
        fill(items[index], value)


def _set_fields(builder: Any, fields: Mapping[str, Any]) -> None:
    for name, value in fields.items():
        setattr(builder, name, value)


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
