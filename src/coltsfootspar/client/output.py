"""Output for people and for programs."""

import datetime
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import orjson
from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.table import Table as Grid
from rich.text import Text

__all__ = [
    "create_console",
    "format_count",
    "format_time",
    "format_value",
    "print_grid",
    "print_json",
    "print_json_line",
]

# Rows are not broken when the output goes to a file or another program.
_FILE_WIDTH = 1_000


def create_console() -> Console:
    """Creates a console for the standard output."""
    if sys.stdout.isatty():
        return Console()
    return Console(width=_FILE_WIDTH, color_system=None)


def print_json(content: Any) -> None:
    """Prints a value as indented JSON."""
    print(orjson.dumps(content, option=orjson.OPT_INDENT_2).decode())


def print_json_line(content: Any) -> None:
    """Prints a value as JSON on one line, at once."""
    print(orjson.dumps(content).decode(), flush=True)


def print_grid(
    headings: Sequence[str],
    rows: Iterable[Sequence[object]],
    *,
    numbers: Sequence[str] = (),
) -> None:
    """Prints rows below headings.

    :param numbers: headings of the columns that are aligned to the right.
    """
    grid = Grid(box=SIMPLE_HEAD, pad_edge=False, show_edge=False)
    for heading in headings:
        justify = "right" if heading in numbers else "left"
        grid.add_column(heading, justify=justify, overflow="fold")
    for row in rows:
        # Text, since values of operators may look like markup.
        grid.add_row(*(Text(format_value(value)) for value in row))
    create_console().print(grid)


def format_value(value: object) -> str:
    """Formats a value for people."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def format_count(count: int, noun: str) -> str:
    """Formats a number of things."""
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def format_time(seconds: float) -> str:
    """Formats seconds since 1970 as a time in UTC."""
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time.strftime("%Y-%m-%d %H:%M:%S")
