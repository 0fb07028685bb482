"""Admission: limits, queues and refusals."""

from coltsfootspar.admission.interfaces import (
    AdmissionController,
    EntryGate,
    EntryPass,
    Permit,
)

__all__ = ["AdmissionController", "EntryGate", "EntryPass", "Permit"]
