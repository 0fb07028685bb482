"""What the daemons share: settings errors, exit codes and the last log line."""

import gc
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from absl import logging

from coltsfootspar.exceptions import ColtsfootsparError, SettingsError
from coltsfootspar.timers import create_loop_clock

__all__ = ["EXIT_ERROR", "EXIT_SETTINGS", "exit_with_settings_errors", "run_daemon"]

EXIT_ERROR = 1
EXIT_SETTINGS = 2

# Objects allocated and not yet freed between two collections of cyclic garbage.
_GARBAGE_COLLECTION_THRESHOLD = 10_000


def exit_with_settings_errors(error: SettingsError) -> None:
    """Prints all problems and ends the process."""
    for problem in error.problems:
        print(f"settings: {problem}", file=sys.stderr)
    sys.exit(EXIT_SETTINGS)


def run_daemon(run: Callable[..., Awaitable[int]], *arguments: Any) -> None:
    """Runs the main task of a daemon and ends the process with its exit code."""
    code = EXIT_ERROR
    _configure_garbage_collection()
    clock = create_loop_clock()
    try:
        code = trio.run(run, *arguments, clock=clock, instruments=[clock])
    except* ColtsfootsparError as group:
        for error in _list_leaves(group):
            logging.error("Stopped: %s (%s)", error, error.code)
    except* OSError as group:
        for error in _list_leaves(group):
            logging.error("Stopped: %s", error)
    sys.exit(code)


def _configure_garbage_collection() -> None:
    """Leaves what the imports have created out of all later collections.

    A request hardly leaves cyclic garbage, but each collection would go through
    modules and classes that live as long as the process.
    """
    gc.freeze()
    gc.set_threshold(_GARBAGE_COLLECTION_THRESHOLD)
    gc.enable()


def _list_leaves(group: BaseExceptionGroup) -> list[BaseException]:
    leaves = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            leaves += _list_leaves(error)
        else:
            leaves.append(error)
    return leaves
