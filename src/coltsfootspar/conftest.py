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


def list_known_red():
    """Lists the names of the entries in KNOWN-RED.txt."""
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text().splitlines()
    return [line.removeprefix("entry: ") for line in lines if "entry: " in line]


def pytest_collection_modifyitems(items):
    """Turns ``known_red`` into a strict expected failure that names its entry."""
    entries = list_known_red()
    for item in items:
        for marker in item.iter_markers("known_red"):
            entry = marker.args[0]
            if entry not in entries:
                raise pytest.UsageError(f"{entry!r} is not in KNOWN-RED.txt")
            reason = f"KNOWN-RED.txt: {entry}"
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))


def pytest_terminal_summary(terminalreporter):
    """Prints the entries of KNOWN-RED.txt after each run."""
    for entry in list_known_red():
        terminalreporter.write_line(f"known red: {entry}")
