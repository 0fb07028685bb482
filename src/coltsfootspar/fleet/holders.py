"""Look-up of the host that holds a seat."""

from collections.abc import Callable, Iterable

import attrs
import trio

from coltsfootspar.wire import Address

__all__ = ["HolderResolver", "create_holder_resolver"]

# A look-up that follows another one within this time means that the address found
# there did not serve.
RETRY_WINDOW_SECONDS = 5.0


@attrs.define(eq=False)
class HolderResolver:
    """Resolves seats to addresses, and tries the possible ones in turn.

    What a replica knows of the holders may be older than its last stop, and a host that
    has lost its seat may still announce it. A link checks which seat answers, so a
    wrong address costs no more than the time until the next attempt.

    :param _list_addresses: returns the possible addresses of a seat, the most likely
        one first.
    :param _last: address that was resolved last, and trio clock of that, seconds, by
        seat.
    """

    _list_addresses: Callable[[str], Iterable[Address | None]]
    _last: dict[str, tuple[Address, float]] = attrs.field(factory=dict)

    def resolve(self, seat: str) -> Address | None:
        """Returns the address to connect to next, None when none is known."""
        addresses = [
            address for address in dict.fromkeys(self._list_addresses(seat)) if address
        ]
        if not addresses:
            return None
        now = trio.current_time()
        last, resolved_at = self._last.get(seat, (None, -float("inf")))
        position = 0
        if last in addresses and now - resolved_at < RETRY_WINDOW_SECONDS:
            position = (addresses.index(last) + 1) % len(addresses)
        self._last[seat] = (addresses[position], now)
        return addresses[position]


def create_holder_resolver(
    list_addresses: Callable[[str], Iterable[Address | None]],
) -> HolderResolver:
    """Creates the resolver of a process.

    :param list_addresses: returns the possible addresses of a seat, the most likely
        one first; None stands for a source that knows none.
    """
    return HolderResolver(list_addresses)
