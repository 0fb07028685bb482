"""The shipped examples must stay complete and valid."""

import collections
import pathlib

import pytest

from coltsfootspar.settings import load_node_settings, load_replica_settings
from coltsfootspar.table import Execution, apply_edits, create_table, import_csv

EXAMPLES = pathlib.Path(__file__).parents[4] / "examples"
UPSTREAMS = {
    "kikapu": {"wallet": 4, "payouts": 4, "receipts": 4, "insights": 4},
    "association": {"specs": 5, "certs": 3, "uploads": 3, "bookings": 3},
}
CONNECTIONS = {
    "wallet": 550,
    "payouts": 550,
    "receipts": 550,
    "insights": 230,
    "specs": 530,
    "certs": 600,
    "uploads": 600,
    "bookings": 400,
}


@pytest.mark.parametrize("name", UPSTREAMS)
def test_all_hosts_have_valid_settings_of_their_own(name):
    nodes = [
        load_node_settings(str(path))
        for path in sorted((EXAMPLES / name / "nodes").glob("*.jsonc"))
    ]
    replicas = [
        load_replica_settings(str(path))
        for path in sorted((EXAMPLES / name / "replicas").glob("*.jsonc"))
    ]
    services = [node.node.id.rpartition("-")[0] for node in nodes]
    assert collections.Counter(services) == UPSTREAMS[name]
    addresses = [node.listen.peer for node in nodes]
    addresses += [replica.listen.peer for replica in replicas]
    assert len(set(addresses)) == len(addresses)
    for node, service in zip(nodes, services, strict=True):
        assert node.backend.connections == CONNECTIONS[service]
        assert {member.address for member in node.replicas} == {
            replica.listen.peer for replica in replicas
        }


@pytest.mark.parametrize("name", UPSTREAMS)
def test_loss_of_a_data_centre_leaves_a_majority_of_replicas(name):
    paths = (EXAMPLES / name / "replicas").glob("*.jsonc")
    places = [load_replica_settings(str(path)).replica.data_centre for path in paths]
    largest = max(collections.Counter(places).values())
    assert len(places) - largest > len(places) / 2


@pytest.mark.parametrize("name", UPSTREAMS)
def test_table_puts_the_rows_of_the_promise_first(name):
    text = (EXAMPLES / name / "table.csv").read_text()
    table = apply_edits(create_table(), import_csv(text, create_table()), 1)
    once = {
        "payouts POST /reimbursements",
        "certs POST /certificates",
        "bookings POST /bookings",
    }
    last = {
        "specs GET /specs/{vehicle}",
        "payouts POST /reimbursements",
        "certs POST /certificates",
    }
    for row in table.rows.values():
        assert (row.execution is Execution.ONCE) == (row.name in once)
        assert (row.importance == 9) == (row.name in last)
