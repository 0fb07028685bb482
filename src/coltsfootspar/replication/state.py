"""The replicated state machine, equal on all replicas after the same entries."""

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
    """State after all entries up to an index have been applied.

    Once it is loaded, only :meth:`apply` changes it. It takes the time from the
    entries and never from a local clock, so that all replicas compute the same
    state.

    :param index: last applied entry.
    :param term: term of that entry.
    :param time_ms: latest time in the applied entries, milliseconds.
    :param replica_incarnations: incarnation of each replica that was admitted
        with a new disk.
    :param seats: address of each replica that was admitted with one, by replica id.
    """

    index: int = 0
    term: int = 0
    time_ms: int = 0
    table: TableState = attrs.field(factory=TableState)
    claims: ClaimState = attrs.field(factory=ClaimState)
    replica_incarnations: dict[str, int] = attrs.field(factory=dict)
    routes: RouteState = attrs.field(factory=RouteState)
    seats: dict[str, str] = attrs.field(factory=dict)

    def copy(self) -> "ReplicatedState":
        """Returns a copy that later entries do not change."""
        return ReplicatedState(
            self.index,
            self.term,
            self.time_ms,
            self.table.copy(),
            self.claims.copy(),
            self.replica_incarnations.copy(),
            self.routes.copy(),
            self.seats.copy(),
        )

    def get_incarnation(self, replica_id: str) -> int:
        """Returns the incarnation under which a replica was last admitted."""
        return self.replica_incarnations.get(replica_id, INITIAL_INCARNATION)

    def apply(self, entry: Entry) -> tuple[Command, Result]:
        """Applies the next entry.

        :returns: the command and its result.
        :raises ReplicationError: when this version of the program cannot decode
            the command. Skipping it would make the replicas diverge.
        """
        try:
            command = codec.decode_command(entry.data)
        except FrameError as error:
            raise ReplicationError(
                f"entry {entry.index} holds a command that this version of the "
                "program does not know; install the version that the other "
                "replicas run",
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
                self.replica_incarnations[command.replica_id] = command.incarnation
                if command.address:
                    self.seats[command.replica_id] = command.address
            case ReplaceRoutes():
                return self.routes.replace(command)
            case CheckRoutes():
                return self.routes.check()
        return None

    def list_items(self) -> Iterator[tuple[str, Any]]:
        """Yields kind and value of each item of a snapshot.

        The kinds are the names of the union members of ``SnapshotItem`` in
        ``replication.capnp``.
        """
        yield "timeMs", self.time_ms
        yield from (("replica", pair) for pair in self.replica_incarnations.items())
        yield from (("node", pair) for pair in self.claims.node_incarnations.items())
        yield from (("seat", pair) for pair in self.seats.items())
        yield "routes", self.routes.data
        yield from (("acceptedRoutes", pair) for pair in self.routes.accepted.items())
        yield "table", self.table.table
        yield from (("change", change) for change in self.table.history)
        yield from (("result", item) for item in self.table.results.items())
        yield from (("claim", record) for record in self.claims.records.values())
        yield from (("abandonedClaim", key) for key in self.claims.abandoned)

    def load_item(self, kind: str, value: Any) -> None:
        """Loads one item of a snapshot.

        :param kind: one of the kinds that :meth:`list_items` yields.
        """
        match kind:
            case "timeMs":
                self.time_ms = value
            case "replica":
                self.replica_incarnations[value[0]] = value[1]
            case "node":
                self.claims.node_incarnations[value[0]] = value[1]
            case "table":
                self.table.table = value
            case "change":
                self.table.history.append(value)
            case "result":
                self.table.store_result(*value)
            case "claim":
                self.claims.put(value)
            case "seat":
                self.seats[value[0]] = value[1]
            case "routes":
                self.routes.load(value)
            case "acceptedRoutes":
                self.routes.accepted[value[0]] = value[1]
            case "abandonedClaim":
                self.claims.add_abandoned(value)


def create_state(index: int = 0, term: int = 0) -> ReplicatedState:
    """Creates an empty state, into which a snapshot can be loaded.

    :param index: last entry in the snapshot, 0 without one.
    :param term: term of that entry.
    """
    return ReplicatedState(index, term)
