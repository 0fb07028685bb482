"""Commands must show what the server holds, and report what it refuses."""

import json
import sys
import types

import pytest

from coltsfootspar.client.main import run
from coltsfootspar.exceptions import SettingsError

SPECS = "specs GET /specs/{id}"
STATUS = {
    "node": "a-1",
    "table_version": 3,
    "is_draining": False,
    "backend": None,
    "members": {"alive": 3, "dead": 1},
    "unreachable_data_centres": ["ke-b", "ke-c"],
    "replicas": {"r1": {"role": "leader", "term": 4}, "r2": None},
}
MEMBERS = {
    "members": [
        {
            "node": f"a-{number}",
            "region": "ke-central",
            "data_centre": "ke-a",
            "service": "wallet",
            "slots": 75,
            "status": "alive" if number else "dead",
            "is_leaving": number == 2,
            "is_reachable": number > 0,
        }
        for number in range(3)
    ]
}
TRACE = {
    "spans": [
        {
            "span_id": span_id,
            "parent_span_id": parent,
            "name": f"GET /{span_id}",
            "start": start,
            "duration_ms": 5.25,
            "node": f"node-{span_id}",
            "attributes": {"outcome": "ran"},
        }
        for span_id, parent, start in (
            ("c", "b", 10.004),
            ("a", "outside", 10.0),
            ("b", "a", 10.001),
            ("d", "a", 10.003),
        )
    ]
}


@pytest.mark.parametrize(
    "command",
    [
        ["table", "show"],
        ["table", "show", "--service", "specs"],
        ["table", "show", "--json"],
        ["table", "get", SPECS],
        ["table", "get", SPECS, "weight", "--json"],
        ["table", "set", SPECS, "weight", "50"],
        ["table", "set", "bookings POST /bookings", "execution", "once"],
        ["table", "remove", SPECS],
        ["table", "export"],
        ["table", "history"],
        ["table", "watch", "--after", "2", "--count", "1"],
        ["table", "watch", "--after", "2", "--count", "1", "--json"],
        ["status"],
        ["members"],
        ["members", "--service", "specs", "--json"],
        ["drain"],
        ["trace", "4bf9"],
    ],
    ids=" ".join,
)
def test_output(client, stand_in, snapshot, command):
    stand_in.pages = {
        "/status": STATUS,
        "/members": MEMBERS,
        "/drain": {"is_draining": True, "in_progress": 7},
        "/traces/4bf9": TRACE,
    }
    code, out, err = client(*command)
    assert (code, err) == (0, "")
    assert out == snapshot


def test_watch_shows_each_changed_cell(client, stand_in, snapshot):
    stand_in.later_edits = [(SPECS, "weight", 45), (SPECS, "retries", 2)]
    code, out, _ = client("table", "watch", "--count", "2")
    assert code == 0
    assert out == snapshot


def test_set_reads_the_version_that_it_expects(client, stand_in):
    assert client("table", "set", SPECS, "weight", "50")[0] == 0
    (edit,) = stand_in.requests[-1][2]["edits"]
    assert edit["expected_version"] == 2
    assert stand_in.changes[0]["operator"] == "amina"


def test_lost_reply_is_sent_again_with_the_same_id(client, stand_in):
    """A change must be applied once, however often its reply is lost."""
    stand_in.lost_replies = 2
    code, out, _ = client("table", "set", SPECS, "weight", "50")
    assert code == 0
    assert "Table version 4." in out
    ids = {content["change_id"] for _, _, content in stand_in.requests if content}
    assert len(ids) == 1
    assert len(stand_in.changes) == 4


def test_change_whose_replies_stay_lost_can_be_resumed(client, stand_in):
    stand_in.lost_replies = 3
    code, _, err = client("table", "set", SPECS, "weight", "50")
    assert code == 4
    change_id = stand_in.changes[0]["change_id"]
    assert f"--change-id {change_id}" in err
    resumed = ["table", "set", SPECS, "weight", "50", "--change-id", change_id]
    code, out, _ = client(*resumed)
    assert (code, stand_in.table.version) == (0, 4)
    assert "Table version 4." in out


def test_conflict_shows_the_present_value(client, stand_in):
    arguments = ["table", "set", SPECS, "weight", "50", "--expect", "1"]
    code, _, err = client(*arguments)
    assert code == 3
    assert "has the value 40 at version 2" in err
    assert stand_in.table.version == 3


@pytest.mark.parametrize(
    ("status", "expected"), [(503, 5), (400, 1), (404, 1), (500, 1)]
)
def test_refused_change_has_the_exit_code_of_its_cause(
    client, stand_in, status, expected
):
    stand_in.failure = (status, {"code": "some-code", "message": "some message"})
    code, out, err = client("table", "set", SPECS, "weight", "50")
    assert (code, out) == (expected, "")
    assert err == "error: some message (some-code)\n"


def test_change_without_quorum_can_be_resumed(client, stand_in):
    content = {"code": "no-quorum", "message": "no majority", "may_have_run": True}
    stand_in.failure = (503, content)
    code, _, err = client("table", "set", SPECS, "weight", "50")
    assert code == 5
    change_id = stand_in.requests[-1][2]["change_id"]
    assert f"--change-id {change_id}" in err


def test_invalid_value_is_not_sent(client, stand_in):
    code, _, err = client("table", "set", SPECS, "weight", "many")
    assert code == 1
    assert "'many' is not a whole number from 1 to 1000" in err
    assert stand_in.requests == []


def test_unknown_row_and_missing_path_are_errors(client):
    assert client("table", "get", "specs GET /nothing")[0] == 1
    assert client("trace", "ffff")[0] == 1


def test_server_that_is_down_has_its_own_exit_code(capsys):
    # Port 1 on loopback is not in use.
    assert run(["status", "--server", "http://127.0.0.1:1"]) == 4
    assert "(not-reachable)" in capsys.readouterr().err
    assert run(["status", "--server", "ftp://example"]) == 1


def test_wrong_arguments_are_a_usage_error(capsys):
    with pytest.raises(SystemExit) as caught:
        run(["table", "set", "only a row"])
    assert caught.value.code == 2


def test_import_shows_and_sends_only_what_differs(client, stand_in, snapshot, tmp_path):
    path = tmp_path / "table.csv"
    path.write_text(f"row,weight,importance\n{SPECS},40,8\nuploads PUT /f,,2\n")
    code, out, _ = client("table", "import", str(path), "--dry-run")
    assert (code, stand_in.table.version) == (0, 3)
    assert out == snapshot(name="dry run")
    code, out, _ = client("table", "import", str(path))
    assert code == 0
    assert out == snapshot(name="sent")
    assert stand_in.table.rows[SPECS].importance == 8
    assert client("table", "import", str(path))[1] == (
        "The table has this content already.\n"
    )
    assert client("table", "import", str(tmp_path / "missing.csv"))[0] == 1


def test_exported_file_imports_without_edits(client, tmp_path):
    path = str(tmp_path / "table.csv")
    assert client("table", "export", path)[0] == 0
    code, out, _ = client("table", "import", path, "--json")
    assert (code, json.loads(out)["edits"]) == (0, [])


def test_config_check_prints_all_problems(client, monkeypatch):
    def load_settings(path):
        if path == "bad.json":
            raise SettingsError(["node.id: missing", "listen.peer: not IP:PORT"])

    module = types.ModuleType("coltsfootspar.settings")
    module.load_settings = load_settings
    monkeypatch.setitem(sys.modules, "coltsfootspar.settings", module)
    assert client("config", "check", "good.json")[:2] == (
        0,
        "good.json: no problems found.\n",
    )
    code, _, err = client("config", "check", "bad.json")
    assert code == 1
    assert err == "settings: node.id: missing\nsettings: listen.peer: not IP:PORT\n"
