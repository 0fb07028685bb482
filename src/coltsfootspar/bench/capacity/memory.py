"""Memory of imports and of single objects."""

import subprocess
import sys
import tracemalloc
from collections.abc import Callable, Sequence

import attrs
from h11 import SERVER, Connection

from coltsfootspar.calls import CallContext, Priority, create_context_store
from coltsfootspar.membership.members import Member
from coltsfootspar.replication.commands import ClaimRecord, ClaimStatus, Entry
from coltsfootspar.table import create_matcher, create_table, parse_row_key
from coltsfootspar.table.rows import create_row
from coltsfootspar.wire import Address

__all__ = ["ImportStep", "ObjectCost", "measure_imports", "measure_objects"]

# Each step imports what the steps before it did and more.
_STEPS = (
    ("interpreter", ""),
    ("trio, attrs, h11", "trio, attrs, h11"),
    ("pycapnp and the schemas", "coltsfootspar.wire"),
    (
        "data path: HTTP, admission, routing",
        "coltsfootspar.web.server, coltsfootspar.web.client, "
        "coltsfootspar.admission, coltsfootspar.routing",
    ),
    ("data path: traces and metrics", "coltsfootspar.telemetry"),
    ("control: membership", "coltsfootspar.membership"),
    (
        "control: replication client, claims, table feed",
        "coltsfootspar.claims, coltsfootspar.node.tablefeed",
    ),
    ("control: settings", "coltsfootspar.settings, defopt"),
    ("control: admin interface", "coltsfootspar.node.program"),
)
_OBJECTS = 2_000
_ANSWER_BYTES = 500


@attrs.frozen
class ImportStep:
    """Resident memory of a fresh process after a step of imports, megabytes."""

    name: str
    memory_mb: float


@attrs.frozen
class ObjectCost:
    """Mean memory of one object, bytes."""

    name: str
    bytes_each: float


def measure_imports() -> list[ImportStep]:
    """Measures the resident memory after each step in a fresh process."""
    steps = []
    modules: list[str] = []
    for name, added in _STEPS:
        modules += [added] if added else []
        steps.append(ImportStep(name, _measure_process(modules)))
    return steps


def _measure_process(modules: Sequence[str]) -> float:
    imports = "\n".join(f"import {names}" for names in modules)
    program = (
        f"{imports}\ntext = open('/proc/self/status').read()\n"
        "print(text.split('VmRSS:')[1].split()[0])"
    )
    result = subprocess.run(
        [sys.executable, "-c", program], check=True, capture_output=True, text=True
    )
    return int(result.stdout) * 1024 / 1e6


def measure_objects() -> list[ObjectCost]:
    """Measures the memory of objects that a process keeps many of."""
    creators: dict[str, Callable[[int], object]] = {
        "known member": _create_member,
        "row of the table with its rule": _create_row,
        "call in progress: context": _create_context,
        "HTTP connection: parser state": lambda number: Connection(SERVER),
        f"kept key with an answer of {_ANSWER_BYTES} bytes": _create_claim,
        f"log entry of {_ANSWER_BYTES} bytes": _create_entry,
    }
    return [
        ObjectCost(name, _measure_object(create)) for name, create in creators.items()
    ]


def _measure_object(create: Callable[[int], object]) -> float:
    kept = [None] * _OBJECTS
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(_OBJECTS):
        kept[number] = create(number)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / _OBJECTS


def _create_member(number: int) -> Member:
    address = Address(f"10.0.{number // 250}.{number % 250}", 7000)
    name = f"node-{number}"
    return Member(name, "region", f"d{number % 8}", address, address, number)


def _create_row(number: int) -> object:
    row = create_row(parse_row_key(f"service-{number} GET /path-{number}/{{id}}"))
    return row, create_matcher(create_table([row]))


def _create_context(number: int) -> object:
    trace_id = format(number, "032x")
    store = create_context_store()
    store.add(CallContext(trace_id, "1" * 16, 1.0, Priority(5, 1), 3))
    return store


def _create_claim(number: int) -> ClaimRecord:
    return ClaimRecord(
        key=f"service/{number:036d}",
        status=ClaimStatus.FINISHED,
        fingerprint=number.to_bytes(32),
        claim_id=f"{number:036d}",
        node_id="node-1",
        node_incarnation=number,
        expires_ms=number,
        retention_ms=86_400_000,
        answer=bytes(_ANSWER_BYTES),
    )


def _create_entry(number: int) -> Entry:
    return Entry(number, 1, number, bytes(_ANSWER_BYTES))
