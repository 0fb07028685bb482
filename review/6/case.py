"""A host whose settings name two seeds doesn't take up the seat on its disk."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import deployment
import messages
import operators
import scripts

SETTLED_SECONDS = 7.0
STABLE_WINDOW_SECONDS = 3.0
RECOVERY_SECONDS = 15.0
READ_SECONDS = 15.0
CHANGE_SECONDS = 8.0
# SEEDS=3 plays the same with a list that still shows the first host.
HAS_THREE_SEEDS = os.environ.get("SEEDS", "2") == "3"
# Moments after the end of the first host, seconds.
SUCCESSOR_AT = 2.0
KILL_AT = 2.4
# The operator's list lags by 3 s: it no longer shows the first host, and not yet its
# successor.
BACK_AT = 3.1


async def play(deployed):
    system, record = deployed.system, deployed.record
    system.start()
    upstream = messages.Upstream(system.nodes[0], record, 1)
    await upstream.start()
    reports = asyncio.create_task(upstream.report())
    operator = operators.Operator(deployed)
    if not await operator.change():
        raise RuntimeError("the first manifest was not acknowledged")
    await asyncio.sleep(SETTLED_SECONDS)
    if not await operator.change():
        raise RuntimeError("the second manifest was not acknowledged")

    first, second, third = system.replicas
    if scripts.HAS_TROUBLE:
        start = record.now
        first.kill()
        await deployment.sleep_until(record, start + SUCCESSOR_AT)
        fourth = system.add_replica(4, first.zone, [first, second, third])
        fourth.start()
        await deployment.sleep_until(record, start + KILL_AT)
        core = (second, third, fourth)
        listed = [first, second, third] if HAS_THREE_SEEDS else [second, third]
        for host in core:
            host.kill()
        await deployment.sleep_until(record, start + BACK_AT)
        for host in core:
            host.set_seeds(listed)
            host.start()
        record.write("all hosts are back")
        await asyncio.sleep(RECOVERY_SECONDS + STABLE_WINDOW_SECONDS)
    reports.cancel()
    breaks = await operator.check_read_back(READ_SECONDS)
    record.write(
        f"a further change acknowledged: {await operator.change(CHANGE_SECONDS)}"
    )
    return breaks


scripts.run_case(pathlib.Path(__file__).parent, ("specs",), play)
