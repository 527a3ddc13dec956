"""The operator's own file: a Jsonnet template, checked whole against a typed schema. Off unless a
file is named.
"""

from .distribution import DistributionPart
from .fleet import FleetPart
from .levels import LevelsPart
from .load import OperatorFileError, load
from .part import Part
from .recovery import RecoveryPart
from .rollout import RolloutPart
from .schema import Distribution, Metrics, Operator, Place, Postgres, Record, Rollout, Sqlite

__all__ = [
    "Distribution",
    "DistributionPart",
    "OperatorFileError",
    "FleetPart",
    "LevelsPart",
    "Metrics",
    "Operator",
    "Part",
    "Place",
    "Postgres",
    "Record",
    "RecoveryPart",
    "Rollout",
    "RolloutPart",
    "Sqlite",
    "load",
]
