"""A small deployment on loopback addresses: the project's programs as processes.

It has the layout of the site tfaa-mesh in small: three replicas and a few nodes in
three data centres, with the settings that the platform's templates give there.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PEER_PORT, METRICS_PORT = 7620, 7635
CONTROL_PORT, INBOUND_PORT, OUTBOUND_PORT, READY_PORT = 8306, 8300, 8304, 8302
SERVER_PORT = 8301
ZONES = ("akl-a", "akl-b", "hlz-a")
GRACE_SECONDS = 6
_EXIT_TIMEOUT_SECONDS = 10.0
_NETWORKS = range(20, 220)


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = path.open("w")
        self._start = time.monotonic()

    @property
    def now(self):
        """Time since the start, seconds."""
        return time.monotonic() - self._start

    def write(self, text):
        """Writes one line."""
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()


class Host:
    """A loopback address with one process of the project."""

    def __init__(
        self,
        address,
        role,
        zone,
        service,
        seeds,
        folder,
        record,
        *,
        is_first_start=True,
    ):
        self.address, self.role, self.zone, self.service = address, role, zone, service
        self.name = f"{role}-{address}"
        self._seeds, self._folder, self._record = seeds, folder, record
        self.process = None
        # Takes the log of the process through a pipe; None writes it into the file.
        self.collector = None
        self._is_first_start = is_first_start

    def set_seeds(self, seeds):
        """Sets the hosts that the settings name from the next start on."""
        self._seeds = [seed.address for seed in seeds]

    def start(self):
        """Starts the process with the command of the deploy file."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self._create_settings()))
        self._is_first_start = False
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "COLTSFOOTSPAR_SETTINGS": str(path),
        }
        with self._open_log() as log:
            self.process = subprocess.Popen(
                [sys.executable, "platform/start.py", self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._record.write(f"{self.name} started, zone {self.zone}")

    def start_collector(self):
        """Starts a collector for the log of the process that is started next."""
        self.collector = subprocess.Popen(
            [
                sys.executable,
                "-B",
                pathlib.Path(__file__).with_name("collector.py"),
                self._folder / f"{self.name}.log",
            ],
            stdin=subprocess.PIPE,
        )

    def _open_log(self):
        if self.collector is not None:
            return self.collector.stdin
        return (self._folder / f"{self.name}.log").open("ab")

    def kill(self):
        """Kills the process."""
        self.process.kill()
        self.process.wait()
        self._record.write(f"{self.name} killed")

    def send_signal(self, number):
        """Sends a signal to the process."""
        self.process.send_signal(number)
        self._record.write(f"{self.name} got {signal.Signals(number).name}")

    def wipe_disk(self):
        """Removes the disk of a replica that doesn't run."""
        shutil.rmtree(self._folder / f"data-{self.address}")
        self._record.write(f"{self.name} has lost its disk")

    def is_running(self):
        """Tells whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def read_log(self):
        """Returns the log of all starts."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def _create_settings(self):
        address = self.address
        is_node = self.role == "node"
        settings = {
            "id": self.name,
            "host": address,
            "region": "nz-north",
            "data_centre": self.zone,
            "seeds": [f"{seed}:{CONTROL_PORT}" for seed in self._seeds],
            "shared_key": "5f" * 16,
            "control": f"{address}:{CONTROL_PORT}",
            "peer_port": PEER_PORT,
            "gossip_port": PEER_PORT,
            "metrics_port": METRICS_PORT,
            "quota_port": METRICS_PORT,
            "host_losses": 1,
            "bounds": {
                "grace_seconds": GRACE_SECONDS,
                "repeat_ratio": 0.2,
                "repeat_extra": 49,
                "repeat_window_seconds": 10,
            },
            "limits": {
                "memory_mb": 300 if is_node else 296,
                "descriptors": 4100 if is_node else 4096,
            },
        }
        if is_node:
            return settings | {
                "service": self.service,
                "inbound": f"{address}:{INBOUND_PORT}",
                "outbound": f"{address}:{OUTBOUND_PORT}",
                "ready": f"{address}:{READY_PORT}",
            }
        return settings | {
            "data_folder": str(self._folder / f"data-{address}"),
            "is_first_start": self._is_first_start,
        }


class Deployment:
    """Three replicas, to which others may be added, and some nodes."""

    def __init__(self, folder, record, services):
        """Prepares the hosts; none is started.

        :param services: service of each node; node number i is in the zone i mod 3.
        """
        self._folder, self._record = folder, record
        self._network = network = _find_free_network()
        seeds = [f"{network}.1.{number}" for number in (1, 2, 3)]
        self.replicas = [
            Host(seed, "replica", zone, "", seeds, folder, record)
            for seed, zone in zip(seeds, ZONES, strict=True)
        ]
        self.nodes = [
            Host(
                f"{network}.2.{index + 1}",
                "node",
                ZONES[index % len(ZONES)],
                service,
                seeds,
                folder,
                record,
            )
            for index, service in enumerate(services)
        ]

    def add_replica(self, number, zone, seeds):
        """Prepares a further host for a replica, with an empty disk.

        :param number: last byte of its address.
        :param seeds: hosts that the operator's list shows.
        """
        host = Host(
            f"{self._network}.1.{number}",
            "replica",
            zone,
            "",
            [seed.address for seed in seeds],
            self._folder,
            self._record,
            is_first_start=False,
        )
        self.replicas.append(host)
        return host

    def start(self):
        """Starts all processes."""
        for host in (*self.replicas, *self.nodes):
            host.start()

    def end(self):
        """Ends all processes that are still running."""
        hosts = [host for host in (*self.nodes, *self.replicas) if host.is_running()]
        for host in hosts:
            # A stopped process ends only by this signal.
            host.process.kill()
            if host.collector is not None:
                host.collector.kill()
        for host in hosts:
            with contextlib.suppress(subprocess.TimeoutExpired):
                host.process.wait(_EXIT_TIMEOUT_SECONDS)
                if host.collector is not None:
                    host.collector.wait(_EXIT_TIMEOUT_SECONDS)


def _find_free_network():
    """Returns the first two bytes of addresses on which all ports are free."""
    for number in random.sample(_NETWORKS, 20):
        network = f"127.{number}"
        with contextlib.ExitStack() as stack:
            try:
                for host in ("1.1", "2.1"):
                    for port in (PEER_PORT, METRICS_PORT, *range(8300, 8307)):
                        sock = stack.enter_context(socket.socket())
                        sock.bind((f"{network}.{host}", port))
            except OSError:
                continue
            return network
    raise OSError("no free loopback network")


async def sleep_until(record, moment):
    """Sleeps until a moment of the record's clock, seconds."""
    await asyncio.sleep(max(0.0, moment - record.now))
