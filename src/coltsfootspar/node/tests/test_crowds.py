"""Crowds of clients that nobody controls, at a node of the product.

They guard against clients that end a process by what it holds for them.
"""

import contextlib
import resource
import ssl

import attrs
import pytest
import trio
import trustme

from coltsfootspar.bench.deployment import HostPlan, create_deployment, wait_for
from coltsfootspar.testing.crowds import (
    Crowd,
    CrowdKind,
    count_descriptors,
    hold_silent,
    lock_machine,
    read_peak_memory,
    send_ordinary,
)
from coltsfootspar.testing.oddcrowds import (
    LineShape,
    OddCrowd,
    OddKind,
    create_lines,
)
from coltsfootspar.wire import parse_address

_HOST = HostPlan(
    "specs-1",
    "specs",
    behaviours=(
        {"prefix": "/specs/echo", "service_ms": 50, "echo": True},
        {"prefix": "/", "service_ms": 50},
    ),
    holds_replica=True,
)
# Addresses that crowds press.
_INBOUND, _NODE_ADMIN, _REPLICA_ADMIN = "inbound", "node-admin", "replica-admin"
_NODE_PEER, _REPLICA_PEER = "node-peer", "replica-peer"
_REPLICA_DOORS = (_REPLICA_ADMIN, _REPLICA_PEER)
_ROWS = [{"row": "specs POST /specs/{id}", "column": "importance", "value": 5}]
# The crowd and the bounds. A process without clients takes about 75 MB.
MEMORY_MB = 160
DESCRIPTORS = 300
CLIENTS = 80
BODY_BYTES = 2_000_000
ODD_CLIENTS = 240
SILENT_CLIENTS = 600
# Connections that stop in the handshake of TLS, and descriptors with as many.
TLS_CLIENTS = 2_000
TLS_DESCRIPTORS = 2_400
# Nodes of another service, each with such a crowd.
OTHER_NODES = 6
_HEAD = b"POST /specs/1 HTTP/1.1\r\nHost: specs\r\n"
_ECHO_HEAD = b"POST /specs/echo HTTP/1.1\r\nHost: specs\r\n"
_EDIT_HEAD = b"POST /table/edits HTTP/1.1\r\nHost: specs\r\n"
_ORDINARY = _HEAD + b"Connection: close\r\nContent-Length: 5\r\n\r\nhello"
_HEALTH = b"GET /health HTTP/1.1\r\nHost: specs\r\nConnection: close\r\n\r\n"
# Bodies of these kinds reach an address that limits them late, if at all.
_ADMIN_KINDS = (
    CrowdKind.SHORT,
    CrowdKind.SHORT_LARGE_CHUNKS,
    CrowdKind.OVER_ANNOUNCED,
    CrowdKind.OVER_SENT,
)


@pytest.fixture(autouse=True)
def only_crowd():
    with lock_machine():
        yield


@pytest.fixture
def door():
    """Address that a crowd presses, unless the test has it as a parameter."""
    return _INBOUND


@contextlib.contextmanager
def _open_deployment(folder, hosts, **options):
    limits = {"body_bytes": 4_000_000, "memory_mb": MEMORY_MB}
    replica_options = {"limits": {"memory_mb": MEMORY_MB}}
    with create_deployment(
        folder, hosts, replica_options=replica_options, limits=limits, **options
    ) as deployment:
        deployment.start_all()
        wait_for(
            lambda: deployment.edit(_HOST.node_id, _ROWS).status == 200, "a leader"
        )
        wait_for(lambda: _is_served(deployment), "the first answer", 20.0)
        yield deployment


@pytest.fixture
def deployment(tmp_path, door):
    # A replica that is pressed has a process of its own.
    host = attrs.evolve(_HOST, holds_replica=door not in _REPLICA_DOORS)
    with _open_deployment(tmp_path, [host]) as deployment:
        yield deployment


def _is_served(deployment) -> bool:
    address = deployment.inbound[_HOST.node_id]
    headers = {"Host": "specs"}
    answer = deployment.request(address, "POST", "/specs/1", headers=headers)
    return answer.status == 200


@pytest.mark.crowd
@pytest.mark.parametrize("kind", CrowdKind, ids=lambda kind: kind.value)
async def test_crowd_of_large_bodies_leaves_the_process_alive(deployment, kind):
    head = _ECHO_HEAD if kind is CrowdKind.ANSWER_UNREAD else _HEAD
    await _press(deployment, Crowd(kind, head, CLIENTS, BODY_BYTES))


@pytest.mark.crowd
@pytest.mark.parametrize("kind", OddKind)
async def test_crowd_of_odd_requests_leaves_the_process_alive(deployment, kind):
    await _press(deployment, _create_odd_crowd((kind,), _HEAD))


@pytest.mark.crowd
async def test_crowds_inside_another_leave_the_process_alive(deployment):
    await _press(deployment, _create_odd_crowd(tuple(OddKind), _HEAD))


@pytest.mark.crowd
@pytest.mark.parametrize("door", (_NODE_ADMIN, _REPLICA_ADMIN))
@pytest.mark.parametrize("kind", _ADMIN_KINDS, ids=lambda kind: kind.value)
async def test_crowd_at_the_admin_address_leaves_the_process_alive(
    deployment, door, kind
):
    """Guards against bodies that the interface for operators holds."""
    await _press(deployment, Crowd(kind, _EDIT_HEAD, CLIENTS, BODY_BYTES), door)


@pytest.mark.crowd
@pytest.mark.parametrize("door", (_NODE_ADMIN, _REPLICA_ADMIN))
async def test_odd_crowds_at_the_admin_address_leave_the_process_alive(
    deployment, door
):
    """Guards against heads and connections that the interface for operators holds."""
    await _press(deployment, _create_odd_crowd(tuple(OddKind), _EDIT_HEAD), door)


@pytest.mark.crowd
async def test_head_of_many_lines_is_served_in_calm(deployment):
    """Guards against a limit on lines that heads within the limit on bytes meet."""
    address = parse_address(deployment.inbound[_HOST.node_id])
    for shape in LineShape:
        data = _HEAD + create_lines(shape) + b"Connection: close\r\n"
        answer = await send_ordinary(address, data + b"Content-Length: 0\r\n\r\n")
        assert b" 200 " in answer[:20], (shape, answer[:200])


@pytest.mark.crowd
async def test_crowds_at_other_nodes_leave_the_process_alive(tmp_path):
    """Guards against large bodies that many nodes send to the node of one server."""
    others = [
        HostPlan(f"other-{i}", "other", behaviours=({"prefix": "/"},))
        for i in range(OTHER_NODES)
    ]
    with _open_deployment(tmp_path, [_HOST, *others]) as deployment:
        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as starts:
                for other in others:
                    address = parse_address(deployment.inbound[other.node_id])
                    kind = CrowdKind.ANSWER_UNREAD
                    crowd = Crowd(kind, _ECHO_HEAD, CLIENTS, BODY_BYTES)
                    starts.start_soon(nursery.start, crowd.press, address)
            await _check(deployment, _HOST.node_id)
            nursery.cancel_scope.cancel()


def _write_certificate(folder) -> dict[str, str]:
    """Writes a certificate, and returns the settings that name it."""
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    paths = {name: folder / name for name in ("certificate", "key", "authority")}
    authority.cert_pem.write_to_path(paths["authority"])
    certificate.private_key_pem.write_to_path(paths["key"])
    for blob in certificate.cert_chain_pems:
        blob.write_to_path(paths["certificate"], append=True)
    return {name: str(path) for name, path in paths.items()}


def _create_hello() -> bytes:
    """Returns the first message of a TLS client."""
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = ssl.create_default_context().wrap_bio(
        incoming, outgoing, server_hostname="127.0.0.1"
    )
    with contextlib.suppress(ssl.SSLWantReadError):
        client.do_handshake()
    return outgoing.read()


@pytest.mark.crowd
@pytest.mark.parametrize("missing_bytes", [0, 5])
async def test_unfinished_tls_handshakes_leave_the_process_alive(
    tmp_path, missing_bytes
):
    """Guards against what TLS holds for peers that have not proved the key."""
    hello = _create_hello()
    part = hello[: len(hello) - missing_bytes]
    tls = _write_certificate(tmp_path)
    with _open_deployment(tmp_path, [_HOST], tls=tls) as deployment:
        address = parse_address(deployment.find_peer_address(_HOST.node_id))
        async with trio.open_nursery() as nursery:
            for _ in range(TLS_CLIENTS):
                stream = await trio.open_tcp_stream(address.host, address.port)
                nursery.start_soon(hold_silent, stream)
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_all(part)
            await _check(deployment, _HOST.node_id, TLS_DESCRIPTORS)
            nursery.cancel_scope.cancel()


@pytest.fixture
def few_descriptors():
    """Starts processes whose system allows them few descriptors."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, before[1]))
    yield lambda: resource.setrlimit(resource.RLIMIT_NOFILE, before)
    resource.setrlimit(resource.RLIMIT_NOFILE, before)


@pytest.mark.crowd
@pytest.mark.parametrize(
    "door", (_INBOUND, _NODE_ADMIN, _NODE_PEER, _REPLICA_ADMIN, _REPLICA_PEER)
)
async def test_silent_connections_leave_descriptors(few_descriptors, deployment, door):
    """Guards against connections without a request that take all descriptors."""
    # Only the processes have few, not their clients.
    few_descriptors()
    crowd = OddCrowd((OddKind.SILENT,), _HEAD, b"", SILENT_CLIENTS)
    await _press(deployment, crowd, door)


def _create_odd_crowd(kinds: tuple[OddKind, ...], head: bytes) -> OddCrowd:
    return OddCrowd(kinds, head, head + b"Content-Length: 0\r\n\r\n", ODD_CLIENTS)


async def _press(deployment, crowd: Crowd | OddCrowd, door: str = _INBOUND) -> None:
    """Lets a crowd press, and checks the process and ordinary requests."""
    node_id, replica_id = _HOST.node_id, deployment.replica_ids[0]
    pressed_id = replica_id if door in _REPLICA_DOORS else node_id
    addresses = {
        _INBOUND: deployment.inbound[node_id],
        _NODE_PEER: deployment.find_peer_address(node_id),
        _REPLICA_PEER: deployment.find_peer_address(replica_id),
    }
    address = parse_address(addresses.get(door, deployment.admin[pressed_id]))
    async with trio.open_nursery() as nursery:
        await nursery.start(crowd.press, address)
        await _check(deployment, pressed_id)
        nursery.cancel_scope.cancel()


async def _check(
    deployment, process_id: str, most_descriptors: int = DESCRIPTORS
) -> None:
    """Checks that a process lives within its bounds and that callers are served."""
    process = deployment.processes[process_id]
    inbound = deployment.inbound[_HOST.node_id]
    answers = [
        await send_ordinary(parse_address(inbound), _ORDINARY),
        await send_ordinary(parse_address(deployment.admin[process_id]), _HEALTH),
    ]
    assert process.poll() is None, "the process has ended"
    peak_mb = read_peak_memory(process.pid) / 1e6
    descriptors = count_descriptors(process.pid)
    is_within = peak_mb <= MEMORY_MB, descriptors <= most_descriptors
    assert is_within == (True, True), f"{peak_mb:.1f} MB, {descriptors} descriptors"
    for answer in answers:
        assert b" 200 " in answer[:20], answer[:200]
