"""Plain HTTP/1.1 for the stand-ins of clients, upstreams, operator and platform."""

import asyncio
import json
import time

import deployment


class Message:
    """A request or a response that has been read to its end."""

    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    @property
    def status(self):
        """Status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def path(self):
        """Path of a request."""
        return self.start.split(" ")[1]

    @property
    def keeps_connection(self):
        """False when the message announces the end of the connection."""
        return self.headers.get("connection", "").lower() != "close"


async def read_message(reader):
    """Reads a message whose body has a length or chunks; None at the end.

    :raises asyncio.IncompleteReadError: when the connection ends inside.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        while (await reader.readline()).strip():
            pass
    elif length := int(headers.get("content-length", 0)):
        body = await reader.readexactly(length)
    return Message(start, headers, body)


def encode(start, headers, body=b""):
    """Encodes a message with the length of its body."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def exchange(address, port, data, timeout):
    """Sends a request on a new connection.

    :returns: the response, or a text that tells why there is none.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(address, port)
            writer.write(data)
            return await read_message(reader) or "closed without an answer"
    except TimeoutError:
        return f"no answer within {timeout:g} s"
    except (OSError, asyncio.IncompleteReadError) as error:
        return f"connection failed: {error!r}"
    finally:
        if writer is not None:
            writer.close()


async def post_control(host, call, content, timeout=1.0):
    """Sends a call to a control address; returns as :func:`exchange` does."""
    headers = {"Host": "control", "Content-Type": "application/json"}
    data = encode(
        f"POST /rpc?call={call} HTTP/1.1", headers, json.dumps(content).encode()
    )
    return await exchange(host.address, deployment.CONTROL_PORT, data, timeout)


def create_manifest(version, base, routes):
    """Creates a manifest.

    :param routes: tuples of path, kind, service and time limit in seconds.
    """
    rules = [
        {
            "name": f"r-{service}-{path}",
            "type": kind,
            "targetLatencyS": 2,
            "priority": 1,
            "match": {"pathPrefix": f"/{path}/"},
            "action": {"service": service, "timeoutS": seconds, "maxAttempts": 2},
        }
        for path, kind, service, seconds in routes
    ]
    cluster = {
        "healthPath": "/health",
        "maxConnections": 532,
        "protocol": "h1",
        "tls": False,
    }
    return {
        "version": f"r{version}",
        "baseVersion": f"r{base}" if base else 0,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "listeners": [{"host": HOST_NAME, "rules": rules}],
        "clusters": [
            {"name": service, **cluster}
            for service in dict.fromkeys(route[2] for route in routes)
        ],
    }


HOST_NAME = "hulo84.example"


async def put_manifest(record, replicas, manifest):
    """Sends a manifest until it is acknowledged."""
    for attempt in range(60):
        replica = replicas[attempt % len(replicas)]
        answer = await post_control(replica, "config.put", manifest)
        if isinstance(answer, Message) and answer.status == 200:
            record.write(f"{manifest['version']} acknowledged by {replica.name}")
            return
        await asyncio.sleep(0.5)
    raise TimeoutError("no replica has acknowledged the manifest")


async def wait_until_ready(record, nodes):
    """Waits until all nodes answer the readiness check with 200 twice in a row."""
    data = encode("GET /ready HTTP/1.1", {"Host": "ready", "Connection": "close"})
    for node in nodes:
        async with asyncio.timeout(20):
            hits = 0
            while hits < 2:
                answer = await exchange(node.address, deployment.READY_PORT, data, 1.0)
                is_ready = isinstance(answer, Message) and answer.status == 200
                hits = hits + 1 if is_ready else 0
                await asyncio.sleep(0.1)
    record.write("all nodes are ready")


class Upstream:
    """A sound upstream beside a node."""

    def __init__(self, node, record, number, *, capacity=72, work_seconds=0.05):
        self.node, self.record = node, record
        self.instance_id = f"i-{number:08x}"
        self.capacity, self.work_seconds = capacity, work_seconds
        self.state, self.sequence = "ready", 0
        self.born = time.time_ns() // 1_000_000
        self.is_reporting = True
        self.runs = []
        self._server = None

    async def start(self):
        """Listens beside the node."""
        self._server = await asyncio.start_server(
            self._serve, self.node.address, deployment.SERVER_PORT
        )

    async def report(self):
        """Sends status reports until it is cancelled, with the next one from now."""
        while True:
            if self.is_reporting:
                await self.send_report(self.create_report())
            await asyncio.sleep(1.5)

    def create_report(self):
        """Returns the next status report."""
        self.sequence += 1
        return {
            "service": self.node.service,
            "address": f"{self.node.address}:{deployment.SERVER_PORT}",
            "zone": self.node.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "warmupLeftS": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def send_report(self, report):
        """Sends a status report to the node beside this upstream."""
        call = f"instances.heartbeat&of={self.instance_id}"
        return await post_control(self.node, call, report)

    async def deregister(self):
        """Sends the notice that this upstream leaves."""
        call = f"instances.deregister&of={self.instance_id}"
        return await post_control(self.node, call, {"born": self.born})

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                await self.answer(request, writer)
        except (OSError, asyncio.IncompleteReadError):
            # The caller has ended the connection.
            return
        finally:
            writer.close()

    async def answer(self, request, writer):
        """Answers one request."""
        headers = request.headers
        request_id = headers.get("request-id", "")
        echo = {"Request-Id": request_id}
        if headers.get("target-instance", self.instance_id) != self.instance_id:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", echo))
            return
        self.runs.append((self.record.now, request_id))
        self.record.write(f"{self.instance_id} runs {request_id}")
        await asyncio.sleep(self.work_seconds)
        body = b"body of " + request_id.encode()
        writer.write(
            encode(
                "HTTP/1.1 200 OK", echo | {"Response-Seal": f"seal.{request_id}"}, body
            )
        )
        await writer.drain()


async def send_request(record, node, path, request_id, seconds, method="GET", body=b""):
    """Sends a client's request to a node; returns as :func:`exchange` does."""
    headers = {
        "Host": HOST_NAME,
        "Request-Id": request_id,
        "Deadline-Ms": str(int(seconds * 1000)),
        "Connection": "close",
    }
    record.write(f"client sends {request_id} to {node.name}: {path}")
    data = encode(f"{method} {path} HTTP/1.1", headers, body)
    sent_at = record.now
    answer = await exchange(node.address, deployment.OUTBOUND_PORT, data, seconds)
    text = f"status {answer.status}" if isinstance(answer, Message) else answer
    record.write(
        f"client got for {request_id} after {record.now - sent_at:.3f} s: {text}"
    )
    return answer
