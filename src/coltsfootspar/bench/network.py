"""Links between the nodes of a run, and from the clients to them."""

import attrs
import numpy as np
import trio

from coltsfootspar.bench.scenario import Delays
from coltsfootspar.exceptions import LinkError

__all__ = ["Links", "create_links"]

# A silent connection is closed after this time, as on real links.
SILENCE_SECONDS = 1.5
_RESEND_SECONDS = 0.2


@attrs.define
class _Cut:
    since: float
    healed: trio.Event = attrs.field(factory=trio.Event)


@attrs.define(eq=False)
class Links:
    """Delay, loss and cuts of the links between data centres.

    Lost messages arrive later, since links are reliable streams. A message on a
    cut link waits until the cut is healed or the silence is noticed.
    """

    _delays: Delays
    _random: np.random.Generator
    loss: float
    _cuts: dict[str, _Cut] = attrs.field(factory=dict)

    def cut(self, data_centre: str) -> None:
        """Cuts a data centre off from the others."""
        self._cuts[data_centre] = _Cut(trio.current_time())

    def heal(self, data_centre: str) -> None:
        """Ends a cut."""
        cut = self._cuts.pop(data_centre, None)
        if cut is not None:
            cut.healed.set()

    def is_known_broken(self, source: str, target: str) -> bool:
        """Tells whether the silence of a cut link has been noticed."""
        cut = self._find_cut(source, target)
        return cut is not None and trio.current_time() > cut.since + SILENCE_SECONDS

    async def transfer(self, source: str, target: str) -> None:
        """Takes as long as a message between two data centres.

        :raises LinkError: when the link is cut and its silence is noticed.
        """
        await trio.sleep(self._draw_delay(source, target))
        cut = self._find_cut(source, target)
        if cut is None:
            return
        with trio.move_on_at(cut.since + SILENCE_SECONDS):
            await cut.healed.wait()
            return
        raise LinkError(f"{source} to {target} is silent", may_have_run=True)

    async def reach_node(self) -> None:
        """Takes as long as a message between a client and a node."""
        await trio.sleep(self._delays.client_ms / 1e3 + self._draw_jitter())

    def _find_cut(self, source: str, target: str) -> _Cut | None:
        if source == target:
            return None
        return self._cuts.get(source) or self._cuts.get(target)

    def _draw_delay(self, source: str, target: str) -> float:
        if source == target:
            return self._delays.within_ms / 1e3
        delay = self._delays.between_ms / 1e3 + self._draw_jitter()
        while self.loss and self._random.random() < self.loss:
            delay += _RESEND_SECONDS
        return delay

    def _draw_jitter(self) -> float:
        jitter = self._delays.jitter_ms / 1e3
        return jitter * self._random.random() if jitter else 0.0


def create_links(delays: Delays, source: np.random.Generator) -> Links:
    """Creates the links of a run.

    :param source: draws jitter and loss.
    """
    return Links(delays, source, delays.loss)
