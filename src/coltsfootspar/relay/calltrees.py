"""Services that the requests of each route reach, learned from replies.

A reply names the services below the one that was called, with the number of calls
that were made for it. Each node on the way up adds the calls that it has seen, so
that the first node learns the whole tree of a request.
"""

from collections.abc import Mapping

import attrs

from coltsfootspar.relay.running import MAX_REACHED_SERVICES

__all__ = ["CallTrees", "decode_reached", "encode_reached"]

_CALLS_EWMA_WEIGHT = 1 / 8
# Mean number of calls from which on a request is taken to need a service.
MIN_CALLS = 0.25
# A service that no request of the route has reached for this time is forgotten.
EXPIRY_SECONDS = 30.0
MAX_ROUTES = 1_024
_MAX_COUNT = 1_000_000


@attrs.define(eq=False)
class _Branch:
    """Calls to one service.

    :param calls: moving average of the calls that one request makes.
    :param seen_at: when a request last reached it, trio clock, seconds.
    """

    calls: float
    seen_at: float


@attrs.define(eq=False)
class CallTrees:
    """Learns the services below each route, with decay."""

    _trees: dict[str, dict[str, _Branch]] = attrs.field(factory=dict)

    def record(
        self,
        route_name: str,
        reached: Mapping[str, int],
        now: float,
        *,
        is_whole: bool,
    ) -> None:
        """Learns from the reply to one request.

        :param reached: calls made for it, by service, at all depths.
        :param now: trio clock, seconds.
        :param is_whole: false when the request failed and may have missed services
            that it would have reached; its reply lowers no average.
        """
        tree = self._trees.get(route_name)
        if tree is None:
            if not reached:
                return
            tree = self._add_tree(route_name)
        for service, count in reached.items():
            branch = tree.get(service)
            if branch is None:
                if len(tree) < MAX_REACHED_SERVICES:
                    tree[service] = _Branch(count, now)
                continue
            branch.seen_at = now
            if is_whole or count > branch.calls:
                branch.calls += (count - branch.calls) * _CALLS_EWMA_WEIGHT
        if is_whole and len(reached) < len(tree):
            self._decay_missed(tree, reached, now)

    def list_services(self, route_name: str) -> list[str]:
        """Returns the services below the first one that most requests need."""
        tree = self._trees.get(route_name)
        if tree is None:
            return []
        return [name for name, branch in tree.items() if branch.calls >= MIN_CALLS]

    def _add_tree(self, route_name: str) -> dict[str, _Branch]:
        if len(self._trees) >= MAX_ROUTES:
            del self._trees[next(iter(self._trees))]
        tree = self._trees[route_name] = {}
        return tree

    def _decay_missed(
        self, tree: dict[str, _Branch], reached: Mapping[str, int], now: float
    ) -> None:
        for service in [name for name in tree if name not in reached]:
            branch = tree[service]
            branch.calls -= branch.calls * _CALLS_EWMA_WEIGHT
            if now - branch.seen_at > EXPIRY_SECONDS:
                del tree[service]


def encode_reached(reached: Mapping[str, int]) -> bytes:
    """Encodes the calls made for a request for the header of its reply."""
    return b",".join(b"%s=%d" % (name.encode(), n) for name, n in reached.items())


def decode_reached(value: bytes | None) -> dict[str, int]:
    """Decodes the calls made for a request; what is malformed is left out."""
    reached = {}
    for part in (value or b"").split(b",")[:MAX_REACHED_SERVICES]:
        name, _, count = part.partition(b"=")
        if name and count.isdigit():
            reached[name.decode("latin-1")] = min(int(count), _MAX_COUNT)
    return reached
