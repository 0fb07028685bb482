"""Entry point of ``coltsfootspar-node``."""

import defopt

from coltsfootspar.exceptions import SettingsError
from coltsfootspar.node.program import run_node
from coltsfootspar.programs import exit_with_settings_errors, run_daemon
from coltsfootspar.settings import load_node_settings
from coltsfootspar.telemetry import set_up_logs

__all__ = ["main"]


def start_node(settings: str) -> None:
    """Run a node beside a backend server until SIGTERM.

    Exit codes: 0 stopped, no request was cut; 1 error; 2 settings are not
    valid; 3 the drain time ran out and requests were cut.

    :param settings: settings file, JSON with comments.
    """
    try:
        loaded = load_node_settings(settings)
    except SettingsError as error:
        exit_with_settings_errors(error)
    set_up_logs(loaded.node.id, loaded.log.level)
    run_daemon(run_node, loaded)


def main() -> None:
    """Runs the program."""
    defopt.run(start_node)


if __name__ == "__main__":
    main()
