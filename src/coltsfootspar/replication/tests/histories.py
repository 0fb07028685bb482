"""Linearizability checks of the histories that concurrent clients observed."""

import attrs

from coltsfootspar.replication import ChangeResult, ChangeStatus
from coltsfootspar.table import CellEdit

INFINITY = float("inf")


@attrs.define
class Operation:
    """One change of one cell, as its client observed it.

    :param start: time at which the client sent the change, seconds.
    :param end: time at which it received the result, seconds.
    :param result: None while the outcome is unknown to the client.
    """

    change_id: str
    edit: CellEdit
    start: float
    end: float = INFINITY
    result: ChangeResult | None = None


def check_cells(operations, changes):
    """Checks that the operations on each cell are linearizable.

    The versions in the replicated history give the order of the writes. With a
    known order, a history is linearizable if the order agrees with real time,
    each write was applied to the version that it expected, and each conflict
    observed a state that was present between its start and its end.

    :param operations: all operations of all clients.
    :param changes: the replicated history.
    """
    by_id = {operation.change_id: operation for operation in operations}
    assert len({change.change_id for change in changes}) == len(changes)
    writes = [
        (change.version, by_id[change.change_id])
        for change in sorted(changes, key=lambda change: change.version)
    ]
    check_results(operations, {op.change_id: version for version, op in writes})
    cells = {(op.edit.row_key, op.edit.column) for op in operations}
    for cell in cells:
        cell_writes = [
            w for w in writes if (w[1].edit.row_key, w[1].edit.column) == cell
        ]
        check_writes(cell_writes)
        conflicts = [
            op
            for op in operations
            if (op.edit.row_key, op.edit.column) == cell
            and op.result is not None
            and op.result.status is ChangeStatus.CONFLICT
        ]
        check_conflicts(conflicts, cell_writes)


def check_results(operations, versions):
    """Checks that each result agrees with the replicated history.

    :param versions: version by change id in the replicated history.
    """
    for operation in operations:
        result = operation.result
        version = versions.get(operation.change_id)
        if result is None:
            continue
        if result.status is ChangeStatus.APPLIED:
            assert version == result.version, (
                f"{operation} is not in the history with its version"
            )
        else:
            assert result.status is ChangeStatus.CONFLICT and version is None


def check_writes(writes):
    """Checks that the order of the writes agrees with expected versions and time.

    :param writes: version and operation of each write, in order.
    """
    previous = 0
    latest_start = -INFINITY
    for version, operation in writes:
        expected = operation.edit.expected_version
        assert expected in (None, previous), (
            f"{operation} was applied to version {previous}"
        )
        assert operation.end >= latest_start, f"{operation} is out of order"
        latest_start = max(latest_start, operation.start)
        previous = version


def check_conflicts(conflicts, writes):
    """Checks that conflicts observed states present at their time, in order."""
    states = {0: None} | {version: op.edit.value for version, op in writes}
    for conflict in conflicts:
        observed = conflict.result.version
        assert observed != conflict.edit.expected_version
        assert observed in states and states[observed] == conflict.result.value
        for version, write in writes:
            if version <= observed:
                assert write.start <= conflict.end, (
                    f"{conflict} observed a write that began after its end"
                )
            else:
                assert write.end >= conflict.start, (
                    f"{conflict} missed a write that ended before its start"
                )
        for other in conflicts:
            if other.end < conflict.start:
                assert other.result.version <= observed, (
                    f"{conflict} observed an older version than an earlier conflict"
                )
