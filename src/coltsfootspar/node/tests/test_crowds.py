"""Crowds of clients that nobody controls, at a node of the product.

They guard against clients that end a process by what it holds for them.
"""

import pytest
import trio

from coltsfootspar.bench.deployment import HostPlan, create_deployment, wait_for
from coltsfootspar.testing.crowds import (
    Crowd,
    CrowdKind,
    count_descriptors,
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
    behaviours=({"prefix": "/", "service_ms": 50},),
    holds_replica=True,
)
_ROWS = [{"row": "specs POST /specs/{id}", "column": "importance", "value": 5}]
# The crowd and the bounds. A process without clients takes about 75 MB.
MEMORY_MB = 160
DESCRIPTORS = 300
CLIENTS = 80
BODY_BYTES = 2_000_000
ODD_CLIENTS = 240
_HEAD = b"POST /specs/1 HTTP/1.1\r\nHost: specs\r\n"
_ODD_KINDS = (
    OddKind.HEADS_AT_ONCE,
    OddKind.HEADS_AHEAD,
    OddKind.BODY_STOPS,
    OddKind.EXTENSIONS,
    OddKind.SLOW_READER_AHEAD,
)
_ORDINARY = _HEAD + b"Connection: close\r\nContent-Length: 5\r\n\r\nhello"


@pytest.fixture(autouse=True)
def only_crowd():
    with lock_machine():
        yield


@pytest.fixture
def deployment(tmp_path):
    limits = {"body_bytes": 4_000_000, "memory_mb": MEMORY_MB}
    with create_deployment(tmp_path, [_HOST], limits=limits) as deployment:
        deployment.start_all()
        wait_for(
            lambda: deployment.edit(_HOST.node_id, _ROWS).status == 200, "a leader"
        )
        wait_for(lambda: _is_served(deployment), "the first answer", 20.0)
        yield deployment


def _is_served(deployment) -> bool:
    address = deployment.inbound[_HOST.node_id]
    headers = {"Host": "specs"}
    answer = deployment.request(address, "POST", "/specs/1", headers=headers)
    return answer.status == 200


@pytest.mark.crowd
@pytest.mark.parametrize("kind", CrowdKind, ids=lambda kind: kind.value)
async def test_crowd_of_large_bodies_leaves_the_process_alive(deployment, kind):
    await _press(deployment, Crowd(kind, _HEAD, CLIENTS, BODY_BYTES))


@pytest.mark.crowd
@pytest.mark.parametrize("kind", _ODD_KINDS)
async def test_crowd_of_odd_requests_leaves_the_process_alive(deployment, kind):
    large = _HEAD + b"Content-Length: 0\r\n\r\n"
    await _press(deployment, OddCrowd((kind,), _HEAD, large, ODD_CLIENTS))


@pytest.mark.crowd
async def test_head_of_many_lines_is_served_in_calm(deployment):
    """Guards against a limit on lines that heads within the limit on bytes meet."""
    address = parse_address(deployment.inbound[_HOST.node_id])
    for shape in LineShape:
        data = _HEAD + create_lines(shape) + b"Connection: close\r\n"
        answer = await send_ordinary(address, data + b"Content-Length: 0\r\n\r\n")
        assert b" 200 " in answer[:20], (shape, answer[:200])


async def _press(deployment, crowd: Crowd | OddCrowd) -> None:
    """Lets a crowd press, and checks the process and an ordinary request."""
    address = parse_address(deployment.inbound[_HOST.node_id])
    process = deployment.processes[_HOST.node_id]
    async with trio.open_nursery() as nursery:
        await nursery.start(crowd.press, address)
        answer = await send_ordinary(address, _ORDINARY)
        assert process.poll() is None, "the process has ended"
        peak_mb = read_peak_memory(process.pid) / 1e6
        descriptors = count_descriptors(process.pid)
        assert (peak_mb <= MEMORY_MB, descriptors <= DESCRIPTORS) == (True, True), (
            f"{peak_mb:.1f} MB, {descriptors} descriptors"
        )
        assert b" 200 " in answer[:20], answer[:200]
        nursery.cancel_scope.cancel()
