"""Runs a small deployment on loopback and shows what it does."""

import argparse
import collections
import concurrent.futures
import contextlib
import http.client
import json
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid

START_SECONDS = 20
STOP_SECONDS = 20
BURST_REQUESTS = 400
BURST_THREADS = 40
TABLE = """row,importance,deadline_ms,retries,execution,rate_limit
wallet GET /balances/{id},6,2000,3,idempotent,0
wallet GET /summaries/{id},2,2000,1,idempotent,0
payouts POST /payouts,9,4000,2,once,0
ledger GET /entries/{id},6,1000,1,idempotent,0
"""
BEHAVIOURS = {
    "wallet": [
        {"prefix": "/summaries", "service_ms": 5, "calls": ["ledger GET /entries/1"]},
        {"prefix": "/balances", "service_ms": 2, "calls": ["ledger GET /entries/1"]},
    ],
    "ledger": [{"prefix": "/entries", "service_ms": 1}],
}


class Deployment:
    """Processes of the deployment and their addresses."""

    def __init__(self, folder: pathlib.Path, is_single: bool):
        self.folder = folder
        self.is_single = is_single
        self.key = secrets.token_hex(32)
        self.processes: list[tuple[str, subprocess.Popen]] = []
        self.ports = find_ports(20)
        self.replica = self.take_address()
        self.gossip = {name: self.take_address() for name in ("wallet", "ledger")}
        self.inbound: dict[str, str] = {}
        self.admin: dict[str, str] = {}
        self.outbound: dict[str, str] = {}

    def take_address(self) -> str:
        return f"127.0.0.1:{self.ports.pop()}"

    def start_all(self) -> None:
        if not self.is_single:
            self.start_replica()
        self.start_node("wallet", holds_replica=self.is_single)
        self.start_node("ledger", holds_replica=False)
        for service in ("wallet", "ledger"):
            wait_for(lambda service=service: get(self.admin[service], "/health"))
            self.start_stand_in(service)

    def write_settings(self, name: str, content: dict) -> str:
        common = {
            "deployment": "quickstart",
            "shared_key": self.key,
            "replicas": [{"id": "r1", "address": self.replica}],
        }
        path = self.folder / f"{name}.jsonc"
        text = json.dumps({**common, **content}, indent=2)
        path.write_text(f"// Written by scripts/quickstart\n{text}\n")
        return str(path)

    def start_replica(self) -> None:
        content = {
            "replica": {"id": "r1", "data_folder": str(self.folder / "r1")},
            "listen": {"peer": self.replica, "admin": self.take_address()},
        }
        path = self.write_settings("replica", content)
        self.format_folder(path)
        self.start("replica", ["coltsfootspar.replica.main", "run", path])

    def start_node(self, service: str, *, holds_replica: bool) -> None:
        listen = {
            name: self.take_address()
            for name in ("inbound", "outbound", "peer", "admin")
        }
        listen["gossip"] = self.gossip[service]
        content = {
            "node": {"id": f"{service}-1", "region": "local", "data_centre": "a"},
            "listen": listen,
            "seeds": list(self.gossip.values()),
        }
        if holds_replica:
            data = str(self.folder / "r1")
            content["replica"] = {"id": "r1", "data_folder": data}
        path = self.write_settings(f"node-{service}", content)
        if holds_replica:
            self.format_folder(path)
        self.inbound[service] = listen["inbound"]
        self.admin[service] = listen["admin"]
        self.outbound[service] = listen["outbound"]
        self.start(f"node {service}", ["coltsfootspar.node.main", path])

    def start_stand_in(self, service: str) -> None:
        path = self.folder / f"behaviours-{service}.jsonc"
        path.write_text(json.dumps(BEHAVIOURS[service]))
        arguments = ["coltsfootspar.bench.standin", service]
        arguments += ["--node", self.outbound[service], "--behaviours", str(path)]
        self.start(f"stand-in {service}", [*arguments, "--slots", "8"])

    def format_folder(self, path: str) -> None:
        module = "coltsfootspar.replica.main"
        arguments = [sys.executable, "-m", module, "format", path, "--new-cluster"]
        subprocess.run(arguments, check=True)

    def start(self, name: str, arguments: list[str]) -> None:
        log = (self.folder / f"{name.replace(' ', '-')}.log").open("wb")
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments], stdout=log, stderr=log
        )
        self.processes.append((name, process))

    def stop_all(self) -> bool:
        """Stops all processes, callers first; true when all exited with 0."""
        is_clean = True
        for name, process in reversed(self.processes):
            process.send_signal(signal.SIGTERM)
            try:
                code = process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                code = process.wait()
            print(f"  {name}: exit code {code}")
            is_clean &= code == 0
        self.processes.clear()
        return is_clean


def find_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]


def request(address: str, method: str, path: str, **options) -> tuple[int, dict, bytes]:
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    try:
        connection.request(method, path, **options)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def get(address: str, path: str) -> dict:
    status, _, body = request(address, "GET", path)
    if status != 200:
        raise OSError(f"GET {path} gave {status}: {body.decode()}")
    return json.loads(body)


def wait_for(check) -> None:
    deadline = time.monotonic() + START_SECONDS
    while True:
        try:
            if check():
                return
        except OSError:
            pass
        if time.monotonic() > deadline:
            raise SystemExit("the deployment did not become ready")
        time.sleep(0.1)


def run_client(deployment: Deployment, *arguments: str) -> str:
    command = [sys.executable, "-m", "coltsfootspar.client.main", *arguments]
    server = f"http://{deployment.admin['wallet']}"
    print(f"$ coltsfootspar {' '.join(arguments)}")
    result = subprocess.run(
        [*command, "--server", server], check=True, capture_output=True, text=True
    )
    return result.stdout


def send_burst(address: str) -> collections.Counter:
    """Sends balances and summaries and counts the answers by row and status."""

    def send(number: int) -> tuple[str, int]:
        path = "/summaries/7" if number % 2 else "/balances/7"
        status, _, _ = request(address, "GET", path, headers={"Host": "wallet"})
        return path.split("/")[1], status

    with concurrent.futures.ThreadPoolExecutor(BURST_THREADS) as pool:
        return collections.Counter(pool.map(send, range(BURST_REQUESTS)))


def show_counts(counts: collections.Counter) -> None:
    for row in ("balances", "summaries"):
        admitted = counts[row, 200]
        refused = sum(n for (name, status), n in counts.items() if name == row)
        refused -= admitted
        print(f"  wallet GET /{row}/{{id}}: admitted {admitted}, refused {refused}")


def show_large_request(address: str) -> None:
    body = secrets.token_bytes(1_500_000)
    headers = {"Host": "payouts", "Idempotency-Key": str(uuid.uuid4())}
    status, answer, _ = request(address, "POST", "/payouts", body=body, headers=headers)
    print(f"POST to a service without a backend server: {status}", end=", ")
    print(f"outcome {answer.get('coltsfootspar-outcome')}")


def show_trace(deployment: Deployment, address: str) -> None:
    trace_id = secrets.token_hex(16)
    headers = {"Host": "wallet", "traceparent": f"00-{trace_id}-{'1' * 16}-01"}
    request(address, "GET", "/balances/7", headers=headers)
    print(run_client(deployment, "trace", trace_id))


def run_demonstration(deployment: Deployment) -> bool:
    deployment.start_all()
    entry = deployment.inbound["ledger"]
    table = deployment.folder / "table.csv"
    table.write_text(TABLE)
    print(run_client(deployment, "table", "import", str(table)))
    wait_for(
        lambda: (
            request(entry, "GET", "/balances/7", headers={"Host": "wallet"})[0] == 200
        )
    )
    print(run_client(deployment, "members"))
    print("Before the edit:")
    before = send_burst(entry)
    show_counts(before)
    row = "wallet GET /summaries/{id}"
    print(run_client(deployment, "table", "set", row, "rate_limit", "5"))
    wait_for(lambda: has_limit(deployment, row))
    print("After the edit:")
    after = send_burst(entry)
    show_counts(after)
    show_large_request(entry)
    show_trace(deployment, entry)
    return after["summaries", 200] < before["summaries", 200]


def has_limit(deployment: Deployment, name: str) -> bool:
    for address in deployment.admin.values():
        rows = {row["row"]: row["cells"] for row in get(address, "/table")["rows"]}
        if rows[name]["rate_limit"]["value"] != 5:
            return False
    return True


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--single", action="store_true", help="put the replica into a node's process"
    )
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="coltsfootspar-") as folder:
        deployment = Deployment(pathlib.Path(folder), arguments.single)
        has_effect = False
        try:
            has_effect = run_demonstration(deployment)
        finally:
            if not has_effect:
                for path in sorted(pathlib.Path(folder).glob("*.log")):
                    print(
                        f"--- {path.name}\n{path.read_text()[-3000:]}", file=sys.stderr
                    )
            print("Stopping:")
            is_clean = deployment.stop_all()
    if not has_effect:
        raise SystemExit("the edit had no effect")
    if not is_clean:
        raise SystemExit("a process did not stop cleanly")
    print("All stopped cleanly.")


if __name__ == "__main__":
    main()
