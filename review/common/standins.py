"""Stand-ins of backend servers, clients and operators, as the platform's pages say."""

import asyncio
import contextlib
import json
import time

from deployment import (
    APP_PORT,
    CONTROL_PORT,
    HEARTBEAT_S,
    OUTBOUND_PORT,
    READY_PORT,
    CannotRunError,
)

CLIENT_PATIENCE_S = 8.0
_HEAD_END = b"\r\n\r\n"


class Answer:
    """What a client got; status 0 when the connection ended without an answer."""

    def __init__(self, status=0, headers=None, body=b"", error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error


async def read_message(reader):
    """Reads a message with a Content-Length; returns start line, headers and body."""
    head = await reader.readuntil(_HEAD_END)
    start, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return start, headers, body


class Client:
    """A client on a sidecar machine, with one kept connection."""

    def __init__(self, machine, record):
        self._machine = machine
        self._record = record
        self._streams = None

    @property
    def is_connected(self):
        """True when the next request goes out on a connection that was used before."""
        return self._streams is not None

    async def send(self, request_id, host, path, method="GET", deadline_ms=6000):
        """Sends a request on the kept connection and reads the answer."""
        self._record.add(f"{request_id} sent to {self._machine.name}: {method} {path}")
        try:
            async with asyncio.timeout(CLIENT_PATIENCE_S):
                answer = await self._exchange(
                    request_id, host, path, method, deadline_ms
                )
        except TimeoutError:
            answer = Answer(error="no answer in time")
        except (OSError, asyncio.IncompleteReadError) as error:
            answer = Answer(error=f"connection ended: {type(error).__name__}")
        if not answer.status or answer.headers.get("connection") == "close":
            self.close()
        self._record.add(f"{request_id} answered: {answer.status or answer.error}")
        return answer

    async def _exchange(self, request_id, host, path, method, deadline_ms):
        if self._streams is None:
            # A client has the address of its machine.
            self._streams = await asyncio.open_connection(
                self._machine.ip, OUTBOUND_PORT, local_addr=(self._machine.ip, 0)
            )
        reader, writer = self._streams
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        start, headers, body = await read_message(reader)
        return Answer(int(start.split()[1]), headers, body)

    def close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class BackendServer:
    """A sound backend server beside a node.

    :param work_s: time for which it works on a request.
    :param runs: id and time of each request that it began to run.
    """

    def __init__(self, machine, record, instance_id, work_s=0.02, capacity=72):
        self.machine = machine
        self.instance_id = instance_id
        self.work_s = work_s
        self.capacity = capacity
        self.runs = []
        self.acked_departure_at = None
        self.born = time.time_ns() // 1_000_000
        self._record = record
        self._sequence = 0
        self._server = None
        self._reports = None
        self._connections = set()

    async def start(self, *, reports=True):
        self._server = await asyncio.start_server(
            self._serve, self.machine.ip, APP_PORT
        )
        if reports:
            self.start_reports()

    def start_reports(self):
        self._reports = asyncio.create_task(self._report())

    async def stop(self):
        self.stop_reports()
        if self._server is not None:
            self._server.close()
        connections = list(self._connections)
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)

    def stop_reports(self):
        if self._reports is not None:
            self._reports.cancel()
            self._reports = None

    def create_report(self, state="ready"):
        """Returns the next status report."""
        self._sequence += 1
        return {
            "service": self.machine.service,
            "address": f"{self.machine.ip}:{APP_PORT}",
            "zone": self.machine.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": state,
            "warmupLeftS": 0,
            "sequence": self._sequence,
            "born": self.born,
        }

    async def send_report(self, report):
        """Sends a status report and returns the status of the answer."""
        call = f"instances.heartbeat&of={self.instance_id}"
        status, _ = await call_control(self.machine, call, report)
        self._record.add(
            f"report {report['sequence']} of {self.instance_id} "
            f"({report['state']}): {status}"
        )
        return status

    async def depart(self):
        """Deregisters; the time of the acknowledgement is kept."""
        self.stop_reports()
        call = f"instances.deregister&of={self.instance_id}"
        status, _ = await call_control(self.machine, call, {"born": self.born})
        self._record.add(f"{self.instance_id} deregisters: {status}")
        if status == 200:
            self.acked_departure_at = self._record.now()

    async def _report(self):
        while True:
            await self.send_report(self.create_report())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._connections.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    start, headers, _ = await read_message(reader)
                    writer.write(await self._answer(start.split()[1], headers))
                    await writer.drain()
        finally:
            writer.close()
            self._connections.discard(task)

    async def _answer(self, path, headers):
        request_id = headers.get("request-id")
        if request_id is None:
            return encode_answer(400, {"Not-Executed": "1"}, b"")
        echo = {"Request-Id": request_id}
        target = headers.get("target-instance", self.instance_id)
        if target != self.instance_id:
            self._record.add(f"{request_id} reaches {self.instance_id}: 421")
            return encode_answer(421, echo | {"Not-Executed": "1"}, b"")
        caller = headers.get("caller-service", "")
        self._record.add(f"{request_id} runs at {self.instance_id}, caller {caller}")
        self.runs.append((request_id, self._record.now()))
        await asyncio.sleep(self.work_s)
        body = f"{request_id} {path} {self.instance_id}".encode()
        seal = {"Response-Seal": f"seal-{request_id}"}
        return encode_answer(200, echo | seal, body)


def encode_answer(status, headers, body):
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Error'}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + _HEAD_END + body


async def call_control(machine, call, content, patience_s=1.0):
    """Sends a call to a control address.

    :returns: status and body; status 0 when no answer came in time.
    """
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    head = (
        f"POST /rpc?call={call} HTTP/1.1\r\nHost: control\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(patience_s):
            reader, writer = await asyncio.open_connection(machine.ip, CONTROL_PORT)
            writer.write(head.encode() + body)
            start, _, answer = await read_message(reader)
            return int(start.split()[1]), answer
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


def create_manifest(version, base, routes):
    """Returns a manifest.

    :param routes: host, path prefix, kind and service of each route.
    """
    listeners = {}
    for number, (host, prefix, kind, service) in enumerate(routes):
        rule = {
            "name": f"r-{number:05d}",
            "type": kind,
            "targetLatencyS": 2,
            "priority": 2,
            "match": {"pathPrefix": prefix},
            "action": {"service": service, "timeoutS": 5, "maxAttempts": 2},
        }
        listeners.setdefault(host, []).append(rule)
    services = sorted({service for _, _, _, service in routes})
    return {
        "version": f"r{version}",
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "baseVersion": f"r{base}" if base else 0,
        "listeners": [
            {"host": host, "rules": rules} for host, rules in listeners.items()
        ],
        "clusters": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 532,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
    }


async def put_manifest(deployment, manifest, patience_s=20.0):
    """Sends a manifest until it is acknowledged; returns the machine that did it."""
    deadline = time.monotonic() + patience_s
    body = json.dumps(manifest, separators=(",", ":")).encode()
    while time.monotonic() < deadline:
        for core in deployment.cores:
            status, _ = await call_control(core, "config.put", body, patience_s=2.0)
            if status == 200:
                deployment.record.add(
                    f"manifest {manifest['version']} acknowledged by {core.name}"
                )
                return core
        await asyncio.sleep(0.2)
    raise CannotRunError(f"manifest {manifest['version']} was not acknowledged")


async def wait_until_ready(machines, patience_s=20.0):
    """Waits until all nodes answer 200 to the question whether they are ready."""
    deadline = time.monotonic() + patience_s
    for machine in machines:
        while not await is_ready(machine):
            if time.monotonic() > deadline:
                raise CannotRunError(f"{machine.name} did not become ready")
            await asyncio.sleep(0.1)


async def is_ready(machine):
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(machine.ip, READY_PORT)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            start, _, _ = await read_message(reader)
            writer.close()
            return start.split()[1] == "200"
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return False
