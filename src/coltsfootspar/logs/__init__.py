"""Structured logs, apart from the telemetry that needs larger libraries."""

from coltsfootspar.logs.decisions import log_decision
from coltsfootspar.logs.records import JsonFormatter, set_up_logs, set_verbosity

__all__ = ["JsonFormatter", "log_decision", "set_up_logs", "set_verbosity"]
