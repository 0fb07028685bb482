"""Makes every test run the same way each time."""

import random
from pathlib import Path

import pytest
import trio


@pytest.fixture(autouse=True)
def seed_scheduler(monkeypatch):
    """Seeds trio's scheduler, which shuffles the tasks that can run.

    Without a seed, a test of timing or loss may pass in one run and fail in the
    next.
    """
    monkeypatch.setattr(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr(trio._core._run, "_r", random.Random(0))


def pytest_collection_modifyitems(items):
    """Turns tests marked ``known_red`` into strict expected failures.

    Their entry must be in KNOWN-RED.txt, so that no failure is hidden.
    """
    entries = _read_known_red()
    for item in items:
        for mark in item.iter_markers("known_red"):
            entry = mark.args[0]
            if entry not in entries:
                raise pytest.UsageError(f"KNOWN-RED.txt has no entry {entry!r}")
            item.add_marker(pytest.mark.xfail(strict=True, reason=entry))


def _read_known_red():
    path = Path(__file__).parents[2] / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line[1:-1] for line in lines if line.startswith("[")}
