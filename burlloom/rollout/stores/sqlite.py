"""In one SQLite file, the record's or one of its own, that all servers of a machine share."""

from pathlib import Path

from ...record.shared_sqlite import SharedFile
from ...record.turns import WAIT
from .sql import SqlRolloutStore


class SqliteRolloutStore(SharedFile, SqlRolloutStore):
    def __init__(self, path: Path, wait: float = WAIT) -> None:
        """`wait`: s for the lock that another holds, until the store counts as away."""
        super().__init__(path, "rollout", wait)
