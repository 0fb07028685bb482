"""Real processes and files: kills, restarts and drains."""

import collections
import itertools
import secrets
import threading

import pytest

from coltsfootspar.bench.deployment import HostPlan, create_deployment, wait_for

ROW = "specs GET /specs/{id}"
ECHO = ({"prefix": "/", "service_ms": 5, "echo": True},)
ROWS = [
    {"row": ROW, "column": "retries", "value": 3, "expected_version": 0},
    {"row": "specs POST /echo", "column": "importance", "value": 5},
]


@pytest.fixture
def start(tmp_path):
    """Starts deployments whose processes end with the test."""
    contexts = []

    def start_deployment(hosts, **options):
        context = create_deployment(tmp_path, hosts, **options)
        deployment = context.__enter__()
        contexts.append(context)
        deployment.start_all()
        return deployment

    yield start_deployment
    for context in contexts:
        context.__exit__(None, None, None)


def find_leader(deployment):
    for replica_id in deployment.replica_ids:
        if replica_id in deployment.processes:
            replicas = deployment.get(replica_id, "/status")["replicas"]
            for name, status in replicas.items():
                is_alive = name in deployment.processes
                if is_alive and status and status["role"] == "leader":
                    return name
    return None


def try_edit(deployment, name, value):
    edit = {"row": ROW, "column": "weight", "value": value}
    try:
        answer = deployment.edit(name, [edit])
    except OSError:
        return False
    return answer.status == 200


def read_weights(deployment, name):
    changes = deployment.get(name, "/table/history?limit=1000")["changes"]
    return [edit["value"] for change in changes for edit in change["edits"]]


def test_acknowledged_edits_survive_the_kill_of_leaders_and_a_restart_of_all(start):
    """Guards against acknowledged edits that are lost with a process."""
    deployment = start([HostPlan("specs-1", "specs", behaviours=ECHO)], replicas=3)
    wait_for(lambda: try_edit(deployment, "specs-1", 1000), "a leader")
    acknowledged = []
    for value in range(1, 61):
        if value in (15, 35):
            leader = wait_for_leader(deployment)
            deployment.kill(leader)
            deployment.start_replica(leader)
        name = itertools.cycle(("specs-1", *deployment.replica_ids))
        if any(try_edit(deployment, next(name), value) for _ in range(4)):
            acknowledged.append(value)
    assert len(acknowledged) > 50
    for replica_id in deployment.replica_ids:
        deployment.kill(replica_id)
    for replica_id in deployment.replica_ids:
        deployment.start_replica(replica_id)
        deployment.wait_until_ready(replica_id)
    wait_for_leader(deployment)
    assert try_edit(deployment, "specs-1", 999)
    wait_for(lambda: 999 in read_weights(deployment, "r1"), "the last edit")
    found = read_weights(deployment, "r1")
    assert [value for value in acknowledged if value not in found] == []
    wait_for(
        lambda: get_weight(deployment, "specs-1") == 999, "the last edit at the node"
    )


def wait_for_leader(deployment):
    wait_for(lambda: find_leader(deployment), "a leader")
    return find_leader(deployment)


def get_weight(deployment, name):
    rows = {row["row"]: row["cells"] for row in deployment.get(name, "/table")["rows"]}
    return rows[ROW]["weight"]["value"]


def start_three_hosts(start):
    hosts = [HostPlan(f"specs-{number}", "specs", behaviours=ECHO) for number in (1, 2)]
    deployment = start([HostPlan("entry", "front"), *hosts])
    wait_for(lambda: deployment.edit("entry", ROWS).status == 200, "a leader")
    wait_for(lambda: count_servers(deployment) == 2, "both servers at the entry")
    wait_for(lambda: ask_specs(deployment).status == 200, "the first answer")
    return deployment


def count_servers(deployment):
    members = deployment.get("entry", "/members")["members"]
    return sum(member["service"] == "specs" for member in members)


def ask_specs(deployment):
    headers = {"Host": "specs"}
    address = deployment.inbound["entry"]
    return deployment.request(address, "GET", "/specs/1", headers=headers)


def test_body_of_more_than_a_megabyte_returns_byte_for_byte(start):
    deployment = start_three_hosts(start)
    body = secrets.token_bytes(1_500_000)
    answer = deployment.request(
        deployment.inbound["entry"],
        "POST",
        "/echo",
        body=body,
        headers={"Host": "specs"},
    )
    assert answer.status == 200
    assert answer.body == body


def test_drain_under_load_cuts_no_request(start):
    """Guards against requests lost in a planned stop of a node and its server."""
    deployment = start_three_hosts(start)
    stop = threading.Event()
    answers = []

    def send():
        while not stop.is_set():
            try:
                answer = ask_specs(deployment)
                error = answer.headers.get("coltsfootspar-error", "")
                answers.append((answer.status, error, answer.body[:100]))
            except OSError as error:
                answers.append((0, repr(error), b""))

    threads = [threading.Thread(target=send) for _ in range(4)]
    for thread in threads:
        thread.start()
    try:
        wait_for(lambda: len(answers) > 50, "load")
        codes = [deployment.stop("specs-1"), deployment.stop("specs-1-server")]
        count = len(answers)
        wait_for(lambda: len(answers) > count + 50, "load after the stop")
    finally:
        stop.set()
        for thread in threads:
            thread.join()
    assert codes == [0, 0]
    assert collections.Counter(a for a in answers if a[0] != 200) == {}
