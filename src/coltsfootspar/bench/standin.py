"""Stand-in backend server over real HTTP.

It has slots, service times and calls to other services, and it knows no more of
the system than a user's backend server: it announces itself to its node and
passes on ``traceparent``.
"""

import json
import pathlib
import random
import signal
import sys

import attrs
import defopt
import jsonc
import trio

from coltsfootspar.calls import find_header
from coltsfootspar.exceptions import BenchError, TransferError
from coltsfootspar.web import HttpRequest, HttpResponse, WebLimits
from coltsfootspar.web.client import create_h11_client
from coltsfootspar.web.server import create_h11_server
from coltsfootspar.wire import Address, parse_address

__all__ = ["Behaviour", "StandIn", "create_stand_in", "main"]

_ANNOUNCE_SECONDS = 2.0
_ANNOUNCE_PATH = "/coltsfootspar/backend"
_SHED = HttpResponse(
    503,
    ((b"coltsfootspar-outcome", b"not-run"), (b"retry-after", b"1")),
    b"stand-in is full\n",
)


@attrs.frozen
class Behaviour:
    """What the stand-in does for one kind of request.

    :param prefix: requests whose path starts so.
    :param service_ms: mean service time, exponentially distributed; 0 for none.
    :param calls: ``service METHOD /path`` of the calls that it makes, in order.
    :param echo: true to answer with the request's body.
    """

    prefix: str
    service_ms: float = 1.0
    calls: tuple[str, ...] = ()
    echo: bool = False


@attrs.define(eq=False)
class StandIn:
    """One backend server.

    :param executed: requests that it has worked on.
    """

    _service: str
    _node: Address
    _slots: int
    _behaviours: tuple[Behaviour, ...]
    _random: random.Random
    _client: object = attrs.field(factory=lambda: create_h11_client(WebLimits()))
    _limiter: trio.CapacityLimiter = attrs.field(init=False)
    executed: int = 0

    def __attrs_post_init__(self) -> None:
        self._limiter = trio.CapacityLimiter(self._slots)

    async def run(
        self,
        address: Address,
        stop: trio.Event,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until ``stop`` is set, then leaves and finishes its requests.

        :param address: where to listen; reports the bound :class:`Address`.
        """
        server = create_h11_server(self.handle, WebLimits())
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(server.serve, address)
            nursery.start_soon(self._announce, bound)
            task_status.started(bound)
            await stop.wait()
            nursery.cancel_scope.shield = True
            await self._tell_node("DELETE", b"")
            await server.drain()
            nursery.cancel_scope.cancel()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answers one request after its service time and its calls."""
        if self._limiter.statistics().tasks_waiting > self._slots:
            return _SHED
        behaviour = self._find_behaviour(request.target)
        async with self._limiter:
            self.executed += 1
            if behaviour.service_ms:
                await trio.sleep(self._random.expovariate(1e3 / behaviour.service_ms))
            for call in behaviour.calls:
                status = await self._call(call, request)
                if status >= 500:
                    return HttpResponse(502, (), f"{call} gave {status}\n".encode())
        body = request.body if behaviour.echo else b"ok\n"
        return HttpResponse(200, ((b"content-type", b"text/plain"),), body)

    async def _call(self, call: str, request: HttpRequest) -> int:
        service, method, path = call.split(" ")
        headers = [(b"host", service.encode())]
        traceparent = find_header(request.headers, b"traceparent")
        if traceparent is not None:
            headers.append((b"traceparent", traceparent))
        try:
            response = await self._client.send(
                self._node, HttpRequest(method, path, tuple(headers))
            )
        except TransferError:
            return 502
        return response.status

    def _find_behaviour(self, target: str) -> Behaviour:
        for behaviour in self._behaviours:
            if target.startswith(behaviour.prefix):
                return behaviour
        return Behaviour("/")

    async def _announce(self, bound: Address) -> None:
        content = {
            "service": self._service,
            "host": bound.host,
            "port": bound.port,
            "slots": self._slots,
        }
        body = json.dumps(content).encode()
        while True:
            await self._tell_node("PUT", body)
            await trio.sleep(_ANNOUNCE_SECONDS)

    async def _tell_node(self, method: str, body: bytes) -> None:
        request = HttpRequest(method, _ANNOUNCE_PATH, ((b"host", b"node"),), body)
        try:
            await self._client.send(self._node, request)
        except TransferError as error:
            print(f"node {self._node} cannot be told: {error}", file=sys.stderr)


def create_stand_in(
    service: str,
    node: Address,
    *,
    slots: int,
    behaviours: tuple[Behaviour, ...],
    seed: int,
) -> StandIn:
    """Creates a stand-in backend server.

    :param node: ``outbound`` address of its node.
    """
    return StandIn(service, node, slots, behaviours, random.Random(seed))


def _load_behaviours(path: str) -> tuple[Behaviour, ...]:
    try:
        items = jsonc.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        return tuple(
            Behaviour(**{**item, "calls": tuple(item.get("calls", ()))})
            for item in items
        )
    except (OSError, ValueError, TypeError) as error:
        raise BenchError(f"{path}: {error}") from error


def run_stand_in(
    service: str,
    *,
    node: str,
    listen: str = "127.0.0.1:0",
    slots: int = 20,
    behaviours: str = "",
    seed: int = 1,
) -> None:
    """Run a stand-in backend server until SIGTERM.

    :param service: name of the service.
    :param node: outbound address of its node, IP:PORT.
    :param listen: address to listen on.
    :param slots: requests that it works on at once.
    :param behaviours: file with its behaviours, JSON with comments.
    :param seed: seed of the service times.
    """
    loaded = _load_behaviours(behaviours) if behaviours else ()
    stand_in = create_stand_in(
        service, parse_address(node), slots=slots, behaviours=loaded, seed=seed
    )

    async def run() -> None:
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            address = await nursery.start(stand_in.run, parse_address(listen), stop)
            print(f"listening on {address}", flush=True)
            with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    stop.set()
                    break
        print(f"executed {stand_in.executed} requests", flush=True)

    trio.run(run)


def main() -> None:
    """Entry point."""
    defopt.run(run_stand_in)


if __name__ == "__main__":
    main()
