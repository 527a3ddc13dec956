"""Service levels: which level a node is at, for which cause, and what each level restricts.

Does no I/O.
"""

from .controller import DegradationController, LevelChange, LevelPin
from .plan import DEFAULT_PLAN, InvalidPlanError, LevelDefinition, LevelPlan, build_degradations
from .signals import (
    SIGNAL_NAMES,
    SignalAggregator,
    SignalBounds,
    SignalReadings,
    TenantExcessDetector,
)
from .state_machine import (
    DegradationEvent,
    DegradationPhase,
    DegradationStateMachine,
    DegradationStatus,
    HysteresisPolicy,
    Transition,
    max_changes_per_minute,
)

__all__ = [
    "DEFAULT_PLAN",
    "SignalBounds",
    "Transition",
    "DegradationEvent",
    "DegradationStateMachine",
    "LevelDefinition",
    "DegradationController",
    "LevelChange",
    "SIGNAL_NAMES",
    "DegradationPhase",
    "LevelPin",
    "LevelPlan",
    "InvalidPlanError",
    "SignalReadings",
    "SignalAggregator",
    "DegradationStatus",
    "TenantExcessDetector",
    "HysteresisPolicy",
    "max_changes_per_minute",
    "build_degradations",
]
