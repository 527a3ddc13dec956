"""Service levels: which level a node is at, why, and what each level takes away. No I/O."""

from .controller import DegradationController, LevelChange, LevelPin
from .plan import DEFAULT_PLAN, InvalidPlanError, LevelDefinition, LevelPlan, degradations
from .signals import SIGNAL_NAMES, SignalAggregator, SignalBounds, SignalReadings, TenantShares
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
    "TenantShares",
    "HysteresisPolicy",
    "max_changes_per_minute",
    "degradations",
]
