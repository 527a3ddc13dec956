"""Recovery after a restart or a loss of state: snapshot validation, slow start, retry budget.

The package does no I/O and can be imported alone; `server/configured_recovery.py` reads and writes
the state file and has the clock.
"""

from .bootstrap import Bootstrap, BootstrapEvent, BootstrapState
from .controller import RecoveryController, RecoveryPolicy
from .retry_budget import RetryBudget
from .slow_start import SlowStart
from .snapshot import (
    RecoverySnapshot,
    SnapshotValidity,
    limit_members,
    parse_snapshot,
    serialize_snapshot,
    validate_snapshot,
)

__all__ = [
    "BootstrapEvent",
    "RecoverySnapshot",
    "SlowStart",
    "RecoveryController",
    "RetryBudget",
    "Bootstrap",
    "BootstrapState",
    "RecoveryPolicy",
    "SnapshotValidity",
    "validate_snapshot",
    "limit_members",
    "parse_snapshot",
    "serialize_snapshot",
]
