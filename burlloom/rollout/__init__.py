"""Coordinates drains and releases across the fleet.

`state` defines the shared rollout state, which consists of `group`, `instance` and `release`.
`agent` decides when a server drains. `leader` runs the rounds of the leader, with `supervision`,
`progress` and `permits` as their parts; `liveness` and `canary` supply the observations that these
rounds decide on. These modules do no I/O; `stores` reads and writes the rollout state.
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
