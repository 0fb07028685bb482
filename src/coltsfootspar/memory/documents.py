"""Memory that a JSON document takes once it is decoded."""

__all__ = ["estimate_decoded_bytes"]

# Memory of an object, with an entry that refers to it.
_OBJECT_BYTES = 256
_LIST_BYTES = 104
_STRING_BYTES = 64
_NUMBER_BYTES = 40
# Copies of the document while a change is replicated.
_COPIES = 4


def estimate_decoded_bytes(body: bytes) -> int:
    """Returns about the most memory that a document and its content take.

    It is not decoded: short documents may decode to many times their size.

    :param body: the document; need not be valid.
    """
    return (
        _COPIES * len(body)
        + _OBJECT_BYTES * body.count(b"{")
        + _LIST_BYTES * body.count(b"[")
        + _STRING_BYTES * (body.count(b'"') // 2)
        + _NUMBER_BYTES * (body.count(b",") + body.count(b":"))
    )
