"""A core machine is replaced as planned, and another one loses its disk afterwards.

The empty successor starts first. Once it has had its time to catch up, the machine with
the leader is stopped for good. Some time after its end, another core machine loses
power and its disk right after it has acknowledged a change, and comes back. At the end
the operator reads the manifest.
"""

import asyncio
import json
import pathlib
import re
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import RESTART_DELAY_S, Deployment, run_case  # noqa: E402
from standins import (  # noqa: E402
    call_control,
    create_manifest,
    put_manifest,
    wait_until_ready,
)

ROUTES = [("hulo84.example", "/leny950/", "safe", "huvo11a")]
SETTLING_S = 5.0
# Time that a new machine has to catch up; its predecessor is stopped after it.
CATCH_UP_S = 4.0
# Time from the end of the predecessor to the loss of the disk.
LOSS_DELAY_S = 2.0
READING_S = 30.0


async def play(record, has_trouble):
    deployment = Deployment(record, ["huvo11a"])
    try:
        await deployment.start()
        await put_manifest(deployment, create_manifest(2, 0, ROUTES))
        await wait_until_ready(deployment.sides)
        await asyncio.sleep(SETTLING_S)
        leader = find_leader(deployment)
        record.add(f"{leader.name} leads")
        successor = deployment.add_core(1)
        await successor.start()
        await asyncio.sleep(CATCH_UP_S)
        deployment.cores.remove(leader)
        await leader.terminate()
        await asyncio.sleep(LOSS_DELAY_S)
        acknowledging = await put_manifest(deployment, create_manifest(3, 2, ROUTES))
        if has_trouble:
            await lose_disk(acknowledging)
        return await read_back(deployment, 3)
    finally:
        await deployment.stop()


def find_leader(deployment):
    """Returns the machine whose log tells last that it leads."""
    terms = {
        max(map(int, re.findall(r"leads in (\d+)", machine.read_log())), default=0): (
            machine
        )
        for machine in deployment.cores
    }
    return terms[max(terms)]


async def lose_disk(machine):
    await machine.kill()
    machine.wipe_disk()
    await asyncio.sleep(RESTART_DELAY_S)
    await machine.start()


async def read_back(deployment, version):
    """Reads the manifest until it comes; returns the problems."""
    record = deployment.record
    ends_at = time.monotonic() + READING_S
    while time.monotonic() < ends_at:
        for core in deployment.cores:
            status, body = await call_control(core, "config.get", {}, patience_s=2.0)
            record.add(f"manifest read from {core.name}: {status}")
            if status == 200 and json.loads(body)["version"] == f"r{version}":
                return []
        await asyncio.sleep(0.5)
    return [
        f"CONFIG: r{version} was acknowledged and doesn't come back within "
        f"{READING_S:g} s"
    ]


run_case(FOLDER, play)
