"""What a fleet does as a whole. No I/O.

Who is in it (`member`, `membership`, `probing`, `gossip`, `synchronization`), how the downstream
calls are shared out (`quota`, `allocator`, `lease_holder`), and which server calls which services
(`subset`). `burlloom.server.membership` has the sockets, `burlloom.lab.fleets` a network in
simulated time.
"""

from .member import Fleet, summarize
from .membership import MemberState, MemberUpdate
from .settings import MILLICALLS_PER_CALL, GossipSettings, QuotaSettings
from .subset import SubsetAssignment, WeightedRoundRobin, assign_subsets

__all__ = [
    "MILLICALLS_PER_CALL",
    "Fleet",
    "GossipSettings",
    "MemberState",
    "MemberUpdate",
    "QuotaSettings",
    "SubsetAssignment",
    "WeightedRoundRobin",
    "assign_subsets",
    "summarize",
]
