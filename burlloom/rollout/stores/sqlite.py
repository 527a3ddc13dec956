"""In one SQLite file, the record's or one of its own, that all servers of a machine share."""

from pathlib import Path

from ...record.lock_retry import LOCK_TIMEOUT_S
from ...record.shared_sqlite import SharedSqliteFile
from .sql import SqlRolloutStore


class SqliteRolloutStore(SharedSqliteFile, SqlRolloutStore):
    def __init__(self, path: Path, wait: float = LOCK_TIMEOUT_S) -> None:
        """`wait`: s for the lock that another holds, until the store counts as away."""
        super().__init__(path, "rollout", wait)
