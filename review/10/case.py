"""A server's acknowledged departure is forgotten, and it is in use again."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import deployment
import messages
import scripts

ROUTES = (("specs", "safe", "specs", 1.2),)
DRAIN_SECONDS = 2.0
STABLE_WINDOW_SECONDS = 3.0
CALM_SECONDS = 4.0
# Moments after the kill of the core, seconds.
LEAVING_AT = 0.2
CORE_BACK_AT = 0.3
NODE_KILL_AT = 1.0
NODE_BACK_AT = 1.6
LATE_REPORT_AT = 4.0
IN_TOUCH_AT = 7.0
END_AT = 12.0
PERIOD_SECONDS = 0.05
DEADLINE_SECONDS = 6.0


async def play(deployed):
    system, record = deployed.system, deployed.record
    system.start()
    upstreams = [
        messages.Upstream(node, record, number)
        for number, node in enumerate(system.nodes)
    ]
    for upstream in upstreams:
        await upstream.start()
    reports = [asyncio.create_task(upstream.report()) for upstream in upstreams]
    manifest = messages.create_manifest(1, 0, ROUTES)
    await messages.put_manifest(record, system.replicas, manifest)
    await messages.wait_until_ready(record, system.nodes)
    await asyncio.sleep(CALM_SECONDS)

    calls = asyncio.create_task(call_all(deployed))
    await asyncio.sleep(1.0)
    start = record.now
    leaving, node = upstreams[0], system.nodes[0]
    # Sent before the notice of departure, and late on its way.
    late_report = leaving.create_report()
    leaving.is_reporting = False
    if scripts.HAS_TROUBLE:
        for replica in system.replicas:
            replica.kill()
    await deployment.sleep_until(record, start + LEAVING_AT)
    answer = await leaving.deregister()
    acknowledged_at = record.now
    record.write(f"departure of {leaving.instance_id}: {describe(answer)}")
    if not (isinstance(answer, messages.Message) and answer.status == 200):
        raise RuntimeError("the departure was not acknowledged")
    if scripts.HAS_TROUBLE:
        await deployment.sleep_until(record, start + CORE_BACK_AT)
        for replica in system.replicas:
            replica.start()
        await deployment.sleep_until(record, start + NODE_KILL_AT)
        node.kill()
        await deployment.sleep_until(record, start + NODE_BACK_AT)
        node.start()
    await deployment.sleep_until(record, start + LATE_REPORT_AT)
    answer = await leaving.send_report(late_report)
    record.write(f"late report of {leaving.instance_id}: {describe(answer)}")
    await deployment.sleep_until(record, start + END_AT)
    calls.cancel()
    for task in reports:
        task.cancel()

    from_moment = max(start + IN_TOUCH_AT, acknowledged_at + DRAIN_SECONDS)
    runs = [run for run in leaving.runs if run[0] > from_moment]
    record.write(
        f"{leaving.instance_id} got {len(runs)} requests later than "
        f"{from_moment - acknowledged_at:.1f} s after the acknowledgement"
    )
    if not runs:
        return []
    first, last = (run[0] - acknowledged_at for run in (runs[0], runs[-1]))
    return [
        f"DRAIN: {len(runs)} requests reached {leaving.instance_id} from {first:.1f} s "
        f"to {last:.1f} s after its departure was acknowledged"
    ]


async def call_all(deployed):
    """Sends requests to all nodes that run, in turn, until it is cancelled."""
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            node = deployed.system.nodes[number % len(deployed.system.nodes)]
            if node.is_running():
                group.create_task(
                    messages.send_request(
                        deployed.record,
                        node,
                        "/specs/1",
                        f"a{number:04d}",
                        DEADLINE_SECONDS,
                    )
                )
            number += 1
            await asyncio.sleep(PERIOD_SECONDS)


def describe(answer):
    """Returns a text for the record."""
    return f"status {answer.status}" if isinstance(answer, messages.Message) else answer


scripts.run_case(pathlib.Path(__file__).parent, ("specs",) * 5, play)
