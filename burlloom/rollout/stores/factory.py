"""Creates the store of the rollout state that the operator's file configures."""

import time
from typing import TYPE_CHECKING

from ...record.factory import create_store
from ...record.lock_retry import LOCK_TIMEOUT_S
from .base import RolloutStore

if TYPE_CHECKING:
    from ...operator import Operator

__all__ = ["create_rollout_store"]


def create_rollout_store(
    operator: "Operator", lock_timeout_s: float = LOCK_TIMEOUT_S
) -> RolloutStore:
    """Creates the store without opening it.

    Args:
        operator: The operator's file; must have a `rollout` part.
        lock_timeout_s: How long an SQLite store waits for a lock that another process holds.

    Raises:
        StoreRefusedError: The store cannot be used as it is configured.
    """
    place = operator.rollout_store()
    if place.sqlite is not None:
        from .sqlite import SqliteRolloutStore

        return SqliteRolloutStore(place.sqlite.file_path(), lock_timeout_s)
    from ...record.postgres import PostgresStore
    from .postgres import PostgresRolloutStore

    record, _ = create_store(place, "-", retention_ns=0, clock=time.time_ns)
    assert isinstance(record, PostgresStore)
    return PostgresRolloutStore(record)
