"""The admission control of one server: what it admits, starts and rejects, and when it calls out.

The package does no I/O, and imports nothing from the rest of burlloom but its errors. `model`
defines the types that the host passes in and the effects that it implements, `controller` the
events, and `lifecycle` the transition table of a request. Each rule is a module of its own; its
docstring states inputs, units, rule and reason.
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
