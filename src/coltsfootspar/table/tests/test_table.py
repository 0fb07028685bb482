"""Guards against edits that are applied in part, lost updates and wrong matches."""

import pytest

from coltsfootspar.exceptions import CellError, ConflictError, TableError
from coltsfootspar.table import (
    CellEdit,
    RowRemoval,
    apply_edits,
    check_edits,
    create_matcher,
    create_table,
    export_csv,
    import_csv,
    parse_row_key,
)
from coltsfootspar.table.rows import create_row

SPECS = "specs GET /specs/{id}"


def create_sample_table():
    return create_table([create_row(parse_row_key(SPECS), 3)], version=3)


@pytest.mark.parametrize(
    ("column", "value"),
    [
        ("weight", "0"),
        ("weight", "1001"),
        ("weight", "ten"),
        ("weight", 2.5),
        ("weight", True),
        ("execution", "twice"),
        ("rate_limit", "nan"),
        ("rate_limit", "inf"),
        ("deadline_ms", "9"),
    ],
)
def test_error_for_an_invalid_value_names_row_column_value_and_range(column, value):
    with pytest.raises(CellError) as caught:
        check_edits((CellEdit(SPECS, column, value),))
    message = str(caught.value)
    assert SPECS in message and column in message and repr(value) in message
    assert "from" in message or "one of" in message


@pytest.mark.parametrize("key", ["specs", "Specs GET /", "specs get /", "specs GET x"])
def test_malformed_row_key_is_rejected(key):
    with pytest.raises(TableError):
        check_edits((CellEdit(key, "weight", 1),))


def test_stale_version_is_a_conflict_with_the_current_value_and_changes_nothing():
    table = create_sample_table()
    first = apply_edits(table, (CellEdit(SPECS, "weight", 20, 3),), 4)
    edits = (CellEdit(SPECS, "retries", 1, 3), CellEdit(SPECS, "weight", 30, 3))
    with pytest.raises(ConflictError) as caught:
        apply_edits(first, edits, 5)
    assert (caught.value.value, caught.value.version) == (20, 4)
    assert first.rows[SPECS].retries == 3


def test_one_change_can_create_a_row_and_set_several_cells():
    edits = (
        CellEdit("uploads POST /photos", "weight", 5, 0),
        CellEdit("uploads POST /photos", "importance", 2, 0),
    )
    row = apply_edits(create_sample_table(), edits, 4).rows["uploads POST /photos"]
    assert (row.weight, row.importance) == (5, 2)


def test_removal_with_a_stale_version_is_a_conflict():
    table = apply_edits(create_sample_table(), (CellEdit(SPECS, "weight", 20, 3),), 4)
    with pytest.raises(ConflictError):
        apply_edits(table, (RowRemoval(SPECS, 3),), 5)
    assert not apply_edits(table, (RowRemoval(SPECS, 4),), 5).rows


def test_most_specific_row_matches():
    keys = ["a * /*", "a GET /x/{id}", "a GET /x/new", "a GET /x/{id}/photos"]
    table = create_table([create_row(parse_row_key(key)) for key in keys])
    matcher = create_matcher(table)
    matched_rows = [
        matcher.find("a", method, path)
        for method, path in [
            ("GET", "/x/7?full=1"),
            ("GET", "/x/new"),
            ("GET", "/x/7/photos"),
            ("POST", "/x/7"),
        ]
    ]
    assert [row.name for row in matched_rows] == [keys[1], keys[2], keys[3], keys[0]]
    assert matcher.find("b", "GET", "/x") is None


def test_import_of_an_exported_table_yields_no_edits():
    table = create_sample_table()
    assert import_csv(export_csv(table), table) == ()


def test_imported_edit_expects_the_version_of_the_current_cell():
    table = create_sample_table()
    edits = import_csv(f"row,weight\n{SPECS},11\n", table)
    assert edits == (CellEdit(SPECS, "weight", 11, 3),)
