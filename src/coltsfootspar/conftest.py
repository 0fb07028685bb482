"""Makes every test run the same way each time."""

import random

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
