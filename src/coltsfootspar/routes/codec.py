"""Routes as JSON, the form in which replicas keep and send them."""

import cattrs
import orjson

from coltsfootspar.exceptions import FrameError
from coltsfootspar.routes.model import RouteTable

__all__ = ["decode_routes", "encode_routes"]

_converter = cattrs.Converter()


def encode_routes(table: RouteTable) -> bytes:
    """Encodes a table; equal tables give equal bytes."""
    return orjson.dumps(_converter.unstructure(table))


def decode_routes(data: bytes) -> RouteTable:
    """Decodes a table.

    :raises FrameError: when the data is no route table.
    """
    try:
        content = orjson.loads(data)
        if not isinstance(content, dict):
            raise FrameError("a route table is a JSON object")
        return _converter.structure(content, RouteTable)
    except FrameError:
        raise
    except Exception as error:
        raise FrameError(f"malformed route table: {error}") from error
