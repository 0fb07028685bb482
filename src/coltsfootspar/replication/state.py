"""The replicated state: the same on all replicas after the same entries."""

from collections.abc import Iterator
from typing import Any

import attrs

from coltsfootspar.exceptions import FrameError, ReplicationError
from coltsfootspar.replication.claimstate import ClaimState
from coltsfootspar.replication.commands import (
    Abandon,
    AdmitReplica,
    CheckRoutes,
    Claim,
    Command,
    EditCells,
    Entry,
    Finish,
    ReplaceRoutes,
    Result,
)
from coltsfootspar.replication.routestate import RouteState
from coltsfootspar.replication.tablestate import TableState
from coltsfootspar.wire import replication as codec

__all__ = ["INITIAL_INCARNATION", "ReplicatedState", "create_state"]

INITIAL_INCARNATION = 0


@attrs.define(eq=False)
class ReplicatedState:
    """Table, claims and admitted replicas after the entries up to an index.

    It changes only through :meth:`apply`, and takes the time from the entries.

    :param replicas: incarnation of each replica that was admitted.
    :param seats: address of each replica that was admitted with one.
    """

    index: int = 0
    term: int = 0
    time_ms: int = 0
    table: TableState = attrs.field(factory=TableState)
    claims: ClaimState = attrs.field(factory=ClaimState)
    replicas: dict[str, int] = attrs.field(factory=dict)
    routes: RouteState = attrs.field(factory=RouteState)
    seats: dict[str, str] = attrs.field(factory=dict)

    def copy(self) -> "ReplicatedState":
        """Returns a copy that later entries leave alone."""
        return ReplicatedState(
            self.index,
            self.term,
            self.time_ms,
            self.table.copy(),
            self.claims.copy(),
            self.replicas.copy(),
            self.routes.copy(),
            self.seats.copy(),
        )

    def get_incarnation(self, replica_id: str) -> int:
        """Returns the incarnation under which a replica counts."""
        return self.replicas.get(replica_id, INITIAL_INCARNATION)

    def apply(self, entry: Entry) -> tuple[Command, Result]:
        """Applies the next entry.

        :returns: the command and its result.
        :raises ReplicationError: when this version of the program does not know
            the command; skipping it would make the replicas differ.
        """
        try:
            command = codec.decode_command(entry.data)
        except FrameError as error:
            raise ReplicationError(
                f"entry {entry.index} holds a command that this version does not "
                "know; install the version that the other replicas run",
                code="unknown-command",
            ) from error
        self.index = entry.index
        self.term = entry.term
        self.time_ms = max(self.time_ms, entry.time_ms)
        self.claims.expire(self.time_ms)
        return command, self._apply_command(command)

    def _apply_command(self, command: Command) -> Result:
        match command:
            case EditCells():
                return self.table.edit(command, self.index, self.time_ms)
            case Claim():
                return self.claims.claim(command, self.time_ms)
            case Finish():
                return self.claims.finish(command, self.time_ms)
            case Abandon():
                return self.claims.abandon(command, self.time_ms)
            case AdmitReplica():
                self.replicas[command.replica_id] = command.incarnation
                if command.address:
                    self.seats[command.replica_id] = command.address
            case ReplaceRoutes():
                return self.routes.replace(command)
            case CheckRoutes():
                return self.routes.check()
        return None

    def list_items(self) -> Iterator[tuple[str, Any]]:
        """Yields the content as items of a snapshot."""
        yield "timeMs", self.time_ms
        yield from (("replica", pair) for pair in self.replicas.items())
        yield from (("node", pair) for pair in self.claims.nodes.items())
        yield from (("seat", pair) for pair in self.seats.items())
        yield "routes", self.routes.data
        yield from (("acceptedRoutes", pair) for pair in self.routes.accepted.items())
        yield "table", self.table.table
        yield from (("change", change) for change in self.table.history)
        yield from (("result", kept) for kept in self.table.results.items())
        yield from (("claim", record) for record in self.claims.records.values())
        yield from (("abandonedClaim", key) for key in self.claims.abandoned)

    def load_item(self, kind: str, value: Any) -> None:
        """Takes one item of a snapshot."""
        match kind:
            case "timeMs":
                self.time_ms = value
            case "replica":
                self.replicas[value[0]] = value[1]
            case "node":
                self.claims.nodes[value[0]] = value[1]
            case "table":
                self.table.table = value
            case "change":
                self.table.history.append(value)
            case "result":
                self.table.keep_result(*value)
            case "claim":
                self.claims.put(value)
            case "seat":
                self.seats[value[0]] = value[1]
            case "routes":
                self.routes.load(value)
            case "acceptedRoutes":
                self.routes.accepted[value[0]] = value[1]
            case "abandonedClaim":
                self.claims.keep_abandoned(value)


def create_state(index: int = 0, term: int = 0) -> ReplicatedState:
    """Creates an empty state.

    :param index: entry up to which its content will be loaded.
    :param term: term of that entry.
    """
    return ReplicatedState(index, term)
