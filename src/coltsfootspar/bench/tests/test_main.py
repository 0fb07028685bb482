"""The commands must accept the documented arguments and print their JSON."""

import json

import pytest

from coltsfootspar.bench.main import main
from coltsfootspar.bench.tests.conftest import SMALL

KEYS = {
    "goodput_ratio",
    "recovery_seconds",
    "crest_goodput_ratio",
    "short_row_p99_ratio",
    "slowed_tail_ratio",
    "wasted_work_ratio",
    "max_attempts_per_request",
    "broken_invariants",
}


@pytest.fixture
def scenario_file(tmp_path):
    path = tmp_path / "small.jsonc"
    path.write_text("// Comments are allowed.\n" + SMALL)
    return str(path)


@pytest.mark.parametrize("policy", ["baseline", "coltsfootspar"])
def test_run_prints_the_measures_of_one_policy(scenario_file, capsys, policy):
    main(["run", scenario_file, "--policy", policy, "--seed", "3", "--json"])
    printed = json.loads(capsys.readouterr().out)
    assert printed.keys() == {"scenario", "seed", policy}
    assert printed["seed"] == 3
    assert printed[policy].keys() == KEYS


def test_compare_prints_both_policies_and_plots(scenario_file, capsys, tmp_path):
    plot = tmp_path / "plot.png"
    main(["compare", scenario_file, "--json", "--plot", str(plot)])
    printed = json.loads(capsys.readouterr().out)
    assert printed["baseline"].keys() == printed["coltsfootspar"].keys() == KEYS
    assert plot.read_bytes().startswith(b"\x89PNG")


def test_faulty_scenario_ends_with_its_code(tmp_path, capsys):
    path = tmp_path / "faulty.jsonc"
    path.write_text("{}")
    with pytest.raises(SystemExit) as caught:
        main(["run", str(path)])
    assert caught.value.code == 1
    assert capsys.readouterr().err.startswith("scenario: ")
