"""Drains and releases agreed across the fleet: who may be out, waves, the halt, the way back. No
I/O; `stores/` keeps what is agreed.
"""

from .agent import DrainAgent
from .canary import CanarySettings
from .instance import Instance, InstanceState
from .leader import RolloutLeader, RolloutSettings
from .liveness import RequestCounts, ServerPhase, ServerReport
from .release import Release, ReleasePhase
from .state import SERVERS_GROUP, DisruptionBudget, InstanceGroup, OrderRejectedError, RolloutState

__all__ = [
    "SERVERS_GROUP",
    "RolloutState",
    "DisruptionBudget",
    "RequestCounts",
    "OrderRejectedError",
    "InstanceGroup",
    "DrainAgent",
    "RolloutLeader",
    "CanarySettings",
    "ServerReport",
    "ReleasePhase",
    "Release",
    "ServerPhase",
    "InstanceState",
    "RolloutSettings",
    "Instance",
]
