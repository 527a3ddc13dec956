"""Rollout state in one SQLite file, which all servers of a machine share."""

from pathlib import Path

from ...record.lock_retry import LOCK_TIMEOUT_S
from ...record.shared_sqlite import SharedSqliteFile
from .sql import SqlRolloutStore

__all__ = ["SqliteRolloutStore"]


class SqliteRolloutStore(SharedSqliteFile, SqlRolloutStore):
    """Store with its tables in a separate file or in the record's file."""

    def __init__(self, path: Path, lock_timeout_s: float = LOCK_TIMEOUT_S) -> None:
        """Sets up the store without opening the file.

        Args:
            path: Path of the file, which `open` creates if it does not exist.
            lock_timeout_s: How long to wait for a lock that another process holds before the store
                counts as unavailable.
        """
        super().__init__(path, "rollout", lock_timeout_s)
