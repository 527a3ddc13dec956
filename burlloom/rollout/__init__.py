"""Drains and releases agreed across the fleet: who may be out, waves, the halt, the way back. No
I/O; `stores/` keeps what is agreed.
"""

from .book import SERVERS, Book, Budget, Denied, Group
from .hand import Hand
from .judge import Measure
from .lead import Lead, Terms
from .plan import Phase, Plan
from .units import State, Unit
from .watch import Counts, Member, Says

__all__ = [
    "SERVERS",
    "Book",
    "Budget",
    "Counts",
    "Denied",
    "Group",
    "Hand",
    "Lead",
    "Measure",
    "Member",
    "Phase",
    "Plan",
    "Says",
    "State",
    "Terms",
    "Unit",
]
