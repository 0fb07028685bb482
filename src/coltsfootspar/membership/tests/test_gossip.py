"""Gossip must go on while the member list grows."""

import attrs
import trio

from coltsfootspar.membership.gossip import Gossiper
from coltsfootspar.membership.settings import MembershipLimits


@attrs.define(slots=False)
class GrowingView:
    """View of a relay that has news for two data centres."""

    limits: MembershipLimits = attrs.field(factory=MembershipLimits)
    remote_outboxes: dict = attrs.field(factory=lambda: {"a": [1], "b": [1]})

    async def wait_for_remote_updates(self):
        await trio.sleep(0.1)


async def test_new_data_centre_during_a_round_does_not_end_the_gossip(
    autojump_clock, monkeypatch
):
    """Guards against a node that stops when a data centre becomes known."""
    view = GrowingView()
    sent = []

    async def send_and_grow(gossiper, data_centre, outbox):
        sent.append(data_centre)
        view.remote_outboxes[f"c{len(sent)}"] = []

    monkeypatch.setattr(Gossiper, "_send_remote", send_and_grow)
    gossiper = Gossiper(view, None)
    with trio.move_on_after(5):
        await gossiper.run_remote()
    assert sent[:4] == ["a", "b", "a", "b"]
