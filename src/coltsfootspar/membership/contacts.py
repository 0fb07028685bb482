"""Last contact times of the other data centres."""

from collections.abc import Iterable

import attrs

from coltsfootspar.wire.membership import Contact

__all__ = ["ContactTimes"]

# Added to an age on each hop. It exceeds the transit time of a datagram within a
# data centre, so that an age never decreases as members pass it on.
_HOP_MARGIN_SECONDS = 0.2


@attrs.define(eq=False)
class ContactTimes:
    """Times at which each other data centre last acknowledged a probe.

    Relays record the acknowledgements. All members of a data centre gossip the
    times and keep the latest one.
    """

    _known_since: dict[str, float] = attrs.field(factory=dict)
    _last_ack_times: dict[str, float] = attrs.field(factory=dict)

    def add_data_centre(self, data_centre: str, now: float) -> None:
        """Starts the contact timeout of a data centre that was not known.

        The start time is not gossiped, because learning of a data centre is no
        evidence that the data centre is reachable.

        :param now: trio clock, seconds.
        """
        self._known_since.setdefault(data_centre, now)

    def record_ack(self, data_centre: str, now: float) -> None:
        """Records that a member of the data centre acknowledged a probe."""
        self._last_ack_times[data_centre] = now

    def merge(self, contacts: Iterable[Contact], now: float) -> None:
        """Merges the ages received from another member, keeping the latest times."""
        for contact in contacts:
            time = now - contact.age - _HOP_MARGIN_SECONDS
            # A data centre without known members is never marked unreachable.
            if contact.data_centre in self._known_since:
                known = self._last_ack_times.get(contact.data_centre, time)
                self._last_ack_times[contact.data_centre] = max(time, known)

    def export(self, now: float) -> tuple[Contact, ...]:
        """Returns the age of the last contact with each data centre that answered."""
        return tuple(
            Contact(data_centre, now - time)
            for data_centre, time in self._last_ack_times.items()
        )

    def find_unreachable(self, now: float, timeout: float) -> frozenset[str]:
        """Returns the data centres without an acknowledgement within the timeout.

        :param timeout: seconds.
        """
        return frozenset(
            data_centre
            for data_centre, since in self._known_since.items()
            if now - max(since, self._last_ack_times.get(data_centre, since)) > timeout
        )
