"""In one SQLite file, the record's or one of its own, that all control machines of one machine
share.
"""

import sqlite3
from pathlib import Path

from ...record.lock_retry import LOCK_TIMEOUT_S
from ...record.shared_sqlite import SharedSqliteFile, execute
from .tables import Statement, Tables


class Sqlite(SharedSqliteFile, Tables):
    def __init__(self, path: Path, wait: float = LOCK_TIMEOUT_S) -> None:
        """`wait`: s for the lock that another holds, until the store counts as away."""
        super().__init__(path, "distribution", wait)

    async def transaction(self, guard: Statement, rest: list[Statement]) -> bool:
        def work(db: sqlite3.Connection) -> bool:
            db.execute("BEGIN IMMEDIATE")
            try:
                held = bool(execute(db, *guard))
                for sql, values in rest if held else ():
                    execute(db, sql, values)
                db.execute("COMMIT" if held else "ROLLBACK")
                return held
            except BaseException:
                if db.in_transaction:
                    db.execute("ROLLBACK")
                raise

        return await self.run_transaction(work)
