"""The replicated routes and the versions that were accepted."""

import attrs

from coltsfootspar.exceptions import FrameError
from coltsfootspar.replication.commands import (
    ChangeResult,
    ChangeStatus,
    ReplaceRoutes,
)
from coltsfootspar.routes import RouteTable, decode_routes, encode_routes

__all__ = ["RouteState"]


@attrs.define(eq=False)
class RouteState:
    """The route table in force and the digests of all accepted ones.

    :param data: the encoded table.
    :param accepted: digest by version, so that a change which is sent again is
        acknowledged again, also after others followed it.
    """

    table: RouteTable = attrs.field(factory=RouteTable)
    data: bytes = attrs.field(factory=lambda: encode_routes(RouteTable()))
    accepted: dict[int, bytes] = attrs.field(factory=dict)

    def copy(self) -> "RouteState":
        """Returns a copy that later changes leave alone."""
        return RouteState(self.table, self.data, self.accepted.copy())

    def replace(self, command: ReplaceRoutes) -> ChangeResult:
        """Puts a table in force if its base is the present version."""
        version = self.table.version
        if self.accepted.get(command.version) == command.digest:
            return ChangeResult(ChangeStatus.APPLIED, command.version)
        if command.base_version != version:
            text = f"version {version} is in force, not {command.base_version}"
            return ChangeResult(ChangeStatus.CONFLICT, version, "conflict", text)
        if command.version <= version:
            text = f"version {command.version} is not above {version}"
            return ChangeResult(ChangeStatus.INVALID, version, "version", text)
        try:
            self.load(command.data)
        except FrameError as error:
            return ChangeResult(ChangeStatus.INVALID, version, error.code, str(error))
        self.accepted[command.version] = command.digest
        return ChangeResult(ChangeStatus.APPLIED, command.version)

    def check(self) -> ChangeResult:
        """Returns the version in force."""
        return ChangeResult(ChangeStatus.APPLIED, self.table.version)

    def load(self, data: bytes) -> None:
        """Takes an encoded table over.

        :raises FrameError: when the data is no route table.
        """
        self.table = decode_routes(data)
        self.data = data
