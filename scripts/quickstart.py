"""Runs a small deployment on loopback and shows what it does."""

import argparse
import collections
import concurrent.futures
import pathlib
import secrets
import subprocess
import sys
import tempfile
import uuid

from coltsfootspar.bench.deployment import (
    HostPlan,
    LocalDeployment,
    create_deployment,
    wait_for,
)

BURST_REQUESTS = 400
BURST_THREADS = 40
UPLOAD_BYTES = 1_500_000
SUMMARIES = "wallet GET /summaries/{id}"
LIMIT = 5.0
TABLE = """row,importance,deadline_ms,retries,execution,rate_limit
wallet GET /balances/{id},6,2000,3,idempotent,0
wallet GET /summaries/{id},2,2000,1,idempotent,0
wallet POST /payouts,9,4000,2,once,0
ledger GET /entries/{id},6,1000,1,idempotent,0
"""
ENTRY_CALL = ("ledger GET /entries/1",)
WALLET = (
    {"prefix": "/summaries", "service_ms": 5, "calls": ENTRY_CALL},
    {"prefix": "/balances", "service_ms": 2, "calls": ENTRY_CALL},
    {"prefix": "/payouts", "service_ms": 2, "echo": True},
)
LEDGER = ({"prefix": "/entries", "service_ms": 1},)


def run_client(deployment: LocalDeployment, *arguments: str) -> None:
    """Runs the operators' client and prints what it prints."""
    print(f"$ coltsfootspar {' '.join(arguments)}")
    server = f"http://{deployment.admin['wallet-1']}"
    command = [sys.executable, "-m", "coltsfootspar.client.main", *arguments]
    result = subprocess.run(
        [*command, "--server", server], check=True, capture_output=True, text=True
    )
    print(result.stdout)


def send_burst(deployment: LocalDeployment) -> collections.Counter:
    """Sends balances and summaries and counts the answers by row and status."""
    address = deployment.inbound["ledger-1"]

    def send(number: int) -> tuple[str, int]:
        row = "summaries" if number % 2 else "balances"
        headers = {"Host": "wallet"}
        answer = deployment.request(address, "GET", f"/{row}/7", headers=headers)
        return row, answer.status

    with concurrent.futures.ThreadPoolExecutor(BURST_THREADS) as pool:
        return collections.Counter(pool.map(send, range(BURST_REQUESTS)))


def show_counts(title: str, counts: collections.Counter) -> None:
    """Prints admitted and refused requests of each row."""
    print(title)
    for row in ("balances", "summaries"):
        admitted = counts[row, 200]
        total = sum(number for (name, _), number in counts.items() if name == row)
        refused = total - admitted
        print(f"  wallet GET /{row}/{{id}}: admitted {admitted}, refused {refused}")


def show_payout(deployment: LocalDeployment) -> None:
    """Sends one payout twice under one key and compares the answers."""
    body = secrets.token_bytes(UPLOAD_BYTES // 10)
    headers = {"Host": "wallet", "Idempotency-Key": str(uuid.uuid4())}
    answers = [
        deployment.request(
            deployment.inbound[node], "POST", "/payouts", body=body, headers=headers
        )
        for node in ("ledger-1", "wallet-1")
    ]
    same = answers[0].body == answers[1].body == body
    print(f"Payout sent twice under one key: {[a.status for a in answers]}", end=", ")
    print(f"the same whole answer: {same}")
    if not same:
        raise SystemExit("the second answer differs")


def show_trace(deployment: LocalDeployment) -> None:
    """Sends one traced request and prints its spans."""
    trace_id = secrets.token_hex(16)
    headers = {"Host": "wallet", "traceparent": f"00-{trace_id}-{'1' * 16}-01"}
    deployment.request(
        deployment.inbound["ledger-1"], "GET", "/balances/7", headers=headers
    )
    run_client(deployment, "trace", trace_id)


def is_limit_in_force(deployment: LocalDeployment) -> bool:
    """Tells whether all nodes have the edited cell."""
    for name in ("wallet-1", "ledger-1"):
        rows = deployment.get(name, "/table")["rows"]
        cells = {row["row"]: row["cells"] for row in rows}
        if cells[SUMMARIES]["rate_limit"]["value"] != LIMIT:
            return False
    return True


def is_served(deployment: LocalDeployment) -> bool:
    """Tells whether a request comes through all hops."""
    address = deployment.inbound["ledger-1"]
    headers = {"Host": "wallet"}
    return (
        deployment.request(address, "GET", "/balances/7", headers=headers).status == 200
    )


def run_demonstration(deployment: LocalDeployment) -> None:
    """Shows the table, an edit and its effect, a payout and a trace."""
    deployment.start_all()
    path = deployment.folder / "table.csv"
    path.write_text(TABLE)
    run_client(deployment, "table", "import", str(path))
    wait_for(lambda: is_served(deployment), "the first whole answer")
    run_client(deployment, "members")
    before = send_burst(deployment)
    show_counts("Before the edit:", before)
    run_client(deployment, "table", "set", SUMMARIES, "rate_limit", str(LIMIT))
    seconds = wait_for(lambda: is_limit_in_force(deployment), "the edit")
    print(f"In force at both nodes {seconds:.2f} s after the client returned.")
    after = send_burst(deployment)
    show_counts("After the edit:", after)
    show_payout(deployment)
    show_trace(deployment)
    if after["summaries", 200] >= before["summaries", 200]:
        raise SystemExit("the edit had no effect")


def main() -> None:
    """Runs the demonstration and stops all processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--single", action="store_true", help="put the replica into a node's process"
    )
    is_single = parser.parse_args().single
    hosts = (
        HostPlan("wallet-1", "wallet", behaviours=WALLET, holds_replica=is_single),
        HostPlan("ledger-1", "ledger", behaviours=LEDGER),
    )
    with (
        tempfile.TemporaryDirectory(prefix="coltsfootspar-") as folder,
        create_deployment(pathlib.Path(folder), hosts) as deployment,
    ):
        try:
            run_demonstration(deployment)
        except BaseException:
            print(deployment.read_logs(), file=sys.stderr)
            raise
        codes = deployment.stop_all()
    print(f"Exit codes: {codes}")
    if any(codes.values()):
        raise SystemExit("a process did not stop cleanly")
    print("All stopped cleanly.")


if __name__ == "__main__":
    main()
