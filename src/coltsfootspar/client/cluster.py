"""Commands that show and change the state of nodes and replicas."""

from typing import Any

from rich.text import Text
from rich.tree import Tree

from coltsfootspar.client.options import connect
from coltsfootspar.client.output import (
    create_console,
    format_count,
    format_value,
    print_grid,
    print_json,
)

__all__ = ["drain_node", "show_members", "show_status", "show_trace"]

_MEMBER_FIELDS = (
    "node",
    "region",
    "data_centre",
    "service",
    "slots",
    "status",
    "is_leaving",
    "is_reachable",
)


def show_status(*, server: str | None = None, json: bool = False):
    """Shows the state of the server and of the replicas it knows.

    :param server: URL of the admin interface of any node or replica
    :param json: print JSON
    """
    with connect(server) as connection:
        content = connection.get("/status")
    if json:
        print_json(content)
        return
    print_grid(["field", "value"], _flatten(content))


def show_members(*, service: str = "", server: str | None = None, json: bool = False):
    """Shows the members that a node knows, dead ones included.

    :param service: show only the members that offer this service
    :param server: URL of the admin interface of any node
    :param json: print JSON
    """
    with connect(server) as connection:
        content = connection.get("/members")
    members = [
        member
        for member in content["members"]
        if service in ("", member.get("service"))
    ]
    if json:
        print_json({"members": members})
        return
    headings = [field.removeprefix("is_").replace("_", " ") for field in _MEMBER_FIELDS]
    lines = [[member.get(field) for field in _MEMBER_FIELDS] for member in members]
    print_grid(headings, lines, numbers=["slots"])
    usable = sum(member.get("is_reachable") is True for member in members)
    print(f"{format_count(len(members), 'member')}, {usable} reachable.")


def drain_node(*, server: str | None = None, json: bool = False):
    """Drains a node: it takes no new work and finishes what is in progress.

    :param server: URL of the admin interface of the node
    :param json: print JSON
    """
    with connect(server) as connection:
        content = connection.post("/drain")
    if json:
        print_json(content)
        return
    in_progress = format_count(content.get("in_progress", 0), "call")
    print(f"Draining, {in_progress} in progress.")


def show_trace(trace_id: str, *, server: str | None = None, json: bool = False):
    """Shows the calls of one request.

    :param trace_id: W3C trace id, 32 hexadecimal digits
    :param server: URL of the admin interface of any node
    :param json: print JSON
    """
    with connect(server) as connection:
        content = connection.get(f"/traces/{trace_id}")
    if json:
        print_json(content)
        return
    spans = content["spans"]
    if not spans:
        print("No node has kept a span of this trace.")
        return
    create_console().print(_draw_spans(trace_id, spans))


def _draw_spans(trace_id: str, spans: list[dict[str, Any]]) -> Tree:
    start = min(span["start"] for span in spans)
    known = {span["span_id"] for span in spans}
    children: dict[str, list[dict[str, Any]]] = {}
    for span in sorted(spans, key=lambda span: span["start"]):
        # A parent outside the deployment, or one that is no longer kept.
        parent = span.get("parent_span_id") or ""
        parent = parent if parent in known and parent != span["span_id"] else ""
        children.setdefault(parent, []).append(span)
    tree = Tree(Text(f"trace {trace_id}"))
    pending = [(tree, span) for span in reversed(children.get("", []))]
    while pending:
        branch, span = pending.pop()
        node = branch.add(Text(_describe_span(span, start)))
        below = children.get(span["span_id"], [])
        pending += [(node, child) for child in reversed(below)]
    return tree


def _describe_span(span: dict[str, Any], start: float) -> str:
    offset = (span["start"] - start) * 1e3
    attributes = " ".join(
        f"{name}={format_value(value)}"
        for name, value in sorted(span.get("attributes", {}).items())
    )
    times = f"+{offset:.1f} ms  {span['duration_ms']:.1f} ms"
    return f"{span['name']}  {span['node']}  {times}  {attributes}".rstrip()


def _flatten(content: Any, prefix: str = "") -> list[tuple[str, object]]:
    """Lists nested fields with dotted names."""
    if not isinstance(content, dict):
        if isinstance(content, list):
            content = ", ".join(map(str, content)) or None
        return [(prefix, content)]
    lines = []
    for name, value in content.items():
        lines += _flatten(value, f"{prefix}.{name}" if prefix else name)
    return lines
