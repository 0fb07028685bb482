"""Checks of the histories that concurrent clients have seen."""

import attrs

from coltsfootspar.replication import ChangeResult, ChangeStatus
from coltsfootspar.table import CellEdit

INFINITY = float("inf")


@attrs.define
class Operation:
    """One change of one cell, as its operator saw it.

    :param result: None while the outcome is unknown to the operator.
    """

    change_id: str
    edit: CellEdit
    start: float
    end: float = INFINITY
    result: ChangeResult | None = None


def check_cells(operations, changes):
    """Checks that the operations on each cell are linearizable.

    The versions in the replicated history give the order of the writes. With
    that order known, a history is linearizable if the order agrees with real
    time, each write saw the version that it expected, and each conflict saw a
    state that was present at some time between its start and its end.

    :param operations: all operations of all operators.
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
        own = [w for w in writes if (w[1].edit.row_key, w[1].edit.column) == cell]
        check_writes(own)
        conflicts = [
            op
            for op in operations
            if (op.edit.row_key, op.edit.column) == cell
            and op.result is not None
            and op.result.status is ChangeStatus.CONFLICT
        ]
        check_conflicts(conflicts, own)


def check_results(operations, versions):
    """Checks that each result says what the replicated history says."""
    for operation in operations:
        result = operation.result
        version = versions.get(operation.change_id)
        if result is None:
            continue
        if result.status is ChangeStatus.APPLIED:
            assert version == result.version, f"lost {operation}"
        else:
            assert result.status is ChangeStatus.CONFLICT and version is None


def check_writes(writes):
    """Checks expected versions and real time along the order of the writes."""
    previous = 0
    latest_start = -INFINITY
    for version, operation in writes:
        expected = operation.edit.expected_version
        assert expected in (None, previous), f"{operation} over version {previous}"
        assert operation.end >= latest_start, f"{operation} is out of order"
        latest_start = max(latest_start, operation.start)
        previous = version


def check_conflicts(conflicts, writes):
    """Checks that each conflict saw a state of its own time, in order."""
    states = {0: None} | {version: op.edit.value for version, op in writes}
    for conflict in conflicts:
        seen = conflict.result.version
        assert seen != conflict.edit.expected_version
        assert seen in states and states[seen] == conflict.result.value
        for version, write in writes:
            if version <= seen:
                assert write.start <= conflict.end, f"{conflict} saw the future"
            else:
                assert write.end >= conflict.start, f"{conflict} saw the past"
        for other in conflicts:
            if other.end < conflict.start:
                assert other.result.version <= seen, f"{conflict} went back"
