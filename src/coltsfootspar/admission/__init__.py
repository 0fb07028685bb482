"""Admission control: limits, queues and load shedding."""

from coltsfootspar.admission.baseline import (
    create_baseline_controller,
    create_baseline_gate,
)
from coltsfootspar.admission.controller import create_admission_controller
from coltsfootspar.admission.gate import create_entry_gate
from coltsfootspar.admission.interfaces import (
    AdmissionController,
    EntryGate,
    EntryPermit,
    Permit,
)

__all__ = [
    "AdmissionController",
    "EntryGate",
    "EntryPermit",
    "Permit",
    "create_admission_controller",
    "create_baseline_controller",
    "create_baseline_gate",
    "create_entry_gate",
]
