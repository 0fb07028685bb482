"""A small deployment of real processes on loopback.

For the quick start, tests and measurements; processes are stopped by id.
"""

import contextlib
import http.client
import json
import pathlib
import random
import secrets
import signal
import socket
import subprocess
import sys
import time
import uuid
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from coltsfootspar.exceptions import BenchError

__all__ = ["HostPlan", "HttpAnswer", "LocalDeployment", "create_deployment", "wait_for"]

_START_SECONDS = 60.0
_STOP_SECONDS = 60.0
_POLL_SECONDS = 0.05
_REQUEST_SECONDS = 30.0
_OK = 200
_PORTS = range(10_000, 32_000)


@attrs.frozen
class HostPlan:
    """One host: a node and its stand-in backend server.

    :param behaviours: behaviours of the stand-in; see ``bench.standin``.
    :param holds_replica: true to run the first replica in the node's process.
    """

    node_id: str
    service: str
    data_centre: str = "a"
    region: str = "local"
    slots: int = 8
    behaviours: tuple[dict[str, Any], ...] = ()
    holds_replica: bool = False


@attrs.frozen
class HttpAnswer:
    """Answer to a request; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.define(eq=False)
class LocalDeployment:
    """Processes of a deployment and their addresses.

    :param inbound: address for clients by node id.
    :param admin: admin address by node id or replica id.
    """

    folder: pathlib.Path
    replica_ids: tuple[str, ...]
    hosts: tuple[HostPlan, ...]
    node_options: dict[str, Any]
    replica_options: dict[str, Any]
    inbound: dict[str, str] = attrs.field(factory=dict)
    admin: dict[str, str] = attrs.field(factory=dict)
    processes: dict[str, subprocess.Popen] = attrs.field(factory=dict)
    _key: str = attrs.field(factory=lambda: secrets.token_hex(32))
    _ports: list[int] = attrs.field(factory=list)
    _replicas: list[dict[str, str]] = attrs.field(factory=list)
    _listeners: dict[str, dict[str, str]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._ports = _find_ports(5 * len(self.hosts) + 2 * len(self.replica_ids))
        for replica_id in self.replica_ids:
            address = self._take_address()
            self._replicas.append({"id": replica_id, "address": address})
            self.admin[replica_id] = self._take_address()
        for host in self.hosts:
            names = ("inbound", "outbound", "peer", "gossip", "admin")
            listen = {name: self._take_address() for name in names}
            self._listeners[host.node_id] = listen
            self.inbound[host.node_id] = listen["inbound"]
            self.admin[host.node_id] = listen["admin"]

    def start_all(self, *, with_stand_ins: bool = True) -> None:
        """Formats the data folders, starts all processes and waits for them.

        :param with_stand_ins: false to start no backend servers.
        :raises BenchError: when a process does not become ready.
        """
        embedded = any(host.holds_replica for host in self.hosts)
        for replica_id in self.replica_ids[1 if embedded else 0 :]:
            self._format_folder(self._write_replica_settings(replica_id))
            self.start_replica(replica_id)
        for host in self.hosts:
            if host.holds_replica:
                self._format_folder(self._write_node_settings(host))
            self.start_node(host)
        for host in self.hosts:
            self.wait_until_ready(host.node_id)
            if with_stand_ins:
                self.start_stand_in(host)

    def find_peer_address(self, name: str) -> str:
        """Returns the address of a process for other processes.

        :param name: node id or replica id.
        """
        if name in self._listeners:
            return self._listeners[name]["peer"]
        return next(r["address"] for r in self._replicas if r["id"] == name)

    def start_replica(self, replica_id: str) -> None:
        """Starts a replica on its data folder."""
        path = self._write_replica_settings(replica_id)
        self._start(replica_id, "coltsfootspar.replica.main", "run", path)

    def start_node(self, host: HostPlan) -> None:
        """Starts the node of a host."""
        path = self._write_node_settings(host)
        self._start(host.node_id, "coltsfootspar.node.main", path)

    def start_stand_in(self, host: HostPlan) -> None:
        """Starts the stand-in backend server of a host."""
        path = self.folder / f"{host.node_id}-behaviours.jsonc"
        path.write_text(json.dumps(host.behaviours))
        self._start(
            f"{host.node_id}-server",
            "coltsfootspar.bench.standin",
            host.service,
            "--node",
            self._listeners[host.node_id]["outbound"],
            "--behaviours",
            str(path),
            "--slots",
            str(host.slots),
        )

    def announce(self, host: HostPlan, port: int) -> None:
        """Announces a backend server for which no process runs."""
        content = {
            "service": host.service,
            "host": "127.0.0.1",
            "port": port,
            "slots": host.slots,
        }
        address = self._listeners[host.node_id]["outbound"]
        path = "/coltsfootspar/backend"
        self.request(address, "PUT", path, body=json.dumps(content))

    def wait_until_ready(self, name: str) -> None:
        """Waits until the admin interface of a process answers."""
        wait_for(lambda: self.get(name, "/health"), f"{name} to become ready")

    def request(self, address: str, method: str, path: str, **options) -> HttpAnswer:
        """Sends one request over a new connection.

        :raises OSError: when there is no whole answer.
        """
        host, port = address.split(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=_REQUEST_SECONDS
        )
        with contextlib.closing(connection):
            try:
                connection.request(method, path, **options)
                response = connection.getresponse()
                body = response.read()
            except http.client.HTTPException as error:
                raise OSError(f"no whole answer from {address}: {error!r}") from error
        headers = {name.lower(): value for name, value in response.getheaders()}
        return HttpAnswer(response.status, headers, body)

    def get(self, name: str, path: str) -> Any:
        """Reads JSON from the admin interface of a process.

        :raises OSError: when it does not answer with status 200.
        """
        answer = self.request(self.admin[name], "GET", path)
        if answer.status != _OK:
            raise OSError(f"GET {path} gave {answer.status}: {answer.body!r}")
        return json.loads(answer.body)

    def edit(
        self, name: str, edits: Iterable[dict[str, Any]], change_id: str | None = None
    ) -> HttpAnswer:
        """Changes the table through the admin interface of a process."""
        content = {
            "change_id": change_id or str(uuid.uuid4()),
            "operator": "bench",
            "edits": list(edits),
        }
        body = json.dumps(content)
        return self.request(self.admin[name], "POST", "/table/edits", body=body)

    def stop(self, name: str) -> int:
        """Stops a process with SIGTERM.

        :returns: its exit code.
        :raises BenchError: when it does not stop in time; it is then killed.
        """
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        try:
            return process.wait(_STOP_SECONDS)
        except subprocess.TimeoutExpired as error:
            process.kill()
            process.wait()
            raise BenchError(f"{name} did not stop in {_STOP_SECONDS:g} s") from error

    def kill(self, name: str) -> None:
        """Ends a process with SIGKILL."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop_all(self) -> dict[str, int]:
        """Stops all processes, the last started first.

        :returns: exit codes by name.
        """
        return {name: self.stop(name) for name in reversed(list(self.processes))}

    def kill_all(self) -> None:
        """Ends all processes that are left, after a failure."""
        for name in list(self.processes):
            self.kill(name)

    def read_logs(self, size: int = 3000) -> str:
        """Returns the ends of all log files.

        :param size: characters of each.
        """
        return "\n".join(
            f"--- {path.name}\n{path.read_text()[-size:]}"
            for path in sorted(self.folder.glob("*.log"))
        )

    def _take_address(self) -> str:
        return f"127.0.0.1:{self._ports.pop()}"

    def _write_replica_settings(self, replica_id: str) -> str:
        content = {
            "replica": self._describe_replica(replica_id),
            "listen": {
                "peer": self.find_peer_address(replica_id),
                "admin": self.admin[replica_id],
            },
            **self.replica_options,
        }
        return self._write_settings(replica_id, content)

    def _write_node_settings(self, host: HostPlan) -> str:
        seeds = [self._listeners[other.node_id]["gossip"] for other in self.hosts]
        content = {
            "node": {
                "id": host.node_id,
                "region": host.region,
                "data_centre": host.data_centre,
            },
            "listen": self._listeners[host.node_id],
            "seeds": seeds[:3],
            **self.node_options,
        }
        if host.holds_replica:
            content["replica"] = self._describe_replica(self.replica_ids[0])
        return self._write_settings(host.node_id, content)

    def _describe_replica(self, replica_id: str) -> dict[str, str]:
        return {"id": replica_id, "data_folder": str(self.folder / replica_id)}

    def _write_settings(self, name: str, content: dict[str, Any]) -> str:
        common = {
            "deployment": "local",
            "shared_key": self._key,
            "replicas": self._replicas,
        }
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps({**common, **content}, indent=2))
        return str(path)

    def _format_folder(self, path: str) -> None:
        module = "coltsfootspar.replica.main"
        command = [sys.executable, "-m", module, "format", path, "--new-cluster"]
        subprocess.run(command, check=True)

    def _start(self, name: str, module: str, *arguments: str) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
            )


def wait_for(
    check: Callable[[], Any], purpose: str, seconds: float = _START_SECONDS
) -> float:
    """Repeats a check until it is true; an :exc:`OSError` counts as false.

    :param purpose: for the error message.
    :returns: how long it took, seconds.
    :raises BenchError: when it stays false.
    """
    start = time.monotonic()
    while time.monotonic() - start < seconds:
        with contextlib.suppress(OSError):
            if check():
                return time.monotonic() - start
        time.sleep(_POLL_SECONDS)
    raise BenchError(f"waited {seconds:g} s for {purpose}")


def _find_ports(count: int) -> list[int]:
    """Finds free ports below those that the kernel gives to connections.

    A port of the kernel's range may be taken by a connection before the process
    that it was meant for listens on it.
    """
    found: list[int] = []
    candidates = random.SystemRandom().sample(_PORTS, len(_PORTS))
    for port in candidates:
        if len(found) == count:
            break
        if _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as item:
            try:
                item.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


@contextlib.contextmanager
def create_deployment(
    folder: pathlib.Path,
    hosts: Iterable[HostPlan],
    *,
    replicas: int = 1,
    replica_options: dict[str, Any] | None = None,
    **node_options: Any,
):
    """Creates a deployment whose processes end with the context.

    :param folder: for settings, data and logs.
    :param replicas: number of replicas.
    :param replica_options: further settings of all replicas.
    :param node_options: further settings of all nodes.
    """
    ids = tuple(f"r{number + 1}" for number in range(replicas))
    deployment = LocalDeployment(
        folder, ids, tuple(hosts), node_options, replica_options or {}
    )
    try:
        yield deployment
    finally:
        deployment.kill_all()
