"""Latency that a hop adds, side by side with the same server called directly."""

import pathlib
import random
import tempfile
from collections.abc import Callable

import attrs
import trio
from hdrh.histogram import HdrHistogram

from coltsfootspar.bench.capacity.usage import Usage, read_usage
from coltsfootspar.bench.deployment import (
    HostPlan,
    LocalDeployment,
    create_deployment,
    wait_for,
)
from coltsfootspar.exceptions import BenchError
from coltsfootspar.web import HttpClient, HttpRequest
from coltsfootspar.web.client import create_h11_client
from coltsfootspar.wire import Address, parse_address

__all__ = ["Distribution", "HopPoint", "OncePoint", "measure_hop", "measure_once"]

_BEHAVIOURS = ({"prefix": "/", "service_ms": 0},)
_ROW = "specs GET /{id}"
_ONCE_ROW = "specs POST /pay"
_MICROSECONDS = 1e6
_MAX_MICROSECONDS = 60_000_000
_WARM_UP = 200


@attrs.frozen
class Distribution:
    """Percentiles of latencies, milliseconds."""

    p50: float
    p99: float
    p999: float


@attrs.frozen
class HopPoint:
    """One hop against the same server called directly.

    :param variant: HTTP libraries and traces of the nodes.
    :param direct: client to server.
    :param own_node: client to the server's own node to the server.
    :param two_nodes: client to another node, to the server's node, to the
        server.
    :param cpu_us_per_call: processor time of both nodes for each call over two
        nodes, microseconds.
    """

    variant: str
    calls: int
    direct: Distribution
    own_node: Distribution
    two_nodes: Distribution
    cpu_us_per_call: float

    @property
    def added_p99(self) -> float:
        """Difference of the p99 over two nodes and directly, milliseconds."""
        return self.two_nodes.p99 - self.direct.p99


@attrs.frozen
class OncePoint:
    """Requests that run at most once, with three replicas.

    :param plain: the same request of an idempotent row.
    :param once: with a claim and a kept answer.
    :param claims_per_second: with 32 at a time.
    :param replica_cpu_us: processor time of all replicas for each request,
        microseconds.
    :param replica_bytes_per_key: growth of a replica's memory for each key.
    """

    plain: Distribution
    once: Distribution
    claims_per_second: float
    replica_cpu_us: float
    replica_bytes_per_key: float


def measure_hop(
    variant: str, options: dict, calls: int, rate: float, seed: int
) -> HopPoint:
    """Measures the three paths in turn, at random times.

    :param options: settings of the nodes.
    :param calls: calls over each path.
    :param rate: calls a second over all paths.
    """
    hosts = (
        HostPlan("entry", "front", behaviours=_BEHAVIOURS),
        HostPlan("specs-1", "specs", behaviours=_BEHAVIOURS, slots=75),
    )
    with (
        tempfile.TemporaryDirectory(prefix="coltsfootspar-") as folder,
        create_deployment(pathlib.Path(folder), hosts, **options) as deployment,
    ):
        _start(deployment)
        server = _find_server(deployment)
        paths = {
            "direct": server,
            "own_node": parse_address(deployment.inbound["specs-1"]),
            "two_nodes": parse_address(deployment.inbound["entry"]),
        }
        nodes = [deployment.processes[name].pid for name in ("entry", "specs-1")]
        source = random.Random(seed)
        trio.run(_warm_up, paths)
        found = trio.run(_measure_paths, paths, calls, rate, source)
        before = read_usage(nodes)
        trio.run(_measure_paths, {"two_nodes": paths["two_nodes"]}, calls, rate, source)
        cpu = read_usage(nodes).cpu_seconds - before.cpu_seconds
        deployment.stop_all()
    return HopPoint(
        variant=variant,
        calls=calls,
        cpu_us_per_call=cpu / calls * _MICROSECONDS,
        **{name: _summarize(histogram) for name, histogram in found.items()},
    )


def measure_once(calls: int, seed: int) -> OncePoint:
    """Measures requests of a row marked ``once`` with three replicas."""
    hosts = (
        HostPlan("entry", "front", behaviours=_BEHAVIOURS),
        HostPlan("specs-1", "specs", behaviours=_BEHAVIOURS, slots=75),
    )
    with (
        tempfile.TemporaryDirectory(prefix="coltsfootspar-") as folder,
        create_deployment(pathlib.Path(folder), hosts, replicas=3) as deployment,
    ):
        _start(deployment)
        address = parse_address(deployment.inbound["entry"])
        replicas = [deployment.processes[name].pid for name in deployment.replica_ids]
        client = create_h11_client()
        keys = (f"{seed}-{number}" for number in range(100 * calls))

        def create_once() -> HttpRequest:
            key = next(keys).encode()
            headers = ((b"host", b"specs"), (b"idempotency-key", key))
            return HttpRequest("POST", "/pay", headers, b"x" * 500)

        trio.run(_send_many, client, address, create_once, _WARM_UP, 4)
        client = create_h11_client()
        plain = trio.run(_send_many, client, address, _create_plain, calls, 1)
        client = create_h11_client()
        once = trio.run(_send_many, client, address, create_once, calls, 1)
        before = read_usage(replicas)
        client = create_h11_client()
        burst = trio.run(_send_many, client, address, create_once, 4 * calls, 32)
        after = read_usage(replicas)
        deployment.stop_all()
    return _describe_once(plain, once, burst, before, after, 4 * calls)


def _describe_once(
    plain: "_Sent",
    once: "_Sent",
    burst: "_Sent",
    before: Usage,
    after: Usage,
    keys: int,
) -> OncePoint:
    memory = (after.memory_mb - before.memory_mb) * 1e6 / 3
    cpu = after.cpu_seconds - before.cpu_seconds
    return OncePoint(
        plain=_summarize(plain.histogram),
        once=_summarize(once.histogram),
        claims_per_second=keys / burst.seconds,
        replica_cpu_us=cpu / keys * _MICROSECONDS,
        replica_bytes_per_key=memory / keys,
    )


@attrs.frozen
class _Sent:
    histogram: HdrHistogram
    seconds: float


def _start(deployment: LocalDeployment) -> None:
    deployment.start_all()
    edits = [
        {"row": _ROW, "column": "importance", "value": 5},
        {"row": _ONCE_ROW, "column": "execution", "value": "once"},
    ]
    wait_for(lambda: deployment.edit("entry", edits).status == 200, "the table")
    entry = deployment.inbound["entry"]
    headers = {"Host": "specs"}
    wait_for(
        lambda: deployment.request(entry, "GET", "/1", headers=headers).status == 200,
        "the first answer",
    )


def _find_server(deployment: LocalDeployment) -> Address:
    status = deployment.get("specs-1", "/status")
    return parse_address(status["backend"]["address"])


def _create_plain() -> HttpRequest:
    return HttpRequest("GET", "/1", ((b"host", b"specs"),))


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_MICROSECONDS, 3)


async def _send(
    client: HttpClient, address: Address, request: HttpRequest, into: HdrHistogram
) -> None:
    start = trio.current_time()
    response = await client.send(address, request)
    if response.status != 200:
        raise BenchError(f"{address} gave {response.status}: {response.body!r}")
    into.record_value(max(1, int((trio.current_time() - start) * _MICROSECONDS)))


async def _warm_up(paths: dict[str, Address]) -> None:
    client = create_h11_client()
    for address in paths.values():
        for _ in range(_WARM_UP):
            await _send(client, address, _create_plain(), _create_histogram())


async def _measure_paths(
    paths: dict[str, Address], calls: int, rate: float, source: random.Random
) -> dict[str, HdrHistogram]:
    """Sends calls at random times, over the paths in turn."""
    client = create_h11_client()
    found = {name: _create_histogram() for name in paths}
    async with trio.open_nursery() as nursery:
        for _ in range(calls):
            for name, address in paths.items():
                await trio.sleep(source.expovariate(rate))
                request = _create_plain()
                nursery.start_soon(_send, client, address, request, found[name])
    return found


async def _send_many(
    client: HttpClient,
    address: Address,
    create: Callable[[], HttpRequest],
    calls: int,
    workers: int,
) -> _Sent:
    histogram = _create_histogram()
    start = trio.current_time()

    async def work() -> None:
        for _ in range(calls // workers):
            await _send(client, address, create(), histogram)

    async with trio.open_nursery() as nursery:
        for _ in range(workers):
            nursery.start_soon(work)
    return _Sent(histogram, trio.current_time() - start)


def _summarize(histogram: HdrHistogram) -> Distribution:
    values = (
        histogram.get_value_at_percentile(share) / 1e3 for share in (50, 99, 99.9)
    )
    return Distribution(*values)
