"""Coordination of the servers of a fleet. Does no I/O.

The package has three parts: fleet membership (`member`, `membership`, `probing`, `gossip`,
`synchronization`), division of the downstream calls among the members (`quota`, `allocator`,
`lease_holder`), and the subset of downstream services that each server calls (`subset`).
`burlloom.server.membership` connects it to sockets, `burlloom.lab.fleets` to a network in simulated
time.
"""

from .member import FleetMember, summarize
from .membership import MemberState, MemberUpdate
from .settings import MILLICALLS_PER_CALL, GossipSettings, QuotaSettings
from .subset import SubsetAssignment, WeightedRoundRobin, assign_subsets

__all__ = [
    "MILLICALLS_PER_CALL",
    "FleetMember",
    "GossipSettings",
    "MemberState",
    "MemberUpdate",
    "QuotaSettings",
    "SubsetAssignment",
    "WeightedRoundRobin",
    "assign_subsets",
    "summarize",
]
