"""Cost of control on idle nodes and under changes of the table."""

import json
import pathlib
import tempfile
import time

import attrs

from coltsfootspar.bench.capacity.usage import read_loopback_bytes, read_usage
from coltsfootspar.bench.deployment import (
    HostPlan,
    LocalDeployment,
    create_deployment,
    wait_for,
)

__all__ = ["ControlPoint", "measure_control"]

_DATA_CENTRES = 4
_ROWS = 50
_SETTLE_SECONDS = 8.0
_NODES_PER_SERVICE = 4
_UNUSED_PORT = 9
_EDIT_PAUSE_SECONDS = 0.3


@attrs.frozen
class ControlPoint:
    """Control of one deployment size.

    :param nodes: nodes in the deployment, with three replicas.
    :param idle_cpu_percent: mean over the nodes, percent of a core.
    :param changing_cpu_percent: the same while the table is edited.
    :param memory_mb: mean resident memory of a node, megabytes.
    :param idle_bytes: bytes a second for each node, sent and received, TCP and
        IP headers included.
    :param replica_cpu_percent: mean over the replicas while the table is edited.
    :param replica_memory_mb: mean resident memory of a replica, megabytes.
    :param edits_per_second: rate of edits while changing.
    :param in_force_seconds: time from sending an edit until it was in force at
        the last node, one value for each edit.
    """

    nodes: int
    idle_cpu_percent: float
    changing_cpu_percent: float
    memory_mb: float
    idle_bytes: float
    replica_cpu_percent: float
    replica_memory_mb: float
    edits_per_second: float
    in_force_seconds: tuple[float, ...]


def measure_control(nodes: int, seconds: float, edits: int) -> ControlPoint:
    """Measures idle nodes for a time and then a number of edits.

    :param nodes: how many nodes to start.
    :param seconds: time of the idle part.
    :param edits: number of edits, one at a time.
    """
    hosts = [
        HostPlan(
            f"n{number}",
            f"s{number // _NODES_PER_SERVICE}",
            data_centre=f"d{number % _DATA_CENTRES}",
        )
        for number in range(nodes)
    ]
    with (
        tempfile.TemporaryDirectory(prefix="coltsfootspar-") as folder,
        create_deployment(pathlib.Path(folder), hosts, replicas=3) as deployment,
    ):
        deployment.start_all(with_stand_ins=False)
        for host in hosts:
            deployment.announce(host, _UNUSED_PORT)
        wait_for(lambda: _fill_table(deployment), "the table")
        wait_for(lambda: _is_converged(deployment), "all members", 120)
        time.sleep(_SETTLE_SECONDS)
        return _measure(deployment, seconds, edits)


def _fill_table(deployment: LocalDeployment) -> bool:
    edits = [
        {"row": f"s{number} GET /{{id}}", "column": "importance", "value": 5}
        for number in range(_ROWS)
    ]
    return deployment.edit("r1", edits).status == 200


def _is_converged(deployment: LocalDeployment) -> bool:
    for host in deployment.hosts:
        members = deployment.get(host.node_id, "/members")["members"]
        if sum(m["status"] == "alive" for m in members) < len(deployment.hosts):
            return False
    return True


def _measure(deployment: LocalDeployment, seconds: float, edits: int) -> ControlPoint:
    count = len(deployment.hosts)
    nodes = [deployment.processes[host.node_id].pid for host in deployment.hosts]
    replicas = [deployment.processes[name].pid for name in deployment.replica_ids]
    before, sent = read_usage(nodes), read_loopback_bytes()
    time.sleep(seconds)
    idle, sent = read_usage(nodes), read_loopback_bytes() - sent
    replica_before, start = read_usage(replicas), time.monotonic()
    delays = [_measure_edit(deployment, number) for number in range(edits)]
    elapsed = time.monotonic() - start
    changing, replica_after = read_usage(nodes), read_usage(replicas)
    replica_cpu = replica_after.cpu_seconds - replica_before.cpu_seconds
    idle_cpu = idle.cpu_seconds - before.cpu_seconds
    changing_cpu = changing.cpu_seconds - idle.cpu_seconds
    return ControlPoint(
        nodes=count,
        idle_cpu_percent=100 * idle_cpu / seconds / count,
        changing_cpu_percent=100 * changing_cpu / elapsed / count,
        memory_mb=changing.memory_mb / count,
        # Each byte is sent by one process and received by another.
        idle_bytes=2 * sent / seconds / count,
        replica_cpu_percent=100 * replica_cpu / elapsed / len(replicas),
        replica_memory_mb=replica_after.memory_mb / len(replicas),
        edits_per_second=edits / elapsed,
        in_force_seconds=tuple(delays),
    )


def _measure_edit(deployment: LocalDeployment, number: int) -> float:
    edit = {"row": "s0 GET /{id}", "column": "weight", "value": 1 + number % 1000}
    start = time.time()
    answer = _send_edit(deployment, edit)
    applied: dict[str, float] = {}

    def check() -> bool:
        for host in deployment.hosts:
            if host.node_id not in applied:
                health = deployment.get(host.node_id, "/health")
                if health["table_version"] < answer:
                    return False
                applied[host.node_id] = health["table_applied_at"]
        return True

    wait_for(check, "the edit at all nodes")
    time.sleep(_EDIT_PAUSE_SECONDS)
    return max(applied.values()) - start


def _send_edit(deployment: LocalDeployment, edit: dict) -> int:
    answer = deployment.edit("r1", [edit])
    if answer.status != 200:
        raise OSError(f"edit gave {answer.status}: {answer.body!r}")
    return json.loads(answer.body)["version"]
