"""Deterministic task order, and an option for the number of generated schedules."""

import pytest

from coltsfootspar.replication.tests.harness import fix_task_order

CI_SEEDS = 200


def pytest_addoption(parser):
    parser.addoption(
        "--seeds",
        type=int,
        default=CI_SEEDS,
        help="number of generated schedules; needs the path of these tests as argument",
    )


def pytest_generate_tests(metafunc):
    if "seed" in metafunc.fixturenames:
        seeds = metafunc.config.getoption("--seeds", CI_SEEDS)
        metafunc.parametrize("seed", range(seeds))


@pytest.fixture(autouse=True)
def task_order(monkeypatch, request):
    fix_task_order(monkeypatch, request.node.name)
