"""Makes every test run the same way each time and accounts for known failures."""

import pathlib
import random

import pytest
import trio

from coltsfootspar.logs import decisions

_KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"


@pytest.fixture(autouse=True)
def seed_scheduler(monkeypatch):
    """Seeds trio's scheduler, which shuffles the tasks that can run.

    Without a seed, a test of timing or loss may pass in one run and fail in the
    next.
    """
    monkeypatch.setattr(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr(trio._core._run, "_r", random.Random(0))


@pytest.fixture(autouse=True)
def renew_log_budget(monkeypatch):
    """Gives each test all lines of decisions.

    The tests before it in the same process may have used them up.
    """
    monkeypatch.setattr(decisions, "_budget", decisions._Budget())


def read_known_red():
    """Reads the entries of KNOWN-RED.txt.

    :returns: names, each with the id of the only test that it stands for; empty if the
        line of the entry holds none.
    """
    if not _KNOWN_RED.exists():
        return {}
    lines = _KNOWN_RED.read_text().splitlines()
    entries = [line.removeprefix("entry: ") for line in lines if "entry: " in line]
    split = [entry.partition("; ") for entry in entries]
    return {name: rest.partition(": ")[0] for name, _, rest in split}


def find_known_red(item, entries):
    """Finds the entries of a test: those that its marks name, and that with its id."""
    marked = [marker.args[0] for marker in item.iter_markers("known_red")]
    for entry in marked:
        if entry not in entries:
            raise pytest.UsageError(f"{entry!r} is not in KNOWN-RED.txt")
    test_id = item.nodeid.rpartition("/")[2]
    return marked + [name for name, test in entries.items() if test == test_id]


def pytest_collection_modifyitems(items):
    """Turns the tests of entries into strict expected failures that name them."""
    entries = read_known_red()
    for item in items:
        for entry in find_known_red(item, entries):
            reason = f"KNOWN-RED.txt: {entry}"
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))


def pytest_terminal_summary(terminalreporter):
    """Prints the entries of KNOWN-RED.txt after each run."""
    for entry in read_known_red():
        terminalreporter.write_line(f"known red: {entry}")
