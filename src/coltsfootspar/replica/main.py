"""Entry point of ``coltsfootspar-replica``."""

import defopt

from coltsfootspar.exceptions import SettingsError
from coltsfootspar.programs import exit_with_settings_errors, run_daemon
from coltsfootspar.replica.program import format_data_folder, run_replica
from coltsfootspar.settings import NodeSettings, ReplicaSettings, load_settings
from coltsfootspar.telemetry import set_up_logs

__all__ = ["main"]


def run(settings: str) -> None:
    """Run a replica until SIGTERM.

    A replica whose data folder is empty catches up from the others before it
    votes.

    :param settings: settings file, JSON with comments.
    """
    loaded = _load(settings)
    if not isinstance(loaded, ReplicaSettings):
        raise SystemExit(f"{settings} is for coltsfootspar-node")
    run_daemon(run_replica, loaded)


def format(settings: str, *, new_cluster: bool = False) -> None:
    """Prepare an empty data folder for a replica of a new cluster.

    Never format a replica that has lost its disk: start it with an empty folder.

    :param settings: settings file of the replica, or of a node that holds one.
    :param new_cluster: confirms that no replica of the cluster has any data.
    """
    if not new_cluster:
        raise SystemExit("give --new-cluster to confirm that the cluster is new")
    loaded = _load(settings)
    if loaded.replica is None:
        raise SystemExit(f"{settings} has no replica block")
    run_daemon(format_data_folder, loaded)


def _load(path: str) -> ReplicaSettings | NodeSettings:
    try:
        loaded = load_settings(path)
    except SettingsError as error:
        exit_with_settings_errors(error)
    process = loaded.replica.id if loaded.replica is not None else "none"
    set_up_logs(process, loaded.log.level)
    return loaded


def main() -> None:
    """Runs the program."""
    defopt.run({"run": run, "format": format})


if __name__ == "__main__":
    main()
