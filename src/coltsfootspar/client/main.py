"""Entry point of the operators' program ``coltsfootspar``."""

import sys
from collections.abc import Sequence

import defopt

from coltsfootspar.client.cluster import (
    drain_node,
    show_members,
    show_status,
    show_trace,
)
from coltsfootspar.client.configuration import CONFIG_COMMANDS
from coltsfootspar.client.exits import ExitCode, report_error
from coltsfootspar.client.tables import TABLE_COMMANDS
from coltsfootspar.exceptions import ColtsfootsparError

__all__ = ["main", "run"]

_COMMANDS = {
    "table": TABLE_COMMANDS,
    "status": show_status,
    "members": show_members,
    "drain": drain_node,
    "trace": show_trace,
    "config": CONFIG_COMMANDS,
}


def run(arguments: Sequence[str]) -> int:
    """Runs one command.

    :returns: the exit code.
    """
    try:
        defopt.run(
            _COMMANDS,
            argv=list(arguments),
            short={},
            no_negated_flags=True,
            version=False,
            argparse_kwargs={
                "prog": "coltsfootspar",
                "description": "Shows and changes the table and the state of nodes.",
            },
        )
    except ColtsfootsparError as error:
        return report_error(error)
    except KeyboardInterrupt:
        # The usual end of "table watch".
        return ExitCode.DONE
    return ExitCode.DONE


def main() -> None:
    """Runs the command of the command line and ends the process."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
