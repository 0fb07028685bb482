"""Gossip must continue while data centres are added."""

import attrs
import trio

from coltsfootspar.membership.gossip import Gossiper
from coltsfootspar.membership.settings import MembershipLimits


@attrs.define(slots=False)
class GrowingView:
    """View of a relay with updates queued for two data centres."""

    limits: MembershipLimits = attrs.field(factory=MembershipLimits)
    remote_outboxes: dict = attrs.field(factory=lambda: {"a": [1], "b": [1]})

    async def wait_for_remote_updates(self):
        await trio.sleep(0.1)


async def test_data_centre_added_during_a_round_does_not_stop_gossip(
    autojump_clock, monkeypatch
):
    """Guards against a node that stops when the outboxes change during iteration."""
    view = GrowingView()
    sent = []

    async def send_and_add(gossiper, data_centre, outbox):
        sent.append(data_centre)
        view.remote_outboxes[f"c{len(sent)}"] = []

    monkeypatch.setattr(Gossiper, "_send_remote", send_and_add)
    gossiper = Gossiper(view, None)
    with trio.move_on_after(5):
        await gossiper.run_remote()
    assert sent[:4] == ["a", "b", "a", "b"]
