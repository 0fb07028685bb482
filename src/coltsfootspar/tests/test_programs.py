"""Tests of what the daemons share."""

import gc

import pytest

from coltsfootspar.preloading import prepare_imports
from coltsfootspar.programs import run_daemon


@pytest.fixture
def restore_collections():
    threshold = gc.get_threshold()
    yield
    gc.unfreeze()
    gc.set_threshold(*threshold)
    gc.enable()


def test_garbage_is_collected_while_a_daemon_runs(restore_collections):
    """Guards against a daemon without collections, or that goes through imports."""
    states = []

    async def run():
        states.append((gc.isenabled(), gc.get_freeze_count() > 1000))
        return 0

    prepare_imports()
    assert not gc.isenabled()
    with pytest.raises(SystemExit) as stop:
        run_daemon(run)
    assert stop.value.code == 0
    assert states == [(True, True)]
