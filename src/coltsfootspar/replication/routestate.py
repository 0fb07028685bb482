"""The replicated route table and the versions that were accepted."""

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
    """The active route table and the digests of all accepted tables.

    :param data: the encoded table.
    :param accepted: digest by version. A resent change is acknowledged again by
        its digest, even when later changes have followed it.
    """

    table: RouteTable = attrs.field(factory=RouteTable)
    data: bytes = attrs.field(factory=lambda: encode_routes(RouteTable()), repr=False)
    accepted: dict[int, bytes] = attrs.field(factory=dict)

    def copy(self) -> "RouteState":
        """Returns a copy that later changes do not affect."""
        return RouteState(self.table, self.data, self.accepted.copy())

    def replace(self, command: ReplaceRoutes) -> ChangeResult:
        """Activates a route table if its base version is the active version."""
        version = self.table.version
        if self.accepted.get(command.version) == command.digest:
            return ChangeResult(ChangeStatus.APPLIED, command.version)
        if command.base_version != version:
            message = (
                f"the active version is {version}, not the base version "
                f"{command.base_version}"
            )
            return ChangeResult(ChangeStatus.CONFLICT, version, "conflict", message)
        if command.version <= version:
            message = (
                f"the new version {command.version} must be greater than the "
                f"active version {version}"
            )
            return ChangeResult(ChangeStatus.INVALID, version, "version", message)
        try:
            self.load(command.data)
        except FrameError as error:
            return ChangeResult(ChangeStatus.INVALID, version, error.code, str(error))
        self.accepted[command.version] = command.digest
        return ChangeResult(ChangeStatus.APPLIED, command.version)

    def check(self) -> ChangeResult:
        """Returns the active version as the result of :class:`CheckRoutes`."""
        return ChangeResult(ChangeStatus.APPLIED, self.table.version)

    def load(self, data: bytes) -> None:
        """Replaces the table by an encoded one.

        :raises FrameError: when the data is not a valid route table.
        """
        self.table = decode_routes(data)
        self.data = data
