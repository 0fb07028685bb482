"""The estimate of the memory of a decoded document."""

import tracemalloc

import orjson
import pytest

from coltsfootspar.memory import estimate_decoded_bytes

PIECES = (
    b"[]",
    b"{}",
    b'{"":0}',
    b'{"a":[]}',
    b"[[]]",
    b"1.5",
    b'"ab"',
    b"[0]",
    b"99999",
)


@pytest.mark.parametrize("piece", PIECES, ids=lambda piece: piece.decode())
def test_estimate_covers_the_decoded_document(piece):
    """Guards against a dense document of legal size that ends a process."""
    body = b"[" + b",".join([piece] * 50_000) + b"]"
    tracemalloc.start()
    try:
        content = orjson.loads(body)
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(content) == 50_000
    assert used <= estimate_decoded_bytes(body)
