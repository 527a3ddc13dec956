"""The rollout state in one SQLite file, which all servers of a machine share."""

from pathlib import Path

from ...record.lock_retry import LOCK_TIMEOUT_S
from ...record.shared_sqlite import SharedSqliteFile
from .sql import SqlRolloutStore

__all__ = ["SqliteRolloutStore"]


class SqliteRolloutStore(SharedSqliteFile, SqlRolloutStore):
    """The tables in a file of their own, or in the record's."""

    def __init__(self, path: Path, lock_timeout_s: float = LOCK_TIMEOUT_S) -> None:
        """Does not open the file yet.

        Args:
            path: The file; made where there is none.
            lock_timeout_s: How long another process's lock is waited for, until the store counts
                as unavailable.
        """
        super().__init__(path, "rollout", lock_timeout_s)
