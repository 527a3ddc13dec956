"""The operator's file: evaluation of its Jsonnet template, its schema and its validation.

The attributes of each part are the keys of the file.
"""

from .distribution import DistributionPart
from .fleet import FleetPart
from .levels import LevelsPart
from .load import OperatorFileError, load
from .part import Part
from .recovery import RecoveryPart
from .rollout import RolloutPart
from .schema import Distribution, Metrics, Operator, Postgres, Record, Rollout, Sqlite, StorePart

__all__ = [
    "Distribution",
    "DistributionPart",
    "OperatorFileError",
    "FleetPart",
    "LevelsPart",
    "Metrics",
    "Operator",
    "Part",
    "StorePart",
    "Postgres",
    "Record",
    "RecoveryPart",
    "Rollout",
    "RolloutPart",
    "Sqlite",
    "load",
]
