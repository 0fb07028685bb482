"""A small deployment on loopback addresses.

Starts the programs of ``deploy/system.toml`` as separate processes, with settings that
are filled into their templates as the platform does it. The platform, its backend
servers, clients and operators are stand-ins: see :mod:`standins`.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONTROL_PORT = 8306
APP_PORT = 8301
INBOUND_PORT = 8300
READY_PORT = 8302
OUTBOUND_PORT = 8304
INTERNAL_PORTS = [7620, 7635]
HEARTBEAT_S = 1.5
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
GRACE_S = 6.0
CONFIG_APPLY_S = 2.0
# Delay after which the platform starts a process again that has ended.
RESTART_DELAY_S = 0.5
NODE_MEMORY_MB = 300
REPLICA_MEMORY_MB = 296
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowS": STABLE_WINDOW_S,
    "ackS": 4,
    "catchUpS": 4,
    "drainS": DRAIN_S,
    "graceS": GRACE_S,
    "lossSlackS": 0.2,
    "configApplyS": CONFIG_APPLY_S,
    "rollbackSlackS": 0.25,
    "maxStretchS": 5,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetExtra": 49,
    "recoveryS": 15,
}
_PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
_KEPT_VARIABLES = ("PATH", "HOME", "LANG")


class CannotRunError(Exception):
    """The case could not be run on this machine."""


class Record:
    """Notes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._started_at = time.monotonic()
        self._lines = []

    def now(self):
        return time.monotonic() - self._started_at

    def add(self, text):
        self._lines.append(f"{self.now():8.3f}  {text}")

    def save(self):
        self._path.write_text("\n".join(self._lines) + "\n")


class Machine:
    """A loopback address with one process of the system.

    :param kind: ``sidecar`` or ``core``.
    :param service: service of the backend server beside a node.
    """

    def __init__(self, deployment, name, kind, ip, zone, service=""):
        self.deployment = deployment
        self.name = name
        self.kind = kind
        self.ip = ip
        self.zone = zone
        self.service = service
        self.process = None
        self.starts = 0
        self.started_at = 0.0
        self.own_ends = []
        self.is_kept_up = True
        self._watcher = None

    @property
    def role(self):
        return "node" if self.kind == "sidecar" else "replica"

    def is_in_touch(self, now):
        """Tells whether the process has run for the whole stable window."""
        return now - self.started_at >= STABLE_WINDOW_S

    async def start(self):
        path = self.deployment.folder / f"{self.name}.jsonc"
        template = self.deployment.roles[self.role]["template"]
        path.write_text(fill_template(ROOT / template, self._create_fields()))
        self.starts += 1
        environment = {
            name: os.environ[name] for name in _KEPT_VARIABLES if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["COLTSFOOTSPAR_SETTINGS"] = str(path)
        command = self.deployment.roles[self.role]["run"].split()
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_at = self.deployment.record.now()
        self.deployment.record.add(f"{self.name} ({self.role}) starts")
        self._watcher = asyncio.create_task(self._watch(self.process))

    async def _watch(self, process):
        """Starts a process that has ended by itself again, as the platform does."""
        code = await process.wait()
        record = self.deployment.record
        if self.process is not process or not self.is_kept_up:
            return
        record.add(f"{self.name} ended by itself with {code}")
        self.own_ends.append(record.now())
        await asyncio.sleep(RESTART_DELAY_S)
        if self.is_kept_up:
            await self.start()

    async def terminate(self):
        """Stops the process for good as planned: SIGTERM, and SIGKILL after a time."""
        process, self.process = self.process, None
        process.send_signal(signal.SIGTERM)
        self.deployment.record.add(f"{self.name} gets SIGTERM")
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            process.send_signal(signal.SIGKILL)
            await process.wait()
        self.deployment.record.add(f"{self.name} has ended with {process.returncode}")

    def wipe_disk(self):
        """Loses the disk of a machine whose process has ended."""
        shutil.rmtree(self.deployment.folder / f"data-{self.name}")
        self.deployment.record.add(f"{self.name} lost its disk")

    async def kill(self):
        """Kills the process; the platform does not start it again."""
        process, self.process = self.process, None
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGKILL)
        await process.wait()
        self.deployment.record.add(f"{self.name} was killed")

    def read_memory_mb(self):
        """Returns the resident memory of the process."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except (OSError, AttributeError):
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found.group(1)) / 1024 if found else 0.0

    def read_log(self):
        return self._log_path.read_text(errors="replace")

    @property
    def _log_path(self):
        return self.deployment.folder / f"{self.name}.log"

    def _create_fields(self):
        address = self.ip
        fields = {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": self.kind,
            "ip": address,
            "zone": self.zone,
            "region": "nz-north",
            "internalPortRange": INTERNAL_PORTS,
            "seeds": self.deployment.seeds,
            "bootstrap": self.kind == "sidecar" or self.starts == 0,
            "heartbeatS": HEARTBEAT_S,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "listenAddrs": {"control": f"{address}:{CONTROL_PORT}"},
        }
        if self.kind == "core":
            data = self.deployment.folder / f"data-{self.name}"
            data.mkdir(exist_ok=True)
            fields["dataDir"] = str(data)
            return fields
        fields["service"] = self.service
        fields["appAddr"] = f"{address}:{APP_PORT}"
        fields["listenAddrs"] |= {
            "inbound": f"{address}:{INBOUND_PORT}",
            "outbound": f"{address}:{OUTBOUND_PORT}",
            "readyAddr": f"{address}:{READY_PORT}",
        }
        return fields


class Deployment:
    """Three core machines, and sidecar machines with the given services.

    :param services: service of each sidecar machine; the zones take turns.
    """

    ZONES = ("akl-a", "akl-b", "hlz-a")

    def __init__(self, record, services):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self._network = network = find_free_network(3 + len(services))
        core_ips = [f"{network}.{number}" for number in (1, 2, 3)]
        self.seeds = [f"{ip}:{CONTROL_PORT}" for ip in core_ips]
        self.cores = [
            Machine(self, f"core-{zone}-1", "core", ip, zone)
            for zone, ip in zip(self.ZONES, core_ips, strict=True)
        ]
        self.sides = [
            Machine(
                self,
                f"sidecar-{number}",
                "sidecar",
                f"{network}.{10 + number}",
                self.ZONES[number % len(self.ZONES)],
                service,
            )
            for number, service in enumerate(services)
        ]

    @property
    def machines(self):
        return self.cores + self.sides

    def add_core(self, number):
        """Adds an empty core machine with a new address."""
        zone = self.ZONES[number % len(self.ZONES)]
        machine = Machine(
            self, f"core-new-{number}", "core", f"{self._network}.{3 + number}", zone
        )
        # Only the first start of the whole system has the flag bootstrap.
        machine.starts = 1
        self.cores.append(machine)
        return machine

    async def start(self):
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build first")
        await asyncio.gather(*(machine.start() for machine in self.machines))

    async def stop(self):
        """Ends all processes and removes the temporary folder."""
        for machine in self.machines:
            machine.is_kept_up = False
            process = machine.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGKILL)
                await process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"kept: {self.folder}", file=sys.stderr)


def fill_template(path, fields):
    """Fills in the placeholders of a settings template."""

    def replace(match):
        value = fields
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if match.group(2) else str(value)

    return _PLACEHOLDER.sub(replace, path.read_text())


def find_free_network(count):
    """Returns three bytes of loopback addresses on which the ports are free."""
    ports = (CONTROL_PORT, APP_PORT, INBOUND_PORT, READY_PORT, OUTBOUND_PORT)
    for _ in range(50):
        network = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
        with contextlib.suppress(OSError):
            for number in (1, 2, 3, *range(10, 10 + count)):
                for port in (*ports, *INTERNAL_PORTS):
                    with socket.socket() as sock:
                        sock.bind((f"{network}.{number}", port))
            return network
    raise CannotRunError("no free loopback addresses")


def run_case(folder, play):
    """Runs a case and ends the process with its exit code.

    :param play: coroutine function that takes the record and whether the disruption is
        played, and returns the broken rules it found.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {has_trouble}")
    try:
        problems = asyncio.run(play(record, has_trouble))
        code = 1 if problems else 0
    except (CannotRunError, OSError, TimeoutError) as error:
        problems, code = [f"could not run: {error!r}"], 2
    for problem in problems:
        record.add(f"RESULT {problem}")
    record.add(f"exit code {code}")
    record.save()
    for problem in problems:
        print(problem)
    sys.exit(code)
