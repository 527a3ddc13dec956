"""What a fleet does as a whole: who is in it, how the calls below are shared out, who talks to
which services.

Without I/O; `server/fleeting.py` has the sockets, `lab/fleets.py` a network in simulated time.
"""

from .allocator import MILLICALLS_PER_CALL, QuotaSettings
from .member import Fleet, GossipSettings, summarize
from .membership import MemberState, MemberUpdate
from .subset import SubsetAssignment, WeightedRoundRobin, assign_subsets

__all__ = [
    "MILLICALLS_PER_CALL",
    "Fleet",
    "GossipSettings",
    "SubsetAssignment",
    "MemberState",
    "QuotaSettings",
    "WeightedRoundRobin",
    "MemberUpdate",
    "assign_subsets",
    "summarize",
]
