"""Entry point of ``coltsfootspar-replica``."""

import defopt

from coltsfootspar.exceptions import SettingsError
from coltsfootspar.programs import exit_with_settings_errors, run_daemon
from coltsfootspar.replica.program import format_data_folder, run_replica
from coltsfootspar.settings import ReplicaSettings, load_replica_settings
from coltsfootspar.telemetry import set_up_logs

__all__ = ["main"]


def run(settings: str) -> None:
    """Run a replica until SIGTERM.

    A replica whose data folder is empty catches up from the others before it
    votes.

    :param settings: settings file, JSON with comments.
    """
    run_daemon(run_replica, _load(settings))


def format(settings: str, *, new_cluster: bool = False) -> None:
    """Prepare an empty data folder for a replica of a new cluster.

    Never format a replica that has lost its disk: start it with an empty folder.

    :param settings: settings file, JSON with comments.
    :param new_cluster: confirms that no replica of the cluster has any data.
    """
    if not new_cluster:
        raise SystemExit("give --new-cluster to confirm that the cluster is new")
    run_daemon(format_data_folder, _load(settings))


def _load(path: str) -> ReplicaSettings:
    try:
        loaded = load_replica_settings(path)
    except SettingsError as error:
        exit_with_settings_errors(error)
    set_up_logs(loaded.replica.id, loaded.log.level)
    return loaded


def main() -> None:
    """Runs the program."""
    defopt.run({"run": run, "format": format})


if __name__ == "__main__":
    main()
