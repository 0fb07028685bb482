"""A node stops serving while nobody reads its standard output.

The collector of the logs pauses for some seconds. Meanwhile the node answers requests
of two kinds: some on routes that never existed, which it logs, and some that a sound
backend server beside another node runs.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import Deployment, LogCollector, run_case  # noqa: E402
from standins import (  # noqa: E402
    BackendServer,
    Client,
    create_manifest,
    put_manifest,
    wait_until_ready,
)

HOST = "hulo84.example"
PROBES = 2
PROBE_PAUSE_S = 0.03
CLIENTS = 8
CLIENT_PAUSE_S = 0.2
SETTLING_S = 5.0
COLLECTOR_PAUSE_S = 20.0
# The timeout of the route, and how much later an answer may come.
TIMEOUT_S = 5.0
LATENESS_S = 0.5


async def play(record, has_trouble):
    deployment = Deployment(record, ["huvo11a", "wuno96b"])
    caller, other = deployment.sides
    caller.collector = LogCollector()
    server = BackendServer(other, record, "i-00000001")
    tasks, answers = [], []
    try:
        await deployment.start()
        routes = [(HOST, "/puka111/", "safe", "wuno96b")]
        await put_manifest(deployment, create_manifest(2, 0, routes))
        await server.start()
        await wait_until_ready(deployment.sides)
        await asyncio.sleep(SETTLING_S)
        for number in range(PROBES):
            tasks.append(asyncio.create_task(send_probes(number, caller, record)))
        for number in range(CLIENTS):
            client = send_requests(f"c{number}", caller, record, answers)
            tasks.append(asyncio.create_task(client))
        if has_trouble:
            record.add(f"the logs of {caller.name} are not read any more")
            caller.collector.pause()
        await asyncio.sleep(COLLECTOR_PAUSE_S)
        return find_unanswered(record, answers)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await server.stop()
        await deployment.stop()


async def send_probes(number, machine, record):
    """Sends requests on routes that never existed; the node answers them with 404."""
    client = Client(machine, record)
    count = 0
    try:
        while True:
            count += 1
            await client.send(f"p{number}-{count}", HOST, f"/none{count}/")
            await asyncio.sleep(PROBE_PAUSE_S)
    finally:
        client.close()


async def send_requests(name, machine, record, answers):
    """Sends requests and notes how long each took, and whether it was answered."""
    client = Client(machine, record)
    number = 0
    try:
        while True:
            number += 1
            request_id = f"{name}-{number}"
            started_at = record.now()
            answer = await client.send(request_id, HOST, f"/puka111/{request_id}")
            answers.append((request_id, answer.status, record.now() - started_at))
            await asyncio.sleep(CLIENT_PAUSE_S)
    finally:
        client.close()


def find_unanswered(record, answers):
    """Compares the requests that were open at the timeout with those that stay so."""
    open_at_timeout = [entry for entry in answers if entry[2] >= TIMEOUT_S]
    unanswered = [
        request_id
        for request_id, status, seconds in open_at_timeout
        if not status or seconds > TIMEOUT_S + LATENESS_S
    ]
    record.add(
        f"{len(answers)} requests, {len(open_at_timeout)} open at the timeout, "
        f"{len(unanswered)} of these later, too"
    )
    if not open_at_timeout or len(unanswered) * 2 <= len(open_at_timeout):
        return []
    return [
        f"CONFIG: of {len(open_at_timeout)} requests that were unanswered at their "
        f"route's timeout of {TIMEOUT_S:g} s, {len(unanswered)} had no answer "
        f"{LATENESS_S:g} s later: {', '.join(unanswered[:8])}"
    ]


run_case(FOLDER, play)
