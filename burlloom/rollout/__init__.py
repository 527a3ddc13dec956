"""Drains and releases agreed across the fleet. No I/O; `stores/` keeps what is agreed.

`state` is what is agreed, made of `group`, `instance` and `release`; `agent` is a server's part,
`leader` with `supervision`, `progress` and `permits` the leader's; `liveness` and `canary` are what
it judges by.
"""

from .agent import DrainAgent
from .errors import OrderRejectedError
from .group import SERVERS_GROUP, DisruptionBudget, InstanceGroup
from .instance import Instance, InstanceState
from .leader import RolloutLeader
from .liveness import RequestCounts, ServerPhase, ServerReport
from .release import Release, ReleasePhase
from .settings import CanarySettings, RolloutSettings
from .state import RolloutState

__all__ = [
    "SERVERS_GROUP",
    "CanarySettings",
    "DisruptionBudget",
    "DrainAgent",
    "Instance",
    "InstanceGroup",
    "InstanceState",
    "OrderRejectedError",
    "Release",
    "ReleasePhase",
    "RequestCounts",
    "RolloutLeader",
    "RolloutSettings",
    "RolloutState",
    "ServerPhase",
    "ServerReport",
]
