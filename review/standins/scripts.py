"""The frame of a script: folder, record, time limit, exit code."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import traceback

import deployment

TIME_LIMIT_SECONDS = 110
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Deployed:
    """What a case gets: the deployment and the record."""

    def __init__(self, folder, record, services):
        self.folder, self.record = folder, record
        self.system = deployment.Deployment(folder, record, services)


def run_case(case_folder, services, play):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param services: service of each node.
    :param play: coroutine function that returns the breaks it has seen, one line each.
    """
    # Ends the processes of the deployment, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = deployment.Record(pathlib.Path(case_folder) / "record.txt")
    record.write(f"trouble: {'yes' if HAS_TROUBLE else 'no'}")
    code = 2
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
        deployed = Deployed(pathlib.Path(folder), record, services)
        try:
            breaks = asyncio.run(_play(deployed, play))
            for text in breaks:
                record.write(f"broken: {text}")
                print(f"broken: {text}")
            code = 1 if breaks else 0
        except Exception as error:
            traceback.print_exc()
            record.write(f"the case could not run: {error!r}")
        finally:
            deployed.system.end()
            if os.environ.get("KEEP_LOGS"):
                logs = pathlib.Path(os.environ["KEEP_LOGS"])
                logs.mkdir(exist_ok=True)
                for host in (*deployed.system.nodes, *deployed.system.replicas):
                    (logs / f"{host.name}.log").write_text(host.read_log())
    record.write(f"exit {code}")
    sys.exit(code)


async def _play(deployed, play):
    try:
        async with asyncio.timeout(TIME_LIMIT_SECONDS):
            return await play(deployed)
    finally:
        # Connections end before the loop does.
        deployed.system.end()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
