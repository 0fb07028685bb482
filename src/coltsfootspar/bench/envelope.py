"""Bodies and headers by which the stand-ins recognise requests and answers."""

from collections.abc import Mapping

import attrs

from coltsfootspar.bench.scenario import RequestKind
from coltsfootspar.calls import CallRequest, Header, find_header

__all__ = ["Envelope", "build_answer", "parse_envelope"]

_HEADER = b"bench-call"


@attrs.frozen
class Envelope:
    """Identity of a call.

    :param request: number of the client's request.
    :param position: place in the call tree, ``0`` for the root.
    :param call: number of the call in the journal.
    """

    request: int
    position: str
    call: int

    @property
    def headers(self) -> tuple[Header, ...]:
        """Headers that carry the call number."""
        return ((_HEADER, str(self.call).encode()),)

    @property
    def body(self) -> bytes:
        """Body, the same for every attempt of a request."""
        return f"{self.request}/{self.position}".encode()

    def create_child(self, index: int, call: int) -> "Envelope":
        """Creates the identity of a call below this one."""
        return Envelope(self.request, f"{self.position}.{index}", call)


def parse_envelope(request: CallRequest) -> Envelope:
    """Reads the identity of a call."""
    number, _, position = request.body.decode().partition("/")
    call = find_header(request.headers, _HEADER) or b"-1"
    return Envelope(int(number), position, int(call))


def build_answer(
    rows: Mapping[str, RequestKind], row: str, request: int, position: str = "0"
) -> bytes:
    """Builds the complete answer to a call: its own line and those below it."""
    lines = [f"{request}/{position}".encode()]
    called = [name for stage in rows[row].calls for name in stage]
    lines += [
        build_answer(rows, name, request, f"{position}.{index}")
        for index, name in enumerate(called)
    ]
    return b"\n".join(lines)
