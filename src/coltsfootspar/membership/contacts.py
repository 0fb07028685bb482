"""Which data centres answer the own one."""

from collections.abc import Iterable

import attrs

from coltsfootspar.wire.membership import Contact

__all__ = ["ContactTimes"]

# Added to an age on each hop. It exceeds the time that a datagram is under way
# within a data centre, so that an age that is passed around never gets younger.
_HOP_MARGIN = 0.2


@attrs.define(eq=False)
class ContactTimes:
    """Times at which each other data centre last answered a probe.

    Relays record the answers; the members of a data centre pass the times on
    and keep the latest.
    """

    _known_since: dict[str, float] = attrs.field(factory=dict)
    _answered: dict[str, float] = attrs.field(factory=dict)

    def add_data_centre(self, data_centre: str, now: float) -> None:
        """Starts the count for a data centre that was not known.

        This time is not passed on: the start of a node says nothing about the
        data centres that it hears of.
        """
        self._known_since.setdefault(data_centre, now)

    def record_answer(self, data_centre: str, now: float) -> None:
        """Records that a member of the data centre answered a probe."""
        self._answered[data_centre] = now

    def merge(self, contacts: Iterable[Contact], now: float) -> None:
        """Takes over the times that another member knows."""
        for contact in contacts:
            time = now - contact.age - _HOP_MARGIN
            # A data centre without known members has nothing to be marked.
            if contact.data_centre in self._known_since:
                known = self._answered.get(contact.data_centre, time)
                self._answered[contact.data_centre] = max(time, known)

    def export(self, now: float) -> tuple[Contact, ...]:
        """Returns the ages of all contacts."""
        return tuple(
            Contact(data_centre, now - time)
            for data_centre, time in self._answered.items()
        )

    def find_silent(self, now: float, limit: float) -> frozenset[str]:
        """Returns the data centres that have not answered for a time.

        :param limit: seconds.
        """
        return frozenset(
            data_centre
            for data_centre, since in self._known_since.items()
            if now - max(since, self._answered.get(data_centre, since)) > limit
        )
