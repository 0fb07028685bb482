"""A node that was killed uses a backend server again that had deregistered.

The node acknowledges that its backend server leaves, and is killed. It starts again
while the server still serves what it had begun. A status report that the server had
sent before it deregistered arrives late.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import DRAIN_S, RESTART_DELAY_S, Deployment, run_case  # noqa: E402
from standins import (  # noqa: E402
    BackendServer,
    Client,
    create_manifest,
    put_manifest,
    wait_until_ready,
)

HOST = "hulo84.example"
CLIENTS = 4
PAUSE_S = 0.05
SETTLING_S = 5.0
# The report is on its way for this time, and until its node serves again.
REPORT_DELAY_S = 2.0
# Time for which the leaving server still serves.
LINGERING_S = 9.0


async def play(record, has_trouble):
    deployment = Deployment(record, ["huvo11a", "huvo11a", "wuno96b", "wuno96b"])
    # The first and the last machine are in one zone.
    left, _, _, caller = deployment.sides
    servers = [
        BackendServer(machine, record, f"i-{number:08x}")
        for number, machine in enumerate(deployment.sides, 1)
    ]
    clients = []
    try:
        await deployment.start()
        routes = [(HOST, "/leny950/", "safe", "huvo11a")]
        await put_manifest(deployment, create_manifest(2, 0, routes))
        for server in servers:
            await server.start()
        await wait_until_ready(deployment.sides)
        clients = [
            asyncio.create_task(send_requests(f"c{number}", caller, record))
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(SETTLING_S)
        await leave(record, left, servers[0], has_trouble)
        return find_late_runs(record, left, servers[0])
    finally:
        for client in clients:
            client.cancel()
        for server in servers:
            await server.stop()
        await deployment.stop()


async def leave(record, machine, server, has_trouble):
    """Lets the server leave while its node is killed and a report is late."""
    server.stop_reports()
    report = server.create_report()
    record.add(f"report {report['sequence']} of {server.instance_id} is sent")
    sent_at = record.now()
    await asyncio.sleep(0.1)
    await server.depart()
    if has_trouble:
        await machine.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        await machine.start()
    await asyncio.sleep(max(0, sent_at + REPORT_DELAY_S - record.now()))
    await wait_until_ready([machine])
    await server.send_report(report)
    await asyncio.sleep(server.acked_departure_at + LINGERING_S - record.now())


def find_late_runs(record, machine, server):
    """Lists the runs later than the drain time, at a node in touch."""
    late_from = server.acked_departure_at + DRAIN_S
    late = [
        request_id
        for request_id, began_at in server.runs
        if began_at > late_from and machine.is_in_touch(began_at)
    ]
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests ran at {server.instance_id} later than "
        f"{DRAIN_S:g} s after its departure was acknowledged, sent on by machines in "
        f"touch: {', '.join(late[:5])} ..."
    ]


async def send_requests(name, machine, record):
    client = Client(machine, record)
    number = 0
    try:
        while True:
            number += 1
            request_id = f"{name}-{number}"
            await client.send(request_id, HOST, f"/leny950/{request_id}")
            await asyncio.sleep(PAUSE_S)
    finally:
        client.close()


run_case(FOLDER, play)
