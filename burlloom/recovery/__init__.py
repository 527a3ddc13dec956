"""Recovery after a restart or a loss of state: snapshot validation, slow start and retry budget.

Does no I/O and can be imported alone; `server/configured_recovery.py` reads and writes the state
file and provides the clock.
"""

from .bootstrap import Bootstrap, BootstrapEvent, BootstrapState
from .call_slow_start import CallSlowStart
from .controller import RecoveryController, RecoveryPolicy
from .retry_budget import RetryBudget
from .snapshot import (
    RecoverySnapshot,
    SnapshotValidity,
    limit_peer_addresses,
    parse_snapshot,
    serialize_snapshot,
    validate_snapshot,
)

__all__ = [
    "BootstrapEvent",
    "RecoverySnapshot",
    "CallSlowStart",
    "RecoveryController",
    "RetryBudget",
    "Bootstrap",
    "BootstrapState",
    "RecoveryPolicy",
    "SnapshotValidity",
    "validate_snapshot",
    "limit_peer_addresses",
    "parse_snapshot",
    "serialize_snapshot",
]
