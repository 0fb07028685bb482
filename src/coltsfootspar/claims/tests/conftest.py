"""Makes the order of trio tasks reproducible, seeded with the name of the test."""

import pytest

from coltsfootspar.replication.tests.harness import fix_task_order


@pytest.fixture(autouse=True)
def task_order(monkeypatch, request):
    fix_task_order(monkeypatch, request.node.name)
