"""The change store in one SQLite file, shared by all control machines of one machine."""

import sqlite3
from pathlib import Path

from ...record.lock_retry import LOCK_TIMEOUT_S
from ...record.shared_sqlite import SharedSqliteFile, execute
from .sql import SqlChangeStore, Statement


class SqliteChangeStore(SharedSqliteFile, SqlChangeStore):
    """The change store in a SQLite file."""

    def __init__(self, path: Path, wait: float = LOCK_TIMEOUT_S) -> None:
        """`wait`: s for the lock that another holds, until the store counts as away."""
        super().__init__(path, "distribution", wait)

    async def transaction(self, guard: Statement, statements: list[Statement]) -> bool:
        """Run all statements in one transaction if the guard gives a row."""

        def run_transaction(db: sqlite3.Connection) -> bool:
            """Run guard and statements; returns whether the guard gave a row."""
            db.execute("BEGIN IMMEDIATE")
            try:
                held = bool(execute(db, *guard))
                for sql, values in statements if held else ():
                    execute(db, sql, values)
                db.execute("COMMIT" if held else "ROLLBACK")
                return held
            except BaseException:
                if db.in_transaction:
                    db.execute("ROLLBACK")
                raise

        return await self.run_transaction(run_transaction)
