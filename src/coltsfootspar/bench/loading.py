"""Reading scenario files: JSON with comments."""

import enum
from collections.abc import Iterator
from pathlib import Path

import attrs
import cattrs
import jsonc

from coltsfootspar.bench.scenario import FaultKind, RequestKind, Scenario, TimeShape
from coltsfootspar.exceptions import BenchError, CellError, TableError
from coltsfootspar.table import COLUMNS, parse_cell, parse_row_key

__all__ = ["check_scenario", "load_scenario", "parse_scenario"]

_SERVER_FAULTS = frozenset(FaultKind) - {FaultKind.CUT, FaultKind.LOSS}


def load_scenario(path: str | Path) -> Scenario:
    """Reads a scenario file.

    :raises BenchError: naming every problem by its key.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise BenchError(f"{path}: {error.strerror}", code="scenario-file") from error
    return parse_scenario(text, str(path))


def parse_scenario(text: str, source: str = "scenario") -> Scenario:
    """Parses and checks a scenario.

    :param text: JSON with comments.
    :param source: name for error messages.
    :raises BenchError: naming every problem by its key.
    """
    try:
        data = jsonc.loads(text)
    except ValueError as error:
        raise BenchError(f"{source}: {error}", code="scenario-syntax") from error
    try:
        scenario = _create_converter().structure(data, Scenario)
    except cattrs.BaseValidationError as error:
        problems = cattrs.transform_error(error, path="$")
        raise _create_error(source, problems) from error
    problems = list(check_scenario(scenario))
    if problems:
        raise _create_error(source, problems)
    return scenario


def check_scenario(scenario: Scenario) -> Iterator[str]:
    """Checks what the types do not say.

    :returns: one line for each problem, each naming its key.
    """
    yield from _check_sizes(scenario)
    yield from _check_rows(scenario)
    yield from _check_times(scenario)
    yield from _check_faults(scenario)


def _create_error(source: str, problems: list[str]) -> BenchError:
    lines = "\n".join(f"{source}: {problem}" for problem in problems)
    return BenchError(lines, code="scenario")


def _create_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (int, float, str, bool):
        converter.register_structure_hook(kind, _structure_plain)
    for choices in (FaultKind, TimeShape):
        converter.register_structure_hook(choices, _structure_choice)
    return converter


def _structure_choice(value: object, choices: type[enum.StrEnum]) -> enum.StrEnum:
    if value not in list(choices):
        raise TypeError(f"{value!r} is not one of {', '.join(choices)}")
    return choices(value)


def _structure_plain(value: object, kind: type) -> object:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if kind is float and is_number:
        return float(value)
    if type(value) is not kind:
        raise TypeError(f"{value!r} is not of type {kind.__name__}")
    return value


def _check_sizes(scenario: Scenario) -> Iterator[str]:
    if not scenario.data_centres:
        yield "data_centres: at least one is needed"
    for name, size in scenario.services.items():
        for field in ("upstreams", "slots", "connections"):
            if getattr(size, field) < 1:
                yield f"services.{name}.{field}: must be at least 1"
        if size.connections < size.slots:
            yield f"services.{name}.connections: must not be below slots"
    for field in attrs.fields(type(scenario.delays)):
        if getattr(scenario.delays, field.name) < 0:
            yield f"delays.{field.name}: must not be negative"
    if scenario.delays.loss >= 1:
        yield "delays.loss: must be below 1"
    if scenario.clients.max_attempts < 1:
        yield "clients.max_attempts: must be at least 1"


def _check_rows(scenario: Scenario) -> Iterator[str]:
    shares = sum(kind.share for kind in scenario.rows.values())
    if abs(shares - 1) > 1e-6:
        yield f"rows: the shares add up to {shares:g}, not to 1"
    for name, kind in scenario.rows.items():
        try:
            service = parse_row_key(name).service
        except TableError as error:
            yield f"rows.{name}: {error}"
            continue
        if service not in scenario.services:
            yield f"rows.{name}: no service {service!r}"
        yield from _check_cells(name, kind)
        if kind.time.mean_ms <= 0:
            yield f"rows.{name}.time.mean_ms: must be above 0"
        for called in (called for stage in kind.calls for called in stage):
            if called not in scenario.rows:
                yield f"rows.{name}.calls: no row {called!r}"
    yield from _check_cycles(scenario)


def _check_cells(name: str, kind: RequestKind) -> Iterator[str]:
    for column in COLUMNS:
        if hasattr(kind, column.name):
            try:
                parse_cell(column, getattr(kind, column.name), name)
            except CellError as error:
                yield f"rows.{name}.{column.name}: {error}"


def _check_cycles(scenario: Scenario) -> Iterator[str]:
    done: set[str] = set()

    def find_cycle(name: str, path: tuple[str, ...]) -> str | None:
        if name in path:
            return name
        if name in done or name not in scenario.rows:
            return None
        done.add(name)
        called = [call for stage in scenario.rows[name].calls for call in stage]
        found = (find_cycle(call, (*path, name)) for call in called)
        return next((cycle for cycle in found if cycle), None)

    for name in scenario.rows:
        if find_cycle(name, ()):
            yield f"rows.{name}.calls: the call graph has a cycle"
            return


def _check_times(scenario: Scenario) -> Iterator[str]:
    if not scenario.load or scenario.load[0].at_s != 0:
        yield "load: the first point must be at 0 s"
    times = [point.at_s for point in scenario.load]
    if times != sorted(set(times)):
        yield "load: the points must be in order of time"
    for name in ("measure", "latency", "overload"):
        window = getattr(scenario, name)
        if window is None:
            continue
        if not 0 <= window.from_s < window.to_s <= scenario.duration_s:
            yield f"{name}: must lie within the run and must not be empty"
    overload = scenario.overload
    if overload is not None and not 0 <= overload.before_from_s < overload.from_s:
        yield "overload.before_from_s: must be before from_s"
    crest = scenario.crest_at_s
    if crest is not None and not 0 <= crest <= scenario.duration_s - 1:
        yield "crest_at_s: must be a second or more before the end"


def _check_faults(scenario: Scenario) -> Iterator[str]:
    servers = {node_id for node_id, _, _ in scenario.list_servers()}
    for index, fault in enumerate(scenario.faults):
        key = f"faults[{index}]"
        if not 0 <= fault.at_s <= scenario.duration_s:
            yield f"{key}.at_s: must lie within the run"
        if fault.kind in _SERVER_FAULTS and fault.target not in servers:
            yield f"{key}.target: no backend server {fault.target!r}"
        if fault.kind is FaultKind.CUT and fault.target not in scenario.data_centres:
            yield f"{key}.target: no data centre {fault.target!r}"
        if not 0 <= fault.share <= 1:
            yield f"{key}.share: must be from 0 to 1"
        if fault.kind is FaultKind.LOSS and fault.share == 1:
            yield f"{key}.share: must be below 1 for lost messages"
        if fault.factor < 1:
            yield f"{key}.factor: must be at least 1"
