"""The member list as the nodes of one data centre see it."""

from collections.abc import Sequence

import attrs

from coltsfootspar.routing import Candidate

__all__ = ["DirectoryView", "Members", "create_members"]


@attrs.define(eq=False)
class Members:
    """All announced backend servers, and which data centres are cut off.

    Changes apply when the nodes learn of them; whoever makes one adds the delay.
    """

    _candidates: dict[str, Candidate] = attrs.field(factory=dict)
    _cut: dict[str, None] = attrs.field(factory=dict)
    version: int = 0

    def put(self, candidate: Candidate) -> None:
        """Adds or replaces a member."""
        self._candidates[candidate.node_id] = candidate
        self.version += 1

    def change(self, node_id: str, **changes: object) -> None:
        """Changes fields of a member, if it is one."""
        candidate = self._candidates.get(node_id)
        if candidate is not None:
            self.put(attrs.evolve(candidate, **changes))

    def remove(self, node_id: str) -> None:
        """Removes a member."""
        self._candidates.pop(node_id, None)
        self.version += 1

    def set_cut(self, data_centre: str, *, is_cut: bool) -> None:
        """Marks a data centre as unreachable from the others, or as reachable."""
        if is_cut:
            self._cut[data_centre] = None
        else:
            self._cut.pop(data_centre, None)
        self.version += 1

    def list_visible(self, data_centre: str) -> Sequence[Candidate]:
        """Lists the members that the nodes of a data centre can reach."""
        return [
            candidate
            for candidate in self._candidates.values()
            if candidate.data_centre == data_centre
            or not {candidate.data_centre, data_centre} & self._cut.keys()
        ]


@attrs.define(eq=False)
class DirectoryView:
    """Directory of the nodes of one data centre."""

    _members: Members
    _data_centre: str
    _version: int = -1
    _by_service: dict[str, tuple[Candidate, ...]] = attrs.field(factory=dict)

    def list_candidates(self, service: str) -> Sequence[Candidate]:
        """Lists the reachable candidates of a service, leaving ones included."""
        if self._version != self._members.version:
            self._refresh()
        return self._by_service.get(service, ())

    def _refresh(self) -> None:
        found: dict[str, list[Candidate]] = {}
        for candidate in self._members.list_visible(self._data_centre):
            found.setdefault(candidate.service, []).append(candidate)
        self._by_service = {name: tuple(group) for name, group in found.items()}
        self._version = self._members.version


def create_members() -> Members:
    """Creates an empty member list."""
    return Members()
