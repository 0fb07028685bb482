"""Reloading of the settings file while the process runs."""

import os
from collections.abc import Callable

import attrs
from absl import logging

from coltsfootspar.exceptions import SettingsError
from coltsfootspar.logs import log_decision, set_verbosity
from coltsfootspar.settings.fleet import FleetSettings
from coltsfootspar.timers import TimerService

__all__ = ["SettingsFile", "open_settings"]

CHECK_PERIOD_SECONDS = 2.0
# Changes of the other fields take effect after a restart.
_RELOADABLE_FIELDS = frozenset({"bounds", "log_level", "seeds"})


@attrs.define(eq=False)
class SettingsFile:
    """Settings file of a process.

    :param settings: settings in force; an invalid file does not change them.
    :param on_change: called with the settings in force after a reload that finds any
        changed field.
    """

    path: str
    settings: FleetSettings
    on_change: Callable[[FleetSettings], None] = lambda settings: None
    _load: Callable[[str], FleetSettings] = attrs.field(kw_only=True)
    _modified_ns: int = attrs.field(kw_only=True)

    async def poll(self, timers: TimerService) -> None:
        """Polls the file until cancelled, since it may change without a SIGHUP."""
        async for _ in timers.subscribe(CHECK_PERIOD_SECONDS):
            if _read_modified_ns(self.path) != self._modified_ns:
                self.reload()

    def reload(self) -> None:
        """Reads the file again and applies the fields that need no restart.

        Logs the problems of an invalid file and keeps the settings in force.
        """
        self._modified_ns = _read_modified_ns(self.path)
        try:
            settings = self._load(self.path)
        except SettingsError as error:
            logging.error("Settings kept: %s", "; ".join(error.problems))
            return
        changed = _list_changed(self.settings, settings)
        log_decision(
            "settings-read",
            changed=changed,
            need_restart=[name for name in changed if name not in _RELOADABLE_FIELDS],
        )
        if not changed:
            return
        reloadable = {name: getattr(settings, name) for name in _RELOADABLE_FIELDS}
        self.settings = attrs.evolve(self.settings, **reloadable)
        set_verbosity(self.settings.log_level)
        self.on_change(self.settings)


def _list_changed(old: FleetSettings, new: FleetSettings) -> list[str]:
    names = [field.name for field in attrs.fields(type(old))]
    return [name for name in names if getattr(old, name) != getattr(new, name)]


def _read_modified_ns(path: str) -> int:
    try:
        return os.stat(path).st_mtime_ns
    except OSError as error:
        logging.warning("Cannot stat the settings file: %s", error)
        return 0


def open_settings(path: str, load: Callable[[str], FleetSettings]) -> SettingsFile:
    """Reads and checks a settings file.

    :param load: reads and checks the settings of the program.
    :raises SettingsError: with all problems of the file.
    """
    modified_ns = _read_modified_ns(path)
    return SettingsFile(path, load(path), load=load, modified_ns=modified_ns)
