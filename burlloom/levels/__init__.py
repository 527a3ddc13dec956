"""Levels of reduced service: in which state a node is, why, and what each level takes away. No
I/O.
"""

from .ladder import Change, Input, Ladder, Phase, Standing, Terms, most_changes
from .plan import DEFAULT, Level, Plan, PlanFaults, reliefs
from .signals import NAMES, Bounds, Readings, Signals, Tenants
from .watch import Levels, Moved, Pin

__all__ = [
    "DEFAULT",
    "Bounds",
    "Change",
    "Input",
    "Ladder",
    "Level",
    "Levels",
    "Moved",
    "NAMES",
    "Phase",
    "Pin",
    "Plan",
    "PlanFaults",
    "Readings",
    "Signals",
    "Standing",
    "Tenants",
    "Terms",
    "most_changes",
    "reliefs",
]
