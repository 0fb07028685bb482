"""Structured logs: one JSON object a line."""

import json
import logging as standard_logging
import sys
from typing import TextIO

from absl import flags, logging

__all__ = ["JsonFormatter", "set_up_logs", "set_verbosity"]

_VERBOSITY = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as one JSON object.

    :param process: id of the node or replica, part of every line.
    """

    def __init__(self, process: str):
        super().__init__()
        self._process = process

    def format(self, record: standard_logging.LogRecord) -> str:
        """Returns the line for a record."""
        entry = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S"),
            "level": record.levelname.lower(),
            "process": self._process,
            "source": f"{record.module}:{record.lineno}",
            "message": record.getMessage(),
        }
        entry.update(getattr(record, "fields", {}))
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return json.dumps(entry, default=str)


def set_up_logs(process: str, level: str, stream: TextIO = sys.stderr) -> None:
    """Directs the logs of all modules to a stream.

    :param process: id of the node or replica.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param stream: standard error unless given.
    """
    # absl holds its log back until its own flags are parsed; the programs take
    # their arguments through defopt.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(process))
    handler.python_handler.stream = stream
    logging.use_absl_handler()
    set_verbosity(level)


def set_verbosity(level: str) -> None:
    """Sets which records are written.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    logging.set_verbosity(_VERBOSITY[level])
