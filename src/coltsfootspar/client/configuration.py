"""Commands of the group ``config``."""

import importlib

from coltsfootspar.client.output import print_json
from coltsfootspar.exceptions import SettingsError

__all__ = ["CONFIG_COMMANDS", "check_config"]


def check_config(file: str, *, json: bool = False):
    """Checks a settings file of a node or replica and prints all problems.

    :param file: settings file
    :param json: print JSON
    """
    # Not needed by the other commands.
    settings = importlib.import_module("coltsfootspar.settings")
    try:
        settings.load_settings(file)
    except SettingsError as error:
        if json:
            print_json({"file": file, "problems": error.problems})
        raise
    if json:
        print_json({"file": file, "problems": []})
    else:
        print(f"{file}: no problems found.")


CONFIG_COMMANDS = {"check": check_config}
