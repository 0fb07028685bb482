"""Exit codes of the client and the messages that go with them."""

import enum
import sys

from coltsfootspar.exceptions import (
    ColtsfootsparError,
    ConflictError,
    ServerError,
    SettingsError,
    UnreachableError,
)

__all__ = ["ExitCode", "report_error"]

_NO_QUORUM_STATUS = 503


class ExitCode(enum.IntEnum):
    """Exit codes, which scripts may rely on.

    2 comes from the parser of the command line.
    """

    DONE = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    NOT_REACHABLE = 4
    NO_QUORUM = 5


def report_error(error: ColtsfootsparError) -> ExitCode:
    """Prints an error to the standard error stream and selects the exit code."""
    if isinstance(error, SettingsError):
        for problem in error.problems:
            print(f"settings: {problem}", file=sys.stderr)
        return ExitCode.ERROR
    print(f"error: {error} ({error.code})", file=sys.stderr)
    for note in getattr(error, "__notes__", ()):
        print(note, file=sys.stderr)
    if isinstance(error, ConflictError):
        return ExitCode.CONFLICT
    if isinstance(error, UnreachableError):
        return ExitCode.NOT_REACHABLE
    if isinstance(error, ServerError) and error.status == _NO_QUORUM_STATUS:
        return ExitCode.NO_QUORUM
    return ExitCode.ERROR
