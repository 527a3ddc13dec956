"""Coming back after a mass restart or with state lost: what of the last life may be acted on, and
how service rises.

Without I/O, and importable alone; `server/configured_recovery.py` has the file and the clock.
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
