"""Tests of reloading the settings file while the process runs."""

import json
import os
import random

import pytest
import trio

from coltsfootspar.exceptions import SettingsError
from coltsfootspar.fleet.reloading import CHECK_PERIOD_SECONDS, open_settings
from coltsfootspar.settings.fleet import load_fleet_replica_settings
from coltsfootspar.timers import create_timer_service
from coltsfootspar.wire import Address

CONTENT = {
    "id": "core-1",
    "host": "127.0.0.1",
    "region": "r",
    "data_centre": "a",
    "seeds": ["127.0.0.1:8306"],
    "shared_key": "5f" * 16,
    "control": "127.0.0.1:8306",
    "peer_port": 7620,
    "gossip_port": 7620,
    "metrics_port": 7621,
    "data_folder": "data",
    "is_first_start": True,
}


@pytest.fixture
def write(tmp_path):
    path = tmp_path / "settings.jsonc"

    def write(**changes) -> str:
        path.write_text(json.dumps({**CONTENT, **changes}))
        # Two writes may get the same modification time from the file system.
        stamp = path.stat().st_mtime_ns + len(changes)
        os.utime(path, ns=(stamp, stamp))
        return str(path)

    return write


def test_seeds_are_reloaded_and_ports_need_a_restart(write):
    """Guards against a process that keeps the seeds of its first start."""
    file = open_settings(write(), load_fleet_replica_settings)
    seen = []
    file.on_change = seen.append
    write(seeds=["127.0.0.2:8306"], metrics_port=9999)
    file.reload()
    assert seen == [file.settings]
    assert file.settings.seeds == (Address("127.0.0.2", 8306),)
    assert file.settings.metrics_port == CONTENT["metrics_port"]


def test_invalid_settings_are_not_applied(write, tmp_path):
    """Guards against a running process that exits on an invalid or missing file."""
    file = open_settings(write(), load_fleet_replica_settings)
    seen = []
    file.on_change = seen.append
    write(peer_port="none")
    file.reload()
    write(log_level="loud")
    file.reload()
    (tmp_path / "settings.jsonc").unlink()
    file.reload()
    assert seen == []
    assert file.settings.peer_port == CONTENT["peer_port"]


def test_settings_nested_too_deep_are_not_applied(write, tmp_path):
    """Guards against a reload that ends the process and the requests in progress."""
    file = open_settings(write(), load_fleet_replica_settings)
    (tmp_path / "settings.jsonc").write_text("[" * 200_000)
    file.reload()
    assert file.settings.peer_port == CONTENT["peer_port"]


def test_invalid_settings_at_start(write):
    """Guards against a process that starts with invalid settings."""
    with pytest.raises(SettingsError):
        open_settings(write(seeds=1), load_fleet_replica_settings)


async def test_change_without_sighup(write, autojump_clock):
    """Guards against a change that is missed because no SIGHUP was sent."""
    file = open_settings(write(), load_fleet_replica_settings)
    timers = create_timer_service(random.Random(1))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timers.run)
        nursery.start_soon(file.poll, timers)
        await trio.sleep(2 * CHECK_PERIOD_SECONDS)
        write(seeds=["127.0.0.3:8306"])
        await trio.sleep(2 * CHECK_PERIOD_SECONDS)
        assert file.settings.seeds == (Address("127.0.0.3", 8306),)
        nursery.cancel_scope.cancel()


def test_bounds_of_cut_off_nodes_are_read_and_optional(write):
    """Guards against settings of earlier deployments that a new version refuses."""
    bounds = load_fleet_replica_settings(write()).bounds
    assert (bounds.revocation_seconds, bounds.stops_when_cut_off) == (5.0, False)
    content = {"revocation_seconds": 7, "stops_when_cut_off": True}
    bounds = load_fleet_replica_settings(write(bounds=content)).bounds
    assert (bounds.revocation_seconds, bounds.stops_when_cut_off) == (7.0, True)
    with pytest.raises(SettingsError):
        load_fleet_replica_settings(write(bounds={"revocation_seconds": 0}))
