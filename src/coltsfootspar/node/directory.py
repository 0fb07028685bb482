"""Directory that knows of leaving nodes before the gossip tells."""

from collections.abc import Sequence

import attrs
import trio

from coltsfootspar.routing import Candidate, Directory

__all__ = ["NoticedDirectory", "create_noticed_directory"]

# Gossip has carried the news by then; a node that came back is not held out.
_NOTICE_SECONDS = 10.0


@attrs.define(eq=False)
class NoticedDirectory:
    """Adds the LEAVING notices of open connections to the member list."""

    _members: Directory
    _leaving_until: dict[str, float] = attrs.field(factory=dict)

    def mark_leaving(self, node_id: str) -> None:
        """Takes a LEAVING notice."""
        self._leaving_until[node_id] = trio.current_time() + _NOTICE_SECONDS

    def list_candidates(self, service: str) -> Sequence[Candidate]:
        """Lists the reachable candidates of a service, leaving ones included."""
        candidates = self._members.list_candidates(service)
        if not self._leaving_until:
            return candidates
        self._drop_expired()
        return [self._mark(candidate) for candidate in candidates]

    def _mark(self, candidate: Candidate) -> Candidate:
        if candidate.node_id not in self._leaving_until:
            return candidate
        return attrs.evolve(candidate, is_leaving=True)

    def _drop_expired(self) -> None:
        now = trio.current_time()
        expired = [name for name, until in self._leaving_until.items() if until < now]
        for name in expired:
            del self._leaving_until[name]


def create_noticed_directory(members: Directory) -> NoticedDirectory:
    """Creates a directory over the member list."""
    return NoticedDirectory(members)
