"""The change store in a SQLite file, shared by all control-machine processes of one host."""

import sqlite3
from pathlib import Path

from ...record.lock_retry import LOCK_TIMEOUT_S
from ...record.shared_sqlite import SharedSqliteFile, execute
from .sql import SqlChangeStore, Statement


class SqliteChangeStore(SharedSqliteFile, SqlChangeStore):
    """The change store in a SQLite file."""

    def __init__(self, path: Path, lock_timeout_s: float = LOCK_TIMEOUT_S) -> None:
        """Makes a store on a file.

        Args:
            path: Path of the SQLite file.
            lock_timeout_s: Time to wait for a lock that another process holds; after it the store
                counts as unavailable.
        """
        super().__init__(path, "distribution", lock_timeout_s)

    async def transaction(self, guard: Statement, statements: list[Statement]) -> bool:
        """Runs all statements in one transaction if the guard returns a row."""

        def run_transaction(connection: sqlite3.Connection) -> bool:
            """Runs guard and statements; returns whether the guard returned a row."""
            connection.execute("BEGIN IMMEDIATE")
            try:
                is_current = bool(execute(connection, *guard))
                for sql, values in statements if is_current else ():
                    execute(connection, sql, values)
                connection.execute("COMMIT" if is_current else "ROLLBACK")
                return is_current
            except BaseException:
                if connection.in_transaction:
                    connection.execute("ROLLBACK")
                raise

        return await self.run_transaction(run_transaction)
