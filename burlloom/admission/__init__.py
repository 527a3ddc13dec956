"""The decisions of one server: what it admits, starts, rejects and calls.

The package does no I/O and imports nothing of the rest of burlloom but its errors. `model` has what
the host hands in and carries out, `controller` the events, and `lifecycle` the table of what can
happen to a request. Each rule is a module, whose head says its inputs, units, rule and reason.
"""

from .controller import AdmissionController, ControllerSizes
from .model import (
    NO_ORIGINAL,
    Degradation,
    Effects,
    Gauges,
    Idempotency,
    LoadReportKind,
    Outcome,
    Request,
    RequestClass,
    ServerSettings,
    ServiceLevel,
)

__all__ = [
    "NO_ORIGINAL",
    "AdmissionController",
    "ControllerSizes",
    "Degradation",
    "Effects",
    "Gauges",
    "Idempotency",
    "LoadReportKind",
    "Outcome",
    "Request",
    "RequestClass",
    "ServerSettings",
    "ServiceLevel",
]
