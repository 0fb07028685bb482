"""Tests of what the gates at the first node learn of a request."""

import attrs
import pytest

from coltsfootspar.relay import Forwarder
from coltsfootspar.routes import Organisation
from coltsfootspar.wire import Address

from .conftest import HOST, OK, encode_get, find_free_port, send_and_read

ORGANISATION = Organisation("removals", (), rate=1.0)


@attrs.define(eq=False)
class CountingQuotaGate:
    """Counts the requests whose allowance is returned."""

    refunds: int = 0

    async def acquire(self, organisation: Organisation) -> float | None:
        return None

    def refund(self, organisation: Organisation) -> None:
        self.refunds += 1


@pytest.mark.parametrize("is_served", [True, False])
async def test_only_request_that_reached_no_server_is_refunded(
    harness, monkeypatch, is_served
):
    """Guards against a served request whose allowance is spent a second time."""
    forward = Forwarder._forward

    async def forward_for_organisation(forwarder, exchange, route, outgoing, _):
        await forward(forwarder, exchange, route, outgoing, ORGANISATION)

    async def answer_ok(stream, head):
        await stream.send_all(OK)

    monkeypatch.setattr(Forwarder, "_forward", forward_for_organisation)
    server = await harness.add_server(answer_ok)
    unreachable = Address(HOST, find_free_port(HOST))
    await harness.add_node("n1", server.address if is_served else unreachable)
    forwarder, _, entry = await harness.add_entry_node()
    forwarder.quota_gate = CountingQuotaGate()
    answer = await send_and_read(entry, encode_get())
    assert answer.startswith(b"HTTP/1.1 200" if is_served else b"HTTP/1.1 503")
    assert forwarder.quota_gate.refunds == (0 if is_served else 1)
