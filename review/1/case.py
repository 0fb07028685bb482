"""Hundreds of changes of a manifest that has grown end all replicas for good.

The manifest grows by many routes, three times; then it changes in quick succession. At
the end all processes of the core are killed at the same moment, and start again. A
process that uses more than its memory is killed and started again, as the platform
does it. Then the operator reads the manifest back.
"""

import asyncio
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import (  # noqa: E402
    REPLICA_MEMORY_MB,
    RESTART_DELAY_S,
    Deployment,
    run_case,
)
from standins import (  # noqa: E402
    call_control,
    create_manifest,
    put_manifest,
    wait_until_ready,
)

HOST = "hulo84.example"
SERVICE = "huvo11a"
FIRST_ROUTES = 8
# Routes that each growth adds, and how often the manifest grows.
GROWTH_ROUTES = 350
GROWTHS = 3
CHANGES = 350
CHANGE_GAP_S = 0.08
# Length of a quick succession, and the pause after it.
STORM_S = 2.0
STORM_PAUSE_S = 0.5
CHANGING_S = 70.0
# The operator reads for longer than the recovery time.
READING_S = 20.0
MEMORY_CHECK_S = 0.02


async def play(record, has_trouble):
    deployment = Deployment(record, [SERVICE])
    watcher = None
    try:
        await deployment.start()
        watcher = asyncio.create_task(enforce_memory(deployment))
        routes = create_routes(FIRST_ROUTES)
        version = 2
        await put_manifest(deployment, create_manifest(version, 0, routes))
        await wait_until_ready(deployment.sides)
        for _ in range(GROWTHS if has_trouble else 0):
            routes = create_routes(len(routes) + GROWTH_ROUTES)
            await put_manifest(
                deployment, create_manifest(version + 1, version, routes)
            )
            version += 1
        version = await change_often(deployment, routes, version)
        await restart_all(deployment)
        return await read_back(deployment, version)
    finally:
        if watcher is not None:
            watcher.cancel()
        await deployment.stop()


def create_routes(count):
    return [(HOST, f"/leny{number}/", "safe", SERVICE) for number in range(count)]


async def enforce_memory(deployment):
    """Kills each process that uses more memory than it may, as the platform does."""
    peaks = dict.fromkeys(deployment.cores, 0.0)
    while True:
        for machine in deployment.cores:
            used = machine.read_memory_mb()
            if used > peaks[machine] + 20:
                peaks[machine] = used
                deployment.record.add(f"{machine.name} uses {used:.0f} MB")
            if used > REPLICA_MEMORY_MB:
                deployment.record.add(
                    f"{machine.name} uses {used:.0f} MB, more than its "
                    f"{REPLICA_MEMORY_MB}: killed"
                )
                process = machine.process
                process.send_signal(signal.SIGKILL)
                await process.wait()
                peaks[machine] = 0.0
        await asyncio.sleep(MEMORY_CHECK_S)


async def change_often(deployment, routes, version):
    """Changes one timeout after the other; returns the newest acknowledged version."""
    record = deployment.record
    ends_at = time.monotonic() + CHANGING_S
    storm_ends_at = time.monotonic() + STORM_S
    for number in range(CHANGES):
        if time.monotonic() > ends_at or any(m.own_ends for m in deployment.cores):
            break
        manifest = create_manifest(version + 1, version, routes)
        rules = manifest["listeners"][0]["rules"]
        rules[number % len(rules)]["action"]["timeoutS"] = 4 + number / 1000
        body = json.dumps(manifest, separators=(",", ":")).encode()
        started_at = time.monotonic()
        if not await put_once(deployment, body):
            break
        version += 1
        if number % 50 == 0:
            record.add(f"change {number}: r{version}, {len(body)} bytes, acknowledged")
        await asyncio.sleep(max(0, started_at + CHANGE_GAP_S - time.monotonic()))
        if time.monotonic() > storm_ends_at:
            await asyncio.sleep(STORM_PAUSE_S)
            storm_ends_at = time.monotonic() + STORM_S
    record.add(f"newest acknowledged version: r{version}")
    return version


async def restart_all(deployment):
    """Kills all processes of the core at the same moment and starts them again."""
    await asyncio.gather(*(machine.kill() for machine in deployment.cores))
    await asyncio.sleep(RESTART_DELAY_S)
    await asyncio.gather(*(machine.start() for machine in deployment.cores))


async def put_once(deployment, body):
    """Sends a change to one replica after the other until one acknowledges it."""
    for core in deployment.cores * 2:
        status, _ = await call_control(core, "config.put", body, patience_s=2.0)
        if status == 200:
            return True
    return False


async def read_back(deployment, version):
    """Reads the manifest until it comes; returns the problems."""
    record = deployment.record
    ends_at = time.monotonic() + READING_S
    while time.monotonic() < ends_at:
        for core in deployment.cores:
            status, body = await call_control(core, "config.get", {}, patience_s=2.0)
            if status == 200:
                read = int(json.loads(body)["version"][1:])
                record.add(f"read back from {core.name}: r{read}")
                if read >= version:
                    return []
        await asyncio.sleep(0.2)
    ends = {machine.name: len(machine.own_ends) for machine in deployment.cores}
    return [
        f"CONFIG: r{version} was acknowledged and doesn't come back within "
        f"{READING_S:g} s; processes ended over their memory: {ends}"
    ]


run_case(FOLDER, play)
